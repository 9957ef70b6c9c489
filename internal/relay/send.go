package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/plat"
)

type (
	// Request is a request for an endpoint. Its Header is not modified.
	Request struct {
		ID         string // sent as a header; a response with another ID is rejected
		Method     string
		Target     string // path and query, as in the request line
		Host       string
		Header     http.Header
		Body       []byte
		Repeatable bool
	}

	// Response is the response of an endpoint. It must be closed.
	Response struct {
		Status   int
		Header   http.Header // without hop-by-hop headers
		Length   int64       // of the body; negative if unknown
		Draining bool        // the response says that the endpoint is draining
		HasState bool        // the response gave the endpoint's state

		ctx      context.Context
		po       *Pool
		cc       *clientConn
		body     io.ReadCloser
		reusable bool  // the connection can be reused once the whole body has been read
		read     int64 // bytes of the body read so far
		err      error // of further reads, once the response has ended
	}
)

const (
	maxRefusalBody = 4 << 10 // maximum bytes read of a refusal's body
	maxStatus      = 999
)

// errInvalidResponse is the error of a response with an informational or invalid
// status, or whose end can't be told from a truncation.
var errInvalidResponse = errors.New("the response has an invalid status, or neither a length nor chunks")

// Send sends a request once and returns the response as soon as its headers
// have arrived. The class of a Failure's code says whether the request ran.
func (po *Pool) Send(ctx context.Context, rq Request) (*Response, *Failure) {
	maxAge := po.cfg.MaxResponseAge
	if rq.Repeatable {
		maxAge = max(maxAge, repeatableMaxResponseAge)
	}
	cc, fa := po.acquire(ctx, maxAge)
	if fa != nil {
		return nil, fa
	}
	po.mu.Lock()
	cc.lastRequest = time.Now()
	po.inFlight[cc] = rq.Repeatable
	po.mu.Unlock()
	return po.exchange(ctx, cc, rq)
}

// exchange sends a request on a connection that acquire or takeForProbe has taken
// out of the pool.
func (po *Pool) exchange(ctx context.Context, cc *clientConn, rq Request) (*Response, *Failure) {
	before := cc.cn.attemptedBytes.Load()
	rs, err := cc.tr.RoundTrip(rq.toHTTP(ctx, po.cfg.Address))
	if err != nil {
		po.discard(cc)
		if cc.cn.attemptedBytes.Load() == before {
			return nil, failureNotSent(ctx, CauseNotSent, err)
		}
		return nil, failureMaybeSent(ctx, CauseNoResponse, err)
	}
	re := &Response{
		Status:   rs.StatusCode,
		Header:   endToEnd(rs.Header),
		Length:   rs.ContentLength,
		Draining: rs.Header.Get(plat.HeaderState) == string(plat.StateDraining),
		HasState: rs.Header.Get(plat.HeaderState) != "",
		ctx:      ctx, po: po, cc: cc, body: rs.Body,
		reusable: !rs.Close,
	}
	return re.validate(rq, rs)
}

// validate returns re, or a failure if the response is a refusal, invalid or
// that of another request. It closes re if it returns a failure.
func (re *Response) validate(rq Request, rs *http.Response) (*Response, *Failure) {
	refused := rs.Header.Get(plat.HeaderRefused)
	switch id := rs.Header.Get(plat.HeaderRequest); {
	case id != "" && id != rq.ID:
		re.fail(errNotReusable)
		return nil, newFailure(CauseMismatch, errors.New("the response is for request "+id))
	case refused != "" && re.Status == http.StatusServiceUnavailable:
		_, _ = io.CopyN(io.Discard, re, maxRefusalBody)
		re.Close()
		if refused == plat.RefusedDraining {
			return nil, newFailure(CauseDraining, nil)
		}
		return nil, newFailure(CauseNoFreeSlot, nil)
	case re.Status < http.StatusOK, re.Status > maxStatus, closeDelimited(rq, rs):
		re.fail(errInvalidResponse)
		return nil, newFailure(CauseTruncated, errInvalidResponse)
	}
	return re, nil
}

// Read implements io.Reader for the body. It returns io.EOF only after the
// complete body, and a *Failure if the response ends early.
func (re *Response) Read(p []byte) (int, error) {
	if re.err != nil {
		return 0, re.err
	}
	n, err := re.body.Read(p)
	re.read += int64(n)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		re.finish()
	default:
		re.fail(failureTruncated(re.ctx, err))
	}
	return n, re.err
}

// Received returns the size of the headers and of the body read so far, in
// bytes.
func (re *Response) Received() int64 {
	size := re.read
	for name, values := range re.Header {
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return size
}

// Close closes the connection unless the whole body was read, in which case
// Read has returned it to the pool.
func (re *Response) Close() {
	if re.err == nil {
		re.fail(errConnClosed)
	}
}

// finish ends the response after its complete body, and returns the connection
// to the pool if it can be reused.
func (re *Response) finish() {
	re.err = io.EOF
	_ = re.body.Close()
	re.cc.lastResponse = time.Now()
	if re.reusable {
		re.po.release(re.cc)
	} else {
		re.po.discard(re.cc)
	}
}

// fail ends the response with an error and closes the connection.
func (re *Response) fail(err error) {
	re.err = err
	re.po.discard(re.cc)
	_ = re.body.Close()
}

// toHTTP returns the request for the Transport. It sets no GetBody, so that the
// Transport can't replay the body.
func (rq Request) toHTTP(ctx context.Context, address string) *http.Request {
	hd := endToEnd(rq.Header)
	hd.Set(plat.HeaderRequest, rq.ID)
	if _, ok := hd["User-Agent"]; !ok {
		hd["User-Agent"] = nil // keeps the Transport from adding its own
	}
	hr := &http.Request{
		Method: rq.Method,
		URL:    targetURL(address, rq.Target),
		Host:   rq.Host,
		Header: hd,
	}
	if len(rq.Body) > 0 {
		hr.Body = io.NopCloser(bytes.NewReader(rq.Body))
		hr.ContentLength = int64(len(rq.Body))
	}
	return hr.WithContext(ctx)
}

// targetURL returns a URL from which the Transport writes target unchanged into
// the request line.
func targetURL(address, target string) *url.URL {
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		path = raw
	}
	return &url.URL{
		Scheme: "http", Host: address, Path: path, RawPath: raw,
		RawQuery: query, ForceQuery: hasQuery && query == "",
	}
}

// closeDelimited reports whether the end of the body is given only by the end of
// the connection, which can't be told from a truncation.
func closeDelimited(rq Request, rs *http.Response) bool {
	if rq.Method == http.MethodHead || rs.StatusCode == http.StatusNoContent || rs.StatusCode == http.StatusNotModified {
		return false
	}
	return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0
}
