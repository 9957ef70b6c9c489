package load_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/fleet"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/load"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// testZone is one availability zone: simulated endpoints in this process, and
// two entry hosts and a plain forwarder in child processes.
type testZone struct {
	fleet     *fleet.Fleet
	entries   []*child
	forwarder *child
}

const (
	endpointCount    = 8
	slotsPerEndpoint = 8
	serviceName      = "pricing"

	overloadDelay = 80 * time.Millisecond // service time in the overload and caller tests
	latencyDelay  = 20 * time.Millisecond // service time in the latency and retry tests
	rounds        = 3

	declarations = `
timeZone: America/Lima
zones:
  - name: lima
    region: lima
    racks: [{name: rack-1, workers: 8, accelerators: 8, cores: 64, memoryGiB: 128}]
services:
  - {name: pricing, slots: 8, connections: 60, repeatable: true, spill: none, timeout: 5s, maxBody: 1048576}
workspaces:
  - {name: quiet, weight: 1, services: [{name: pricing, slots: 20}]}
  - {name: flood, weight: 1, services: [{name: pricing, slots: 20}]}
`
)

// capacity returns the requests per second that the endpoints can serve.
func capacity(delay time.Duration) float64 {
	return endpointCount * slotsPerEndpoint / delay.Seconds()
}

// BenchmarkRequests compares the request path with a plain forwarder. Run it
// with -benchtime 1x, since each part takes a fixed time.
func BenchmarkRequests(b *testing.B) {
	tz := newTestZone(b)
	b.Run("Latency", tz.latency)
	b.Run("Throughput", tz.throughput)
	b.Run("Overload", tz.overload)
	b.Run("Callers", tz.callers)
	b.Run("Retries", tz.retries)
}

