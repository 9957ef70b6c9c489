package domain

import (
	"cmp"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// job is an accepted job with its units.
	job struct {
		batch.Job
		state          batch.State
		units          []*unit       // of the open occurrences, sorted by occurrence, step and index
		firstOpen      int           // the first open occurrence; all before it have finished
		nextOpen       int           // the first occurrence that is not open yet
		criticalPath   time.Duration // declared run time of the longest chain of steps
		stepUnitsLeft  []int         // units not finished, by open occurrence and step
		unitsLeft      int           // units not finished; units of long-running steps (batch.Step.LongRunning) never finish
		waitingUnits   int           // units in phase waiting
		liveUnits      int           // units in phase live
		everGuaranteed bool          // some unit counts or has counted against the guarantee of the workspace
		currentQueue   batch.Queue   // the queue as of queuePolicy
		queuePolicy    *batch.Policy // the policy that currentQueue was read from
		acceptedAt     time.Time
		unseen         time.Duration // from its acceptance until acceptedAt, by the clock of the host that accepted it; for the log
		endedAt        time.Time
		advice         map[stepKey]*advice
		begun          bool                  // some task is known to have run
		firstPlacedAt  time.Time             // when the first task was placed, in this term
		stepOutcomes   map[int]*stepOutcomes // by step
		preemptions    int                   // attempts that were stopped for other work, in this term
		lostTime       time.Duration         // processor time lost by preemptions, in core equivalents
		version        int                   // incremented by every change that has to be stored
		savedVersion   int                   // last version in the store
	}

	// unit is what is started as a whole: a gang, or a single task.
	unit struct {
		job               *job
		occurrence        int
		stepIndex         int
		index             int // of the task; zero for a gang
		step              *batch.Step
		tasks             int // number of tasks
		phase             unitPhase
		attempt           int
		failures          int
		failedAttempts    []int                // attempts that failures includes, as far as they are known
		abandonedRuns     int                  // runs of attempts that were given up and that workers still list
		crashes           map[int]crashHistory // by index of the task within its step; nil if no worker has crashed
		checkpoint        string
		checkpointAt      time.Time       // when a new checkpoint was last reported
		moveFailedAt      time.Time       // when a search for capacity to move it to last found none
		runs              []*run          // of the current attempt, by task
		watched           bool            // see Core.watched
		bound             bool            // calls that have started its attempts restrict where the next one begins; see bound.go
		recordVersion     int             // version of the job that records the attempt
		avoided           map[string]bool // IDs of workers that failed it, let it hang or refused its start
		preemptions       int             // in this term
		protectedUntil    time.Time       // see isProtected
		reservation       reservation     // as last made for it
		claimCheckedAt    time.Time       // when waitForClaim last looked for other room
		preemptTriedAt    time.Time       // when victims were last searched for
		guaranteed        bool            // counts against the guarantee of its workspace, so it can't be preempted
		claim             []*node         // workers where capacity is allocated for its next attempt, by task
		triedIn           rounds          // the last rounds in which a pass has tried it
		startQueued       bool            // its starts wait for other calls to return; see pacer
		memberEnded       bool            // a task had ended when the attempt was recorded, so it has no run
		notBefore         time.Time       // earliest time of placement; see openLossHold
		stopRequestedAt   time.Time       // when the stop of the current attempt was requested
		stuckStopReported bool            // see reportStuckStops
	}

	// unitPhase is the state of a unit. The state of each of its runs is a stage.
	unitPhase uint8
)

// The phases of a unit.
const (
	waiting  unitPhase = iota
	placed             // its attempt is being recorded
	live               // its starts were sent
	stopping           // some task has ended or is being stopped, so all are
	finished
)

// noValueFactor is the multiple of the objective after which a job has no value
// any more.
const noValueFactor = 3

