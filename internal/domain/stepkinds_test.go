package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// longRunningJob returns a job with tasks that run until they are cancelled.
func longRunningJob(id string, tasks int) (batch.Job, taskPlan) {
	jb, pl := oneStepJob(id, 1, tasks, time.Hour)
	jb.Steps[0].LongRunning = true
	return jb, pl
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	jb, pl := longRunningJob("l", 4)
	sim.submit(jb, pl)
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("l"), 4)
	sim.addWorker("w00", 8) // restarts, and has lost its tasks
	sim.run(4 * time.Second)
	is.Equal(sim.fleet.Running("l"), 4)
	is.Equal(sim.state("l"), batch.Running)
	sim.cancel("l")
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("l"), 0)
	is.Equal(sim.check(), nil)
}

// TestPreemptionRespectsDisruptionLimit submits work within a guarantee that
// needs capacity which only long-running tasks use. It guards against
// preemptions that make more of these unavailable than the MaxUnavailable of
// their step.
func TestPreemptionRespectsDisruptionLimit(t *testing.T) {
	for maxUnavailable, want := range map[int]int{1: 15, 4: 12} {
		is := is.New(t)
		sim := startSimulation(2)
		jb, pl := longRunningJob("l", 16)
		jb.Workspace = "b"
		jb.Steps[0].MaxUnavailable = maxUnavailable
		sim.submit(jb, pl)
		sim.run(5 * time.Second)
		is.Equal(sim.fleet.Running("l"), 16)
		now, pl := oneStepJob("now", 0, 8, time.Minute)
		sim.submit(now, pl)
		for range 30 {
			sim.run(100 * time.Millisecond)
			is.True(sim.fleet.Running("l") >= want)
		}
		is.Equal(sim.fleet.Running("now"), 16-want)
	}
}

// TestBestEffortWorkYieldsToServing raises the latency of a task that serves
// requests beside best-effort work. That work is stopped on its worker within
// the time for which the target latency may be missed, and restarted elsewhere.
func TestBestEffortWorkYieldsToServing(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	serves, pl := longRunningJob("serves", 1)
	serves.Steps[0].TargetLatency = 50 * time.Millisecond
	sim.submit(serves, pl)
	sim.run(time.Second)
	fill, pl := oneStepJob("fill", 2, 4, time.Minute)
	fill.Steps[0].BestEffort = true
	sim.submit(fill, pl)
	sim.run(time.Second)
	is.Equal(sim.fleet.Running("fill"), 4)
	ti := batch.TaskID{Job: "serves"}
	attempts := sim.fleet.AttemptsOnWorkerOf(ti)
	is.True(attempts > 1) // best-effort work runs on the same worker
	sim.fleet.LatencyMillis[ti] = 80
	sim.run(3 * time.Second)
	is.Equal(sim.fleet.AttemptsOnWorkerOf(ti), 1)
	is.Equal(sim.fleet.Running("fill"), 4) // on the other worker
	is.Equal(sim.check(), nil)
}

// TestAdviceIsFollowed starts tasks of a queue that needs advice only on
// workers with tickets, and with few advice calls.
func TestAdviceIsFollowed(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(6)
	po := *sim.policy
	po.Queues[1].Advised = true
	jb, pl := oneStepJob("j", 1, 12, time.Second)
	jb.Queue = po.Queues[1]
	sim.tickets = map[string]map[string]string{"j": {"w11": "t-1", "w04": "t-2"}}
	sim.submit(jb, pl)
	sim.run(5 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.fleet.RefusedStarts, 0)
	is.Equal(sim.adviceCalls, 1)
	is.Equal(sim.check(), nil)
}

// TestTicketsAreRenewed makes a job wait for longer than its tickets are valid.
// It guards against starts with expired tickets, and against an advice call in
// every pass.
func TestTicketsAreRenewed(t *testing.T) {
	is := is.New(t)
	sim := startSimulation(2)
	sim.policy.Queues[1].Advised = true
	full, pl := oneStepJob("full", 0, 16, 8*time.Second)
	sim.submit(full, pl)
	sim.run(time.Second)
	jb, pl := oneStepJob("j", 1, 2, time.Second)
	jb.Queue = sim.policy.Queues[1]
	sim.tickets = map[string]map[string]string{"j": {"w11": "t-1"}}
	sim.submit(jb, pl)
	sim.run(15 * time.Second)
	is.Equal(sim.state("j"), batch.Done)
	is.Equal(sim.fleet.RefusedStarts, 0)
	is.True(sim.adviceCalls <= 6)
}
