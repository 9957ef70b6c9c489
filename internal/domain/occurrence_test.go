package domain_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// maxStoredValue is the largest value, in bytes, that the store accepts.
const maxStoredValue = 1 << 20

// repeatedJob returns a job of one small task that repeats every interval.
func repeatedJob(id string, first time.Time, every time.Duration, count int) batch.Job {
	jb, _ := oneStepJob(id, 1, 1, 50*time.Millisecond)
	jb.Schedule = &batch.Schedule{First: first, Every: every, Count: count}
	return jb
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// TestMemoryFollowsWhatIsDue accepts jobs that repeat for two years, and loads them
// in a successor. It guards against a scheduler that holds every occurrence, and
// exceeds the memory of each host in turn.
func TestMemoryFollowsWhatIsDue(t *testing.T) {
	const (
		jobs        = 5
		occurrences = 210_240
		maxBytes    = 4 << 20
	)
	is := is.New(t)
	before := heapInUse()
	sc := newScriptedCore(domain.Config{}, "w1")
	var cf domain.Config
	for i := range jobs {
		jb := repeatedJob(fmt.Sprintf("j%d", i), startTime.Add(time.Hour), 5*time.Minute, occurrences)
		sc.handle(domain.Accepted{Job: jb})
		cf.Jobs = append(cf.Jobs, jb)
	}
	sc.pass(time.Second)
	is.True(heapInUse()-before < maxBytes)
	before = heapInUse()
	next := newScriptedCore(cf, "w1")
	is.True(heapInUse()-before < maxBytes)
	runtime.KeepAlive(sc)
	runtime.KeepAlive(next)
}

// TestLongScheduleRunsEachOccurrenceOnce repeats a job more often than a record
// lists finished tasks one by one, with a change of the scheduler every twenty
// seconds. It guards against occurrences that are left out, or run again, once the
// record names their number only.
func TestLongScheduleRunsEachOccurrenceOnce(t *testing.T) {
	const occurrences = 1400
	is := is.New(t)
	sim := startSimulation(2)
	jb := repeatedJob("j", sim.now.Add(time.Second), 100*time.Millisecond, occurrences)
	sim.submit(jb, taskPlan{work: 50 * time.Millisecond})
	for range 8 {
		sim.run(20 * time.Second)
		sim.elect()
	}
	sim.run(5 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.fleet.Starts, occurrences)
	is.Equal(sim.check(), nil)
}

// TestDueOccurrencesOfOneJobAreBounded makes all occurrences of one job due at
// once. It guards against a job that fills the memory with its occurrences.
func TestDueOccurrencesOfOneJobAreBounded(t *testing.T) {
	is := is.New(t)
	before := heapInUse()
	sc := newScriptedCore(domain.Config{}, "w1")
	sc.handle(domain.Accepted{Job: repeatedJob("many", startTime, 0, 200_000)})
	sc.pass(time.Second)
	is.True(heapInUse()-before < 16<<20)
	placed := 0
	for _, ld := range effectsOf[domain.LogDecision](sc) {
		if ld.Decision == "placed" {
			placed++
		}
	}
	is.Equal(placed, 8) // as many as there are accelerators
	runtime.KeepAlive(sc)
}

// TestRecordOfWideJobFits runs a job of 28,672 tasks, each of which fails once. It
// guards against a record above the store's limit of a value, which could never be
// written.
func TestRecordOfWideJobFits(t *testing.T) {
	is := is.New(t)
	jb := batch.Job{ID: "5c0e7a21d94b36f8", Queue: queueOf(1)}
	for range 7 {
		jb.Steps = append(jb.Steps, batch.Step{Tasks: batch.MaxTasks, Needs: batch.Resources{MilliCPU: 1}, RunTime: time.Second})
	}
	wk := scriptedWorker("i-0123456789")
	wk.Address, wk.Capacity.MilliCPU = "10.100.100.100:10000", 100_000
	sc := &scriptedCore{now: startTime, core: domain.New(startTime, domain.Config{Token: 1, Policy: newSimulation(1).policy, Workers: []runner.Worker{wk}})}
	sc.replyOf(wk, runner.Status{})
	sc.handle(domain.Accepted{Job: jb})
	number, last := int64(0), batch.Record{}
	for range 200 {
		sc.pass(tickInterval)
		var page runner.EndPage
		for i := 0; i < len(sc.effects); i++ {
			switch ef := sc.effects[i].(type) {
			case domain.Commit:
				for _, rc := range ef.Records {
					data, err := batch.EncodeRecord(rc)
					is.NoErr(err)
					is.True(len(data) < maxStoredValue)
					last = rc
				}
				sc.handle(domain.Committed{Seq: ef.Seq})
			case domain.Start:
				sc.handle(domain.Started{Call: ef})
				number++
				reason := runner.Failed
				if ef.Request.Attempt > 1 {
					reason = runner.Succeeded
				}
				page.Ends = append(page.Ends, runner.End{Number: number, Task: ef.Request.Task, Attempt: ef.Request.Attempt, Reason: reason})
			}
		}
		sc.effects = nil
		sc.replyOf(wk, runner.Status{Ended: page})
	}
	is.Equal(last.State, batch.Done)
}