// newJob returns a queued job without units; see openDue. acceptedAt is by the
// local clock; see ageOf.
func newJob(jb batch.Job, acceptedAt time.Time) *job {
	jo := &job{Job: jb, state: batch.Queued, acceptedAt: acceptedAt, criticalPath: jb.CriticalPath()}
	jo.unitsLeft = jb.Occurrences() * jo.UnitsPerOccurrence()
	return jo
}

func (jb *job) addUnits(occurrence, stepIndex int) {
	step := &jb.Steps[stepIndex]
	count, tasks := jb.unitCount(stepIndex), 1
	if step.Gang {
		tasks = step.Tasks
	}
	for i := range count {
		jb.units = append(jb.units, &unit{job: jb, occurrence: occurrence, stepIndex: stepIndex, index: i, step: step, tasks: tasks})
	}
	jb.stepUnitsLeft = append(jb.stepUnitsLeft, count)
	jb.waitingUnits += count
}

// unitCount returns the number of units of a step in each occurrence.
func (jb *job) unitCount(stepIndex int) int {
	return jb.Steps[stepIndex].Units()
}

// unitAt returns the unit of a task, or nil if there is none or its occurrence is
// not open.
func (jb *job) unitAt(ti batch.TaskID) *unit {
	if ti.Step < 0 || ti.Step >= len(jb.Steps) || ti.Occurrence < jb.firstOpen || ti.Occurrence >= jb.nextOpen || len(jb.units) == 0 {
		return nil
	}
	unitsPerOccurrence, before := 0, 0
	for stepIndex := range jb.Steps {
		if stepIndex < ti.Step {
			before += jb.unitCount(stepIndex)
		}
		unitsPerOccurrence += jb.unitCount(stepIndex)
	}
	index := ti.Index
	if jb.Steps[ti.Step].Gang {
		index = 0
	}
	if index < 0 || index >= jb.unitCount(ti.Step) {
		return nil
	}
	return jb.units[(ti.Occurrence-jb.firstOpen)*unitsPerOccurrence+before+index]
}

// ageOf returns the time since a job was accepted, by the clock of the host
// that accepted it, which may differ by seconds from the local one.
func ageOf(now time.Time, jb batch.Job) time.Duration {
	if jb.Accepted.IsZero() {
		return 0
	}
	return max(0, now.Sub(jb.Accepted))
}

// acceptJob adds a job unless it is known already.
func (co *Core) acceptJob(now time.Time, jb batch.Job) {
	if _, ok := co.jobs[jb.ID]; ok {
		return
	}
	jo := newJob(jb, now)
	jo.unseen = ageOf(now, jb)
	co.addJob(jo)
	co.passDue = true
}

// cancelJob ends a job at the request of its caller.
func (co *Core) cancelJob(now time.Time, id string) {
	jb, ok := co.jobs[id]
	if !ok || jb.state.Final() {
		return
	}
	co.endJob(now, jb, batch.Cancelled, "cancelled by its caller")
}

// endJob sets the final state of a job and stops its tasks.
func (co *Core) endJob(now time.Time, jb *job, st batch.State, reason string) {
	waited := jb.waited(now)
	jb.state = st
	jb.endedAt = now
	co.markDirty(jb)
	co.commits.jobEnded = true
	co.emit(LogDecision{
		Decision: "jobEnds", Job: jb.ID, Queue: jb.Queue.Name, Waited: waited, Duration: jb.unseen + now.Sub(jb.acceptedAt),
		Preemptions: jb.preemptions, Lost: jb.lostTime, Reason: st.String() + ": " + reason,
	})
	for _, un := range jb.units {
		co.releaseClaim(un)
		co.markChanged(un)
	}
	co.passDue = true
}

// waited returns how long a job waited for its first placement. It returns zero
// if that was in an earlier term, since records don't contain the time.
func (jb *job) waited(now time.Time) time.Duration {
	switch {
	case !jb.firstPlacedAt.IsZero():
		return jb.unseen + jb.firstPlacedAt.Sub(jb.acceptedAt)
	case jb.state == batch.Queued:
		return jb.unseen + now.Sub(jb.acceptedAt)
	default:
		return 0
	}
}

