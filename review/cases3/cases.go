package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	jobA = "a000000000000001"
	jobB = "b000000000000001"

	// reclaimTime is reclaim_ms of the site.
	reclaimTime = 2700 * time.Millisecond
	// idleTime is how long a work unit that lasts may be idle beside room for it twice over,
	// from sinceLastRun after its last run.
	idleTime     = 3 * time.Second
	sinceLastRun = 6 * time.Second
	// calm is how long a case lets the system run before it goes on.
	calm = 5 * time.Second
	// watchTime is how long a case goes on after the rule was broken, to show the result.
	watchTime = 30 * time.Second
)

var (
	errNotBegun = errors.New("the jobs before the trouble have not begun")

	scenarios = map[int]scenario{
		11: lateStartAfterRestart, 12: underestimatedWork, 13: workWithoutGuarantee, 14: lastingWorkInTheWay, 15: blockedFiller,
		// Plays without a case.
		16: upkeepOfTheLastUnit, 17: movedGuarantee, 18: allFillersStopped,
	}
	queues = []route{{"urgent", 0}, {"serve", 1}, {"bulk", 2}}
)

// begin starts workers of one rack, each on a machine if the case has machines, the
// configuration and two hosts. The last workers are of kind b, all others of kind a.
func (rg *rig) begin(kindA, kindB int, tenants []tenant) error {
	for i := range kindA + kindB {
		kind := "a"
		if i >= kindA {
			kind = "b"
		}
		wo, err := rg.addWorker(fmt.Sprintf("i-%d", i+1), kind, "r1-1")
		if err != nil {
			return err
		}
		if rg.machines != nil {
			rg.machines.add(fmt.Sprintf("m-%d", i+1), wo)
		}
	}
	rg.configure(1, tenants)
	return rg.startHosts(2)
}

// submitAndAwait submits a job and waits until all of its work units run.
func (rg *rig) submitAndAwait(id, queue, key string, st step) error {
	if err := rg.submit(id, queue, key, st); err != nil {
		return err
	}
	if !until(calm, func() bool { return rg.runsAll(id, st.Count) }) {
		return errNotBegun
	}
	return nil
}

// checkReclaim submits a job of priority 0 within the guarantee of its tenant, and checks
// RECLAIM. It goes on for some time, to show whether the job begins at all.
func (rg *rig) checkReclaim(st step) error {
	if err := rg.submit(jobA, "urgent", "ana", st); err != nil {
		return err
	}
	acked := time.Now()
	begun := func() bool { return rg.begunOf(jobA) == st.Count }
	if until(reclaimTime, begun) {
		rg.note("all work units of %s have begun", jobA)
		return nil
	}
	rg.breakRule("RECLAIM: %v after its ack, job %s of priority 0 has not begun all work units of its first step, though it needs no more than its tenant's guarantee", reclaimTime, jobA)
	until(watchTime, begun)
	for i := range st.Count {
		rg.note("%v after the ack, %s runs: %v", time.Since(acked).Round(100*time.Millisecond), taskOf(jobA, i), rg.runningOn(taskOf(jobA, i)) != nil)
	}
	rg.state(jobA, "urgent", "ana")
	return nil
}

// lateStartAfterRestart leaves the first start of a work unit unanswered. Its repetition
// runs the work unit, and the end is taken note of. Then the worker is cut off and restarts
// behind the cut, and the first start is carried out late. Another job has work on each
// worker all the while.
func lateStartAfterRestart(rg *rig, trouble bool) error {
	const late, cutAfter, cut = 11 * time.Second, 6500 * time.Millisecond, 5500 * time.Millisecond
	rg.work, rg.endless = 1500*time.Millisecond, jobB
	if trouble {
		rg.late, rg.lateTask = late, taskOf(jobA, 0)
	}
	if err := rg.begin(8, 0, []tenant{{"ana", 0}, {"bea", 0}}); err != nil {
		return err
	}
	if err := rg.submitAndAwait(jobB, "bulk", "bea", step{Count: 8, CPU: 5600, MemMB: 29000, GPU: 1, AntiAffinity: 1, LongRunning: true}); err != nil {
		return err
	}
	if err := rg.submit(jobA, "serve", "ana", step{Count: 20, CPU: 7500, MemMB: 31000, GPU: 1, EstimateMS: 1500}); err != nil {
		return err
	}
	if !until(calm, func() bool { return rg.runningOn(taskOf(jobA, 0)) != nil }) {
		return errNotBegun
	}
	wo, began := rg.runningOn(taskOf(jobA, 0)), time.Now()
	if !until(cutAfter, func() bool { return rg.isNoted(taskOf(jobA, 0)) }) {
		return errNotBegun
	}
	time.Sleep(time.Until(began.Add(cutAfter)))
	rg.state(jobA, "serve", "ana")
	if trouble {
		wo.cutOff(cut)
		time.Sleep(time.Second)
		wo.restart(time.Second)
	}
	time.Sleep(2 * calm)
	rg.state(jobA, "serve", "ana")
	return nil
}

