package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestStopFinishesRequests stops a host under load. Requests in progress must
// be completed, late ones must get the code Stopping, and no connection may be
// cut.
func TestStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 2, func(cfg *entry.Config, _ *spec.Declarations) { cfg.Stop.Delay = 300 * time.Millisecond })
	var mu sync.Mutex
	counts := make(map[codes.Code]int)
	count := func(re response) {
		mu.Lock()
		defer mu.Unlock()
		counts[re.code]++
	}
	var long, short sync.WaitGroup
	var cut atomic.Int64
	for range 4 {
		long.Go(func() {
			re, err := th.order(epsim.HeaderDelay, "1200ms", client.HeaderRepeatable, "false")
			if err != nil || re.err != nil {
				cut.Add(1)
			}
			count(re)
		})
	}
	eventually(t, "four requests run", func() bool { return len(th.runs()) == 4 })
	stopping := make(chan struct{})
	for range 4 {
		short.Go(func() {
			for {
				select {
				case <-stopping:
					return
				default:
				}
				re, err := th.order()
				if err != nil || re.err != nil {
					cut.Add(1)
				}
				count(re)
			}
		})
	}
	th.stop()
	eventually(t, "the host reports not ready", func() bool {
		re, err := th.call(http.MethodGet, "/readyz", "")
		return err == nil && re.code == codes.Stopping
	})
	re, err := th.order()
	is.NoErr(err)
	is.Equal(re.code, codes.RequestDone) // still serving for Stop.Delay
	count(re)
	eventually(t, "new requests are refused", func() bool {
		re, err := th.order()
		count(re)
		return err == nil && re.code == codes.Stopping
	})
	close(stopping)
	short.Wait()
	long.Wait()
	err = <-th.stopped
	th.stopped <- err
	is.NoErr(err)
	is.Equal(cut.Load(), int64(0))
	is.True(counts[codes.RequestDone] >= 5)
	is.Equal(len(th.runs()), counts[codes.RequestDone])
	th.checkAccount(is, counts)
}

// TestStopIsBounded stops a host while an endpoint does not respond. The stop must
// not wait for the request longer than Stop.Timeout allows.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, func(cfg *entry.Config, _ *spec.Declarations) { cfg.Stop.Timeout = 200 * time.Millisecond })
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = th.order(epsim.HeaderFault, epsim.FaultHang, client.HeaderTimeout, "8s")
	}()
	eventually(t, "the request runs", func() bool { return len(th.runs()) == 1 })
	begin := time.Now()
	th.stop()
	err := <-th.stopped
	th.stopped <- err
	is.NoErr(err)
	is.True(time.Since(begin) < 6*time.Second)
	<-done
}

// TestSlowSendersHoldNoSlot sends more bodies slowly than there are slots.
// Another request must be served at once.
func TestSlowSendersHoldNoSlot(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, func(cfg *entry.Config, _ *spec.Declarations) { cfg.Limits.ReadTimeout = time.Second })
	var slow []net.Conn
	for range 20 {
		cn, err := net.Dial("tcp", th.url[len("http://"):])
		is.NoErr(err)
		defer cn.Close()
		_, err = fmt.Fprintf(cn, "POST /v1/services/orders/ HTTP/1.1\r\nHost: x\r\n%s: hotels\r\nContent-Length: 100\r\n\r\nhalf", client.HeaderWorkspace)
		is.NoErr(err)
		slow = append(slow, cn)
	}
	re, err := th.order()
	is.NoErr(err)
	is.Equal(re.code, codes.RequestDone)
	for _, cn := range slow {
		rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
		is.NoErr(err)
		is.Equal(rs.Header.Get(client.HeaderCode), strconv.Itoa(int(codes.SlowSender)))
	}
	is.Equal(len(th.runs()), 1)
}

