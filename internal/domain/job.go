package domain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// job is an accepted job with the units that it is made of.
	job struct {
		batch.Job
		state         batch.State
		units         []*unit       // by occurrence, step and index
		criticalPath  time.Duration // declared run time of its longest chain of steps
		stepUnitsLeft []int         // units that are not done, by occurrence and step
		unitsLeft     int           // units that are not done; lasting ones never are
		waitingCount  int           // units in that phase
		everAssured   bool          // some unit of it was, at some time
		currentQueue  batch.Queue   // its queue by the policy below
		queuePolicy   *batch.Policy // that inForce is of
		acceptedAt    time.Time     // when it was accepted
		endedAt       time.Time
		advice        map[stepKey]*advice
		begun         bool                  // some task is known to have run
		firstStart    time.Time             // when the first task was placed, under this core
		stepOutcomes  map[int]*stepOutcomes // by step
		preemptions   int                   // attempts that were stopped for other work, under this core
		lostTime      time.Duration         // of processor time, by these
		version       int                   // counts the changes of what must last
		savedVersion  int                   // that stands in the store
	}

	// unit is what is started as one: a gang, or a single task.
	unit struct {
		job             *job
		occurrence      int
		stepIndex       int // index of the step
		index           int // of the task; zero for a gang
		step            *batch.Step
		tasks           int
		phase           phase
		attempt         int
		failures        int
		failureCounted  bool // a failure of this attempt is in failures
		checkpoint      string
		checkpointAt    time.Time // when a new checkpoint was last listed
		moveFailedAt    time.Time // when it last found no room to be moved to
		runs            []*run    // of the present attempt, by task
		recordVersion   int       // of the job, that records the attempt
		avoided         map[string]bool
		preemptions     int       // times that it was stopped for other work
		preemptTriedAt  time.Time // when it last searched for work that could make way
		assured         bool      // counts against the guarantee of its workspace
		claim           []*node
		broken          bool      // a task of the present attempt is over that runs do not name
		notBefore       time.Time // not placed before
		stoppedAt       time.Time // when its present attempt was to be stopped
		overdueReported bool      // it was said that the stop takes too long
	}

	// phase is where a unit stands.
	phase uint8
)

// The phases.
const (
	waiting  phase = iota
	placed         // its attempt is being recorded
	live           // its starts were sent
	stopping       // some task is over or is to be stopped, so all are
	finished
)

// lateFactor times the objective is when a job stops earning anything.
const lateFactor = 3

func newJob(jb batch.Job, now time.Time) *job {
	jo := &job{
		Job: jb, state: batch.Queued, acceptedAt: now, criticalPath: jb.LongestChain(),
		stepUnitsLeft: make([]int, jb.Occurrences()*len(jb.Steps)),
	}
	for oc := range jb.Occurrences() {
		for at := range jb.Steps {
			jo.addUnits(oc, at)
		}
	}
	jo.unitsLeft = len(jo.units)
	jo.waitingCount = len(jo.units)
	return jo
}

func (jb *job) addUnits(occurrence, at int) {
	step := &jb.Steps[at]
	count, tasks := jb.unitsOf(at), 1
	if step.Gang {
		tasks = step.Tasks
	}
	for i := range count {
		jb.units = append(jb.units, &unit{job: jb, occurrence: occurrence, stepIndex: at, index: i, step: step, tasks: tasks})
	}
	jb.stepUnitsLeft[occurrence*len(jb.Steps)+at] = count
}

// unitsOf returns how many units a step has in each occurrence.
func (jb *job) unitsOf(at int) int {
	if jb.Steps[at].Gang {
		return 1
	}
	return jb.Steps[at].Tasks
}

