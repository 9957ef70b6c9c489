//go:build linux

package size_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/client"
)

// BenchmarkScheduler measures the cost of an entry host that schedules a zone,
// for different numbers of workers: first with running tasks only, then with
// additional short jobs.
func BenchmarkScheduler(b *testing.B) {
	for _, workers := range []int{24, 94, 188} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			sy := start(b, workers, 220, 0)
			sy.fill(b, workers)
			time.Sleep(settleTime)
			for b.Loop() {
				sy.measureScheduler(b)
			}
		})
	}
}

// measureScheduler reports the idle usage per second and the additional usage per
// short job.
func (sy *system) measureScheduler(b *testing.B) {
	b.Helper()
	const (
		idleSpan  = 16 * time.Second
		jobs      = 24
		pause     = 400 * time.Millisecond // between two submissions
		drainTime = 4 * time.Second
	)
	began := sy.sample(b)
	time.Sleep(idleSpan)
	idle := sy.sample(b)
	for i := range jobs {
		sy.submit(b, fmt.Sprint("load-", i), "1s", 0)
		time.Sleep(pause)
	}
	time.Sleep(drainTime)
	loaded := sy.sample(b)
	report(b, "", began, idle)
	spanRatio := loaded.at.Sub(idle.at).Seconds() / idle.at.Sub(began.at).Seconds()
	perJob := func(metric string, base, all float64) { b.ReportMetric((all-base*spanRatio)/jobs, metric+"/job") }
	perJob("ms", float64(idle.host.processor-began.host.processor)/1e6, float64(loaded.host.processor-idle.host.processor)/1e6)
	perJob("workerB", idle.fleet.bytes-began.fleet.bytes, loaded.fleet.bytes-idle.fleet.bytes)
	perJob("storeB", idle.store.bytes-began.store.bytes, loaded.store.bytes-idle.store.bytes)
	perJob("calls", float64(idle.calls.Total()-began.calls.Total()), float64(loaded.calls.Total()-idle.calls.Total()))
}

// BenchmarkEntry measures the cost of an entry host that forwards requests, idle
// and under load, for different numbers of workspaces. The host also schedules
// eight workers.
func BenchmarkEntry(b *testing.B) {
	for _, workspaces := range []int{55, 110, 220} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			sy := start(b, 8, workspaces, 8)
			time.Sleep(settleTime)
			for b.Loop() {
				sy.measureEntry(b, workspaces)
			}
		})
	}
}

// measureEntry reports the idle usage per second and the processor time per
// request.
func (sy *system) measureEntry(b *testing.B, workspaces int) {
	b.Helper()
	const span = 8 * time.Second
	began := sy.sample(b)
	time.Sleep(span)
	idle := sy.sample(b)
	done := sy.load(b, workspaces, span)
	loaded := sy.sample(b)
	report(b, "", began, idle)
	b.ReportMetric(loaded.host.resident/1e6, "loadedMB")
	b.ReportMetric(done/loaded.at.Sub(idle.at).Seconds(), "requests/s")
	b.ReportMetric(float64(loaded.host.processor-idle.host.processor)/float64(time.Microsecond)/done, "us/request")
}

// BenchmarkProbes measures the cost of an entry host without requests in a zone
// of 94 workers, for different numbers of endpoints. The host also schedules the
// workers, which are idle.
func BenchmarkProbes(b *testing.B) {
	const span = 12 * time.Second
	for _, endpoints := range []int{8, 47, 94} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			sy := start(b, 94, 220, endpoints)
			time.Sleep(settleTime)
			for b.Loop() {
				began := sy.sample(b)
				time.Sleep(span)
				report(b, "", began, sy.sample(b))
			}
		})
	}
}

// load sends requests of all workspaces from a fixed number of callers and returns
// the number of successful ones.
func (sy *system) load(b *testing.B, workspaces int, span time.Duration) float64 {
	b.Helper()
	const (
		callers = 16
		pause   = 40 * time.Millisecond // between the requests of a caller
	)
	ctx, cancel := context.WithTimeout(b.Context(), span)
	defer cancel()
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	for at := range callers {
		wg.Go(func() {
			for i := at; ctx.Err() == nil; i += callers {
				cl := client.New(client.Config{
					Addresses: []string{sy.host.address}, Caller: "caller", Workspace: fmt.Sprint("team-", i%workspaces),
				})
				_, err := cl.Call(b.Context(), "orders", http.MethodPost, "/", []byte("candles"), client.CallOptions{})
				cl.Close()
				if err == nil {
					done.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	if failed.Load() > 0 {
		b.Errorf("%d requests failed", failed.Load())
	}
	return float64(done.Load())
}
