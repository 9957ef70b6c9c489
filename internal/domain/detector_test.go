package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestFaultyJobsSuspendNoWorker guards against the suspension of workers
// because of jobs that fail on every worker, while other jobs succeed there.
func TestFaultyJobsSuspendNoWorker(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(6)
	for i := range 12 {
		jb, pl := oneStepJob(fmt.Sprintf("j%02d", i), 1, 2, 500*time.Millisecond)
		pl.fails = i%3 == 0
		sim.submit(jb, pl)
		sim.run(300 * time.Millisecond)
	}
	sim.run(10 * time.Second)
	is.True(!sim.decided("suspects", ""))
	is.Equal(sim.state("j00"), batch.Failed)
	is.Equal(sim.state("j01"), batch.Done)
}

// TestSuspendedWorkersAreBounded makes every worker fail. At most a third of
// them is out of service, since the rest can still do some work.
func TestSuspendedWorkersAreBounded(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(9)
	for id := range sim.workers {
		sim.fleet.Fail(id, true)
	}
	for i := range 40 {
		jb, pl := oneStepJob(fmt.Sprintf("j%02d", i), 1, 4, 500*time.Millisecond)
		sim.submit(jb, pl)
		sim.run(100 * time.Millisecond)
	}
	out := 0
	for _, hr := range sim.healthReports {
		out = max(out, hr.Suspended+hr.OnProbation)
	}
	is.Equal(out, 3)
}

// TestSuspendedWorkerPassesProbation repairs a suspended worker. It gets no
// gang at first, then single tasks, and is back in service once these have
// succeeded.
func TestSuspendedWorkerPassesProbation(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	sim.fleet.Fail("w00", true)
	for i := range 3 {
		jb, pl := oneStepJob(fmt.Sprintf("bad%d", i), 1, 1, 200*time.Millisecond)
		sim.submit(jb, pl)
	}
	sim.run(600 * time.Millisecond)
	is.True(sim.decided("suspects", ""))
	sim.fleet.Fail("w00", false)
	sim.run(5 * time.Second)
	gang, pl := oneStepJob("gang", 1, 4, 500*time.Millisecond)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	sim.submit(gang, pl)
	sim.run(time.Second)
	is.Equal(sim.state("gang"), batch.Queued) // it would need the worker on probation
	for i := range 10 {
		jb, pl := oneStepJob(fmt.Sprintf("j%d", i), 2, 1, 3*time.Second)
		sim.submit(jb, pl)
		sim.run(time.Second)
	}
	is.True(sim.decided("reinstates", ""))
	sim.run(8 * time.Second)
	is.Equal(sim.state("gang"), batch.Done)
	is.Equal(sim.check(), nil)
}

// TestTakeoverKeepsSuspicion elects a new scheduler after a unit has failed on
// a worker. Other jobs still avoid that worker.
func TestTakeoverKeepsSuspicion(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(4)
	failed, pl := oneStepJob("failed", 1, 1, time.Minute)
	sim.submit(failed, pl)
	sim.records["failed"] = batch.Record{ID: "failed", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 1, Failures: 1, FailedOn: []string{"w00"}},
	}}
	sim.elect()
	sim.run(time.Second)
	jb, pl := oneStepJob("j", 1, 8, time.Second)
	sim.submit(jb, pl)
	sim.run(100 * time.Millisecond)
	is.Equal(sim.fleet.RunningOn("w00"), 0)
}

// TestLastAttemptFallsBackToFailedWorker leaves a last attempt only the worker
// on which it has failed, since the others are full for long. It guards against
// waiting for these forever.
func TestLastAttemptFallsBackToFailedWorker(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(3)
	fill, pl := oneStepJob("fill", 1, 16, time.Hour)
	sim.submit(fill, pl)
	sim.run(time.Second)
	jb, pl := oneStepJob("j", 2, 1, time.Second)
	sim.submit(jb, pl)
	sim.records["j"] = batch.Record{ID: "j", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 2, Failures: 2, FailedOn: []string{"w11"}},
	}}
	sim.elect()
	sim.run(4 * time.Second)
	is.Equal(sim.fleet.Running("j"), 0)
	sim.run(12 * time.Second) // until three times the objective is over
	is.Equal(sim.state("j"), batch.Done)
}
