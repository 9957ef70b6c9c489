// Package remote forwards calls that this host can't decide, because it has no
// connection to the store, to another host, and tells the leader what this host
// has written to the store (batch.Notice).
//
// Hosts register in the store and read the list of the other hosts from it.
// While they can reach the store, they exchange nothing but notices. A call that a
// host can't decide goes to another one, over a connection opened on demand.
// That host decides by its own state and never forwards the call again. Roster,
// callState, limiter and the functions of times.go make the decisions, without
// I/O; Peer does the I/O.
//
// The entry hosts use package peers instead, which finds hosts by heartbeats and
// needs no store.
package remote

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

type (
	// Op is the operation that a caller requests.
	Op string

	// Call is a caller's call. It holds the path, the key and the body as
	// received, because the host that handles a forwarded call validates them
	// again.
	Call struct {
		Op   Op     `json:"op"`
		Job  string `json:"job,omitempty"` // for the log
		Host string `json:"host"`          // HTTP Host header without the port
		Path string `json:"path"`          // of the URL
		Key  string `json:"key,omitempty"` // API key
		Body []byte `json:"body,omitempty"`
	}

	// Result is the response to a successful call.
	Result struct {
		State   batch.State `json:"state,omitempty"`   // of the job; zero for a call about a queue
		Waiting int         `json:"waiting,omitempty"` // number of waiting jobs in the queue
	}

	// Handler handles forwarded calls.
	Handler interface {
		// HandleForwarded decides a call by the state of this host alone, without
		// forwarding it again. It reads the policy after the call has arrived, so that
		// a key revoked before the call is rejected. The host that forwarded the call
		// receives the code of the error as given by codes.Of.
		HandleForwarded(ctx context.Context, ca Call) (Result, error)
	}

	// request is the payload of a forwarded call.
	request struct {
		Call        Call         `json:"call"`
		Cause       intake.Cause `json:"cause"`
		WantMembers bool         `json:"learn,omitempty"` // the response is to include members
	}

	// response is the payload of the response to a successful call.
	response struct {
		Result  Result   `json:"result"`
		Members []Member `json:"members,omitempty"`
	}
)

// The operations.
const (
	Submit Op = "submit"
	Cancel Op = "cancel"
	Lookup Op = "look" // reads the state of a job or the counts of a queue, by path
)

const (
	// methodForwarded is the method of a forwarded call in wire.Call. The receiver
	// decides or refuses it, and never forwards it.
	methodForwarded = "forwarded"
	// maxMessageSize limits a call or a response. It leaves room for a body of one
	// megabyte in base64 and the other fields.
	maxMessageSize = 3 << 19 // bytes
)

// mutates reports whether the operation may change the stored state.
func (op Op) mutates() bool { return op == Submit || op == Cancel }

// toWire returns the message of a call from a host, which asks for a response
// within the given time.
func (rq request) toWire(from Member, within time.Duration) (*wire.Call, error) {
	payload, err := json.Marshal(rq)
	if err != nil {
		return nil, merry.Prepend(err, "encode call")
	}
	return &wire.Call{
		Method: methodForwarded, From: from.Name, Incarnation: uint64(from.Started),
		TimeoutMillis: max(within.Milliseconds(), 1), Payload: payload,
	}, nil
}
