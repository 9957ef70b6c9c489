package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const (
	benchSeed       = 7
	tasksPerWorker  = 10000.0 / 470
	benchWorkspaces = 220
)

// nearlyFullFleet returns a fleet loaded in proportion to 10,000 tasks and 220
// workspaces, each with a guaranteed unit, on 470 workers.
func nearlyFullFleet(workers int) *place.Fleet {
	rnd := rand.New(rand.NewPCG(benchSeed, 0))
	var units []place.Unit
	for i := range benchWorkspaces * workers / 470 {
		sh := []spec.Shape{shape(4, 1, spec.SameRack), shape(2, 4, spec.SameRack), shape(2, 8, spec.SameRack), shape(8, 1, spec.SameZone)}[i%4]
		units = append(units, place.Unit{Workspace: fmt.Sprintf("w%d", i), Shape: sh})
	}
	fl := place.NewFleet(rackWorkers((workers + 7) / 8)[:workers], units)
	placed := 0
	for i := 0; placed < int(tasksPerWorker*float64(workers)); i++ {
		sh := shape([]int{1, 2, 4, 8, 16, 32}[rnd.IntN(6)], []int{0, 0, 0, 0, 1, 1, 2, 4}[rnd.IntN(8)], spec.SameZone)
		rq := place.Request{
			Job: fmt.Sprintf("j%d", i), Workspace: fmt.Sprintf("w%d", rnd.IntN(benchWorkspaces)), Shape: sh,
			Priority: jobs.Normal, Preemptible: rnd.IntN(4) > 0,
		}
		if _, waits := decideAndApply(fl, start.Add(time.Duration(i)*time.Second), rq).(place.Waits); !waits {
			placed += sh.Tasks
		} else if sh.Accelerators == 0 {
			break
		}
	}
	return fl
}

// BenchmarkDecide measures one decision on a nearly full fleet and reports the
// median and the 99th percentile.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{100, 200, 470, 1000} {
		fl := nearlyFullFleet(workers)
		for _, tasks := range []int{1, 8, 32} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, tasks), func(b *testing.B) { benchDecide(b, fl, tasks) })
		}
	}
}

func benchDecide(b *testing.B, fl *place.Fleet, tasks int) {
	rnd := rand.New(rand.NewPCG(benchSeed, 1))
	hist := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range max(b.N, 200) {
		rq := place.Request{
			Job: "bench", Workspace: fmt.Sprintf("w%d", rnd.IntN(benchWorkspaces)),
			Shape:    shape(tasks, []int{1, 2, 4}[rnd.IntN(3)], []spec.Adjacency{spec.SameRack, spec.SameZone}[rnd.IntN(2)]),
			Priority: []jobs.Priority{jobs.Normal, jobs.Urgent}[i%2], Preemptible: rnd.IntN(2) == 0,
			Share: 1 << 20, ShareOf: func(string) int { return 0 },
		}
		begin := time.Now()
		fl.Decide(start.Add(time.Hour), rq)
		if err := hist.RecordValue(int64(time.Since(begin))); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
}