// avoidWorker adds a worker to those that a unit avoids.
func (un *unit) avoidWorker(worker string) {
	if un.avoided == nil {
		un.avoided = map[string]bool{}
	}
	un.avoided[worker] = true
}

// markMemberEnded marks a live unit one of whose tasks had ended when the
// attempt was recorded, so that the others are stopped.
func (un *unit) markMemberEnded() {
	if un.phase == live {
		un.memberEnded = true
	}
}

// taskID returns the ID of the task at an index of the unit's runs.
func (un *unit) taskID(i int) batch.TaskID {
	return batch.TaskID{Job: un.job.ID, Occurrence: un.occurrence, Step: un.stepIndex, Index: un.index + i}
}

// unavailableTasks counts the tasks of a unit's step, outside the unit, that
// are not available.
func (jb *job) unavailableTasks(un *unit) int {
	n := 0
	for _, other := range jb.units {
		if other != un && other.stepIndex == un.stepIndex && other.occurrence == un.occurrence && !other.available() {
			n += other.tasks
		}
	}
	return n
}

// available reports whether every task of a long-running unit has completed its
// startup.
func (un *unit) available() bool {
	if un.phase != live {
		return false
	}
	for _, ru := range un.runs {
		if ru.stage != running || ru.percent < 100 {
			return false
		}
	}
	return true
}

// preemptible reports whether a unit may be stopped for other work.
func (un *unit) preemptible() bool {
	return !un.step.LongRunning || un.step.MaxUnavailable == 0 || un.job.unavailableTasks(un) < un.step.MaxUnavailable
}

// stepReady reports whether the units of a unit's step may begin.
func (un *unit) stepReady(now time.Time) bool {
	if due := un.job.Due(un.occurrence); now.Before(due) {
		return false
	}
	for _, before := range un.step.After {
		if !un.job.stepDone(un.occurrence, before) {
			return false
		}
	}
	return true
}

// stepDone reports whether all units of a step are finished in an occurrence.
func (jb *job) stepDone(occurrence, stepIndex int) bool {
	return jb.stepUnitsLeft[jb.stepPosition(occurrence, stepIndex)] == 0
}

// stepPosition returns the position of a step of an open occurrence in
// stepUnitsLeft.
func (jb *job) stepPosition(occurrence, stepIndex int) int {
	return (occurrence-jb.firstOpen)*len(jb.Steps) + stepIndex
}

// setPhase sets the phase of a unit.
func (un *unit) setPhase(ph unitPhase) {
	if un.phase == waiting {
		un.job.waitingUnits--
	}
	if ph == waiting {
		un.job.waitingUnits++
	}
	if un.phase == live {
		un.job.liveUnits--
	}
	if ph == live {
		un.job.liveUnits++
	}
	un.phase = ph
}

// markFinished sets the phase of a unit that has succeeded.
func (un *unit) markFinished() {
	un.setPhase(finished)
	un.job.unitsLeft--
	un.job.stepUnitsLeft[un.job.stepPosition(un.occurrence, un.stepIndex)]--
}

// objectiveStart returns the time from which the objective of a unit's
// occurrence is measured: its due time or, without one, the acceptance.
func (un *unit) objectiveStart() time.Time {
	if due := un.job.Due(un.occurrence); !due.IsZero() {
		return due
	}
	return un.job.acceptedAt
}

// deadline returns the time by which a unit has to end for its job to meet the
// objective.
func (un *unit) deadline() time.Time {
	return un.objectiveStart().Add(un.job.Queue.Objective(un.job.criticalPath))
}

// compareJobs orders jobs by acceptance.
func compareJobs(a, b *job) int {
	return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
}

func compareUnits(a, b *unit) int {
	return cmp.Or(
		compareJobs(a.job, b.job),
		cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.stepIndex, b.stepIndex), cmp.Compare(a.index, b.index),
	)
}
