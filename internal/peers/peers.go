// Package peers connects the entry hosts with each other. It provides
// membership by heartbeats, and calls, over yamux sessions with protobuf
// messages.
//
// Every host dials every other host that it knows, starting with the seeds of
// its settings. A host without a heartbeat for SuspectAfter is suspected, that
// is, not alive, until the next heartbeat. There is no leader and no agreement:
// membership is the view of one host.
//
// The hosts of scheduling domains use package remote instead: they register in
// the store, exchange no heartbeats, and connect only to forward a call.
package peers

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

// Member is an entry host as another one sees it.
type Member struct {
	Name                 string
	Zone                 string
	Region               string
	PeerAddress          string
	HTTPAddress          string
	Incarnation          uint64    // start time of its process, nanoseconds since 1970
	Ready                bool      // for callers' requests
	Draining             bool      // is shutting down
	DeclarationsRevision int64     // store revision of the declarations that it uses
	SchedulerEpoch       int64     // the largest epoch of its zone that it has seen
	Scheduler            string    // name of the host that is the leader in that epoch
	LastHeard            time.Time // of its last heartbeat; zero if there was none
	Alive                bool      // not suspected
}

// Caller makes calls to other hosts. The error is a *codes.Error if the other
// host responded with a code, and a *NotSentError if the call provably did not
// reach it. After any other error, the outcome is unknown.
type Caller interface {
	Call(ctx context.Context, host, method string, req, reply proto.Message) error
}

// Registry registers the handlers of calls.
type Registry interface {
	Handle(method string, fn RawHandler)
}

// RawHandler handles a call with encoded messages. The caller receives the code
// of its error as given by codes.Of.
type RawHandler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// NotSentError reports that a call did not reach the other host.
type NotSentError = calls.NotSentError

// The methods of calls between entry hosts.
const (
	MethodHeartbeat   = "heartbeat"
	MethodSubmitJob   = "submitJob"
	MethodGetJob      = "getJob"
	MethodListJobs    = "listJobs"
	MethodCancelJob   = "cancelJob"
	MethodGetConfig   = "getConfig"
	MethodGetAccounts = "getAccounts"
	MethodPutAccount  = "putAccount"
	MethodGetSummary  = "getSummary"
)

// Handle registers a handler with typed messages, whose from is the name of the
// calling host. The caller receives the code of its error as given by codes.Of.
func Handle[Req, Reply any, PReq message[Req], PReply message[Reply]](
	rg Registry, method string, fn func(ctx context.Context, from string, req PReq) (PReply, error),
) {
	rg.Handle(method, func(ctx context.Context, from string, payload []byte) ([]byte, error) {
		req := PReq(new(Req))
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, err
		}
		reply, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return proto.Marshal(reply)
	})
}

// ToWire returns the message that describes a member.
func (me Member) ToWire() *wire.Member {
	return &wire.Member{
		Name: me.Name, Zone: me.Zone, Region: me.Region,
		PeerAddress: me.PeerAddress, HttpAddress: me.HTTPAddress, Incarnation: me.Incarnation,
		Ready: me.Ready, Leaving: me.Draining, ConfigRevision: me.DeclarationsRevision,
		SchedulerEpoch: me.SchedulerEpoch, Scheduler: me.Scheduler,
	}
}

// MemberFromWire returns the member that a message describes, without LastHeard
// and Alive.
func MemberFromWire(wm *wire.Member) Member {
	return Member{
		Name: wm.GetName(), Zone: wm.GetZone(), Region: wm.GetRegion(),
		PeerAddress: wm.GetPeerAddress(), HTTPAddress: wm.GetHttpAddress(), Incarnation: wm.GetIncarnation(),
		Ready: wm.GetReady(), Draining: wm.GetLeaving(), DeclarationsRevision: wm.GetConfigRevision(),
		SchedulerEpoch: wm.GetSchedulerEpoch(), Scheduler: wm.GetScheduler(),
	}
}

// message is a pointer to a generated message type.
type message[T any] interface {
	*T
	proto.Message
}
