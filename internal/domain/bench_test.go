package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// BenchmarkOverload simulates half a minute in which workers get twice the work
// that they can do: gangs of two queues, and steps of many small tasks of the
// third. The measured time includes that of the simulated workers.
func BenchmarkOverload(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(7)
				for i := range workers {
					sim.addWorker(fmt.Sprintf("w%d%03d", i/8%10, i), 8)
				}
				sim.elect()
				sim.run(time.Second)
				sim.handleTimes = nil
				submitOverload(sim, workers)
				reportTimes(b, sim)
				if len(sim.fleet.Violations) > 0 {
					b.Fatal(sim.fleet.Violations[0])
				}
			}
		})
	}
}

// reportTimes reports the time spent in the core: its share of the simulated
// time, and the 99th percentile and the maximum per event.
func reportTimes(b *testing.B, sim *simulation) {
	var sum time.Duration
	for _, d := range sim.handleTimes {
		sum += d
	}
	slices.Sort(sim.handleTimes)
	b.ReportMetric(sum.Seconds()/sim.now.Sub(startTime).Seconds(), "cores")
	b.ReportMetric(float64(sim.handleTimes[len(sim.handleTimes)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(sim.handleTimes[len(sim.handleTimes)-1].Microseconds()), "max-us")
}

// submitOverload submits random jobs for 30 simulated seconds.
func submitOverload(sim *simulation, workers int) {
	rate := workers * 8 / 100 // jobs per second
	for i := range 30 * rate {
		priority := sim.rng.IntN(3)
		work := time.Duration(2+sim.rng.IntN(7)) * time.Second
		step := batch.Step{Tasks: 1 + sim.rng.IntN(10), RunTime: work, Gang: priority < 2, OneRack: true, Checkpoints: sim.rng.IntN(2) == 0}
		step.Needs = batch.Resources{MilliCPU: 4000, MemoryMB: 100, Accelerators: []int{1, 2, 4, 8}[sim.rng.IntN(4)]}
		if priority == 2 {
			step.Tasks = 1 + sim.rng.IntN(60)
			step.Needs.Accelerators = 1
		}
		jb := batch.Job{ID: fmt.Sprintf("j%05d", i), Workspace: string(rune('a' + sim.rng.IntN(4))), Queue: queueOf(priority), Payload: "x", Steps: []batch.Step{step}}
		sim.submit(jb, taskPlan{work: work})
		sim.run(time.Second / time.Duration(rate))
	}
}
