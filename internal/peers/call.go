package peers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// outgoingCall is one call over a session. Whoever sets sending first
	// decides: the caller that leaves, or the goroutine that begins to send.
	outgoingCall struct {
		host    string
		call    *wire.Call
		sending atomic.Bool
		result  chan callResult
	}

	callResult struct {
		payload []byte
		err     error
	}
)

// The first byte of a stream says what it carries.
const (
	kindCall = 'c' // calls and their answers, in turn
	kindHTTP = 'h' // a connection of HTTP
)

const (
	maxMessage      = 8 << 20 // bytes, of a call or an answer
	envelopeRoom    = 4 << 10 // bytes, of a message besides its payload
	receiveTimeout  = 30 * time.Second
	defaultCallTime = 60 * time.Second
)

var errNoSession = errors.New("no session with the host")

// Call implements Caller. A call to this host itself is served in place.
func (ms *Mesh) Call(ctx context.Context, host, method string, req, reply proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return &NotSentError{Host: host, Err: err}
	}
	answer, err := ms.callRaw(ctx, host, method, payload)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(answer, reply); err != nil {
		return merry.Prependf(err, "answer of %s to %s", host, method)
	}
	return nil
}

func (ms *Mesh) callRaw(ctx context.Context, host, method string, payload []byte) ([]byte, error) {
	if host == ms.name {
		return ms.dispatch(ctx, ms.name, method, payload)
	}
	li := ms.pick(host)
	if li == nil {
		return nil, &NotSentError{Host: host, Err: errNoSession}
	}
	return li.call(ctx, host, method, payload)
}

// call makes one call over a stream of its own. Each step may block while a
// silent host leaves it unanswered, so a goroutine takes the steps, and the
// caller leaves when ctx ends.
func (li *link) call(ctx context.Context, host, method string, payload []byte) ([]byte, error) {
	if len(payload) > maxMessage-envelopeRoom {
		return nil, &NotSentError{Host: host, Err: merry.Errorf("call of %d bytes exceeds the bound", len(payload))}
	}
	select {
	case li.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &NotSentError{Host: host, Err: ctx.Err()}
	case <-li.sess.CloseChan():
		return nil, &NotSentError{Host: host, Err: errNoSession}
	}
	self := li.mesh.cfg.Self()
	oc := &outgoingCall{
		host: host,
		call: &wire.Call{
			Method: method, From: self.Name, Incarnation: self.Incarnation,
			TimeoutMillis: timeLeft(ctx), Payload: payload,
		},
		result: make(chan callResult, 1),
	}
	go func() {
		defer func() { <-li.slots }()
		li.exchange(ctx, oc)
	}()
	select {
	case re := <-oc.result:
		return re.payload, re.err
	case <-ctx.Done():
		if oc.sending.CompareAndSwap(false, true) {
			return nil, &NotSentError{Host: host, Err: ctx.Err()}
		}
		return nil, oc.unknown(ctx.Err())
	}
}

