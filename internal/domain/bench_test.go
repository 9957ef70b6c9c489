package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// BenchmarkBusyHour plays half a minute of a fleet that gets twice the work that
// it can do: gangs of whole workers, small urgent gangs, and wide steps of small
// tasks. The time of a run includes that of the stand-in workers.
func BenchmarkBusyHour(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for range b.N {
				wo := newWorld(7)
				for i := range workers {
					wo.addWorker(fmt.Sprintf("w%d%03d", i/8%10, i), 8)
				}
				wo.elect()
				wo.run(time.Second)
				wo.spent = nil
				busyHour(wo, workers)
				report(b, wo)
				if len(wo.fleet.Broken) > 0 {
					b.Fatal(wo.fleet.Broken[0])
				}
			}
		})
	}
}

// report gives the time of the core: its share of a second, and the 99th
// percentile of an event.
func report(b *testing.B, wo *world) {
	var sum time.Duration
	for _, d := range wo.spent {
		sum += d
	}
	slices.Sort(wo.spent)
	b.ReportMetric(sum.Seconds()/wo.now.Sub(start).Seconds(), "cores")
	b.ReportMetric(float64(wo.spent[len(wo.spent)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(wo.spent[len(wo.spent)-1].Microseconds()), "max-us")
}

func busyHour(wo *world, workers int) {
	rate := workers * 8 / 100 // jobs a second
	for i := range 30 * rate {
		priority := wo.rng.IntN(3)
		work := time.Duration(2+wo.rng.IntN(7)) * time.Second
		step := batch.Step{Tasks: 1 + wo.rng.IntN(10), RunTime: work, Gang: priority < 2, OneRack: true, Checkpoints: wo.rng.IntN(2) == 0}
		step.Needs = batch.Resources{MilliCPU: 4000, MemoryMB: 100, Accelerators: []int{1, 2, 4, 8}[wo.rng.IntN(4)]}
		if priority == 2 {
			step.Tasks = 1 + wo.rng.IntN(60)
			step.Needs.Accelerators = 1
		}
		jb := batch.Job{ID: fmt.Sprintf("j%05d", i), Workspace: string(rune('a' + wo.rng.IntN(4))), Queue: queueOf(priority), Payload: "x", Steps: []batch.Step{step}}
		wo.submit(jb, planned{work: work})
		wo.run(time.Second / time.Duration(rate))
	}
}
