// Package peers connects the entry hosts with each other: membership by
// heartbeats, and calls, over yamux sessions with protobuf messages.
//
// Every host dials every other that it knows of, beginning with the seeds of
// its settings. A host that has not been heard of for the suspicion time is
// out; one that is heard of again is in. There is no leader, and nothing is
// agreed upon here: membership is what one host sees.
package peers

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

// Member is one entry host as another one sees it.
type Member struct {
	Name           string
	Zone           string
	Region         string
	PeerAddress    string
	HTTPAddress    string
	Incarnation    uint64 // start time of its process, nanoseconds
	Ready          bool
	Leaving        bool
	ConfigRevision int64
	SchedulerEpoch int64  // largest epoch of its zone that it knows
	Scheduler      string // name of the host that holds the epoch
	LastHeard      time.Time
	Alive          bool
}

// Caller makes calls to other hosts. An error is a *codes.Error when the other
// host answered with a code; *NotSentError when the call provably did not
// reach it; any other error leaves open whether it took effect.
type Caller interface {
	Call(ctx context.Context, host, method string, req, reply proto.Message) error
}

// Registry takes the handlers of calls.
type Registry interface {
	Handle(method string, fn RawHandler)
}

// RawHandler answers one call with encoded messages. Its error's code, as
// codes.Of gives it, is what the caller gets.
type RawHandler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// NotSentError says that a call did not reach the other host.
type NotSentError = calls.NotSentError

// The methods.
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

// Handle registers a handler of typed messages.
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

// ToWire returns the message of a member.
func (me Member) ToWire() *wire.Member {
	return &wire.Member{
		Name: me.Name, Zone: me.Zone, Region: me.Region,
		PeerAddress: me.PeerAddress, HttpAddress: me.HTTPAddress, Incarnation: me.Incarnation,
		Ready: me.Ready, Leaving: me.Leaving, ConfigRevision: me.ConfigRevision,
		SchedulerEpoch: me.SchedulerEpoch, Scheduler: me.Scheduler,
	}
}

// MemberFromWire returns the member of a message, not heard of yet.
func MemberFromWire(wm *wire.Member) Member {
	return Member{
		Name: wm.GetName(), Zone: wm.GetZone(), Region: wm.GetRegion(),
		PeerAddress: wm.GetPeerAddress(), HTTPAddress: wm.GetHttpAddress(), Incarnation: wm.GetIncarnation(),
		Ready: wm.GetReady(), Leaving: wm.GetLeaving(), ConfigRevision: wm.GetConfigRevision(),
		SchedulerEpoch: wm.GetSchedulerEpoch(), Scheduler: wm.GetScheduler(),
	}
}

// message is a pointer to a generated message type.
type message[T any] interface {
	*T
	proto.Message
}
