// Package batch defines the data types of batch jobs: the submission of a
// caller, the progress that a scheduler records, and the queues and workspaces
// that determine how a job is scheduled.
//
// A job is a list of steps. A step consists of a number of identical tasks,
// which start once all tasks of the steps it depends on have succeeded. The
// tasks of a gang step start and end together; the tasks of other steps are
// independent. A unit is what the scheduler starts as a whole: a gang or a
// single task.
//
// Values are immutable; methods named With... return modified copies.
package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

type (
	// Resources is the demand of a task or the capacity of a worker.
	Resources struct {
		MilliCPU     int `json:"milliCpu,omitempty"` // thousandths of a core
		MemoryMB     int `json:"memoryMb,omitempty"`
		Accelerators int `json:"accelerators,omitempty"`
	}

	// Step is a number of identical tasks.
	Step struct {
		Tasks          int           `json:"tasks"`
		Needs          Resources     `json:"needs"`                 // of each task
		RunTime        time.Duration `json:"runTime,omitempty"`     // of each task, as declared by the caller; may be far off
		After          []int         `json:"after,omitempty"`       // indices of the steps it depends on, all lower than its own
		Gang           bool          `json:"gang,omitempty"`        // its tasks start and end together
		OneRack        bool          `json:"oneRack,omitempty"`     // runs much slower when spread over several racks
		Checkpoints    bool          `json:"checkpoints,omitempty"` // its tasks save checkpoints and resume from them
		Label          string        `json:"label,omitempty"`       // that a worker must have to run its tasks; empty for no restriction
		DataRack       string        `json:"rack,omitempty"`        // location of its data; runs much slower elsewhere
		PerWorker      int           `json:"perWorker,omitempty"`   // maximum number of its tasks on one worker; zero for no limit
		LongRunning    bool          `json:"lasting,omitempty"`     // does not end until the job is cancelled
		BestEffort     bool          `json:"filling,omitempty"`     // uses only processor time that other tasks leave idle
		TargetLatency  time.Duration `json:"target,omitempty"`      // tail latency objective of a long-running step that serves requests
		MaxUnavailable int           `json:"mayMiss,omitempty"`     // maximum number of unavailable tasks of a long-running step; zero for no limit
	}

	// Schedule repeats the steps of a job periodically.
	Schedule struct {
		First time.Time     `json:"first"` // earliest start of the first occurrence
		Every time.Duration `json:"every"` // between the earliest starts of two occurrences
		Count int           `json:"count"` // number of occurrences
	}

	// Job is a job as submitted by a caller.
	Job struct {
		ID        string    `json:"id"`
		Workspace string    `json:"workspace,omitempty"`
		Queue     Queue     `json:"queue"` // as configured when the job was accepted
		Payload   string    `json:"payload,omitempty"`
		Steps     []Step    `json:"steps"`
		Schedule  *Schedule `json:"schedule,omitempty"`
		Accepted  time.Time `json:"accepted"` // according to the clock of the host that accepted it
	}

	// TaskID identifies one task.
	TaskID struct {
		Job        string
		Occurrence int // of the schedule; zero for a job without one
		Step       int // index into Job.Steps
		Index      int // within the step
	}

	// State is the state of a job.
	State uint8

	// Record is the persistent progress of a job. Units lists the units that have
	// been started at least once, except for those that Finished and Succeeded
	// cover.
	Record struct {
		ID        string
		State     State
		Finished  int // all tasks of this many first occurrences have succeeded
		Succeeded []TaskRange
		Units     []UnitRecord
		// RepeatedStarts are the starts that were, or may be, sent to their workers more
		// than once, so that a copy may arrive although another one was carried out. They
		// outlive their units and the job.
		RepeatedStarts []RepeatedStart
	}

	// RepeatedStart names a start of an attempt on a worker.
	RepeatedStart struct {
		Task    TaskID // of the record's job
		Attempt int
		Worker  string
	}

	// TaskRange is a range of units of one step of an occurrence.
	TaskRange struct {
		Occurrence int
		Step       int
		First      int // index of the first unit
		Count      int
	}

	// UnitRecord is the persistent progress of one unit. Live says that tasks
	// of the attempt may be running on Workers, which has one name per task.
	// The name is empty for a task that has ended.
	UnitRecord struct {
		Occurrence int
		Step       int
		Index      int // of the task within its step; zero for a gang
		Attempt    int // number of the last attempt, from 1
		Failures   int // number of failed attempts; not counted for a long-running step
		Workers    []string
		Checkpoint string // the newest one reported, from which an attempt resumes; empty for none
		Live       bool
		Done       bool
		FailedOn   []string // workers on which attempts failed
		// FailedAttempts are the numbers of the attempts that Failures includes. A
		// record of a former version names the last attempt at most.
		FailedAttempts []int
		// Addresses and Incarnations belong to Workers, as far as they are known,
		// so that a successor recognizes a worker that has restarted or was
		// replaced; see runner.Worker.Incarnation.
		Addresses    []string // IP:port
		Incarnations []uint32
		Crashes      []TaskCrashes
	}

	// TaskCrashes sums up the crashes of workers under a task. MinAge and MaxAge
	// bound the ages that the task's attempts had at all of these crashes.
	TaskCrashes struct {
		Index     int // of the task within its step
		Count     int
		Confirmed int // crashes of workers that had confirmed the start of the task
		Suspected int // crashes that the task has probably caused
		MinAge    time.Duration
		MaxAge    time.Duration // zero if there is no upper bound
		Lone      int           // crashes of workers that were lost alone, at any age
		LoneAge   time.Duration // largest age of an attempt at one of these
	}
)

