package domain

import (
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// sendLooks starts the looks that are due at nodes that were woken. A tick wakes
// all of them.
func (co *Core) sendLooks(now time.Time) {
	woken := co.woken
	co.woken = co.woken[:0]
	for _, nd := range woken {
		if nd.looking || now.Before(nd.nextLook) || nd.worker.Address == "" || co.nodes[nd.worker.ID] != nd {
			continue
		}
		rq := runner.LookRequest{Token: co.token, Seen: nd.seen}
		switch {
		case nd.silent() && (nd.listed || len(nd.runs) > 0):
			// Grants no leases, since nothing would bound them while the
			// worker is silent. An idle one is asked, too, until it answers.
		case len(nd.runs) > 0:
			rq.Deadline = nd.grant(now)
			rq.Wait = lookWait
			if len(nd.ends) > 0 {
				rq.Wait = 0
			}
		case nd.seen > nd.told:
		default:
			continue
		}
		nd.looking = true
		co.emit(Look{Worker: nd.worker, Sent: now, Request: rq})
	}
}

// lookExtra looks at a worker at once, beside a look that waits.
func (co *Core) lookExtra(now time.Time, nd *node) {
	rq := runner.LookRequest{Token: co.token, Seen: nd.seen}
	co.emit(Look{Worker: nd.worker, Sent: now, Request: rq, Extra: true})
}

// looked takes the outcome of a look.
func (co *Core) looked(now time.Time, ev Looked) {
	if errors.Is(ev.Err, runner.ErrFenced) {
		co.resign("worker " + ev.Call.Worker.ID + " has seen a larger token")
		return
	}
	nd, ok := co.nodes[ev.Call.Worker.ID]
	if !ok {
		return
	}
	if !ev.Call.Extra {
		nd.looking = false
	}
	co.wake(nd)
	if ev.Err != nil {
		co.lookFailed(now, nd, ev)
		return
	}
	if ev.Look.Born != 0 && nd.worker.Born != 0 && ev.Look.Born < nd.worker.Born {
		return // of a former life
	}
	if ev.Look.Born > nd.worker.Born && nd.worker.Born != 0 {
		co.reborn(now, nd, ev.Look.Born)
	}
	if nd.worker.Born == 0 {
		nd.worker.Born = ev.Look.Born
	}
	if nd.answered.IsZero() || nd.failed.After(nd.answered) {
		co.pass = true
	}
	nd.answered = now
	nd.clock, nd.clockAt = ev.Look.Clock, now
	nd.told = max(nd.told, ev.Call.Request.Seen)
	co.compare(now, nd, ev)
	nd.nextLook = now
	if len(nd.ends) > 0 {
		nd.nextLook = now.Add(lookGap)
	}
}

func (co *Core) lookFailed(now time.Time, nd *node, ev Looked) {
	nd.nextLook = now.Add(retryLook)
	if nd.failed.Before(nd.answered) || nd.failed.IsZero() {
		co.emit(Noted{Decision: "lookFails", Worker: nd.worker.ID, Reason: ev.Err.Error()})
	}
	nd.failed = now
	if errors.Is(ev.Err, runner.ErrOtherLife) {
		nd.listed = false
		co.endLife(now, nd)
	}
}

// compare brings the runs of a worker in line with what it has listed.
func (co *Core) compare(now time.Time, nd *node, ev Looked) {
	listed := make(map[runKey]bool, len(ev.Look.Running))
	for _, rn := range ev.Look.Running {
		key := runKey{rn.Task, rn.Attempt}
		listed[key] = true
		co.observe(now, nd, key, rn)
	}
	for _, en := range ev.Look.Ended {
		if en.Number <= nd.processed {
			continue
		}
		nd.processed = en.Number
		co.ended(now, nd, en)
		nd.ends = append(nd.ends, co.holdEnd(en))
		co.holding[nd] = true
	}
	for _, ru := range nd.sortedRuns() {
		if !listed[runKey{ru.task, ru.attempt}] {
			co.unseen(now, ru, ev.Call.Sent)
		}
	}
	co.acknowledge(nd)
}

// observe takes a run that a worker has listed. One that no record names, or
// that should not run, is stopped.
func (co *Core) observe(now time.Time, nd *node, key runKey, rn runner.Run) {
	ru, ok := nd.runs[key]
	if !ok {
		co.stray(now, nd, rn)
		return
	}
	if ru.stage == starting || ru.stage == adopted {
		ru.stage = running
		ru.movedAt = now
	}
	ru.lostAt = time.Time{}
	if ru.seenAt.IsZero() {
		ru.seenAt = now
		ru.began = now
		if ru.unit != nil {
			ru.began = now.Add(-ru.unit.step.RunTime / 100 * time.Duration(rn.Percent))
		}
	}
	if ru.firstAt.IsZero() {
		ru.firstAt, ru.firstPercent = now, rn.Percent
	}
	if rn.Percent != ru.percent {
		ru.percent = rn.Percent
		ru.movedAt = now
	}
	if ru.unit != nil && ru.unit.attempt == ru.attempt {
		ru.unit.job.begun = true
		co.observeLoad(now, ru, rn.Load)
		co.noteCheckpoint(now, ru, rn.Checkpoint)
		ru.unit.keep(ru, rn.Checkpoint)
	}
}

// stray stops a run that this core does not know, and keeps its room taken.
func (co *Core) stray(now time.Time, nd *node, rn runner.Run) {
	ru := &run{task: rn.Task, attempt: rn.Attempt, node: nd, stage: running, seenAt: now}
	nd.add(ru)
	co.emit(Noted{Decision: "stops", Job: rn.Task.Job, Task: rn.Task.String(), Attempt: rn.Attempt, Worker: nd.worker.ID, Reason: "no record names it"})
	co.stopRun(now, ru)
}

// unseen judges a run that a look, sent at a certain time, has not listed.
func (co *Core) unseen(now time.Time, ru *run, sent time.Time) {
	switch {
	case ru.stage == adopted:
		// The look carries the larger token, so a start of the former core can't
		// take effect any more.
		co.finishRun(ru)
	case known(ru.seenAt, sent), known(ru.stop.acked, sent):
		co.finishRun(ru)
	case known(ru.lostAt, sent):
		co.stopLone(now, ru)
	}
}

// known tells whether something had happened by the time at which a look was
// sent.
func known(at, sent time.Time) bool { return !at.IsZero() && !at.After(sent) }

// holdEnd ties an end to the version of its job that counts it.
func (co *Core) holdEnd(en runner.End) heldEnd {
	he := heldEnd{number: en.Number}
	if jb, ok := co.jobs[en.Task.Job]; ok && jb.savedVersion < jb.version {
		he.job = jb
		he.version = jb.version
	}
	return he
}

// acknowledge moves past the ends that are in the store.
func (co *Core) acknowledge(nd *node) {
	for len(nd.ends) > 0 {
		he := nd.ends[0]
		if he.job != nil && he.job.savedVersion < he.version {
			return
		}
		nd.seen = he.number
		nd.ends = nd.ends[1:]
	}
}
