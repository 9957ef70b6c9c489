package remote

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	maxSessions      = 64 // opened by other hosts
	acceptRetryDelay = 50 * time.Millisecond
	// readTimeout limits the arrival of a call after its stream was opened, and
	// writeTimeout the sending of its response.
	readTimeout  = 500 * time.Millisecond
	writeTimeout = 500 * time.Millisecond
	// storeRetryAfter is the retry delay returned for a forwarded call if this host
	// can't reach the store either.
	storeRetryAfter = time.Second
	// maxCallTime limits the time that a forwarded call may request.
	maxCallTime = 5 * time.Second
)

// serve accepts sessions of other hosts until ctx ends. Sessions that are open
// then remain open until Close, but new calls over them are refused.
func (pe *Peer) serve(ctx context.Context, ln net.Listener, ha Handler) error {
	stop := context.AfterFunc(ctx, func() {
		pe.limiter.stop()
		ln.Close()
	})
	defer stop()
	slots := make(chan struct{}, maxSessions)
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			pe.cfg.Log.Warn("can't accept from other hosts", "event", "acceptFails", "reason", err)
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				pe.serveConn(conn, ha)
			}()
		default:
			conn.Close()
		}
	}
}

// serveConn serves the calls on one connection.
func (pe *Peer) serveConn(conn net.Conn, ha Handler) {
	ic := &inboundConn{Conn: conn, pe: pe}
	sess, err := yamux.Server(ic, calls.SessionConfig(pe.cfg.Log))
	if err != nil {
		conn.Close()
		return
	}
	defer sess.Close()
	ic.sess.Store(sess)
	pe.inbound.add(sess)
	defer pe.inbound.remove(sess)
	stop := context.AfterFunc(pe.sessionsCtx, func() { sess.Close() })
	defer stop()
	for {
		st, err := sess.AcceptStream()
		if err != nil {
			return
		}
		if worst := pe.inbound.excess(); worst != nil {
			pe.logExcess(worst)
			worst.Close()
			if worst == sess {
				continue
			}
		}
		if err := pe.limiter.beginForwarded(); err != nil {
			countCall(receiver, "", refused)
			pe.respond(st, nil, err)
			continue
		}
		go func() {
			defer pe.limiter.endForwarded()
			pe.serveCall(st, ha)
		}()
	}
}

// respond sends the payload or the error of a call and closes its stream.
func (pe *Peer) respond(st *yamux.Stream, payload []byte, err error) {
	defer closeStream(st)
	_ = st.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := calls.WriteMessage(st, calls.NewAnswer(payload, err)); err != nil {
		pe.cfg.Log.Debug("response was not sent", "event", "answerLost", "reason", err)
	}
}

func closeStream(st *yamux.Stream) {
	st.Close()
	go calls.Discard(st)
}

// serveCall reads and handles one call. It continues when the session ends, so
// that a call that has begun is completed.
func (pe *Peer) serveCall(st *yamux.Stream, ha Handler) {
	_ = st.SetReadDeadline(time.Now().Add(readTimeout))
	msg := new(wire.Call)
	if err := calls.ReadMessage(bufio.NewReader(st), msg, maxMessageSize); err != nil {
		closeStream(st)
		return
	}
	if msg.GetMethod() == methodNotice {
		pe.respond(st, nil, pe.receiveNotice(msg.GetPayload()))
		return
	}
	began := time.Now()
	timeout := min(max(time.Duration(msg.GetTimeoutMillis())*time.Millisecond, 0), maxCallTime)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	rq, re, err := pe.process(ctx, msg, ha)
	oc := classify(rq.Call.Op, err)
	countCall(receiver, rq.Cause, oc)
	args := []any{
		"event", "served", "job", rq.Call.Job, "op", rq.Call.Op, "cause", rq.Cause,
		"from", msg.GetFrom(), "outcome", oc, "took", time.Since(began).Round(time.Millisecond),
	}
	if err != nil {
		args = append(args, "reason", err.Error())
	}
	pe.cfg.Log.Info("forwarded call served", args...)
	rp := response{Result: re}
	if rq.WantMembers {
		rp.Members = append(pe.Members(), pe.cfg.Self)
	}
	payload, encodeErr := json.Marshal(rp)
	if err == nil {
		err = encodeErr
	}
	pe.respond(st, payload, err)
}

// process decodes a forwarded call and handles it, or refuses it right away if
// this host can't reach the store.
func (pe *Peer) process(ctx context.Context, msg *wire.Call, ha Handler) (request, Result, error) {
	var rq request
	if msg.GetMethod() != methodForwarded {
		return rq, Result{}, codes.New(codes.PathNotFound, "method %q", msg.GetMethod())
	}
	if err := json.Unmarshal(msg.GetPayload(), &rq); err != nil {
		return rq, Result{}, codes.New(codes.BadRequest, "%v", merry.Prepend(err, "forwarded call"))
	}
	if !rq.Cause.Known() {
		rq.Cause = "" // the cause is a label of a metric, whose values must be few
	}
	if !pe.cfg.StoreReachable() {
		return rq, Result{}, codes.New(codes.StoreUnavailable, "the host that the call was forwarded to can't reach the store either").WithRetryAfter(storeRetryAfter)
	}
	re, err := pe.callHandler(ctx, rq.Call, ha)
	return rq, re, err
}

// callHandler runs the handler. If the handler panics, only its own call fails,
// with InternalFailure.
func (pe *Peer) callHandler(ctx context.Context, ca Call, ha Handler) (re Result, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			pe.cfg.Log.Error("handler panicked", "event", "panic", "job", ca.Job, "cause", cause, "stack", string(debug.Stack()))
			err = codes.New(codes.InternalFailure, "the handler panicked")
		}
	}()
	return ha.HandleForwarded(ctx, ca)
}
