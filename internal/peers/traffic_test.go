package peers_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/peers"
)

// TestControlTraffic measures the bytes that a host sends for membership per
// second. All control traffic of a host may take 14 KB/s, half of which is for
// membership.
func TestControlTraffic(t *testing.T) {
	const perHost = 14_000 // bytes per second
	for _, tc := range []struct {
		zones, hostsOfZone int
		bound              float64
	}{
		{1, 2, perHost / 2},
		{2, 4, perHost / 2},
		{5, 8, perHost / 2}, // the other half is reserved for accounts and calls
	} {
		t.Run(fmt.Sprintf("hosts=%d", tc.zones*tc.hostsOfZone), func(t *testing.T) {
			inBubble(t, func(t *testing.T, nw *network) {
				is := is.New(t)
				var hs []*host
				for zi := range tc.zones {
					for i := range tc.hostsOfZone {
						hs = append(hs, nw.start(fmt.Sprintf("zone%d/host%d", zi, i), []string{"zone0/host0", "zone0/host1"}, nil))
					}
				}
				time.Sleep(10 * time.Second)
				var most, sum float64
				before := make([]uint64, len(hs))
				for i, ho := range hs {
					is.Equal(len(ho.alive()), len(hs))
					before[i] = ho.ControlBytes()
				}
				const span = 16 * time.Second
				time.Sleep(span)
				for i, ho := range hs {
					rate := float64(ho.ControlBytes()-before[i]) / span.Seconds()
					most = max(most, rate)
					sum += rate
				}
				t.Logf("bytes per second: %.0f on average, %.0f at most", sum/float64(len(hs)), most)
				is.True(most < tc.bound)
				stopAll(t, hs)
			})
		})
	}
}

// BenchmarkMembership runs hosts over loopback in one process, and reports the
// cost of membership for one host.
func BenchmarkMembership(b *testing.B) {
	for _, tc := range []struct{ zones, hostsOfZone int }{{1, 2}, {2, 4}, {5, 8}} {
		b.Run(fmt.Sprintf("hosts=%d", tc.zones*tc.hostsOfZone), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			before := memoryInUse()
			var ms []*peers.Mesh
			for i := range tc.zones * tc.hostsOfZone {
				ms = append(ms, loopbackMesh(b, i, fmt.Sprint("zone", i%tc.zones), ms))
				wg.Go(func() { _ = ms[i].Run(ctx) })
			}
			time.Sleep(6 * time.Second)
			count := float64(len(ms))
			memory := float64(memoryInUse()-before) / count
			for b.Loop() {
				began, sent := processorTime(b), ms[0].ControlBytes()
				const span = 5 * time.Second
				time.Sleep(span)
				b.ReportMetric(float64(processorTime(b)-began)/float64(span)/count*100, "%core/host")
				b.ReportMetric(float64(ms[0].ControlBytes()-sent)/span.Seconds(), "B/s")
			}
			b.ReportMetric(memory/1e6, "MB/host")
			alive := 0
			for _, me := range ms[0].Members(time.Now()) {
				if me.Alive {
					alive++
				}
			}
			if alive != len(ms) {
				b.Errorf("%d of %d hosts are alive", alive, len(ms))
			}
		})
	}
}

func loopbackMesh(b *testing.B, at int, zone string, others []*peers.Mesh) *peers.Mesh {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	self := peers.Member{
		Name: fmt.Sprintf("%s-host%d", zone, at), Zone: zone, Region: "region",
		PeerAddress: ln.Addr().String(), HTTPAddress: "127.0.0.1:8080", Incarnation: uint64(time.Now().UnixNano()), Ready: true,
	}
	var seeds []string
	for _, ot := range others[:min(len(others), 2)] {
		seeds = append(seeds, ot.HTTPListener().Addr().String())
	}
	return peers.New(peers.Config{
		Self: func() peers.Member { return self }, Listener: ln, Seeds: seeds,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
	})
}

func memoryInUse() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapInuse + ms.StackInuse)
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		b.Fatal(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
