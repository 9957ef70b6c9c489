package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

// callKind is a kind of call: its name in metrics and errors.
type callKind string

const (
	kindGet    callKind = "get"
	kindList   callKind = "list"
	kindSwap   callKind = "swap"
	kindGrant  callKind = "grant"
	kindRenew  callKind = "renew"
	kindRevoke callKind = "revoke"
	kindWatch  callKind = "watch"
	kindCommit callKind = "commit"
)

// noReplyError returns the error of a call that was sent and got no reply. A
// read has no effect, so its error is ErrUnavailable.
func (ck callKind) noReplyError() error {
	switch ck {
	case kindGet, kindList, kindWatch:
		return ErrUnavailable
	default:
		return ErrOutcomeUnknown
	}
}

// countCall counts a call when it is made, whatever its result.
func (ck callKind) countCall() {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cicadawharf_store_calls_total{kind=%q}`, string(ck))).Inc()
}

// recordFailure counts a failed call and returns its error.
func (ck callKind) recordFailure(err error) error {
	ck.countFailure(err)
	return err
}

func (ck callKind) countFailure(err error) {
	name := fmt.Sprintf(`cicadawharf_store_failures_total{kind=%q,cause=%q}`, string(ck), causeLabel(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// causeLabel returns the value of the metric label cause.
func causeLabel(err error) string {
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return "lost"
	case errors.Is(err, ErrLeaseExpired):
		return "lapsed"
	case errors.Is(err, ErrTooLarge):
		return "tooLarge"
	default:
		return "unavailable"
	}
}

// send makes one HTTP request, of which the caller must close the response body.
// It tries the next address only if nothing was sent, which is certain if no
// connection was obtained.
//
// The transport is used without http.Client, so redirects aren't followed. The
// transport itself retries a request in two cases, both only on a reused
// connection: when the request is idempotent or has an idempotency key, and when
// no byte of it was written and GetBody is set. Calls are POST requests with
// neither, so the transport never retries them.
func (cl *Client) send(ctx context.Context, ck callKind, path string, msg any) (*http.Response, error) {
	body, err := json.Marshal(msg)
	if err != nil {
		return nil, wrap(ErrUnavailable, ck, err)
	}
	ck.countCall()
	cause := errors.New("no address is configured")
	first := int(cl.preferred.Load())
	for i := range cl.addresses {
		idx := (first + i) % len(cl.addresses)
		res, connected, err := cl.sendTo(ctx, cl.addresses[idx], path, body)
		if err == nil {
			cl.preferred.CompareAndSwap(uint32(first), uint32(idx))
			return res, nil
		}
		cause = err
		if connected {
			cl.failOver()
			return nil, ck.recordFailure(wrap(ck.noReplyError(), ck, err))
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, ck.recordFailure(wrap(ErrUnavailable, ck, cause))
}

// sendTo makes one HTTP request to one address and reports whether it obtained a
// connection. Without a connection, nothing was sent.
func (cl *Client) sendTo(ctx context.Context, address, path string, body []byte) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	res, err := cl.transport.RoundTrip(req)
	return res, connected.Load(), err
}

// classify returns the error for a response with a status other than 200. After
// a client error, or a message that names the reason, a write had no effect;
// after any other status its outcome is unknown.
func classify(ck callKind, status int, ke kvapi.Error) error {
	cause := fmt.Errorf("status %d, code %d: %s", status, ke.Code, ke.Message)
	if status == http.StatusForbidden {
		return wrap(ErrUnavailable, ck, fmt.Errorf("%w: %w", ErrForbidden, cause))
	}
	switch {
	case strings.Contains(ke.Message, kvapi.MessageLeaseNotFound):
		return wrap(ErrLeaseExpired, ck, cause)
	case strings.Contains(ke.Message, kvapi.MessageTooLarge):
		return wrap(ErrTooLarge, ck, cause)
	case status >= http.StatusInternalServerError:
		return wrap(ck.noReplyError(), ck, cause)
	case status < http.StatusBadRequest:
		return wrap(ck.noReplyError(), ck, cause)
	default:
		return wrap(ErrUnavailable, ck, cause)
	}
}

// decodeError decodes the body of an error response. If the body is malformed, the
// message is its beginning.
func decodeError(data []byte) kvapi.Error {
	var ke kvapi.Error
	if err := json.Unmarshal(data, &ke); err != nil {
		ke.Message = string(data[:min(len(data), 200)])
	}
	return ke
}

// drain reads the rest of a body, up to maxHeaderBytes, and closes it, so that its
// connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxHeaderBytes)
	_ = body.Close()
}