// checkIdle checks LOST for a work unit that lasts: it may have no run for 3 s, from 6 s
// after its last one, only while there is no capacity for it twice over.
func (rg *rig) checkIdle(task string, st step) {
	idleSince, broken := time.Now(), false
	lastRun := idleSince
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(tickTime) {
		now := time.Now()
		if rg.runningOn(task) != nil {
			lastRun, idleSince, broken = now, now, false
			continue
		}
		fits, used := rg.capacity(st)
		if fits < 2 || now.Sub(lastRun) < sinceLastRun {
			idleSince = now
		}
		if !broken && now.Sub(idleSince) > idleTime {
			broken = true
			rg.breakRule("LOST: %s has had nothing running for %v, from %v after its last run; there is room for it %d times, and %.0f%% of the capacity is in use",
				task, idleTime, sinceLastRun, fits, 100*used)
		}
	}
}

// underestimatedWork runs a sound work unit of twenty minutes, for which its consumer
// estimates a sixth of that, on the only worker with a label, before a tenant asks for a
// part of this worker that it is guaranteed. Without trouble the estimate is right.
func underestimatedWork(rg *rig, trouble bool) error {
	const minutes = 20
	rg.work = minutes * time.Minute
	right := int(rg.work.Milliseconds())
	estimate := right
	if trouble {
		estimate = right / 6
	}
	if err := rg.begin(7, 1, []tenant{{"ana", 4}, {"bea", 0}}); err != nil {
		return err
	}
	if err := rg.submitAndAwait(jobB, "bulk", "bea", step{Count: 1, CPU: 5600, MemMB: 29000, GPU: 1, EstimateMS: estimate, Requires: "b"}); err != nil {
		return err
	}
	time.Sleep(15 * time.Second)
	if err := rg.checkReclaim(step{Count: 4, CPU: 7500, MemMB: 31000, GPU: 1, EstimateMS: right, Requires: "b"}); err != nil {
		return err
	}
	time.Sleep(watchTime)
	rg.state(jobB, "bulk", "bea")
	return nil
}

// movedGuarantee has the operator move a guarantee from one tenant, whose work fills it,
// to another one, which then asks for it. Without trouble, the first version of the
// configuration says the same as the second one.
func movedGuarantee(rg *rig, trouble bool) error {
	moved := []tenant{{"ana", 16}, {"bea", 0}}
	first := moved
	if trouble {
		first = []tenant{{"ana", 8}, {"bea", 16}}
	}
	if err := rg.begin(3, 0, first); err != nil {
		return err
	}
	if err := rg.submitAndAwait(jobB, "urgent", "bea", step{Count: 2, CPU: 26000, MemMB: 75000, GPU: 8, LongRunning: true}); err != nil {
		return err
	}
	time.Sleep(calm)
	if trouble {
		rg.configure(2, moved)
	}
	time.Sleep(calm)
	return rg.checkReclaim(step{Count: 2, CPU: 26000, MemMB: 75000, GPU: 8, LongRunning: true})
}

// workWithoutGuarantee lets a tenant without a guarantee fill the processors of all
// workers with work of priority 0 that needs no accelerators, before another tenant asks
// for what it is guaranteed.
func workWithoutGuarantee(rg *rig, trouble bool) error {
	if err := rg.begin(3, 0, []tenant{{"ana", 8}, {"bea", 0}}); err != nil {
		return err
	}
	if trouble {
		if err := rg.submitAndAwait(jobB, "urgent", "bea", step{Count: 24, CPU: 8000, MemMB: 1024, LongRunning: true}); err != nil {
			return err
		}
	}
	time.Sleep(calm)
	return rg.checkReclaim(step{Count: 1, CPU: 26000, MemMB: 75000, GPU: 8, LongRunning: true})
}

