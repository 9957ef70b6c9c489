// Package remote has another host answer the calls that this one can't decide,
// because it does not reach the store.
//
// Hosts register in the store and read from there who the others are. While the
// store answers, nothing else happens. A call that a host can't decide goes to a
// host that can, over a connection that is opened for it; that host judges it by
// its own state and never passes it on. Roster, verdict, gate and the division
// of time decide, without I/O; Peer does the I/O.
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
	// Op is what a caller asks for.
	Op string

	// Call is a caller's call. Its body is as the caller sent it, so that the
	// host that answers also checks it.
	Call struct {
		Op   Op     `json:"op"`
		Job  string `json:"job,omitempty"` // for log lines
		Host string `json:"host"`
		Path string `json:"path"`
		Key  string `json:"key,omitempty"`
		Body []byte `json:"body,omitempty"`
	}

	// Result is the answer to a call that has succeeded.
	Result struct {
		State   batch.State `json:"state,omitempty"`   // of a job; zero if the call was for a queue
		Waiting int         `json:"waiting,omitempty"` // in the queue
	}

	// Handler answers calls by the state of this host alone, and by a policy that
	// it reads after the call has come.
	Handler interface {
		AnswerForwarded(ctx context.Context, ca Call) (Result, error)
	}

	// request is the payload of a call between hosts.
	request struct {
		Call        Call         `json:"call"`
		Cause       intake.Cause `json:"cause"`
		WantMembers bool         `json:"learn,omitempty"` // asks for members
	}

	// reply is the payload of its answer.
	reply struct {
		Result  Result   `json:"result"`
		Members []Member `json:"members,omitempty"`
	}
)

// The calls.
const (
	Submit Op = "submit"
	Cancel Op = "cancel"
	Look   Op = "look" // for the state of a job or the count of a queue, by the path
)

const (
	// methodForwarded marks a call as forwarded: a host that receives it answers
	// it or refuses it.
	methodForwarded = "forwarded"
	// maxMessageSize bounds a call or an answer: a body of a megabyte in base64, and
	// what goes with it.
	maxMessageSize = 3 << 19 // bytes
)

// mutates tells whether a call may have an effect.
func (op Op) mutates() bool { return op == Submit || op == Cancel }

// toWire returns the message of a call that is to be answered within a time.
func (rq request) toWire(from Member, within time.Duration) (*wire.Call, error) {
	payload, err := json.Marshal(rq)
	if err != nil {
		return nil, merry.Prepend(err, "encode the call")
	}
	return &wire.Call{
		Method: methodForwarded, From: from.Name, Incarnation: uint64(from.Started),
		TimeoutMillis: max(within.Milliseconds(), 1), Payload: payload,
	}, nil
}
