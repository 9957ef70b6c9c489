package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Config configures a Client.
	Config struct {
		Addresses []string // IP:port of entry hosts or their balancer
		Workspace string
		Caller    string
		Operator  string        // name recorded with applied declarations
		Timeout   time.Duration // of one attempt of a request, in addition to the wait that it asks for; DefaultTimeout if zero
		// Dial opens connections; nil for a net.Dialer.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Client is a client of the HTTP API. It is safe for concurrent use.
	//
	// The methods return an *UnreachableError if nothing was sent, otherwise a
	// *codes.Error, whose class tells whether the request may have run.
	//
	// A request fails over to the next address only if it provably did not run
	// at the previous one: no connection was established, or the host responded
	// that it is stopping or not ready. Read-only requests also fail over after
	// a lost response. The transport never retries a request, except that one
	// which may run twice is resent on a new connection if its pooled connection
	// was closed while idle.
	Client struct {
		cfg      Config
		unpooled *http.Client // a new connection for each request
		pooled   *http.Client // for requests that may run twice
		next     atomic.Uint64
	}

	// UnreachableError is returned if no entry host could be reached, so that
	// nothing was sent.
	UnreachableError struct {
		Err error // of the first address tried
	}

	// call is one request of the API.
	call struct {
		method        string
		path          string // escaped, including the query
		header        http.Header
		body          []byte
		readOnly      bool
		repeatable    bool          // may run twice
		timeout       time.Duration // in addition to Config.Timeout
		indeterminate codes.Code    // result if the request was sent and its outcome is unknown
	}

	// response is a response of an entry host, with its whole body.
	response struct {
		status int
		header http.Header
		body   []byte
	}
)

// DefaultTimeout bounds one attempt of a request, in addition to the wait that
// the request asks for.
const DefaultTimeout = 30 * time.Second

const (
	dialTimeout            = 3 * time.Second
	idleTimeout            = 10 * time.Second // after a longer time, the path may have dropped the connection unnoticed
	maxIdlePerHost         = 4
	maxResponseHeaderBytes = 1 << 20
)

// New returns a client. It does not connect before the first request.
func New(cfg Config) *Client {
	cfg.Addresses = slices.Clone(cfg.Addresses)
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{cfg: cfg, unpooled: newHTTP(cfg, true), pooled: newHTTP(cfg, false)}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.unpooled.CloseIdleConnections()
	cl.pooled.CloseIdleConnections()
}

// Error implements error.
func (ue *UnreachableError) Error() string {
	return "no entry host could be reached, nothing was sent: " + ue.Err.Error()
}

// Unwrap returns the cause.
func (ue *UnreachableError) Unwrap() error { return ue.Err }

// newHTTP returns an HTTP client, which does not reuse connections if unpooled
// is set. A transport of net/http retries a request whose reused connection
// fails, also a POST if it has an Idempotency-Key header and a rewindable body.
// Requests that must not run twice are therefore sent without reusing
// connections. Redirects are not followed, because they resend the body, too.
func newHTTP(cfg Config, unpooled bool) *http.Client {
	tr := &http.Transport{
		DialContext:            cfg.Dial,
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &http.Client{Transport: tr, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// do sends a call to the addresses in turn until a host accepts it. The error
// is an *UnreachableError, the error of a host that is stopping or not ready,
// or a *codes.Error for a call whose response was lost or truncated.
func (cl *Client) do(ctx context.Context, ca call) (response, error) {
	if len(cl.cfg.Addresses) == 0 {
		return response{}, &UnreachableError{Err: errNoAddress}
	}
	first := int(cl.next.Add(1)-1) % len(cl.cfg.Addresses)
	var failure error
	for i := range cl.cfg.Addresses {
		rp, sent, err := cl.send(ctx, cl.cfg.Addresses[(first+i)%len(cl.cfg.Addresses)], ca)
		switch {
		case err == nil && !hostUnavailable(rp):
			return rp, nil
		case err == nil:
			failure = responseError(rp, ca)
		case sent:
			failure = indeterminateError(rp, ca, err)
			if !ca.readOnly {
				return response{}, failure
			}
		case failure == nil:
			failure = &UnreachableError{Err: err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return response{}, failure
}

// send makes one attempt at an address and reports whether any part of the
// request may have been sent.
func (cl *Client) send(ctx context.Context, address string, ca call) (rp response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.Timeout+ca.timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	req, err := newRequest(ctx, address, ca)
	if err != nil {
		return response{}, false, err
	}
	hc := cl.unpooled
	if ca.readOnly || ca.repeatable {
		hc = cl.pooled
	}
	rs, err := hc.Do(req)
	if err != nil {
		return response{}, sent, err
	}
	defer rs.Body.Close()
	rp = response{status: rs.StatusCode, header: rs.Header}
	rp.body, err = readAll(rs)
	return rp, true, err
}

func newRequest(ctx context.Context, address string, ca call) (*http.Request, error) {
	target, err := url.Parse("http://" + address + ca.path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, ca.method, target.String(), bodyOf(ca))
	if err != nil {
		return nil, err
	}
	for key, vs := range ca.header {
		req.Header[key] = vs
	}
	return req, nil
}

// hostUnavailable reports whether a host rejected the request only because it
// is stopping or not ready itself, so that another host may accept it.
func hostUnavailable(rp response) bool {
	switch codeOf(rp.header) {
	case codes.Stopping, codes.NotReady:
		return true
	default:
		return false
	}
}