func newTestZone(tb testing.TB) *testZone {
	tb.Helper()
	doc, err := spec.Parse("declarations", []byte(declarations))
	must(tb, err)
	kv, err := kvsim.New(kvsim.Config{Listen: "127.0.0.1:0"})
	must(tb, err)
	tb.Cleanup(func() { kv.Close() })
	go func() { _ = kv.Run(context.Background()) }()
	st := store.New(store.Config{Addresses: []string{kv.Addr()}, Timeout: 2 * time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	tz := &testZone{}
	tz.fleet, err = fleet.Start(ctx, fleet.Config{Declarations: doc.Declarations, Store: st, EndpointsPerZone: endpointCount})
	must(tb, err)
	tb.Cleanup(tz.fleet.Close)
	var endpoints []string
	for _, ep := range tz.fleet.Endpoints() {
		endpoints = append(endpoints, ep.Addr())
	}
	tz.forwarder = spawn(tb, role{Endpoints: endpoints})
	var seeds []string
	for _, name := range []string{"lima-a", "lima-b"} {
		ch := spawn(tb, role{Name: name, Zone: "lima", Store: kv.Addr(), Seeds: seeds})
		seeds = append(seeds, ch.Peer)
		tz.entries = append(tz.entries, ch)
	}
	cl := client.New(client.Config{Addresses: tz.addresses()})
	defer cl.Close()
	_, err = cl.Apply(ctx, []byte(declarations), 0, 10*time.Second)
	must(tb, err)
	tz.awaitShares(ctx, tb)
	return tz
}

// awaitShares waits until each entry host owns half of the slots.
func (tz *testZone) awaitShares(ctx context.Context, tb testing.TB) {
	tb.Helper()
	half := float64(endpointCount * slotsPerEndpoint / len(tz.entries))
	for {
		reached := true
		for _, ch := range tz.entries {
			reached = reached && readMetric(tb, ch, "cicadawharf_slots{") == half
		}
		if reached {
			return
		}
		select {
		case <-ctx.Done():
			tb.Fatal("timed out waiting for the hosts to share the slots")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (tz *testZone) addresses() []string {
	var as []string
	for _, ch := range tz.entries {
		as = append(as, ch.HTTP)
	}
	return as
}

// readMetric returns the sum of all metrics of a child whose names begin with
// prefix.
func readMetric(tb testing.TB, ch *child, prefix string) float64 {
	tb.Helper()
	rp, err := http.Get("http://" + ch.HTTP + "/metrics")
	must(tb, err)
	defer rp.Body.Close()
	sum := 0.0
	for sc := bufio.NewScanner(rp.Body); sc.Scan(); {
		if strings.HasPrefix(sc.Text(), prefix) {
			value, err := strconv.ParseFloat(sc.Text()[strings.LastIndexByte(sc.Text(), ' ')+1:], 64)
			must(tb, err)
			sum += value
		}
	}
	return sum
}

// offer runs load against the entry hosts.
func (tz *testZone) offer(tb testing.TB, seed uint64, du time.Duration, classes ...load.Class) load.Report {
	tb.Helper()
	return tz.offerTo(tb, tz.addresses(), seed, du, classes...)
}

// offerTo runs load against the given addresses: either those of entry hosts or
// that of the plain forwarder.
func (tz *testZone) offerTo(tb testing.TB, addresses []string, seed uint64, du time.Duration, classes ...load.Class) load.Report {
	tb.Helper()
	rp, err := load.Run(context.Background(), load.Config{
		Addresses: addresses, Service: serviceName, Path: "/quote", Classes: classes, Duration: du,
		Concurrency: 8192, Seed: seed, Plain: addresses[0] == tz.forwarder.HTTP,
	})
	must(tb, err)
	return rp
}

// latency compares the latency at half of the capacity, in alternating rounds. A
// row has the round, the medians of forwarder and entry host and their
// difference, both 99th percentiles, and the requests done and offered.
func (tz *testZone) latency(b *testing.B) {
	cl := load.Class{Workspace: "quiet", Caller: "c", Rate: capacity(latencyDelay) / 2, Delay: latencyDelay}
	var added []float64
	for ro := range uint64(rounds) {
		plain := tz.offerTo(b, []string{tz.forwarder.HTTP}, ro, 3*time.Second, cl).Classes[0]
		entry := tz.offer(b, ro, 3*time.Second, cl).Classes[0]
		added = append(added, entry.Latency.P50-plain.Latency.P50)
		b.Logf("| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %d | %d |", ro, plain.Latency.P50, entry.Latency.P50,
			entry.Latency.P50-plain.Latency.P50, plain.Latency.P99, entry.Latency.P99, entry.Done, entry.Offered)
	}
	b.ReportMetric(median(added), "added-ms")
}

// throughput compares the requests per second of processor time of one process,
// in a closed loop for which an entry host has enough slots. A row has the round,
// the rates of forwarder and entry host, and their ratio.
func (tz *testZone) throughput(b *testing.B) {
	var ratios []float64
	tz.closedLoop(b, tz.forwarder, time.Second)
	tz.closedLoop(b, tz.entries[0], time.Second)
	for ro := range rounds {
		plain := tz.closedLoop(b, tz.forwarder, 2*time.Second)
		entry := tz.closedLoop(b, tz.entries[0], 2*time.Second)
		ratios = append(ratios, entry/plain)
		b.Logf("| %d | %.0f | %.0f | %.2f |", ro, plain, entry, entry/plain)
	}
	b.ReportMetric(median(ratios), "ratio")
}

// closedLoop returns the completed requests per second of processor time.
func (tz *testZone) closedLoop(tb testing.TB, ch *child, du time.Duration) float64 {
	tb.Helper()
	const callers = endpointCount * slotsPerEndpoint * 3 / 8
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	before := ch.cpuTime(tb)
	end := time.Now().Add(du)
	counts := make([]int, callers)
	var group sync.WaitGroup
	for i := range callers {
		url := "http://" + ch.HTTP + "/v1/services/" + serviceName + "/quote"
		group.Go(func() {
			for time.Now().Before(end) {
				rq, _ := http.NewRequest(http.MethodPost, url, http.NoBody)
				rq.Header.Set(client.HeaderWorkspace, "quiet")
				rp, err := transport.RoundTrip(rq)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, rp.Body)
				_ = rp.Body.Close()
				if err == nil && rp.StatusCode == http.StatusOK {
					counts[i]++
				}
			}
		})
	}
	group.Wait()
	done := 0
	for _, count := range counts {
		done += count
	}
	return float64(done) / (ch.cpuTime(tb) - before).Seconds()
}

// overload runs an urgent flood beside a workspace with a moderate load, which it
// compares with the same load alone. The service times in the flood are equal or
// different. A row has the multiple of the capacity that is offered, the service
// times, the round, the useful fraction of the slots, the fraction of the
// workspace's requests done relative to that alone, its 99th percentile alone and
// beside the flood and their ratio, the requests of unknown outcome and withheld,
// the median and 99th percentile of the refusals, and the median retry-after time.
// Of a flood with several service times, the last five count only the requests
// with the first one.
func (tz *testZone) overload(b *testing.B) {
	for ro := range uint64(rounds) {
		b.Run(fmt.Sprint(ro), func(b *testing.B) { tz.overloadRound(b, ro) })
	}
}

func (tz *testZone) overloadRound(b *testing.B, ro uint64) {
	const warmUp, length = time.Second, 4 * time.Second
	full := capacity(overloadDelay)
	quiet := load.Class{Workspace: "quiet", Caller: "c", Rate: full / 4, Delay: overloadDelay, Priority: "normal"}
	alone := tz.offer(b, ro, length, quiet).Classes[0]
	for _, times := range []float64{2, 5, 10} {
		for _, delays := range [][]time.Duration{{overloadDelay}, {overloadDelay * 3 / 4, overloadDelay, overloadDelay * 5 / 4}} {
			began := time.Now()
			rp := tz.offer(b, ro, length, append(floodOf(times*full-quiet.Rate, delays), quiet)...)
			useful := tz.usefulFraction(rp, began.Add(warmUp), began.Add(length))
			flood, contended := rp.Classes[0], rp.Classes[len(delays)]
			b.Logf("| %.0f | %v | %d | %.3f | %.3f | %.1f | %.1f | %.2f | %d | %d | %.1f | %.1f | %.0f |", times, delays, ro,
				useful, doneRatio(contended)/doneRatio(alone), alone.Latency.P99, contended.Latency.P99, contended.Latency.P99/alone.Latency.P99,
				flood.Unknown+contended.Unknown, flood.Withheld+contended.Withheld, flood.Refusal.P50, flood.Refusal.P99, flood.RetryAfter.P50)
		}
	}
}

// floodOf returns one class for each delay, with equal parts of a rate.
func floodOf(rate float64, delays []time.Duration) []load.Class {
	var classes []load.Class
	for i, de := range delays {
		classes = append(classes, load.Class{
			Workspace: "flood", Caller: fmt.Sprintf("f-%d", i), Rate: rate / float64(len(delays)), Delay: de, Priority: "urgent",
		})
	}
	return classes
}

// usefulFraction returns the utilization of the slots by requests that started
// in a time window, scaled by the fraction of all runs that the callers got a
// response for.
func (tz *testZone) usefulFraction(rp load.Report, from, to time.Time) float64 {
	all, within := 0, 0
	for _, rn := range tz.fleet.Requests() {
		if rn.Started.Before(from.Add(-time.Second)) {
			continue
		}
		all++
		if !rn.Started.Before(from) && rn.Started.Before(to) {
			within++
		}
	}
	var done int64
	var held time.Duration
	for _, cr := range rp.Classes {
		done += cr.Done
		held += time.Duration(cr.Done) * cr.Delay
	}
	mean := held.Seconds() / float64(max(done, 1))
	rate := float64(within) / to.Sub(from).Seconds()
	return rate * mean / (endpointCount * slotsPerEndpoint) * min(float64(done)/float64(max(all, 1)), 1)
}

// doneRatio returns the fraction of the offered requests that were done.
func doneRatio(cr load.ClassReport) float64 { return float64(cr.Done) / float64(max(cr.Offered, 1)) }

// callers runs 10 small callers beside one with 50 times their rate, in the
// same workspace. A row has the round, Jain's index of the small callers, the
// lowest ratio of their requests that were done, and that of the large caller.
func (tz *testZone) callers(b *testing.B) {
	const small, times = 10, 50
	rate := capacity(overloadDelay) * 0.3 / small
	var classes []load.Class
	for i := range small {
		classes = append(classes, load.Class{Workspace: "quiet", Caller: fmt.Sprintf("small-%d", i), Rate: rate, Delay: overloadDelay})
	}
	classes = append(classes, load.Class{Workspace: "quiet", Caller: "large", Rate: times * rate, Delay: overloadDelay})
	for ro := range uint64(rounds) {
		rp := tz.offer(b, ro, 4*time.Second, classes...)
		lowest := 1.0
		for _, cr := range rp.Classes[:small] {
			lowest = min(lowest, doneRatio(cr))
		}
		b.Logf("| %d | %.4f | %.3f | %.3f |", ro, rp.Fairness[0].Jain, lowest, doneRatio(rp.Classes[small]))
	}
}

// retries counts retries without a fault, while two endpoints go down and come
// back, and while the slots of two others are in use by requests that bypass the
// entry hosts. A row has the fault, the caller, its requests offered, done,
// failed, not run and of unknown outcome, the retries of all callers per request,
// and the codes.
func (tz *testZone) retries(b *testing.B) {
	yes, no := true, false
	rate := capacity(latencyDelay) / 4
	classes := []load.Class{
		{Workspace: "quiet", Caller: "again", Rate: rate, Delay: latencyDelay, Repeatable: &yes},
		{Workspace: "quiet", Caller: "once", Rate: rate, Delay: latencyDelay, Repeatable: &no},
	}
	faults := []struct {
		name  string
		cause func(ctx context.Context)
	}{
		{"none", func(context.Context) {}},
		{"two endpoints flap", tz.flapEndpoints},
		{"two endpoints are full", tz.occupySlots},
	}
	for _, fa := range faults {
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { fa.cause(ctx) })
		retryCount, all := tz.sumMetric(b, "cicadawharf_repeats_total"), tz.sumMetric(b, "cicadawharf_requests_total")
		rp := tz.offer(b, 1, 5*time.Second, classes...)
		retryCount, all = tz.sumMetric(b, "cicadawharf_repeats_total")-retryCount, tz.sumMetric(b, "cicadawharf_requests_total")-all
		cancel()
		group.Wait()
		for _, cr := range rp.Classes {
			b.Logf("| %s | %s | %d | %d | %d | %d | %d | %.4f | %s |", fa.name, cr.Caller, cr.Offered, cr.Done, cr.Failed,
				cr.NotRun, cr.Unknown, retryCount/all, codesOf(cr))
		}
	}
}

// codesOf returns the counts of all codes but those of class Done.
func codesOf(cr load.ClassReport) string {
	var parts []string
	for _, cc := range cr.Codes {
		if cc.Class != codes.Done {
			parts = append(parts, fmt.Sprintf("%d:%d", int(cc.Code), cc.Count))
		}
	}
	return strings.Join(parts, " ")
}

// sumMetric returns the sum of readMetric over the entry hosts.
func (tz *testZone) sumMetric(tb testing.TB, name string) float64 {
	tb.Helper()
	sum := 0.0
	for _, ch := range tz.entries {
		sum += readMetric(tb, ch, name)
	}
	return sum
}

// flapEndpoints makes two endpoints reset their connections for half of each
// second.
func (tz *testZone) flapEndpoints(ctx context.Context) {
	two := tz.fleet.Endpoints()[:2]
	for down := true; ctx.Err() == nil; down = !down {
		for _, ep := range two {
			ep.SetFaults(epsim.Faults{Down: down})
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
	for _, ep := range two {
		ep.SetFaults(epsim.Faults{})
	}
}

// occupySlots uses the slots of two endpoints, bypassing the entry hosts.
func (tz *testZone) occupySlots(ctx context.Context) {
	var group sync.WaitGroup
	for _, ep := range tz.fleet.Endpoints()[2:4] {
		for range slotsPerEndpoint {
			group.Go(func() {
				for ctx.Err() == nil {
					rq, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ep.Addr()+"/", http.NoBody)
					rq.Header.Set(epsim.HeaderDelay, "50ms")
					if rp, err := http.DefaultClient.Do(rq); err == nil {
						_ = rp.Body.Close()
					}
				}
			})
		}
	}
	group.Wait()
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
