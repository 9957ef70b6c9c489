package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

const acceleratorsPerWorker = 8

// fullFleet returns a core whose workers are all in use, with waiting tasks
// that have each failed on another worker.
func fullFleet(now time.Time, workers, waiting int) (*domain.Core, []runner.Worker) {
	cf := domain.Config{Token: 1, Policy: newSimulation(1).policy}
	statuses := map[string]runner.Status{}
	runs := batch.Job{ID: "runs", Queue: queueOf(2), Steps: []batch.Step{oneAccelerator(workers * acceleratorsPerWorker)}}
	waits := batch.Job{ID: "waits", Queue: queueOf(2), Steps: []batch.Step{oneAccelerator(waiting)}}
	running := batch.Record{ID: "runs", State: batch.Running}
	failed := batch.Record{ID: "waits", State: batch.Running}
	for i := range workers * acceleratorsPerWorker {
		id := workerID(i / acceleratorsPerWorker)
		running.Units = append(running.Units, batch.UnitRecord{Index: i, Attempt: 1, Workers: []string{id}, Live: true})
		st := statuses[id]
		st.Born = 1
		st.Running = append(st.Running, runner.Run{Task: batch.TaskID{Job: "runs", Index: i}, Attempt: 1})
		statuses[id] = st
	}
	for i := range waiting {
		failed.Units = append(failed.Units, batch.UnitRecord{Index: i, Attempt: 1, Failures: 1, FailedOn: []string{workerID(i % workers)}})
	}
	cf.Jobs = []batch.Job{runs, waits}
	cf.Records = []batch.Record{running, failed}
	for i := range workers {
		id := workerID(i)
		cf.Workers = append(cf.Workers, runner.Worker{
			ID: id, Address: id + ":1", Service: "svc", Born: 1, Rack: fmt.Sprint(i / 8),
			Capacity: batch.Resources{Accelerators: acceleratorsPerWorker},
		})
	}
	co := domain.New(now, cf)
	for _, ef := range co.Handle(now, domain.Ticked{}) {
		if po, ok := ef.(domain.Poll); ok {
			co.Handle(now, domain.Polled{Call: po, Status: statuses[po.Worker.ID]})
		}
	}
	return co, cf.Workers
}

// oneAccelerator returns a step whose tasks need one accelerator each.
func oneAccelerator(tasks int) batch.Step {
	return batch.Step{Tasks: tasks, Needs: batch.Resources{Accelerators: 1}, RunTime: time.Minute}
}

func workerID(i int) string { return fmt.Sprintf("w%03d", i) }

// TestUnchangedEntriesCauseNoPass repeats the entries of workers without a
// change, as the platform does about once a second. It guards against a
// placement pass for each of them.
func TestUnchangedEntriesCauseNoPass(t *testing.T) {
	is := is.New(t)
	co, workers := fullFleet(startTime, 8, 10)
	now := startTime.Add(time.Second)
	co.Handle(now, domain.Ticked{})
	is.True(!co.NeedsPrompt()) // the pass is over
	for _, wk := range workers {
		co.Handle(now, domain.Listed{Worker: wk})
	}
	is.True(!co.NeedsPrompt())
	changed := workers[0]
	changed.Draining = true
	co.Handle(now, domain.Listed{Worker: changed})
	is.True(co.NeedsPrompt())
}

// BenchmarkFullFleet measures a pass over tasks that each avoid another worker,
// without any free capacity.
func BenchmarkFullFleet(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now := startTime
			co, _ := fullFleet(now, workers, workers)
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				co.Handle(now, domain.Ticked{})
			}
		})
	}
}
