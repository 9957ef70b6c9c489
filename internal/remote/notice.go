package remote

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	// methodNotice is the method of a notice in wire.Call.
	methodNotice = "notice"
	// noticeTimeout limits sending one notice. After that, the leader's watch has
	// probably reported the write.
	noticeTimeout = 500 * time.Millisecond
	// maxNotices limits the notices that are being sent. Others are dropped.
	maxNotices = 16
)

// Notify sends a notice to the host at an address, without waiting for it. A
// notice that can't be sent is dropped.
func (pe *Peer) Notify(address string, no batch.Notice) {
	if pe.notices.Add(1) > maxNotices {
		pe.notices.Add(-1)
		countNotice(forwarder, "dropped")
		return
	}
	go func() {
		defer pe.notices.Add(-1)
		if err := pe.sendNotice(address, no); err != nil {
			countNotice(forwarder, "failed")
			pe.cfg.Log.Debug("notice was not delivered", "event", "noticeFails", "to", address, "reason", err)
			return
		}
		countNotice(forwarder, "delivered")
	}()
}

func (pe *Peer) sendNotice(address string, no batch.Notice) error {
	payload, err := json.Marshal(no)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	li, err := pe.pool.get(ctx, address)
	if err != nil {
		return err
	}
	msg := &wire.Call{
		Method: methodNotice, From: pe.cfg.Self.Name, Incarnation: uint64(pe.cfg.Self.Started),
		TimeoutMillis: noticeTimeout.Milliseconds(), Payload: payload,
	}
	_, err = calls.Call{
		Session: li.sess, Host: address, Message: msg, MaxResponse: maxMessageSize,
		Done: func() { pe.pool.release(li) },
	}.Do(ctx)
	if oc := classify(Lookup, err); oc == noResponse || oc == unreachable {
		pe.pool.retire(li)
	}
	return err
}

// receiveNotice passes a notice of another host to the scheduler. The code of the
// error is NotReady if this host is not the leader.
func (pe *Peer) receiveNotice(payload []byte) error {
	var no batch.Notice
	if err := json.Unmarshal(payload, &no); err != nil {
		return codes.New(codes.BadRequest, "notice: %v", err)
	}
	if no.Job == nil && no.Cancelled == "" {
		return codes.New(codes.BadRequest, "the notice names no job")
	}
	if no.Job != nil {
		if err := no.Job.Validate(); err != nil {
			return codes.New(codes.BadRequest, "job of a notice: %v", err)
		}
	}
	if pe.cfg.Deliver == nil || !pe.cfg.Deliver(no) {
		countNotice(receiver, "refused")
		return codes.New(codes.NotReady, "this host is not the leader")
	}
	countNotice(receiver, "delivered")
	return nil
}

// countNotice counts one notice that this host has sent or received.
func countNotice(ro role, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_remote_notices_total{role=%q,outcome=%q}", ro, result)).Inc()
}
