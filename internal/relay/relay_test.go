package relay_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/relay"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// script handles the requests of one connection to an endpoint.
type script func(rq *http.Request, cn net.Conn)

// endpoint serves net.Pipe connections by a script and counts the requests that
// it has read.
type endpoint struct {
	script   script
	dials    atomic.Int64
	requests atomic.Int64
	mu       sync.Mutex
	conns    []*pipe
}

// pipe is the pool's end of a connection, whose writes can be dropped.
type pipe struct {
	net.Conn
	dropped atomic.Bool
}

func (ep *endpoint) dial(context.Context, string) (net.Conn, error) {
	ep.dials.Add(1)
	near, far := net.Pipe()
	go ep.serve(far)
	pi := &pipe{Conn: near}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.conns = append(ep.conns, pi)
	return pi, nil
}

func (ep *endpoint) serve(cn net.Conn) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		if rq.URL.Path == plat.ProbePath {
			fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nEndpoint-State: live\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		ep.requests.Add(1)
		ep.script(rq, cn)
	}
}

// dropWrites drops all further writes of the pool to the open connections.
func (ep *endpoint) dropWrites() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for _, pi := range ep.conns {
		pi.dropped.Store(true)
	}
}

// Write drops the data once dropped is set.
func (pi *pipe) Write(p []byte) (int, error) {
	if pi.dropped.Load() {
		return len(p), nil
	}
	return pi.Conn.Write(p)
}

func respondWith(text string) script {
	return func(_ *http.Request, cn net.Conn) { _, _ = io.WriteString(cn, text) }
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newPool(ep *endpoint) *relay.Pool {
	return relay.NewPool(relay.Config{Address: "endpoint", Dial: ep.dial, Connections: 4})
}

func post(id string, headers ...string) relay.Request {
	hd := http.Header{}
	for i := 0; i < len(headers); i += 2 {
		hd.Add(headers[i], headers[i+1])
	}
	return relay.Request{ID: id, Method: http.MethodPost, Target: "/buy", Header: hd, Body: []byte("crates=1")}
}

// send sends a request and reads the response to its end.
func send(ctx context.Context, po *relay.Pool, rq relay.Request) (string, *relay.Failure) {
	re, fa := po.Send(ctx, rq)
	if fa != nil {
		return "", fa
	}
	defer re.Close()
	body, err := io.ReadAll(re)
	if err != nil && !errors.As(err, &fa) {
		fa = &relay.Failure{Err: err}
	}
	return string(body), fa
}

// TestNoImplicitRetry covers each kind of request that net/http retries by
// itself when a reused connection fails.
func TestNoImplicitRetry(t *testing.T) {
	for _, rq := range []relay.Request{
		{ID: "a", Method: http.MethodGet, Target: "/", Header: http.Header{}},
		{ID: "b", Method: http.MethodHead, Target: "/", Header: http.Header{}},
		{ID: "c", Method: http.MethodPost, Target: "/", Header: http.Header{"Idempotency-Key": {"k"}}},
		post("d", "Idempotency-Key", "k"),
		post("e", "X-Idempotency-Key", "k"),
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ep := &endpoint{}
			ep.script = func(rq *http.Request, cn net.Conn) {
				if ep.requests.Load() == 1 {
					respondWith(okResponse)(rq, cn)
					return
				}
				_ = cn.Close() // the reused connection, without a response
			}
			po := newPool(ep)
			defer po.Close()
			_, fa := send(t.Context(), po, post("first"))
			is.Equal(fa, nil)
			_, fa = send(t.Context(), po, rq)
			is.True(fa != nil)
			is.Equal(fa.Code, codes.OutcomeUnknown)
			is.Equal(ep.requests.Load(), int64(2)) // the first request and this one, each once
			is.Equal(ep.dials.Load(), int64(1))
		})
	}
}

// TestClosedIdleConnection sends a request after the endpoint has closed the
// idle connection. It must fail as not run, and must not reach the endpoint.
func TestClosedIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{}
		ep.script = func(rq *http.Request, cn net.Conn) {
			respondWith(okResponse)(rq, cn)
			_ = cn.Close()
		}
		po := newPool(ep)
		defer po.Close()
		_, fa := send(t.Context(), po, post("first"))
		is.Equal(fa, nil)
		synctest.Wait()
		_, fa = send(t.Context(), po, post("second"))
		is.True(fa != nil)
		is.Equal(fa.Cause, relay.CauseNotSent)
		is.Equal(fa.Code.Class(), codes.NotRun)
		is.Equal(ep.requests.Load(), int64(1))
	})
}