// TestCallersDisconnect closes the connections first of queued and then of
// running requests. Each must be accounted for, and all slots must become free.
func TestCallersDisconnect(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	var wg sync.WaitGroup
	start := func(ctx context.Context, count int) {
		for range count {
			wg.Go(func() {
				rq, _ := http.NewRequestWithContext(ctx, http.MethodGet, th.url+"/v1/services/orders/", nil)
				rq.Header.Set(client.HeaderWorkspace, "parish")
				rq.Header.Set(epsim.HeaderDelay, "2s")
				if rs, err := http.DefaultTransport.RoundTrip(rq); err == nil {
					_ = rs.Body.Close()
				}
			})
		}
	}
	running, cancelRunning := context.WithCancel(t.Context())
	waiting, cancelWaiting := context.WithCancel(t.Context())
	start(running, 8)
	eventually(t, "eight requests run", func() bool { return len(th.runs()) == 8 })
	start(waiting, 4)
	eventually(t, "four requests are queued", func() bool {
		re, err := th.call(http.MethodGet, "/metrics", "")
		return err == nil && strings.Contains(re.body, "cicadawharf_requests_waiting{service=\"orders\"} 4\n")
	})
	cancelWaiting()
	eventually(t, "four callers disconnected", func() bool { return len(th.log.lines("code=4024")) == 4 })
	cancelRunning()
	wg.Wait()
	eventually(t, "all outcomes are logged", func() bool { return len(th.log.lines("event=refuse")) == 12 })
	th.checkAccount(is, map[codes.Code]int{codes.CallerLeft: 8, codes.CallerGone: 4})
	is.Equal(len(th.runs()), 8)
	eventually(t, "all slots are free", func() bool { return th.endpoints[0].SlotsInUse() == 0 })
	re, err := th.order()
	is.NoErr(err)
	is.Equal(re.code, codes.RequestDone)
}

// TestSpill forwards requests to another zone while the local one has no
// endpoint. The caller must get the code of the endpoint there, and only the
// first host may account for the request.
func TestSpill(t *testing.T) {
	is := is.New(t)
	forwardListener := listen(t)
	far := newTestHost(t, 2, func(cfg *entry.Config, _ *spec.Declarations) {
		cfg.Host, cfg.Zone, cfg.Region = "talca-a", "talca", "chile"
		cfg.ForwardListener = forwardListener
	})
	near := newTestHost(t, 0, func(cfg *entry.Config, _ *spec.Declarations) {
		cfg.Members = func(now time.Time) []peers.Member {
			return []peers.Member{{Name: "talca-a", Zone: "talca", Region: "chile", Alive: true, Ready: true, LastHeard: now}}
		}
		cfg.ForwardDial = func(ctx context.Context, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", forwardListener.Addr().String())
		}
	})
	for _, tc := range []struct {
		headers []string
		code    codes.Code
	}{
		{nil, codes.RequestDone},
		{[]string{epsim.HeaderSize, "500000"}, codes.RequestDone},
		{[]string{epsim.HeaderStatus, "500"}, codes.EndpointError},
		{[]string{epsim.HeaderFault, epsim.FaultDropAfter}, codes.OutcomeUnknown},
		{[]string{epsim.HeaderFault, epsim.FaultHalf}, codes.AnswerBroken},
	} {
		re, err := near.order(append(tc.headers, client.HeaderRepeatable, "false")...)
		is.NoErr(err)
		is.NoErr(re.err)
		is.Equal(re.code, tc.code)
		is.Equal(far.runs()[re.request], 1) // under the same request ID
	}
	near.checkAccount(is, map[codes.Code]int{
		codes.RequestDone: 2, codes.EndpointError: 1, codes.OutcomeUnknown: 1, codes.AnswerBroken: 1,
	})
	is.Equal(len(far.account.Snapshot(time.Now()).GetRows()), 0) // accounted for only on the first host
	var bytes int64
	for _, row := range near.account.Snapshot(time.Now()).GetRows() {
		bytes += row.GetRegionBytes()
	}
	is.True(bytes > 500000 && bytes < 510000)

	for _, ep := range far.endpoints {
		ep.Drain()
	}
	eventually(t, "both endpoints drain", func() bool { return len(far.server.DrainingEndpoints()) == 2 })
	re, err := near.order()
	is.NoErr(err)
	is.Equal(re.code, codes.NoEndpoint) // not forwarded again
}

// TestSpillNeedsPermission guards against a request that is forwarded to another
// region although the service permits only its own.
func TestSpillNeedsPermission(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 0, func(cfg *entry.Config, de *spec.Declarations) {
		de.Services[0].Spill = spec.SpillRegion
		cfg.Members = func(time.Time) []peers.Member {
			return []peers.Member{{Name: "talca-a", Zone: "talca", Region: "chile", Alive: true, Ready: true}}
		}
		cfg.ForwardDial = func(context.Context, string) (net.Conn, error) {
			t.Error("dialed another region")
			return nil, net.ErrClosed
		}
	})
	re, err := th.order()
	is.NoErr(err)
	is.Equal(re.code, codes.NoEndpoint)
	is.True(re.header.Get("Retry-After") != "")
}
