package peers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// The first byte of a stream identifies its protocol.
const (
	kindCall = 'c' // calls and their responses, in alternation
	kindHTTP = 'h' // an HTTP connection
)

const (
	maxMessageSize     = 8 << 20          // bytes, of a call or a response
	maxFirstCallSize   = 64 << 10         // bytes, of the first heartbeat of a session
	freeCallBytes      = 48 << 10         // for which no room is reserved, so that heartbeats arrive beside a crowd
	envelopeSize       = 4 << 10          // bytes, at most, of a message in addition to its payload
	streamTimeout      = 30 * time.Second // for the first call after a stream was opened, and for writing a response
	defaultCallTimeout = 60 * time.Second // of a handler, if the call has no timeout
)

var errNoSession = errors.New("no session with the host")

// Call implements Caller. A call to this host itself is handled without a
// session.
func (ms *Mesh) Call(ctx context.Context, host, method string, req, reply proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return &NotSentError{Host: host, Err: err}
	}
	response, err := ms.callRaw(ctx, host, method, payload)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(response, reply); err != nil {
		return merry.Prependf(err, "response of %s to %s", host, method)
	}
	return nil
}

func (ms *Mesh) callRaw(ctx context.Context, host, method string, payload []byte) ([]byte, error) {
	if host == ms.name {
		return ms.dispatch(ctx, ms.name, method, payload)
	}
	li := ms.pickLink(host)
	if li == nil {
		return nil, &NotSentError{Host: host, Err: errNoSession}
	}
	return li.call(ctx, host, method, payload)
}

// call makes one call over its own stream, once one of the session's call slots
// is free. It returns errors as Caller does.
func (li *link) call(ctx context.Context, host, method string, payload []byte) ([]byte, error) {
	if len(payload) > maxMessageSize-envelopeSize {
		return nil, &NotSentError{Host: host, Err: merry.Errorf("call of %d bytes exceeds the limit", len(payload))}
	}
	select {
	case li.callSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, &NotSentError{Host: host, Err: ctx.Err()}
	case <-li.sess.CloseChan():
		return nil, &NotSentError{Host: host, Err: errNoSession}
	}
	self := li.mesh.cfg.Self()
	return calls.Call{
		Session: li.sess, Host: host, Prefix: []byte{kindCall}, MaxResponse: maxMessageSize,
		Message: &wire.Call{
			Method: method, From: self.Name, Incarnation: self.Incarnation,
			TimeoutMillis: calls.TimeoutMillis(ctx), Payload: payload,
		},
		Done: func() { <-li.callSlots },
	}.Do(ctx)
}

// serveStream serves a stream that the other host has opened, by the protocol
// that its first byte names.
func (li *link) serveStream(ctx context.Context, st *yamux.Stream) {
	var kind [1]byte
	_ = st.SetReadDeadline(time.Now().Add(streamTimeout))
	if _, err := io.ReadFull(st, kind[:]); err != nil {
		st.Close()
		return
	}
	switch {
	case kind[0] == kindCall:
		li.serveCalls(ctx, st)
		st.Close()
		calls.Discard(st)
	case kind[0] == kindHTTP && !li.isHeard():
		li.reject("an HTTP stream was opened before a heartbeat")
	case kind[0] == kindHTTP:
		_ = st.SetReadDeadline(time.Time{})
		li.mesh.http.enqueue(ctx, &servedStream{Conn: li.mesh.withHTTPCounter(st), st: st, li: li})
	default:
		li.mesh.cfg.Log.Warn("stream of unknown kind closed", "peer", li.name(), "kind", int(kind[0]))
		st.Close()
	}
}

// serveCalls handles calls one after another until the other host closes the
// stream.
func (li *link) serveCalls(ctx context.Context, st *yamux.Stream) {
	rd := bufio.NewReader(st)
	for li.serveCall(ctx, st, rd) {
		_ = st.SetReadDeadline(time.Time{}) // link.expire closes an unresponsive session
		li.quiet.Add(1)
		_, err := rd.Peek(1)
		li.quiet.Add(-1)
		if err != nil {
			return
		}
		_ = st.SetReadDeadline(time.Now().Add(streamTimeout))
	}
}

// serveCall handles one call and reports whether its response was sent. Room for the
// call is held until then.
func (li *link) serveCall(ctx context.Context, st *yamux.Stream, rd *bufio.Reader) bool {
	var held int64
	defer func() { li.mesh.cfg.Room.Release(held) }()
	rctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	ca := new(wire.Call)
	err := calls.ReadMessageInto(rd, ca, li.maxCallSize(), func(bytes int64) error {
		if bytes <= freeCallBytes {
			return nil
		}
		err := li.mesh.cfg.Room.Reserve(rctx, bytes)
		if err == nil {
			held += bytes
		}
		return err
	})
	if err != nil {
		return false
	}
	if ca.GetMethod() != MethodHeartbeat && !li.isHeard() {
		li.reject("a call was made before a heartbeat")
		return false
	}
	li.quiet.Add(1)
	an := li.respond(ctx, ca)
	li.quiet.Add(-1)
	_ = st.SetWriteDeadline(time.Now().Add(streamTimeout))
	if err := calls.WriteMessage(st, an); err != nil {
		li.mesh.cfg.Log.Debug("response was not sent", "peer", ca.GetFrom(), "method", ca.GetMethod(), "error", err)
		return false
	}
	return true
}

// maxCallSize returns the largest size of a call, in bytes.
func (li *link) maxCallSize() int {
	if !li.isHeard() {
		return maxFirstCallSize
	}
	return maxMessageSize
}

// respond handles one call and returns its response.
func (li *link) respond(ctx context.Context, ca *wire.Call) *wire.Answer {
	var payload []byte
	var err error
	if ca.GetMethod() == MethodHeartbeat {
		payload, err = li.mesh.handleHeartbeat(li, ca.GetPayload())
	} else {
		left := time.Duration(ca.GetTimeoutMillis()) * time.Millisecond
		if left <= 0 {
			left = defaultCallTimeout
		}
		cctx, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		payload, err = li.mesh.dispatch(cctx, ca.GetFrom(), ca.GetMethod(), ca.GetPayload())
	}
	if err == nil && len(payload) > maxMessageSize-envelopeSize {
		err = codes.New(codes.InternalFailure, "response of %d bytes exceeds the limit", len(payload))
	}
	return calls.NewAnswer(payload, err)
}

// dispatch runs the handler of a method and returns the encoded response. Its
// errors are *codes.Error. If the handler panics, only its own call fails, with
// InternalFailure.
func (ms *Mesh) dispatch(ctx context.Context, from, method string, payload []byte) (response []byte, err error) {
	ms.handlersMu.RLock()
	fn := ms.handlers[method]
	ms.handlersMu.RUnlock()
	if fn == nil {
		return nil, codes.New(codes.PathNotFound, "method %q", method)
	}
	defer func() {
		if cause := recover(); cause != nil {
			ms.cfg.Log.Error("handler panicked", "method", method, "cause", cause, "stack", string(debug.Stack()))
			response, err = nil, codes.New(codes.InternalFailure, "handler of %s has panicked", method)
		}
	}()
	response, err = fn(ctx, from, payload)
	if err != nil {
		return nil, codes.Of(err)
	}
	return response, nil
}