// unitAt returns the unit that a task belongs to; nil if there is none.
func (jb *job) unitAt(ti batch.TaskID) *unit {
	if ti.Step < 0 || ti.Step >= len(jb.Steps) || ti.Occurrence < 0 || ti.Occurrence >= jb.Occurrences() {
		return nil
	}
	unitsPerOccurrence, before := 0, 0
	for at := range jb.Steps {
		if at < ti.Step {
			before += jb.unitsOf(at)
		}
		unitsPerOccurrence += jb.unitsOf(at)
	}
	index := ti.Index
	if jb.Steps[ti.Step].Gang {
		index = 0
	}
	if index < 0 || index >= jb.unitsOf(ti.Step) {
		return nil
	}
	return jb.units[ti.Occurrence*unitsPerOccurrence+before+index]
}

// ageOf returns how long ago a job was accepted. The clocks of the host that
// accepted it and of this one may differ by seconds.
func ageOf(now time.Time, jb batch.Job) time.Duration {
	if jb.Accepted.IsZero() {
		return 0
	}
	return max(0, now.Sub(jb.Accepted))
}

// acceptJob takes in a job that is new to this core.
func (co *Core) acceptJob(now time.Time, jb batch.Job) {
	if _, ok := co.jobs[jb.ID]; ok {
		return
	}
	co.addJob(newJob(jb, now))
	co.passDue = true
}

// cancelJob ends a job at the wish of its caller.
func (co *Core) cancelJob(now time.Time, id string) {
	jb, ok := co.jobs[id]
	if !ok || jb.state.Final() {
		return
	}
	co.endJob(now, jb, batch.Cancelled, "cancelled by its caller")
}

// endJob gives a job its final state and stops whatever runs of it.
func (co *Core) endJob(now time.Time, jb *job, st batch.State, reason string) {
	waited := jb.waited(now)
	jb.state = st
	jb.endedAt = now
	co.markDirty(jb)
	co.emit(Noted{
		Decision: "jobEnds", Job: jb.ID, Queue: jb.Queue.Name, Waited: waited, Took: now.Sub(jb.acceptedAt),
		Stops: jb.preemptions, Lost: jb.lostTime, Reason: st.String() + ": " + reason,
	})
	for _, un := range jb.units {
		co.releaseClaim(un)
		co.markChanged(un)
	}
	co.passDue = true
}

// waited returns how long a job has waited for its first start; zero if a former
// core has begun it, which does not say when.
func (jb *job) waited(now time.Time) time.Duration {
	switch {
	case !jb.firstStart.IsZero():
		return jb.firstStart.Sub(jb.acceptedAt)
	case jb.state == batch.Queued:
		return now.Sub(jb.acceptedAt)
	default:
		return 0
	}
}

// record returns what must last of a job.
func (jb *job) record() batch.Record {
	rc := batch.Record{ID: jb.ID, State: jb.state}
	for _, un := range jb.units {
		if un.attempt == 0 {
			continue
		}
		ur := batch.UnitRecord{
			Occurrence: un.occurrence, Step: un.stepIndex, Index: un.index,
			Attempt: un.attempt, Failures: un.failures, Checkpoint: un.checkpoint,
			Done: un.phase == finished, Counted: un.failureCounted,
		}
		if len(un.avoided) > 0 {
			ur.FailedOn = slices.Sorted(maps.Keys(un.avoided))
		}
		for _, ru := range un.runs {
			name := ""
			if ru.stage != ended {
				ur.Live = true
				name = ru.node.worker.ID
			}
			ur.Workers = append(ur.Workers, name)
		}
		if !ur.Live {
			ur.Workers = nil
		}
		rc.Units = append(rc.Units, ur)
	}
	return rc
}

// adoptRecord takes over the progress that a former core has recorded.
func (co *Core) adoptRecord(now time.Time, jb *job, rc batch.Record) {
	jb.state = rc.State
	if rc.State.Final() {
		jb.endedAt = now
	}
	byPosition := make(map[[3]int]*unit, len(jb.units))
	for _, un := range jb.units {
		byPosition[[3]int{un.occurrence, un.stepIndex, un.index}] = un
	}
	for _, ur := range rc.Units {
		if un, ok := byPosition[[3]int{ur.Occurrence, ur.Step, ur.Index}]; ok {
			co.adoptUnit(now, un, ur)
		}
	}
}