// exchange opens a stream, sends the call and takes the answer. It sends
// nothing if the caller has left before.
func (li *link) exchange(ctx context.Context, oc *outgoingCall) {
	st, err := li.sess.OpenStream()
	if err != nil {
		oc.result <- callResult{err: &NotSentError{Host: oc.host, Err: err}}
		return
	}
	defer st.Close()
	if !oc.sending.CompareAndSwap(false, true) {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(st, oc.call, kindCall); err != nil {
		oc.result <- callResult{err: oc.unknown(err)}
		return
	}
	an := new(wire.Answer)
	if err := readMessage(bufio.NewReader(st), an); err != nil {
		oc.result <- callResult{err: oc.unknown(err)}
		return
	}
	if an.GetCode() != 0 {
		oc.result <- callResult{err: answerError(an)}
		return
	}
	oc.result <- callResult{payload: an.GetPayload()}
}

// unknown describes a call of which it is open whether it took effect.
func (oc *outgoingCall) unknown(err error) error {
	return merry.Prependf(err, "outcome of %s at %s is unknown", oc.call.GetMethod(), oc.host)
}

// serveStream serves what the other side opened a stream for.
func (li *link) serveStream(ctx context.Context, st *yamux.Stream) {
	var kind [1]byte
	_ = st.SetReadDeadline(time.Now().Add(receiveTimeout))
	if _, err := io.ReadFull(st, kind[:]); err != nil {
		st.Close()
		return
	}
	switch kind[0] {
	case kindCall:
		li.serveCalls(ctx, st)
		st.Close()
	case kindHTTP:
		_ = st.SetReadDeadline(time.Time{})
		li.mesh.http.offer(ctx, li.mesh.countHTTP(st))
	default:
		li.mesh.cfg.Log.Warn("stream of an unknown kind", "peer", li.name(), "kind", int(kind[0]))
		st.Close()
	}
}

// serveCalls answers calls one after another until the other side closes.
func (li *link) serveCalls(ctx context.Context, st *yamux.Stream) {
	rd := bufio.NewReader(st)
	for {
		ca := new(wire.Call)
		if err := readMessage(rd, ca); err != nil {
			return
		}
		an := li.answer(ctx, ca)
		_ = st.SetWriteDeadline(time.Now().Add(receiveTimeout))
		if err := writeMessage(st, an); err != nil {
			li.mesh.cfg.Log.Debug("answer was not sent", "peer", ca.GetFrom(), "method", ca.GetMethod(), "error", err)
			return
		}
		_ = st.SetReadDeadline(time.Time{}) // the watchdog ends a silent session
	}
}

func (li *link) answer(ctx context.Context, ca *wire.Call) *wire.Answer {
	var payload []byte
	var err error
	if ca.GetMethod() == MethodHeartbeat {
		payload, err = li.mesh.answerBeat(li, ca.GetPayload())
	} else {
		left := time.Duration(ca.GetTimeoutMillis()) * time.Millisecond
		if left <= 0 {
			left = defaultCallTime
		}
		cctx, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		payload, err = li.mesh.dispatch(cctx, ca.GetFrom(), ca.GetMethod(), ca.GetPayload())
	}
	if err == nil && len(payload) > maxMessage-envelopeRoom {
		err = codes.New(codes.InternalFailure, "answer of %d bytes exceeds the bound", len(payload))
	}
	if err != nil {
		ce := codes.Of(err)
		return &wire.Answer{
			Code: int32(ce.Code), Detail: ce.Detail,
			RetryAfterMillis: ce.RetryAfter.Milliseconds(),
		}
	}
	return &wire.Answer{Payload: payload}
}

// dispatch runs the handler of a method. A handler that panics fails its own
// call only.
func (ms *Mesh) dispatch(ctx context.Context, from, method string, payload []byte) (answer []byte, err error) {
	ms.hmu.RLock()
	fn := ms.handlers[method]
	ms.hmu.RUnlock()
	if fn == nil {
		return nil, codes.New(codes.PathNotFound, "method %q", method)
	}
	defer func() {
		if cause := recover(); cause != nil {
			ms.cfg.Log.Error("handler has panicked", "method", method, "cause", cause, "stack", string(debug.Stack()))
			answer, err = nil, codes.New(codes.InternalFailure, "handler of %s has panicked", method)
		}
	}()
	answer, err = fn(ctx, from, payload)
	if err != nil {
		return nil, codes.Of(err)
	}
	return answer, nil
}

func answerError(an *wire.Answer) *codes.Error {
	return &codes.Error{
		Code: codes.Code(an.GetCode()), Detail: an.GetDetail(),
		RetryAfter: time.Duration(an.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// timeLeft returns what is left until the deadline of ctx in milliseconds, at
// least one, and zero if there is none.
func timeLeft(ctx context.Context) int64 {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(at).Milliseconds(), 1)
}

// writeMessage writes a message in one piece, behind prefix.
func writeMessage(wr io.Writer, msg proto.Message, prefix ...byte) error {
	buf := sliceWriter(prefix)
	if _, err := protodelim.MarshalTo(&buf, msg); err != nil {
		return err
	}
	_, err := wr.Write(buf)
	return err
}

func readMessage(rd *bufio.Reader, msg proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(rd, msg)
}

// sliceWriter collects what is written.
type sliceWriter []byte

// Write implements io.Writer.
func (sw *sliceWriter) Write(data []byte) (int, error) {
	*sw = append(*sw, data...)
	return len(data), nil
}
