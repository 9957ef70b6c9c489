package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestPoisonedJobsSuspendNoWorker lets several jobs fail wherever they run beside
// jobs that succeed. The workers were suspended for it.
func TestPoisonedJobsSuspendNoWorker(t *testing.T) {
	is := is.New(t)
	wo := calm(6)
	for i := range 12 {
		jb, pl := single(fmt.Sprintf("j%02d", i), 1, 2, 500*time.Millisecond)
		pl.fails = i%3 == 0
		wo.submit(jb, pl)
		wo.run(300 * time.Millisecond)
	}
	wo.run(10 * time.Second)
	is.True(!wo.noted("suspects", ""))
	is.Equal(wo.state("j00"), batch.Failed)
	is.Equal(wo.state("j01"), batch.Done)
}

// TestSuspendedWorkersAreBounded lets every worker fail: more than a third of them
// out of use would starve the fleet of what it could still do.
func TestSuspendedWorkersAreBounded(t *testing.T) {
	is := is.New(t)
	wo := calm(9)
	for id := range wo.workers {
		wo.fleet.Fail(id, true)
	}
	for i := range 40 {
		jb, pl := single(fmt.Sprintf("j%02d", i), 1, 4, 500*time.Millisecond)
		wo.submit(jb, pl)
		wo.run(100 * time.Millisecond)
	}
	out := 0
	for _, su := range wo.suspects {
		out = max(out, su.Suspended+su.OnProbation)
	}
	is.Equal(out, 3)
}

// TestSuspendedWorkerReturnsThroughWork mends a suspended worker. It gets no gang,
// then single tasks, and is used for all once these have succeeded.
func TestSuspendedWorkerReturnsThroughWork(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	wo.fleet.Fail("w00", true)
	for i := range 3 {
		jb, pl := single(fmt.Sprintf("bad%d", i), 1, 1, 200*time.Millisecond)
		wo.submit(jb, pl)
	}
	wo.run(600 * time.Millisecond)
	is.True(wo.noted("suspects", ""))
	wo.fleet.Fail("w00", false)
	wo.run(5 * time.Second)
	gang, pl := single("gang", 1, 4, 500*time.Millisecond)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	wo.submit(gang, pl)
	wo.run(time.Second)
	is.Equal(wo.state("gang"), batch.Queued) // it would need the worker on probation
	for i := range 10 {
		jb, pl := single(fmt.Sprintf("j%d", i), 2, 1, 3*time.Second)
		wo.submit(jb, pl)
		wo.run(time.Second)
	}
	is.True(wo.noted("reinstates", ""))
	wo.run(8 * time.Second)
	is.Equal(wo.state("gang"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestTakeoverKeepsDoubts changes the scheduler after a unit has failed on a
// worker. Other jobs avoid it as before.
func TestTakeoverKeepsDoubts(t *testing.T) {
	is := is.New(t)
	wo := calm(4)
	failed, pl := single("failed", 1, 1, time.Minute)
	wo.submit(failed, pl)
	wo.records["failed"] = batch.Record{ID: "failed", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 1, Failures: 1, FailedOn: []string{"w00"}},
	}}
	wo.elect()
	wo.run(time.Second)
	jb, pl := single("j", 1, 8, time.Second)
	wo.submit(jb, pl)
	wo.run(100 * time.Millisecond)
	is.Equal(wo.fleet.RunningOn("w00"), 0)
}

// TestLastAttemptTakesWhatThereIs leaves a last attempt only the worker on which
// it has failed: the others are full for long. It waited for these for ever.
func TestLastAttemptTakesWhatThereIs(t *testing.T) {
	is := is.New(t)
	wo := calm(3)
	fill, pl := single("fill", 1, 16, time.Hour)
	wo.submit(fill, pl)
	wo.run(time.Second)
	jb, pl := single("j", 2, 1, time.Second)
	wo.submit(jb, pl)
	wo.records["j"] = batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 2, Failures: 2, FailedOn: []string{"w11"}},
	}}
	wo.elect()
	wo.run(4 * time.Second)
	is.Equal(wo.fleet.Running("j"), 0)
	wo.run(12 * time.Second) // three times the objective
	is.Equal(wo.state("j"), batch.Done)
}