// TestStaleConnectionIsNotReused checks that a connection without a response for
// 1.5 s is reused for a repeatable request, but not for any other.
func TestStaleConnectionIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{script: respondWith(okResponse)}
		po := newPool(ep)
		defer po.Close()
		_, fa := send(t.Context(), po, post("first"))
		is.Equal(fa, nil)
		time.Sleep(1500 * time.Millisecond)
		rq := post("repeatable")
		rq.Repeatable = true
		_, fa = send(t.Context(), po, rq)
		is.Equal(fa, nil)
		is.Equal(ep.dials.Load(), int64(1)) // fresh enough for a repeatable request
		time.Sleep(1500 * time.Millisecond)
		_, fa = send(t.Context(), po, post("once"))
		is.Equal(fa, nil)
		is.Equal(ep.dials.Load(), int64(2)) // but not for this one
	})
}

// TestUnresponsiveConnectionIsDetected drops all data on an idle connection. The
// next probe, half a second later as in an entry host, must close it within two
// seconds, before a request uses it.
func TestUnresponsiveConnectionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{script: respondWith(okResponse)}
		po := newPool(ep)
		defer po.Close()
		_, fa := send(t.Context(), po, post("first"))
		is.Equal(fa, nil)
		ep.dropWrites()
		began := time.Now()
		time.Sleep(500 * time.Millisecond)
		is.True(po.Probe(t.Context()).Reachable) // on a new connection
		is.True(time.Since(began) < 2*time.Second)
		_, fa = send(t.Context(), po, post("second"))
		is.Equal(fa, nil)
		is.Equal(po.Open(), 1)
	})
}

// TestUnresponsiveInFlight drops all data on connections with a request in
// flight. The repeatable request must fail within two seconds; the other one
// must keep waiting, since its connection may be intact.
func TestUnresponsiveInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{script: func(rq *http.Request, cn net.Conn) {
			if rq.Header.Get("X-Hang") == "" {
				time.Sleep(10 * time.Millisecond)
				respondWith(okResponse)(rq, cn)
			}
		}}
		po := newPool(ep)
		defer po.Close()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { _, _ = send(t.Context(), po, post("first")) })
		}
		wg.Wait()
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for _, repeatable := range []bool{true, false} {
			wg.Go(func() {
				rq := post("hangs", "X-Hang", "1")
				rq.Repeatable = repeatable
				_, fa := send(ctx, po, rq)
				is.Equal(fa.Cause == relay.CauseNoResponse && time.Since(begin) < 2*time.Second, repeatable)
				is.Equal(fa.Cause == relay.CauseDeadline, !repeatable)
			})
		}
		synctest.Wait()
		ep.dropWrites()
		for range 2 {
			time.Sleep(500 * time.Millisecond)
			is.True(po.Probe(t.Context()).Reachable)
		}
		wg.Wait()
	})
}

// TestStalledWrite sends to an endpoint that reads nothing. The request must fail
// within two seconds, long before its deadline, and with an unknown outcome.
func TestStalledWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe() // nothing reads from it
		defer far.Close()
		po := relay.NewPool(relay.Config{
			Address: "endpoint", Connections: 1,
			Dial: func(context.Context, string) (net.Conn, error) { return near, nil },
		})
		defer po.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		begin := time.Now()
		_, fa := send(ctx, po, post("once"))
		is.Equal(fa.Code, codes.OutcomeUnknown) // a part may have arrived
		is.True(time.Since(begin) <= 2*time.Second)
	})
}

