package procs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// balancer holds the addresses of the hosts, and of those that were ready
	// at its last check.
	balancer struct {
		mu    sync.Mutex
		hosts []string
		ready []string
	}

	// stream is a group of callers that send requests in sequence.
	stream struct {
		balancer *balancer
		stop     chan struct{}
		group    sync.WaitGroup

		mu   sync.Mutex
		done []string // identifiers of the successful requests
		errs []error
	}
)

const (
	callers     = 4
	callerPause = 20 * time.Millisecond
	maxCalls    = 2000 // per caller
	slowEvery   = 10   // one request in this many is slow
	slowDelay   = 2500 * time.Millisecond
)

func (ba *balancer) setHosts(ehs []*entryHost) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.hosts = nil
	for _, eh := range ehs {
		ba.hosts = append(ba.hosts, eh.http)
	}
}

// watch polls the readiness of the hosts until ctx ends.
func (ba *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		ba.mu.Lock()
		hosts := ba.hosts
		ba.mu.Unlock()
		var ready []string
		for _, ad := range hosts {
			if _, err := get(ad, "/readyz"); err == nil {
				ready = append(ready, ad)
			}
		}
		ba.mu.Lock()
		ba.ready = ready
		ba.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// pick returns the ready hosts in random order, in which a request tries them.
func (ba *balancer) pick() []string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	picked := make([]string, len(ba.ready))
	for i, at := range rand.Perm(len(ba.ready)) {
		picked[i] = ba.ready[at]
	}
	return picked
}

func startStream(t *testing.T, ba *balancer) *stream {
	st := &stream{balancer: ba, stop: make(chan struct{})}
	for range callers {
		st.group.Go(st.call)
	}
	t.Cleanup(st.end)
	return st
}

func (st *stream) end() {
	select {
	case <-st.stop:
	default:
		close(st.stop)
	}
	st.group.Wait()
}

func (st *stream) call() {
	for i := range maxCalls {
		select {
		case <-st.stop:
			return
		case <-time.After(callerPause):
		}
		hosts := st.balancer.pick()
		if len(hosts) == 0 {
			continue
		}
		op := client.CallOptions{}
		if i%slowEvery == 0 {
			op.Header = map[string][]string{epsim.HeaderDelay: {slowDelay.String()}}
		}
		st.record(callOnce(hosts, op))
	}
}

// callOnce sends a request with a new client that knows only the given hosts.
func callOnce(hosts []string, op client.CallOptions) (client.CallAnswer, error) {
	cl := client.New(client.Config{Addresses: hosts, Workspace: workspace, Timeout: waitTimeout})
	defer cl.Close()
	return cl.Call(context.Background(), orders, "POST", "/crates", []byte("wax"), op)
}

// record records the result of a request.
func (st *stream) record(an client.CallAnswer, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case err != nil:
		st.errs = append(st.errs, err)
	case an.Code != codes.RequestDone || string(an.Body) != "wax":
		st.errs = append(st.errs, fmt.Errorf("request %s: %v, %q", an.Request, an.Code, an.Body))
	default:
		st.done = append(st.done, an.Request)
	}
}

// TestRollingReplacement checks that no request fails or runs twice while the hosts
// are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	ba := &balancer{}
	ba.setHosts(sy.hosts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go ba.watch(ctx)
	eventually(t, "the balancer finds all hosts", func() error {
		if ready := ba.pick(); len(ready) != len(sy.hosts) {
			return fmt.Errorf("ready hosts are %v", ready)
		}
		return nil
	})
	st := startStream(t, ba)

	for i, old := range sy.hosts {
		is.Equal(old.stop(t), 0)
		next := &entryHost{host: old.host + "-next", zone: old.zone, http: freeAddress(t), peers: freeAddress(t)}
		sy.hosts[i] = next
		sy.serve(t, next)
		sy.awaitHealthy(t, next)
		ba.setHosts(sy.hosts)
		sy.awaitReady(t)
		for _, zn := range zones {
			sy.scheduler(t, zn)
		}
	}
	st.end()

	for _, err := range st.errs {
		t.Error(err)
	}
	counts := sy.runCounts(t)
	for _, nm := range st.done {
		if counts[nm] != 1 {
			t.Errorf("request %s ran %d times", nm, counts[nm])
		}
	}
	is.Equal(len(counts), len(st.done)) // every run belongs to a successful request
	t.Logf("%d requests done", len(st.done))
	eventually(t, "the report includes the requests of the replaced hosts", func() error {
		da, err := sy.hosts[0].report()
		if err != nil {
			return err
		}
		if rw := row(da, orders); rw.Done != int64(len(st.done)) || len(da.Gaps) > 0 {
			return fmt.Errorf("%d done, row is %+v, gaps are %+v", len(st.done), rw, da.Gaps)
		}
		return nil
	})
}
