package domain_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// BenchmarkMemory measures the live memory of a scheduler for each accepted job:
// small ones, small ones with a large payload, ones of 4,096 tasks, and small ones
// that repeat for two years.
func BenchmarkMemory(b *testing.B) {
	small := func(id string) batch.Job {
		jb, _ := oneStepJob(id, 1, 1, time.Second)
		return jb
	}
	kinds := map[string]func(id string) batch.Job{
		"small": small,
		"payload": func(id string) batch.Job {
			jb := small(id)
			jb.Payload = strings.Repeat("x", 4000)
			return jb
		},
		"wide": func(id string) batch.Job {
			jb := small(id)
			jb.Steps[0].Tasks = batch.MaxTasks
			return jb
		},
		"repeated": func(id string) batch.Job {
			return repeatedJob(id, startTime.Add(time.Hour), 5*time.Minute, 210_240)
		},
	}
	for _, kind := range []string{"small", "payload", "wide", "repeated"} {
		for _, jobs := range []int{1000, 10_000, 100_000} {
			if kind == "wide" {
				jobs /= 1000
			}
			b.Run(fmt.Sprintf("%s/%d", kind, jobs), func(b *testing.B) {
				for range b.N {
					before := heapInUse()
					sc := newScriptedCore(domain.Config{StateLimit: 1 << 40}, "w1")
					for i := range jobs {
						sc.core.Handle(sc.now, domain.Accepted{Job: kinds[kind](fmt.Sprintf("%016x", i))})
					}
					sc.now = sc.now.Add(time.Second)
					sc.core.Handle(sc.now, domain.Ticked{})
					sc.effects = nil
					held := heapInUse() - before
					runtime.KeepAlive(sc)
					b.ReportMetric(float64(held)/float64(jobs), "B/job")
					b.ReportMetric(float64(held)/(1<<20), "MiB")
				}
			})
		}
	}
}
