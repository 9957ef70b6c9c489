package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// lasting is a job of tasks that run until they are cancelled.
func lasting(id string, tasks int) (batch.Job, planned) {
	jb, pl := single(id, 1, tasks, time.Hour)
	jb.Steps[0].Lasting = true
	return jb, pl
}

func TestLastingTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	jb, pl := lasting("l", 4)
	wo.submit(jb, pl)
	wo.run(time.Second)
	is.Equal(wo.fleet.Running("l"), 4)
	wo.addWorker("w00", 8) // starts anew, and has lost what it ran
	wo.run(4 * time.Second)
	is.Equal(wo.fleet.Running("l"), 4)
	is.Equal(wo.state("l"), batch.Running)
	wo.cancel("l")
	wo.run(time.Second)
	is.Equal(wo.fleet.Running("l"), 0)
	is.Equal(wo.check(), nil)
}

// TestLastingTasksMissNoMoreThanTheyMay asks, within a guarantee, for room that
// only lasting tasks hold.
func TestLastingTasksMissNoMoreThanTheyMay(t *testing.T) {
	for mayMiss, want := range map[int]int{1: 15, 4: 12} {
		is := is.New(t)
		wo := calm(2)
		jb, pl := lasting("l", 16)
		jb.Workspace = "b"
		jb.Steps[0].MayMiss = mayMiss
		wo.submit(jb, pl)
		wo.run(5 * time.Second)
		is.Equal(wo.fleet.Running("l"), 16)
		now, pl := single("now", 0, 8, time.Minute)
		wo.submit(now, pl)
		for range 30 {
			wo.run(100 * time.Millisecond)
			is.True(wo.fleet.Running("l") >= want)
		}
		is.Equal(wo.fleet.Running("now"), 16-want)
	}
}

// TestFillingWorkMakesWay lets filling work disturb a task that serves others:
// it is stopped there within the time for which the target may be missed.
func TestFillingWorkMakesWay(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	serves, pl := lasting("serves", 1)
	serves.Steps[0].Target = 50 * time.Millisecond
	wo.submit(serves, pl)
	wo.run(time.Second)
	fill, pl := single("fill", 2, 4, time.Minute)
	fill.Steps[0].Filling = true
	wo.submit(fill, pl)
	wo.run(time.Second)
	is.Equal(wo.fleet.Running("fill"), 4)
	ti := batch.TaskID{Job: "serves"}
	beside := wo.fleet.Beside(ti)
	is.True(beside > 1) // the filling work stands beside it
	wo.fleet.Loads[ti] = 80
	wo.run(3 * time.Second)
	is.Equal(wo.fleet.Beside(ti), 1)
	is.Equal(wo.fleet.Running("fill"), 4) // elsewhere
	is.Equal(wo.check(), nil)
}

// TestAdviceIsFollowed starts tasks of a queue that needs advice only where
// tickets are held, and asks seldom.
func TestAdviceIsFollowed(t *testing.T) {
	is := is.New(t)
	wo := calm(6)
	po := *wo.policy
	po.Queues[1].Advised = true
	jb, pl := single("j", 1, 12, time.Second)
	jb.Queue = po.Queues[1]
	wo.tickets = map[string]map[string]string{"j": {"w11": "t-1", "w04": "t-2"}}
	wo.submit(jb, pl)
	wo.run(5 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.fleet.Refused, 0)
	is.Equal(wo.advised, 1)
	is.Equal(wo.check(), nil)
}

// TestTicketsAreRenewed lets a queue wait for longer than its tickets hold.
func TestTicketsAreRenewed(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	wo.policy.Queues[1].Advised = true
	full, pl := single("full", 0, 16, 8*time.Second)
	wo.submit(full, pl)
	wo.run(time.Second)
	jb, pl := single("j", 1, 2, time.Second)
	jb.Queue = wo.policy.Queues[1]
	wo.tickets = map[string]map[string]string{"j": {"w11": "t-1"}}
	wo.submit(jb, pl)
	wo.run(15 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.fleet.Refused, 0)
	is.True(wo.advised <= 6)
}
