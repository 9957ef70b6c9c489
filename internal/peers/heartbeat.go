package peers

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	initialGossip   = 32          // members in each of the first confirmHeartbeats heartbeats of a session
	laterGossip     = 1           // members in every gossipEvery-th heartbeat after that
	gossipEvery     = 8           // heartbeats
	maxDraining     = 16          // endpoints in one heartbeat
	announceTimeout = time.Second // of a heartbeat over a session that the other host has dialled
)

// Announce starts to send a heartbeat to every host right away. A host calls it
// when its state has changed, above all when it is draining.
func (ms *Mesh) Announce() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.runCtx == nil || ms.stopped {
		return
	}
	for _, ta := range ms.targets {
		select {
		case ta.heartbeatNow <- struct{}{}:
		default:
		}
	}
	runCtx := ms.runCtx
	for _, links := range ms.links {
		for _, li := range links {
			if !li.dialled {
				ms.spawn(func() { ms.announce(runCtx, li) })
			}
		}
	}
}

// announce sends a heartbeat over a session that the other host has dialled.
func (ms *Mesh) announce(ctx context.Context, li *link) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	me := li.member()
	payload, err := proto.Marshal(ms.heartbeat(time.Now(), me.Name, me.Zone, confirmHeartbeats+1))
	if err != nil {
		ms.cfg.Log.Error("can't encode heartbeat", "error", err)
		return
	}
	if _, err := li.call(ctx, me.Name, MethodHeartbeat, payload); err != nil {
		ms.cfg.Log.Debug("announcement failed", "peer", me.Name, "error", err)
	}
}

// heartbeat returns the heartbeat to send to a host. Number is that of the
// heartbeat in its session and determines how many other hosts it lists. The
// name and the zone of the recipient are empty until it has responded once.
func (ms *Mesh) heartbeat(now time.Time, recipient, recipientZone string, number int) *wire.Heartbeat {
	hb := &wire.Heartbeat{Self: ms.cfg.Self().ToWire()}
	if recipientZone == ms.zone {
		hb.LeavingEndpoints = rotate(ms.cfg.DrainingEndpoints(), int(ms.gossipPos.Load()), maxDraining)
	}
	limit := laterGossip
	if number <= confirmHeartbeats {
		limit = initialGossip
	} else if number%gossipEvery != 0 {
		limit = 0
	}
	if limit == 0 {
		ms.gossipPos.Add(1)
		return hb
	}
	from := int(ms.gossipPos.Add(int64(limit)))
	ms.mu.Lock()
	others := ms.roster.Gossip(now, recipient, from, limit)
	ms.mu.Unlock()
	for _, me := range others {
		hb.Others = append(hb.Others, me.ToWire())
	}
	return hb
}

// sendHeartbeat sends a heartbeat over a dialled session, processes the response
// and returns the host that sent it. It returns errSelf if that is this host,
// and errIgnored if the roster does not accept it.
func (ms *Mesh) sendHeartbeat(li *link, ta *dialTarget, wr io.Writer, rd *bufio.Reader) (Member, error) {
	number := li.heartbeatCount() + 1
	payload, err := proto.Marshal(ms.heartbeat(time.Now(), ta.name, ta.zone, number))
	if err != nil {
		return Member{}, err
	}
	ca := &wire.Call{Method: MethodHeartbeat, Payload: payload}
	if err := calls.WriteMessage(wr, ca); err != nil {
		return Member{}, merry.Prepend(err, "send heartbeat")
	}
	an := new(wire.Answer)
	if err := calls.ReadMessage(rd, an, maxMessageSize); err != nil {
		return Member{}, merry.Prepend(err, "await heartbeat response")
	}
	if err := calls.ErrorOf(an); err != nil {
		return Member{}, err
	}
	hb := new(wire.Heartbeat)
	if err := proto.Unmarshal(an.GetPayload(), hb); err != nil {
		return Member{}, merry.Prepend(err, "heartbeat response")
	}
	me := MemberFromWire(hb.GetSelf())
	if me.Name == ms.name {
		return Member{}, errSelf
	}
	if !ms.acceptHeartbeat(time.Now(), li, hb) {
		return Member{}, errIgnored
	}
	return me, nil
}

// handleHeartbeat processes a heartbeat and returns the one to respond with. It
// returns BadRequest if the payload is invalid or the roster does not accept the
// heartbeat.
func (ms *Mesh) handleHeartbeat(li *link, payload []byte) ([]byte, error) {
	hb := new(wire.Heartbeat)
	if err := proto.Unmarshal(payload, hb); err != nil {
		return nil, codes.New(codes.BadRequest, "heartbeat: %v", err)
	}
	now := time.Now()
	me := hb.GetSelf()
	if me.GetName() != ms.name && !ms.acceptHeartbeat(now, li, hb) {
		return nil, codes.New(codes.BadRequest, "heartbeat of %s ignored: it has no name or is of an older incarnation, or the roster is full", me.GetName())
	}
	return proto.Marshal(ms.heartbeat(now, me.GetName(), me.GetZone(), li.heartbeatCount()))
}

// acceptHeartbeat records a heartbeat that arrived over a session. It reports
// whether the roster has accepted it, see Ignored; a heartbeat over a session
// that is not confirmed yet does not reach the roster and is accepted.
func (ms *Mesh) acceptHeartbeat(now time.Time, li *link, hb *wire.Heartbeat) bool {
	me := MemberFromWire(hb.GetSelf())
	_, confirmed := li.recordHeartbeat(now, me)
	if confirmed {
		ms.mu.Lock()
		ch := ms.roster.RecordHeartbeat(now, me)
		ms.addTarget(me.PeerAddress, false)
		ms.mu.Unlock()
		if ch == Ignored {
			return false
		}
		ms.logChange(ch, me)
		ms.addLink(li, me)
	}
	ms.mergeGossip(now, hb.GetOthers())
	if names := hb.GetLeavingEndpoints(); len(names) > 0 && me.Zone == ms.zone {
		ms.cfg.OnDrainingEndpoints(names)
	}
	return true
}

// mergeGossip records what another host reports about others, and starts to dial
// those that are new.
func (ms *Mesh) mergeGossip(now time.Time, others []*wire.Member) {
	if len(others) > initialGossip {
		others = others[:initialGossip]
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, wm := range others {
		me := MemberFromWire(wm)
		if ms.roster.RecordGossip(now, me) == Added {
			ms.addTarget(me.PeerAddress, false)
		}
	}
}

func (ms *Mesh) logChange(ch Change, me Member) {
	if ch == Unchanged || ch == Ignored {
		return
	}
	ms.cfg.Log.Info("peer added, changed or recovered", "peer", me.Name, "zone", me.Zone, "address", me.PeerAddress,
		"incarnation", me.Incarnation, "ready", me.Ready, "leaving", me.Draining, "returned", ch == Recovered)
}

// heartbeatCount returns the number of heartbeats received over the session.
func (li *link) heartbeatCount() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.heartbeats
}

// member returns the other host as of its last heartbeat.
func (li *link) member() Member {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.peer
}

// rotate returns at most count of the names, starting at index from and
// continuing with the first name after the last one.
func rotate(names []string, from, count int) []string {
	if len(names) <= count {
		return names
	}
	out := make([]string, 0, count)
	for i := range count {
		out = append(out, names[(from+i)%len(names)])
	}
	return out
}