// The states of a job. Done, Failed and Cancelled are final.
const (
	Queued State = iota + 1
	Running
	Done
	Failed
	Cancelled
)

// The limits of a submission.
const (
	MaxSteps         = 64
	MaxTasks         = 4096    // per step
	maxRunTimeMillis = 1 << 40 // declared run time of a task
	maxAmount        = 1 << 30 // of each kind, in its unit

	// maxJobTasks bounds the tasks of all occurrences of a job.
	maxJobTasks = MaxSteps * MaxTasks
	// maxYear is the last year that the stored form of a time can express.
	maxYear = 9999
	// maxScheduleSpan bounds the time between the first and the last occurrence.
	maxScheduleSpan = 100 * 365 * 24 * time.Hour
)

var stateNames = [...]string{Queued: "queued", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled"}

// String returns the name of the state, or "none" for an unknown one.
func (st State) String() string {
	if st < Queued || st > Cancelled {
		return "none"
	}
	return stateNames[st]
}

// Final reports whether the state is final.
func (st State) Final() bool { return st >= Done }

// String returns the name of the task as used in logs.
func (ti TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", ti.Job, ti.Occurrence, ti.Step, ti.Index)
}

// Compare orders tasks by job, occurrence, step and index.
func (ti TaskID) Compare(other TaskID) int {
	return cmp.Or(
		strings.Compare(ti.Job, other.Job), cmp.Compare(ti.Occurrence, other.Occurrence),
		cmp.Compare(ti.Step, other.Step), cmp.Compare(ti.Index, other.Index),
	)
}

// WithState returns a copy of the record with the given state.
func (rc Record) WithState(st State) Record {
	rc.State = st
	return rc
}

// WithLiveUnits returns a copy of the record with only those units of which tasks
// may be running.
func (rc Record) WithLiveUnits() Record {
	var live []UnitRecord
	for _, ur := range rc.Units {
		if ur.Live {
			live = append(live, ur)
		}
	}
	rc.Units, rc.Succeeded = live, nil
	return rc
}

// Plus returns the sum of two amounts of resources.
func (rs Resources) Plus(other Resources) Resources {
	rs.MilliCPU += other.MilliCPU
	rs.MemoryMB += other.MemoryMB
	rs.Accelerators += other.Accelerators
	return rs
}

// Minus returns the difference of two amounts of resources, which may be
// negative.
func (rs Resources) Minus(other Resources) Resources {
	rs.MilliCPU -= other.MilliCPU
	rs.MemoryMB -= other.MemoryMB
	rs.Accelerators -= other.Accelerators
	return rs
}

// Covers reports whether other fits into rs.
func (rs Resources) Covers(other Resources) bool {
	return rs.MilliCPU >= other.MilliCPU && rs.MemoryMB >= other.MemoryMB && rs.Accelerators >= other.Accelerators
}

// Reserved returns the part of a worker's capacity that a task of the step
// reserves. A step that uses only idle processor time reserves no processor time.
func (sp Step) Reserved() Resources {
	rs := sp.Needs
	if sp.BestEffort {
		rs.MilliCPU = 0
	}
	return rs
}

// Occurrences returns the number of times that the steps of the job are run.
func (jb Job) Occurrences() int {
	if jb.Schedule == nil {
		return 1
	}
	return jb.Schedule.Count
}

// Due returns the earliest start time of an occurrence. It is zero for a job
// without a schedule.
func (jb Job) Due(occurrence int) time.Time {
	if jb.Schedule == nil {
		return time.Time{}
	}
	return jb.Schedule.First.Add(time.Duration(occurrence) * jb.Schedule.Every)
}

// CriticalPath returns the declared run time of the critical path, that is, of
// the longest chain of dependent steps.
func (jb Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(jb.Steps))
	var longest time.Duration
	for i, sp := range jb.Steps {
		for _, dep := range sp.After {
			ends[i] = max(ends[i], ends[dep])
		}
		ends[i] += sp.RunTime
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate returns an error if the number of steps, a step or the schedule is
// invalid.
func (jb Job) Validate() error {
	if len(jb.Steps) == 0 || len(jb.Steps) > MaxSteps {
		return fmt.Errorf("a job needs 1 to %d steps, not %d", MaxSteps, len(jb.Steps))
	}
	for i, sp := range jb.Steps {
		if err := sp.check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	if jb.Schedule != nil {
		if err := jb.Schedule.check(); err != nil {
			return err
		}
	}
	if n := jb.taskCount(); n > maxJobTasks/jb.Occurrences() {
		return fmt.Errorf("%d occurrences of %d tasks are more than %d tasks", jb.Occurrences(), n, maxJobTasks)
	}
	return nil
}

// taskCount returns the number of tasks of an occurrence.
func (jb Job) taskCount() int {
	n := 0
	for _, sp := range jb.Steps {
		n += sp.Tasks
	}
	return n
}

// check returns an error if the schedule is invalid. The due time of every
// occurrence has to be a time that can be stored.
func (sc Schedule) check() error {
	switch {
	case sc.Count < 1 || sc.Every < 0:
		return fmt.Errorf("a schedule needs a positive count and a non-negative interval")
	case sc.First.UTC().Year() < 0 || sc.First.UTC().Year() > maxYear:
		return fmt.Errorf("the first occurrence is due outside of the years 0 to %d", maxYear)
	case sc.Every > maxScheduleSpan/time.Duration(sc.Count):
		return fmt.Errorf("%d occurrences every %v exceed a span of %v", sc.Count, sc.Every, maxScheduleSpan)
	}
	return nil
}

// check returns an error if the step, which has the given index, is invalid.
func (sp Step) check(index int) error {
	switch {
	case sp.Tasks < 1 || sp.Tasks > MaxTasks:
		return fmt.Errorf("needs 1 to %d tasks, not %d", MaxTasks, sp.Tasks)
	case !sp.Needs.Valid():
		return fmt.Errorf("resources are out of range")
	case sp.RunTime < 0 || sp.RunTime.Milliseconds() > maxRunTimeMillis:
		return fmt.Errorf("run time %v is out of range", sp.RunTime)
	case sp.PerWorker < 0 || sp.MaxUnavailable < 0:
		return fmt.Errorf("the limit of tasks per worker or of unavailable tasks is negative")
	}
	if i := slices.IndexFunc(sp.After, func(dep int) bool { return dep < 0 || dep >= index }); i >= 0 {
		return fmt.Errorf("depends on step %d, which is not an earlier step", sp.After[i])
	}
	return nil
}

// Valid reports whether each amount is between zero and maxAmount.
func (rs Resources) Valid() bool {
	inBounds := func(n int) bool { return n >= 0 && n <= maxAmount }
	return inBounds(rs.MilliCPU) && inBounds(rs.MemoryMB) && inBounds(rs.Accelerators)
}