// lastingWorkInTheWay lets a job that lasts and may miss one work unit fill the workers,
// before a tenant asks for what it is guaranteed.
func lastingWorkInTheWay(rg *rig, trouble bool) error {
	if err := rg.begin(3, 0, []tenant{{"ana", 16}, {"bea", 0}}); err != nil {
		return err
	}
	if trouble {
		if err := rg.submitAndAwait(jobB, "bulk", "bea", step{Count: 3, CPU: 26000, MemMB: 75000, GPU: 8, LongRunning: true, MayMiss: 1}); err != nil {
			return err
		}
	}
	time.Sleep(calm)
	return rg.checkReclaim(step{Count: 2, CPU: 26000, MemMB: 75000, GPU: 8, LongRunning: true})
}

// blockedFiller lets a work unit that fills disturb the ones that serve, on each worker.
// Each adds some milliseconds to their response times, at its pace.
func blockedFiller(rg *rig, trouble bool) error {
	const usual = 50 // ms
	added := 10      // ms
	if trouble {
		added = 60
	}
	rg.latencyOf = func(wo *worker, task string) int {
		if wo.paceOf(jobB) < 0 || task != taskOf(jobA, 0) && task != taskOf(jobA, 1) {
			return usual
		}
		return usual + wo.paceOf(jobB)*added/fullPace
	}
	rg.note("a filling work unit at full pace adds %d ms to response times of %d ms, with a target of 100 ms", added, usual)
	if err := rg.begin(2, 0, []tenant{{"ana", 0}, {"bea", 0}}); err != nil {
		return err
	}
	serving := step{Count: 2, CPU: 8000, MemMB: 1024, GPU: 1, AntiAffinity: 1, LongRunning: true, TargetMS: 100}
	if err := rg.submitAndAwait(jobA, "serve", "ana", serving); err != nil {
		return err
	}
	filling := step{Count: 1, CPU: 8000, MemMB: 1024, LongRunning: true, Fills: true}
	if err := rg.submitAndAwait(jobB, "bulk", "bea", filling); err != nil {
		return err
	}
	rg.checkIdle(taskOf(jobB, 0), filling)
	return nil
}

// allFillersStopped lets two work units that fill, and of which one may be missed, disturb
// one that serves on the same worker.
func allFillersStopped(rg *rig, trouble bool) error {
	added := 10 // ms by each work unit that fills
	if trouble {
		added = 40
	}
	rg.latencyOf = func(wo *worker, task string) int {
		if task != taskOf(jobA, 0) {
			return 0
		}
		return 50 + added*wo.countOf(jobB)
	}
	rg.note("each filling work unit adds %d ms to response times of 50 ms, with a target of 100 ms", added)
	if err := rg.begin(2, 0, []tenant{{"ana", 0}, {"bea", 0}}); err != nil {
		return err
	}
	rg.watch(jobB, 2, 1)
	if err := rg.submitAndAwait(jobA, "serve", "ana", step{Count: 1, CPU: 8000, MemMB: 1024, GPU: 1, LongRunning: true, TargetMS: 100}); err != nil {
		return err
	}
	if err := rg.submitAndAwait(jobB, "bulk", "bea", step{Count: 2, CPU: 8000, MemMB: 1024, LongRunning: true, Fills: true, MayMiss: 1}); err != nil {
		return err
	}
	time.Sleep(2 * calm)
	return nil
}

// upkeepOfTheLastUnit asks for the upkeep of two machines, one at a time, whose workers
// are the only ones with a label. Each runs one of two work units that last, of which one
// may be missed. A more urgent job waits for such a worker.
func upkeepOfTheLastUnit(rg *rig, trouble bool) error {
	if err := rg.startMachines(); err != nil {
		return err
	}
	if err := rg.begin(6, 2, []tenant{{"ana", 0}, {"bea", 0}}); err != nil {
		return err
	}
	rg.watch(jobB, 2, 1)
	serving := step{Count: 2, CPU: 26000, MemMB: 75000, GPU: 8, Requires: "b", LongRunning: true, MayMiss: 1}
	if err := rg.submitAndAwait(jobB, "bulk", "bea", serving); err != nil {
		return err
	}
	if trouble {
		if err := rg.submit(jobA, "serve", "ana", step{Count: 1, CPU: 26000, MemMB: 75000, GPU: 8, Requires: "b", LongRunning: true}); err != nil {
			return err
		}
	}
	time.Sleep(calm)
	rg.store.Put("op/wave/1", object{"wave": 1, "machines": []string{"m-7", "m-8"}, "duration_s": 20, "max_count": 1})
	rg.note("op/wave/1 asks for the upkeep of m-7 and m-8 within 20 s, one at a time")
	time.Sleep(watchTime)
	if value, ok := rg.store.Value("status/wave/1"); ok {
		rg.note("status/wave/1: %s", value)
	}
	return nil
}
