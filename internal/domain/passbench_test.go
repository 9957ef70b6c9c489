package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// instantWorkers runs a core over workers that reply at once and whose tasks
// never end by themselves, to measure the cost of the core alone.
type instantWorkers struct {
	core     *domain.Core
	now      time.Time
	workers  []runner.Worker
	running  map[string][]runner.Run // by worker
	lastEnds map[string]int64        // number of the last end, by worker
}

// newInstantWorkers returns a core over some workers, with work for more than
// twice their capacity, so that some of it waits.
func newInstantWorkers(workers int) *instantWorkers {
	iw := &instantWorkers{now: startTime, running: map[string][]runner.Run{}, lastEnds: map[string]int64{}}
	iw.workers = manyWorkers(workers)
	iw.core = domain.New(iw.now, iw.config())
	for _, wk := range iw.workers {
		iw.handle(domain.Polled{Call: domain.Poll{Worker: wk, Sent: iw.now}, Status: runner.Status{Born: 1, Clock: time.Second}})
	}
	for range 20 {
		iw.tick()
	}
	return iw
}

// manyWorkers returns workers in racks of eight.
func manyWorkers(number int) []runner.Worker {
	workers := make([]runner.Worker, number)
	for i := range workers {
		workers[i] = runner.Worker{
			ID: fmt.Sprintf("w%05d", i), Address: fmt.Sprintf("w%05d:1", i), Service: "svc", Born: 1,
			Rack:     fmt.Sprintf("r%d", i/8),
			Capacity: batch.Resources{MilliCPU: 64_000, MemoryMB: 256_000, Accelerators: 8},
		}
	}
	return workers
}

func (iw *instantWorkers) config() domain.Config {
	return domain.Config{Token: 1, Workers: iw.workers, Jobs: iw.jobs(len(iw.workers)), Policy: iw.policy(len(iw.workers))}
}

// policy returns the policy, in which one workspace has some guaranteed accelerators.
func (iw *instantWorkers) policy(guaranteed int) *batch.Policy {
	return &batch.Policy{
		Version: 1, Queues: []batch.Queue{queueOf(0), queueOf(1), queueOf(2)},
		Workspaces: []batch.Workspace{{Name: "a", Guaranteed: guaranteed}},
	}
}

// jobs returns gangs of many tasks, small urgent gangs, and jobs of many small
// tasks, as in the backlog of a large installation.
func (iw *instantWorkers) jobs(workers int) []batch.Job {
	var jobs []batch.Job
	add := func(kind string, priority int, step batch.Step) {
		jobs = append(jobs, batch.Job{
			ID: fmt.Sprintf("%s%05d", kind, len(jobs)), Workspace: string(rune('a' + len(jobs)%10)),
			Queue: queueOf(priority), Payload: "x", Accepted: startTime, Steps: []batch.Step{step},
		})
	}
	for i := range workers {
		switch {
		case i%8 == 0:
			add("large", 1, batch.Step{Tasks: 26, Gang: true, RunTime: 11 * time.Second, Needs: batch.Resources{MilliCPU: 26_000, MemoryMB: 1000, Accelerators: 1 + i%7}})
		case i%8 == 1:
			add("wide", 2, batch.Step{Tasks: 78, RunTime: 9 * time.Second, Checkpoints: true, Needs: batch.Resources{MilliCPU: 5_600, MemoryMB: 1000, Accelerators: 1}})
		case i%2 == 0:
			add("small", 0, batch.Step{Tasks: 8, Gang: true, OneRack: true, RunTime: 2 * time.Second, Needs: batch.Resources{MilliCPU: 7_500, MemoryMB: 1000, Accelerators: 1 + i%3}})
		}
	}
	return jobs
}

// tick advances the time by a quarter of a second.
func (iw *instantWorkers) tick() {
	iw.now = iw.now.Add(250 * time.Millisecond)
	iw.handle(domain.Ticked{})
}

// handle passes an event to the core and completes the resulting effects at
// once.
func (iw *instantWorkers) handle(ev domain.Event) {
	for _, ef := range iw.core.Handle(iw.now, ev) {
		switch ef := ef.(type) {
		case domain.Commit:
			iw.handle(domain.Committed{Seq: ef.Seq})
		case domain.Start:
			id := ef.Worker.ID
			iw.running[id] = append(iw.running[id], runner.Run{Task: ef.Request.Task, Attempt: ef.Request.Attempt})
			iw.handle(domain.Started{Call: ef})
		case domain.Stop:
			iw.handle(domain.Stopped{Call: ef})
			iw.end(ef.Worker, ef.Request.Task, runner.Stopped)
		}
	}
}

// end makes a worker report the end of a task.
func (iw *instantWorkers) end(wk runner.Worker, ti batch.TaskID, reason runner.EndReason) {
	iw.lastEnds[wk.ID]++
	st := runner.Status{Born: 1, Clock: time.Second}
	for _, rn := range iw.running[wk.ID] {
		if rn.Task == ti {
			st.Ended.Ends = append(st.Ended.Ends, runner.End{Number: iw.lastEnds[wk.ID], Task: ti, Attempt: rn.Attempt, Reason: reason})
			continue
		}
		st.Running = append(st.Running, rn)
	}
	iw.running[wk.ID] = st.Running
	iw.handle(domain.Polled{Call: domain.Poll{Worker: wk, Sent: iw.now, Extra: true}, Status: st})
}

// endSome ends a task on each of ten workers.
func (iw *instantWorkers) endSome(iteration int) {
	for i := range 10 {
		wk := iw.workers[(iteration*10+i*37)%len(iw.workers)]
		if rns := iw.running[wk.ID]; len(rns) > 0 {
			iw.end(wk, rns[0].Task, runner.Succeeded)
		}
	}
}

// BenchmarkPass measures a pass over workers that are full, with as much work
// again waiting, after ten tasks have ended.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 5000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			iw := newInstantWorkers(workers)
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				iw.endSome(i)
				b.StartTimer()
				iw.tick()
			}
		})
	}
}

// BenchmarkTakeover measures the construction of a core from the stored state
// and one poll of every worker.
func BenchmarkTakeover(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 5000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			iw := newInstantWorkers(workers)
			cf := iw.config()
			for range b.N {
				co := domain.New(iw.now, cf)
				for _, wk := range iw.workers {
					st := runner.Status{Born: 1, Clock: time.Second, Running: iw.running[wk.ID]}
					co.Handle(iw.now, domain.Polled{Call: domain.Poll{Worker: wk, Sent: iw.now}, Status: st})
				}
			}
		})
	}
}
