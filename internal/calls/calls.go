// Package calls makes calls over yamux sessions with protobuf messages: each
// call and its answer have a stream of their own.
package calls

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"strings"
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
	// NotSentError says that a call did not reach the other host.
	NotSentError struct {
		Host string
		Err  error
	}

	// Call is one call to another host.
	Call struct {
		Session     *yamux.Session
		Host        string // for errors
		Message     *wire.Call
		Prefix      []byte // written to the stream before the message
		MaxResponse int    // bytes, of the answer
		Done        func() // called once nothing of the call is in progress, which may be after Do has returned
	}

	// outgoing is a call in progress. Whoever sets sending first decides: the
	// caller that leaves, or the goroutine that begins to send.
	outgoing struct {
		Call
		sending atomic.Bool
		result  chan result
	}

	result struct {
		payload []byte
		err     error
	}

	// yamuxLogger passes the lines of yamux on.
	yamuxLogger struct {
		log *slog.Logger
	}

	// sliceWriter collects what is written.
	sliceWriter []byte
)

const (
	writeTimeout = time.Second
	closeTimeout = 30 * time.Second
)

// SessionConfig returns the settings of a yamux session without its own keep-alive.
func SessionConfig(log *slog.Logger) *yamux.Config {
	yc := yamux.DefaultConfig()
	yc.EnableKeepAlive = false
	yc.ConnectionWriteTimeout = writeTimeout
	yc.StreamOpenTimeout = 0
	yc.StreamCloseTimeout = closeTimeout
	yc.LogOutput = nil
	yc.Logger = yamuxLogger{log: log}
	return yc
}

// Do makes the call and returns the payload of its answer. The error is a
// *codes.Error if the other host answered with a code, and a *NotSentError if
// the call provably did not reach it; any other error leaves open whether it
// took effect. Each step may block while a silent host leaves it unanswered, so
// a goroutine takes the steps, and the caller leaves when ctx ends.
func (ca Call) Do(ctx context.Context) ([]byte, error) {
	og := &outgoing{Call: ca, result: make(chan result, 1)}
	go func() {
		defer ca.Done()
		og.exchange(ctx)
	}()
	select {
	case re := <-og.result:
		return re.payload, re.err
	case <-ctx.Done():
		if og.sending.CompareAndSwap(false, true) {
			return nil, &NotSentError{Host: ca.Host, Err: ctx.Err()}
		}
		return nil, og.outcomeUnknown(ctx.Err())
	}
}

// exchange opens a stream, sends the call and takes the answer. It sends
// nothing if the caller has left before.
func (og *outgoing) exchange(ctx context.Context) {
	st, err := og.Session.OpenStream()
	if err != nil {
		og.result <- result{err: &NotSentError{Host: og.Host, Err: err}}
		return
	}
	defer st.Close()
	if !og.sending.CompareAndSwap(false, true) {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := WriteMessage(st, og.Message, og.Prefix...); err != nil {
		og.result <- result{err: og.outcomeUnknown(err)}
		return
	}
	an := new(wire.Answer)
	if err := ReadMessage(bufio.NewReader(st), an, og.MaxResponse); err != nil {
		og.result <- result{err: og.outcomeUnknown(err)}
		return
	}
	og.result <- result{payload: an.GetPayload(), err: ErrorOf(an)}
}

// outcomeUnknown describes a call of which it is open whether it took effect.
func (og *outgoing) outcomeUnknown(err error) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.PrependMessagef("outcome of %s at %s is unknown", og.Message.GetMethod(), og.Host))
}

// NewAnswer returns the message of a call's outcome.
func NewAnswer(payload []byte, err error) *wire.Answer {
	if err == nil {
		return &wire.Answer{Payload: payload}
	}
	ce := codes.Of(err)
	return &wire.Answer{
		Code: int32(ce.Code), Detail: ce.Detail, RetryAfterMillis: ce.RetryAfter.Milliseconds(),
	}
}

// ErrorOf returns the error that an answer carries, nil if it is a success.
func ErrorOf(an *wire.Answer) error {
	if an.GetCode() == 0 {
		return nil
	}
	return &codes.Error{
		Code: codes.Code(an.GetCode()), Detail: an.GetDetail(),
		RetryAfter: time.Duration(an.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// TimeoutMillis returns what is left until the deadline of ctx in milliseconds, at
// least one, and zero if there is none.
func TimeoutMillis(ctx context.Context) int64 {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(at).Milliseconds(), 1)
}

// WriteMessage writes a message in one piece, behind prefix.
func WriteMessage(wr io.Writer, msg proto.Message, prefix ...byte) error {
	buf := sliceWriter(prefix)
	if _, err := protodelim.MarshalTo(&buf, msg); err != nil {
		return err
	}
	_, err := wr.Write(buf)
	return err
}

// ReadMessage reads a message of at most so many bytes.
func ReadMessage(rd *bufio.Reader, msg proto.Message, maxSize int) error {
	return protodelim.UnmarshalOptions{MaxSize: int64(maxSize)}.UnmarshalFrom(rd, msg)
}

// Write implements io.Writer.
func (sw *sliceWriter) Write(data []byte) (int, error) {
	*sw = append(*sw, data...)
	return len(data), nil
}

// Error implements error.
func (ns *NotSentError) Error() string {
	return "call to " + ns.Host + " was not sent: " + ns.Err.Error()
}

// Unwrap returns the cause.
func (ns *NotSentError) Unwrap() error { return ns.Err }

// Print implements yamux.Logger.
func (yl yamuxLogger) Print(args ...any) { yl.logLine("session event", args...) }

// Printf implements yamux.Logger.
func (yl yamuxLogger) Printf(format string, args ...any) { yl.logLine(format, args...) }

// Println implements yamux.Logger.
func (yl yamuxLogger) Println(args ...any) { yl.logLine("session event", args...) }

// logLine writes an event of yamux at debug level: a session that ends is
// reported by whoever uses it.
func (yl yamuxLogger) logLine(format string, args ...any) {
	yl.log.Debug("yamux", "event", strings.TrimPrefix(format, "[ERR] yamux: "), "args", args)
}