func TestFailures(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response string
		cause    relay.Cause
		class    codes.Class
	}{
		{"no free slot", "HTTP/1.1 503 x\r\nEndpoint-Refused: busy\r\nContent-Length: 0\r\n\r\n", relay.CauseNoFreeSlot, codes.NotRun},
		{"draining", "HTTP/1.1 503 x\r\nEndpoint-Refused: leaving\r\nContent-Length: 0\r\n\r\n", relay.CauseDraining, codes.NotRun},
		{"no response", "", relay.CauseNoResponse, codes.Unknown},
		{"not HTTP", "hello\r\n\r\n", relay.CauseNoResponse, codes.Unknown},
		{"truncated headers", "HTTP/1.1 200 OK\r\nContent-", relay.CauseNoResponse, codes.Unknown},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", relay.CauseTruncated, codes.Failed},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", relay.CauseTruncated, codes.Failed},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhalf?", relay.CauseTruncated, codes.Failed},
		{"switched protocol", "HTTP/1.1 101 x\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n", relay.CauseTruncated, codes.Failed},
		{"other request", "HTTP/1.1 200 OK\r\nCicadawharf-Request: other\r\nContent-Length: 0\r\n\r\n", relay.CauseMismatch, codes.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ep := &endpoint{script: func(rq *http.Request, cn net.Conn) {
					respondWith(tc.response)(rq, cn)
					_ = cn.Close()
				}}
				po := newPool(ep)
				defer po.Close()
				_, fa := send(t.Context(), po, post("once"))
				is.True(fa != nil)
				is.Equal(fa.Cause, tc.cause)
				is.Equal(fa.Code.Class(), tc.class)
				is.Equal(ep.requests.Load(), int64(1))
			})
		})
	}
}

// TestLateResponseIsDiscarded guards against a response that arrives after the
// deadline of its request and is taken for that of another request.
func TestLateResponseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{script: func(rq *http.Request, cn net.Conn) {
			id := rq.Header.Get(plat.HeaderRequest)
			if id == "slow" {
				time.Sleep(time.Second)
			}
			fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		}}
		po := newPool(ep)
		defer po.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, fa := send(ctx, po, post("slow"))
		is.Equal(fa.Code, codes.DeadlineInFlight)
		for range 3 {
			body, fa := send(t.Context(), po, post("quick"))
			is.Equal(fa, nil)
			is.Equal(body, "quick")
			time.Sleep(600 * time.Millisecond)
		}
	})
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{script: func(rq *http.Request, cn net.Conn) {
			time.Sleep(time.Second)
			respondWith(okResponse)(rq, cn)
		}}
		po := newPool(ep)
		defer po.Close()
		var refused atomic.Int64
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				_, fa := send(t.Context(), po, post(fmt.Sprint(i)))
				if fa != nil && fa.Cause == relay.CauseConnections && fa.Code == codes.EndpointBusy {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		is.Equal(refused.Load(), int64(2))
		is.Equal(ep.requests.Load(), int64(4))
		is.Equal(po.Open(), 4)
		po.SetConnections(1)
		_, fa := send(t.Context(), po, post("last"))
		is.Equal(fa, nil)
		is.True(po.Open() <= 4)
	})
}

// TestUnprobedConnectionsAreClosed guards against stale connections that pile up
// in a pool that nothing probes.
func TestUnprobedConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ep := &endpoint{script: respondWith(okResponse)}
		po := newPool(ep)
		defer po.Close()
		for range 4 {
			_, fa := send(t.Context(), po, post("once"))
			is.Equal(fa, nil)
			time.Sleep(5 * time.Second)
		}
		is.Equal(po.Open(), 1)
	})
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		seen := make(chan *http.Request, 1)
		ep := &endpoint{script: func(rq *http.Request, cn net.Conn) {
			seen <- rq
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nConnection: X-Own\r\nX-Own: 1\r\nX-Far: 1\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n")
		}}
		po := newPool(ep)
		defer po.Close()
		rq := post("a", "Connection", "X-Mine, close", "X-Mine", "1", "X-Far", "1", "Te", "trailers", "Upgrade", "h2c", "Expect", "100-continue")
		rq.Target = "//a%2Fb/?q=%20&"
		re, fa := po.Send(t.Context(), rq)
		is.Equal(fa, nil)
		defer re.Close()
		is.Equal(re.Header.Get("X-Far"), "1")
		for _, name := range []string{"X-Own", "Keep-Alive", "Connection"} {
			is.Equal(re.Header.Get(name), "")
		}
		got := <-seen
		is.Equal(got.RequestURI, "//a%2Fb/?q=%20&")
		is.Equal(got.Header.Get("X-Far"), "1")
		for _, name := range []string{"X-Mine", "Te", "Upgrade", "Expect", "User-Agent", "Accept-Encoding"} {
			is.Equal(strings.Join(got.Header[name], ","), "")
		}
	})
}
