// Package batch holds the types of jobs that are made of steps of tasks: what
// a caller submits, what a scheduler records of its progress, and the rules of
// queues and workspaces under which it runs.
//
// A job is a list of steps. A step has a number of equal tasks, which start
// once every task of the steps that it follows has succeeded. The tasks of a
// gang step start and end together; the tasks of any other step are
// independent. A unit is what is started as one: a whole gang, or one task.
//
// Values are immutable; the methods With return changed copies.
package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

type (
	// Resources is what a task needs or a worker has.
	Resources struct {
		MilliCPU     int `json:"milliCpu,omitempty"` // thousandths of a core
		MemoryMB     int `json:"memoryMb,omitempty"`
		Accelerators int `json:"accelerators,omitempty"`
	}

	// Step is a number of equal tasks.
	Step struct {
		Tasks       int           `json:"tasks"`
		Needs       Resources     `json:"needs"`             // of each task
		RunTime     time.Duration `json:"runTime,omitempty"` // of each task, as declared; may be far off
		After       []int         `json:"after,omitempty"`   // indices of earlier steps
		Gang        bool          `json:"gang,omitempty"`
		OneRack     bool          `json:"oneRack,omitempty"` // much slower when spread over several racks
		Checkpoints bool          `json:"checkpoints,omitempty"`
		Label       string        `json:"label,omitempty"`     // that a worker must have
		Rack        string        `json:"rack,omitempty"`      // where its data is; much slower elsewhere
		PerWorker   int           `json:"perWorker,omitempty"` // bound of its tasks on one worker; zero for none
		Lasting     bool          `json:"lasting,omitempty"`   // runs until the job is cancelled
		Filling     bool          `json:"filling,omitempty"`   // uses processors that others leave idle
		Target      time.Duration `json:"target,omitempty"`    // of the slow responses of a lasting step that serves others
		MayMiss     int           `json:"mayMiss,omitempty"`   // tasks of a lasting step that may be interrupted at a time
	}

	// Schedule repeats the steps of a job.
	Schedule struct {
		First time.Time     `json:"first"`
		Every time.Duration `json:"every"`
		Count int           `json:"count"`
	}

	// Job is what a caller has submitted.
	Job struct {
		ID        string    `json:"id"`
		Workspace string    `json:"workspace,omitempty"`
		Queue     Queue     `json:"queue"` // as it was when the job was accepted
		Payload   string    `json:"payload,omitempty"`
		Steps     []Step    `json:"steps"`
		Schedule  *Schedule `json:"schedule,omitempty"`
		Accepted  time.Time `json:"accepted"` // by the clock of the host that accepted it
	}

	// TaskID names one task.
	TaskID struct {
		Job        string
		Occurrence int
		Step       int
		Index      int
	}

	// State is where a job stands.
	State uint8

	// Record is the progress of a job that must last. It names the units that
	// were started at least once.
	Record struct {
		ID    string
		State State
		Units []UnitRecord
	}

	// UnitRecord is the progress of one unit. Live says that tasks of the
	// attempt may be running on Workers, one for each task; the name is empty for a
	// task that is over.
	UnitRecord struct {
		Occurrence int
		Step       int
		Index      int // of the task; zero for a gang
		Attempt    int
		Failures   int
		Workers    []string
		Checkpoint string
		Live       bool
		Done       bool
		FailedOn   []string // workers on which attempts have failed
		Counted    bool     // a failure of this attempt is in Failures
	}
)

// The states. Done, Failed and Cancelled are final.
const (
	Queued State = iota + 1
	Running
	Done
	Failed
	Cancelled
)

// The bounds of a submission.
const (
	MaxSteps     = 64
	MaxTasks     = 4096 // of one step
	maxMillis    = 1 << 40
	maxResources = 1 << 30
)

var stateNames = [...]string{Queued: "queued", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled"}

// String returns the name of the state.
func (st State) String() string {
	if st < Queued || st > Cancelled {
		return "none"
	}
	return stateNames[st]
}

// Final tells whether a state never changes again.
func (st State) Final() bool { return st >= Done }

// String returns the name of the task for logs.
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

// WithState returns the record in another state.
func (rc Record) WithState(st State) Record {
	rc.State = st
	return rc
}

// Plus returns the sum of two amounts.
func (rs Resources) Plus(other Resources) Resources {
	rs.MilliCPU += other.MilliCPU
	rs.MemoryMB += other.MemoryMB
	rs.Accelerators += other.Accelerators
	return rs
}

// Minus returns the difference of two amounts, which may be negative.
func (rs Resources) Minus(other Resources) Resources {
	rs.MilliCPU -= other.MilliCPU
	rs.MemoryMB -= other.MemoryMB
	rs.Accelerators -= other.Accelerators
	return rs
}

// Holds tells whether other fits into the amount.
func (rs Resources) Holds(other Resources) bool {
	return rs.MilliCPU >= other.MilliCPU && rs.MemoryMB >= other.MemoryMB && rs.Accelerators >= other.Accelerators
}

// Occupied returns what a task of the step takes of a worker's capacity.
func (sp Step) Occupied() Resources {
	rs := sp.Needs
	if sp.Filling {
		rs.MilliCPU = 0
	}
	return rs
}

// Occurrences returns how often the steps of the job are run.
func (jb Job) Occurrences() int {
	if jb.Schedule == nil {
		return 1
	}
	return jb.Schedule.Count
}

// Due returns when an occurrence may start; zero for a job without a schedule.
func (jb Job) Due(occurrence int) time.Time {
	if jb.Schedule == nil {
		return time.Time{}
	}
	return jb.Schedule.First.Add(time.Duration(occurrence) * jb.Schedule.Every)
}

// LongestChain returns the declared run time of the longest chain of steps.
func (jb Job) LongestChain() time.Duration {
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

// Check returns what is wrong with a submission, nil if nothing is.
func (jb Job) Check() error {
	if len(jb.Steps) == 0 || len(jb.Steps) > MaxSteps {
		return fmt.Errorf("a job needs 1 to %d steps, not %d", MaxSteps, len(jb.Steps))
	}
	for i, sp := range jb.Steps {
		if err := sp.check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	if sc := jb.Schedule; sc != nil && (sc.Count < 1 || sc.Every < 0) {
		return fmt.Errorf("a schedule needs a positive count and no negative interval")
	}
	return nil
}

func (sp Step) check(index int) error {
	switch {
	case sp.Tasks < 1 || sp.Tasks > MaxTasks:
		return fmt.Errorf("needs 1 to %d tasks, not %d", MaxTasks, sp.Tasks)
	case !sp.Needs.valid():
		return fmt.Errorf("resources are out of bounds")
	case sp.RunTime < 0 || sp.RunTime.Milliseconds() > maxMillis:
		return fmt.Errorf("run time %v is out of bounds", sp.RunTime)
	case sp.PerWorker < 0 || sp.MayMiss < 0:
		return fmt.Errorf("a bound is negative")
	}
	if i := slices.IndexFunc(sp.After, func(dep int) bool { return dep < 0 || dep >= index }); i >= 0 {
		return fmt.Errorf("follows step %d, which is not an earlier one", sp.After[i])
	}
	return nil
}

func (rs Resources) valid() bool {
	inBounds := func(n int) bool { return n >= 0 && n <= maxResources }
	return inBounds(rs.MilliCPU) && inBounds(rs.MemoryMB) && inBounds(rs.Accelerators)
}
