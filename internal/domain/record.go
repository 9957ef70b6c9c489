package domain

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

const (
	// maxPlainUnits is the number of finished units up to which a record lists each
	// of them, as former versions read it. Above that it names ranges.
	maxPlainUnits = 1024
	// maxUnfinishedTasks bounds the tasks of a job that were started and have not
	// succeeded, so that its record fits into a value of the store.
	maxUnfinishedTasks = 5000
	// maxListedWorkers bounds the workers that failed a unit in the record of a job
	// with ranges.
	maxListedWorkers = 8
)

// record returns the state of a job for the store.
func (jb *job) record() batch.Record {
	rc := batch.Record{ID: jb.ID, State: jb.state}
	compact := jb.firstOpen*jb.UnitsPerOccurrence()+jb.finishedUnits() > maxPlainUnits
	if compact {
		rc.Finished = jb.firstOpen
	} else {
		rc.Units = make([]batch.UnitRecord, 0, jb.attempted())
		rc.Units = jb.appendClosed(rc.Units)
	}
	for _, un := range jb.units {
		switch {
		case un.attempt == 0:
		case compact && !un.isOpen():
			rc.Succeeded = appendTask(rc.Succeeded, un)
		default:
			rc.Units = append(rc.Units, un.record(compact))
		}
	}
	return rc
}

// finishedUnits returns the number of finished units of the open occurrences.
func (jb *job) finishedUnits() int {
	left := 0
	for _, n := range jb.stepUnitsLeft {
		left += n
	}
	return len(jb.units) - left
}

// appendClosed appends the units of the finished occurrences that are not held any
// more.
func (jb *job) appendClosed(urs []batch.UnitRecord) []batch.UnitRecord {
	for oc := range jb.firstOpen {
		for stepIndex := range jb.Steps {
			for i := range jb.unitCount(stepIndex) {
				urs = append(urs, batch.UnitRecord{Occurrence: oc, Step: stepIndex, Index: i, Attempt: 1, Done: true})
			}
		}
	}
	return urs
}

// appendTask appends a unit to ranges that are sorted like the units of a job.
func appendTask(trs []batch.TaskRange, un *unit) []batch.TaskRange {
	if n := len(trs); n > 0 {
		tr := &trs[n-1]
		if tr.Occurrence == un.occurrence && tr.Step == un.stepIndex && tr.First+tr.Count == un.index {
			tr.Count++
			return trs
		}
	}
	return append(trs, batch.TaskRange{Occurrence: un.occurrence, Step: un.stepIndex, First: un.index, Count: 1})
}

// record returns the state of a unit for the store.
func (un *unit) record(compact bool) batch.UnitRecord {
	ur := batch.UnitRecord{
		Occurrence: un.occurrence, Step: un.stepIndex, Index: un.index,
		Attempt: un.attempt, Failures: un.failures, Checkpoint: un.checkpoint,
		Done: un.phase == finished, FailedAttempts: un.failedAttempts, Crashes: un.crashRecords(),
	}
	if len(un.avoided) > 0 {
		ur.FailedOn = slices.Sorted(maps.Keys(un.avoided))
		if compact {
			ur.FailedOn = ur.FailedOn[:min(len(ur.FailedOn), maxListedWorkers)]
		}
	}
	un.recordWorkers(&ur)
	return ur
}

// attempted returns the number of units of which there was an attempt.
func (jb *job) attempted() int {
	n := 0
	for _, un := range jb.units {
		if un.attempt > 0 {
			n++
		}
	}
	return n
}

// recordWorkers adds to a record the workers of the runs that have not ended.
// Their addresses and incarnations are added as long as some run may crash its
// worker, which most of these tasks do at once.
func (un *unit) recordWorkers(ur *batch.UnitRecord) {
	if un.allEnded() {
		return
	}
	ur.Live = true
	identify := slices.ContainsFunc(un.runs, (*run).mayBeStarting)
	for _, ru := range un.runs {
		id, address := "", ""
		if ru.stage != ended {
			id, address = ru.node.worker.ID, ru.node.worker.Address
		}
		ur.Workers = append(ur.Workers, id)
		if identify {
			ur.Addresses = append(ur.Addresses, address)
			ur.Incarnations = append(ur.Incarnations, ru.incarnation)
		}
	}
}

// restoreNode returns the node of a recorded worker. If the platform does not
// list the worker, the recorded address tells whether another one has taken its
// place.
func (co *Core) restoreNode(now time.Time, id string, ur batch.UnitRecord, at int) *node {
	nd := co.nodeFor(id)
	if !nd.listed && nd.worker.Address == "" && at < len(ur.Addresses) {
		co.setWorker(now, nd, runner.Worker{ID: id, Address: ur.Addresses[at]})
	}
	return nd
}

// restoreRecord restores the state of a job from the record of an earlier term.
func (co *Core) restoreRecord(now time.Time, jb *job, rc batch.Record) {
	co.restoreRepeats(now, rc)
	jb.state = rc.State
	if rc.State.Final() {
		jb.endedAt = now
		rc = rc.WithLiveUnits()
		if len(rc.Units) == 0 {
			jb.Payload = ""
			return
		}
	}
	jb.skipFinished(rc.Finished)
	jb.openThrough(lastOccurrence(rc))
	for _, tr := range rc.Succeeded {
		jb.restoreSucceeded(tr)
	}
	for _, ur := range rc.Units {
		if un := jb.unitAt(batch.TaskID{Occurrence: ur.Occurrence, Step: ur.Step, Index: ur.Index}); un != nil {
			co.restoreUnit(now, un, ur)
		}
	}
	jb.closeFinished()
}

// restoreSucceeded restores a range of units that have succeeded.
func (jb *job) restoreSucceeded(tr batch.TaskRange) {
	for i := range tr.Count {
		un := jb.unitAt(batch.TaskID{Occurrence: tr.Occurrence, Step: tr.Step, Index: tr.First + i})
		if un == nil {
			return
		}
		un.attempt = 1
		jb.begun = true
		un.markFinished()
	}
}

// restoreUnit restores a unit. Each task whose record names a worker gets a run
// in the stage adopted, until a poll shows whether the task runs there.
func (co *Core) restoreUnit(now time.Time, un *unit, ur batch.UnitRecord) {
	un.attempt = ur.Attempt
	un.failures = ur.Failures
	un.failedAttempts = slices.Clone(ur.FailedAttempts)
	for _, id := range ur.FailedOn {
		un.avoidWorker(id)
	}
	co.restoreFailures(now, un, ur.FailedOn)
	un.restoreCrashes(ur.Crashes)
	un.checkpoint = ur.Checkpoint
	un.job.begun = un.job.begun || ur.Done || ur.Failures > 0 || ur.Checkpoint != ""
	if ur.Done {
		un.markFinished()
	}
	if !ur.Live {
		co.watchCalls(now, un)
		return
	}
	if un.phase != finished {
		un.setPhase(live)
	}
	for i, id := range ur.Workers {
		if id == "" {
			un.markMemberEnded()
			continue
		}
		ru := &run{unit: un, task: un.taskID(i), attempt: un.attempt, stage: adopted, call: co.adoptCall(now, id, un.taskID(i), un.attempt)}
		co.addRun(ru, co.restoreNode(now, id, ur, i))
		ru.incarnation = 0 // the worker may have restarted since the record was written
		if i < len(ur.Incarnations) {
			ru.incarnation = ur.Incarnations[i]
		}
		if ru.isOfFormerIncarnation() {
			ru.lateUntil = co.lateStartEnd(now, ru)
		}
		un.runs = append(un.runs, ru)
	}
	co.markChanged(un)
}