func (co *Core) adoptUnit(now time.Time, un *unit, ur batch.UnitRecord) {
	un.attempt = ur.Attempt
	un.failures = ur.Failures
	un.failureCounted = ur.Counted
	for _, id := range ur.FailedOn {
		un.avoidWorker(id)
	}
	co.adoptFailures(now, un, ur.FailedOn)
	un.checkpoint = ur.Checkpoint
	un.job.begun = un.job.begun || ur.Done || ur.Failures > 0 || ur.Checkpoint != ""
	if ur.Done {
		un.markFinished()
	}
	if !ur.Live {
		return
	}
	if un.phase != finished {
		un.setPhase(live)
	}
	for i, id := range ur.Workers {
		if id == "" {
			un.markBroken()
			continue
		}
		ru := &run{unit: un, task: un.taskID(i), attempt: un.attempt, stage: adopted}
		co.addRun(ru, co.nodeFor(now, id))
		un.runs = append(un.runs, ru)
	}
	co.markChanged(un)
}

// avoidWorker has a unit avoid a worker.
func (un *unit) avoidWorker(worker string) {
	if un.avoided == nil {
		un.avoided = map[string]bool{}
	}
	un.avoided[worker] = true
}

// markBroken notes that a task is over, so that the others are to be stopped.
func (un *unit) markBroken() {
	if un.phase == live {
		un.broken = true
	}
}

// taskID names the task at an index of the unit's runs.
func (un *unit) taskID(i int) batch.TaskID {
	return batch.TaskID{Job: un.job.ID, Occurrence: un.occurrence, Step: un.stepIndex, Index: un.index + i}
}

// unavailableTasks counts the other tasks of a unit's step that are not at work.
func (jb *job) unavailableTasks(un *unit) int {
	n := 0
	for _, other := range jb.units {
		if other != un && other.stepIndex == un.stepIndex && other.occurrence == un.occurrence && !other.available() {
			n += other.tasks
		}
	}
	return n
}

// available tells whether every task of a lasting unit is past its startup.
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

// preemptible tells whether a unit may be stopped for other work.
func (un *unit) preemptible() bool {
	return !un.step.Lasting || un.step.MayMiss == 0 || un.job.unavailableTasks(un) < un.step.MayMiss
}

// stepReady tells whether the units of a unit's step may begin.
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

func (jb *job) stepDone(occurrence, at int) bool {
	return jb.stepUnitsLeft[occurrence*len(jb.Steps)+at] == 0
}

// setPhase moves a unit to a phase.
func (un *unit) setPhase(ph phase) {
	if un.phase == waiting {
		un.job.waitingCount--
	}
	if ph == waiting {
		un.job.waitingCount++
	}
	un.phase = ph
}

// markFinished notes that the unit has succeeded.
func (un *unit) markFinished() {
	un.setPhase(finished)
	un.job.unitsLeft--
	un.job.stepUnitsLeft[un.occurrence*len(un.job.Steps)+un.stepIndex]--
}

// objectiveStart is when the objective of an occurrence begins to count.
func (un *unit) objectiveStart() time.Time {
	if due := un.job.Due(un.occurrence); !due.IsZero() {
		return due
	}
	return un.job.acceptedAt
}

// deadline is until when the unit's job meets its objective.
func (un *unit) deadline() time.Time {
	return un.objectiveStart().Add(un.job.Queue.Objective(un.job.criticalPath))
}

// compareJobs orders jobs as they came.
func compareJobs(a, b *job) int {
	return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
}

func compareUnits(a, b *unit) int {
	return cmp.Or(
		compareJobs(a.job, b.job),
		cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.stepIndex, b.stepIndex), cmp.Compare(a.index, b.index),
	)
}
