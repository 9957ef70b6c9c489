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
	// Config says how to reach the system and who asks.
	Config struct {
		Addresses []string // IP:port of entry hosts or their balancer
		Workspace string
		Caller    string
		Operator  string        // name recorded with applied declarations
		Timeout   time.Duration // of one request, past the wait that it asks for; DefaultTimeout if zero
		// Dial opens connections; a net.Dialer's if nil.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Client makes requests. It may be used by several goroutines.
	//
	// A request goes on to the next address only when it provably did not run
	// at the one before: no connection was obtained, or the host said that it
	// is stopping or not ready. Only a read also goes on after a lost answer.
	// The transport repeats nothing, but that a request which may run twice is
	// sent again on a new connection if its own was closed while idle.
	Client struct {
		cfg      Config
		unpooled *http.Client // a new connection for each request
		pooled   *http.Client // for requests that may run twice
		next     atomic.Uint64
	}

	// UnreachableError says that no entry host could be reached, so that
	// nothing was sent.
	UnreachableError struct {
		Err error // of the last address
	}

	// call is one request of the interface.
	call struct {
		method        string
		path          string // escaped, with its query
		header        http.Header
		body          []byte
		readOnly      bool          // has no effect
		repeatable    bool          // may run twice
		timeout       time.Duration // past Config.Timeout
		indeterminate codes.Code    // when it was sent and the answer is not known
	}

	// reply is a whole answer.
	reply struct {
		status int
		header http.Header
		body   []byte
	}
)

// DefaultTimeout bounds a request, past the wait that it asks for.
const DefaultTimeout = 30 * time.Second

const (
	dialTimeout            = 3 * time.Second
	idleTimeout            = 10 * time.Second // past it a connection may have gone silent
	maxIdlePerHost         = 4
	maxResponseHeaderBytes = 1 << 20
)

// New returns a client. Nothing is dialled until the first request.
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

// newHTTP returns a client of net/http that repeats nothing but what may run
// twice. A transport sends a request again only when a connection that it has
// used before fails, and then whenever the request has an Idempotency-Key
// header and a body that can be read anew; so all that may run only once is
// sent by a transport that uses no connection again. Redirects, which send a
// body again too, are not followed.
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

// do sends a call to the addresses in turn until one has taken it. The error
// is *UnreachableError, the refusal of a host that told to go elsewhere, or a
// *codes.Error with the call's lost code.
func (cl *Client) do(ctx context.Context, ca call) (reply, error) {
	if len(cl.cfg.Addresses) == 0 {
		return reply{}, &UnreachableError{Err: errNoAddress}
	}
	first := int(cl.next.Add(1)-1) % len(cl.cfg.Addresses)
	var last error
	for i := range cl.cfg.Addresses {
		rp, sent, err := cl.send(ctx, cl.cfg.Addresses[(first+i)%len(cl.cfg.Addresses)], ca)
		switch {
		case err == nil && !hostUnavailable(rp):
			return rp, nil
		case err == nil:
			last = responseError(rp, ca)
		case sent:
			last = indeterminateError(rp, ca, err)
			if !ca.readOnly {
				return reply{}, last
			}
		case last == nil:
			last = &UnreachableError{Err: err}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return reply{}, last
}

// send makes one attempt at an address and tells whether anything of it may
// have been sent.
func (cl *Client) send(ctx context.Context, address string, ca call) (rp reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.Timeout+ca.timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	req, err := newRequest(ctx, address, ca)
	if err != nil {
		return reply{}, false, err
	}
	hc := cl.unpooled
	if ca.readOnly || ca.repeatable {
		hc = cl.pooled
	}
	rs, err := hc.Do(req)
	if err != nil {
		return reply{}, sent, err
	}
	defer rs.Body.Close()
	rp = reply{status: rs.StatusCode, header: rs.Header}
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

// hostUnavailable tells whether the request did not run for reasons of the one host,
// so that another may take it.
func hostUnavailable(rp reply) bool {
	switch codeOf(rp.header) {
	case codes.Stopping, codes.NotReady:
		return true
	default:
		return false
	}
}
