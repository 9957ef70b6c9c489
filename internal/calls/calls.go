// Package calls makes calls with protobuf messages over yamux sessions. Each
// call and its response have their own stream.
package calls

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
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
	// NotSentError reports that a call did not reach the other host.
	NotSentError struct {
		Host string
		Err  error
	}

	// Call is a call to another host.
	Call struct {
		Session     *yamux.Session
		Host        string // its name, for errors
		Message     *wire.Call
		Prefix      []byte // written to the stream before the message
		MaxResponse int    // maximum size of the response, in bytes
		Done        func() // called once Session is not in use any more, possibly after Do has returned
	}

	// outgoing is a call in progress.
	outgoing struct {
		Call
		// decided is set by Do when the caller gives up, or by exchange when it starts
		// to send. Whichever sets it first decides whether the call is sent.
		decided atomic.Bool
		result  chan result // receives one result, unless the caller gives up before the call is sent
	}

	// result is the result of a call, as Do returns it.
	result struct {
		payload []byte
		err     error
	}

	// yamuxLogger forwards the log lines of yamux.
	yamuxLogger struct {
		log *slog.Logger
	}

	// sliceWriter collects the written bytes.
	sliceWriter []byte
)

const (
	partBytes = 64 << 10 // of a message, for which room is reserved at a time
	// messageFactor is what a message takes up with the growth of its buffer and its
	// decoded form, divided by its size.
	messageFactor = 3

	writeTimeout   = time.Second // of a write to the connection of a session
	discardTimeout = 500 * time.Millisecond
	closeTimeout   = 30 * time.Second // from when this host closes a stream until the other host closes it
)

// SessionConfig returns the configuration of a yamux session without
// keep-alives. Its log lines go to log at debug level.
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

// Do makes the call and returns the payload of the response. The error is a
// *codes.Error if the other host responded with a code, and a *NotSentError if
// the call provably did not reach it. After any other error, the outcome is
// unknown. Opening, writing and reading may block while the other host is
// unresponsive, so they run in a goroutine, and Do returns at the latest when
// ctx ends.
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
		if og.decided.CompareAndSwap(false, true) {
			return nil, &NotSentError{Host: ca.Host, Err: ctx.Err()}
		}
		return nil, og.outcomeUnknown(ctx.Err())
	}
}

// exchange opens a stream, sends the call and reads the response. It sends
// nothing if the caller has given up by then.
func (og *outgoing) exchange(ctx context.Context) {
	st, err := og.Session.OpenStream()
	if err != nil {
		og.result <- result{err: &NotSentError{Host: og.Host, Err: err}}
		return
	}
	defer st.Close()
	if !og.decided.CompareAndSwap(false, true) {
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

// outcomeUnknown returns the error of a call that may or may not have taken
// effect.
func (og *outgoing) outcomeUnknown(err error) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.PrependMessagef("outcome of %s at %s is unknown", og.Message.GetMethod(), og.Host))
}

// Discard discards what has arrived on a stream that this host has closed, and what the
// other host sends within discardTimeout. Otherwise yamux keeps that until closeTimeout
// has passed, even if the session ends before.
func Discard(st *yamux.Stream) {
	_ = st.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, st)
	st.Shrink()
}

// NewAnswer returns the response message for the outcome of a call: the payload
// if err is nil, and otherwise the code of err as given by codes.Of.
func NewAnswer(payload []byte, err error) *wire.Answer {
	if err == nil {
		return &wire.Answer{Payload: payload}
	}
	ce := codes.Of(err)
	return &wire.Answer{
		Code: int32(ce.Code), Detail: ce.Detail, RetryAfterMillis: ce.RetryAfter.Milliseconds(),
	}
}

// ErrorOf returns the error of a response, a *codes.Error, or nil if the call
// succeeded.
func ErrorOf(an *wire.Answer) error {
	if an.GetCode() == 0 {
		return nil
	}
	return &codes.Error{
		Code: codes.Code(an.GetCode()), Detail: an.GetDetail(),
		RetryAfter: time.Duration(an.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// TimeoutMillis returns the time until the deadline of ctx in milliseconds, at
// least one, or zero if there is no deadline.
func TimeoutMillis(ctx context.Context) int64 {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(at).Milliseconds(), 1)
}

// WriteMessage writes prefix and then a message with its length, in a single
// call of Write.
func WriteMessage(wr io.Writer, msg proto.Message, prefix ...byte) error {
	buf := sliceWriter(prefix)
	if _, err := protodelim.MarshalTo(&buf, msg); err != nil {
		return err
	}
	_, err := wr.Write(buf)
	return err
}

// ReadMessage reads a message written by WriteMessage. It returns an error if
// the message has more than maxSize bytes. Memory is taken for what has arrived, not
// for the size that is announced.
func ReadMessage(rd *bufio.Reader, msg proto.Message, maxSize int) error {
	return ReadMessageInto(rd, msg, maxSize, func(int64) error { return nil })
}

// ReadMessageInto is like ReadMessage, and reserves room for a part of the message and
// for its decoding before it reads the part. It returns the error of reserve, if any.
func ReadMessageInto(rd *bufio.Reader, msg proto.Message, maxSize int, reserve func(bytes int64) error) error {
	size, err := binary.ReadUvarint(rd)
	if err != nil {
		return err
	}
	if size > uint64(maxSize) {
		return merry.Errorf("the message has %d bytes, the limit is %d", size, maxSize)
	}
	var buf bytes.Buffer
	for left := int64(size); left > 0; {
		part := min(left, partBytes)
		if err := reserve(messageFactor * part); err != nil {
			return err
		}
		if _, err := io.CopyN(&buf, rd, part); err != nil {
			return unexpectedEOF(err)
		}
		left -= part
	}
	return proto.Unmarshal(buf.Bytes(), msg)
}

// unexpectedEOF returns the error for the end of the input within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
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

// Unwrap returns the underlying error.
func (ns *NotSentError) Unwrap() error { return ns.Err }

// Print implements yamux.Logger.
func (yl yamuxLogger) Print(args ...any) { yl.logLine("session event", args...) }

// Printf implements yamux.Logger.
func (yl yamuxLogger) Printf(format string, args ...any) { yl.logLine(format, args...) }

// Println implements yamux.Logger.
func (yl yamuxLogger) Println(args ...any) { yl.logLine("session event", args...) }

// logLine logs an event of yamux. Debug level is enough, because the users of a
// session report its end.
func (yl yamuxLogger) logLine(format string, args ...any) {
	yl.log.Debug("yamux", "event", strings.TrimPrefix(format, "[ERR] yamux: "), "args", args)
}
