// Package jobs defines the records of jobs and the interface by which callers
// reach the scheduler of an availability zone.
//
// A record is immutable: every change of a job makes a new one. Its state only
// moves forward, with two exceptions: a job whose attempt was interrupted and
// that may run again is queued for its next attempt, and a job of which a step
// other than the last has succeeded is queued for the next one.
package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// State is the state of a job in its life cycle.
type State uint8

// Priority orders the jobs of one workspace. An urgent job may also preempt less
// urgent jobs of its own workspace, and those of a workspace that uses more than
// its fair share as long as its own stays within its share.
type Priority uint8

// Step is a gang and the command that its tasks run.
type Step struct {
	Shape   spec.Shape
	RunTime time.Duration // declared by the caller; may be inaccurate
	Command []string
}

// Spec is a job as submitted: its first step, and those that follow.
type Spec struct {
	ID         string
	Workspace  string
	Caller     string
	Key        string // idempotency key; empty if none was given
	Shape      spec.Shape
	RunTime    time.Duration // declared by the caller; may be inaccurate
	Priority   Priority
	Repeatable bool
	Checkpoint bool // can be stopped and resumed without losing work
	Command    []string
	Then       []Step // each starts when the previous one has succeeded
}

// Task is the worker on which one task of an attempt is placed.
type Task struct {
	Worker  string
	Address string
}

// Record is the durable state of a job.
type Record struct {
	Spec
	State           State
	Step            int   // the current one; zero is the first
	Attempt         int   // number of the last attempt; zero before the first
	Epoch           int64 // of the scheduler that started the last attempt
	Tasks           []Task
	Code            codes.Code
	Detail          string // why it waits or is stopped, or how it ended, as text for people
	MayHaveRun      bool   // it is unknown whether an attempt has run
	Cancelled       bool   // cancellation was requested
	Submitted       time.Time
	Started         time.Time // of the last attempt
	Ended           time.Time
	AcceleratorTime time.Duration // of all attempts: number of accelerators times duration
	LostTime        time.Duration // part of AcceleratorTime in attempts whose work was lost
	PreemptedTime   time.Duration // part of AcceleratorTime in attempts that were preempted or moved
	Waited          time.Duration // total time in the queue, without the present stay; see QueueTime
	Queued          time.Time     // when it was last queued
}

// Filter selects records to be listed.
type Filter struct {
	Workspace string // empty for all
	Active    bool   // only those that have not ended
}

// Scheduler is the interface of a zone's scheduler for callers. Errors are
// *codes.Error.
type Scheduler interface {
	// Submit records a job. Submitting the same job again returns its current
	// record. The code is codes.KeyMismatch if the ID has other content, and
	// codes.SubmitUnknown if it is unknown whether the job was recorded.
	Submit(ctx context.Context, sp Spec) (Record, error)
	// Get returns a record. With a positive wait it returns when the job has
	// ended, after that time, or when ctx ends. The code is codes.JobNotFound if
	// there is no such job.
	Get(ctx context.Context, id string, wait time.Duration) (Record, error)
	// List returns the records that match the filter, the oldest first.
	List(ctx context.Context, fi Filter) ([]Record, error)
	// Cancel requests the cancellation of a job and returns its current record.
	// The code is codes.JobNotFound if there is no such job, and
	// codes.CancelUnknown if it is unknown whether the request was recorded.
	Cancel(ctx context.Context, id string) (Record, error)
}

// The states, in the order of a job's life cycle.
const (
	Queued   State = iota + 1
	Starting       // the gang is being reserved and started
	Running        // all tasks of the gang run
	Stopping       // the gang is being stopped, after which the job ends or is queued again
	Ended
)

// The priorities, from the lowest to the highest.
const (
	Low Priority = iota + 1
	Normal
	Urgent
)

var (
	stateNames    = [...]string{Queued: "queued", Starting: "starting", Running: "running", Stopping: "stopping", Ended: "ended"}
	priorityNames = [...]string{Low: "low", Normal: "normal", Urgent: "urgent"}
)

// idSeparator separates the zone from the rest of a job's ID. Zone names contain
// no dot.
const idSeparator = "."

// NewID returns the ID of a job in an availability zone.
func NewID(zone, unique string) string { return zone + idSeparator + unique }

// ZoneOf returns the availability zone in a job's ID: all of it up to the first
// dot.
func ZoneOf(id string) string {
	zone, _, _ := strings.Cut(id, idSeparator)
	return zone
}

// String returns the camelCase name of the state.
func (st State) String() string { return name(stateNames[:], int(st)) }

// String returns the camelCase name of the priority.
func (pr Priority) String() string { return name(priorityNames[:], int(pr)) }

// ParsePriority parses the name of a priority; an empty text is Normal. It returns
// false if there is no priority of that name.
func ParsePriority(text string) (Priority, bool) {
	if text == "" {
		return Normal, true
	}
	for i, nm := range priorityNames {
		if nm == text {
			return Priority(i), true
		}
	}
	return 0, false
}

// Preemptible reports whether a job may be stopped and run again.
func (sp Spec) Preemptible() bool { return sp.Repeatable || sp.Checkpoint }

// Steps returns all steps in order.
func (sp Spec) Steps() []Step {
	return append([]Step{{Shape: sp.Shape, RunTime: sp.RunTime, Command: sp.Command}}, sp.Then...)
}

// UsesAccelerators reports whether any step uses accelerators.
func (sp Spec) UsesAccelerators() bool {
	return slices.ContainsFunc(sp.Steps(), func(st Step) bool { return st.Shape.Total() > 0 })
}

// CurrentStep returns the current step.
func (rc Record) CurrentStep() Step {
	if rc.Step == 0 {
		return Step{Shape: rc.Shape, RunTime: rc.RunTime, Command: rc.Command}
	}
	return rc.Then[rc.Step-1]
}

// IsLastStep reports whether the current step is the last one.
func (rc Record) IsLastStep() bool { return rc.Step == len(rc.Then) }

// Active reports whether the job has not ended.
func (rc Record) Active() bool { return rc.State != Ended }

// WithState returns the record in another state other than Ended, with the code
// of a job in that state.
func (rc Record) WithState(st State) Record {
	rc.State = st
	if st == Queued {
		rc.Code = codes.JobQueued
	} else {
		rc.Code = codes.JobRunning
	}
	return rc
}

// QueueTime returns the total time that the job has spent in the queue until
// now.
func (rc Record) QueueTime(now time.Time) time.Duration {
	if rc.State != Queued || rc.Queued.IsZero() {
		return rc.Waited
	}
	return rc.Waited + max(0, now.Sub(rc.Queued))
}

// WithQueued returns the record queued at a time.
func (rc Record) WithQueued(now time.Time) Record {
	rc.Queued = now
	return rc.WithState(Queued)
}

// WithAttempt returns the record with its next attempt, which starts on the
// workers of the given tasks.
func (rc Record) WithAttempt(now time.Time, epoch int64, tasks []Task) Record {
	rc.Attempt++
	rc.Waited = rc.QueueTime(now)
	rc.Epoch = epoch
	rc.Tasks = tasks
	rc.Started = now
	return rc.WithState(Starting)
}

// WithNextStep returns the record queued for its next step.
func (rc Record) WithNextStep(now time.Time) Record {
	rc.Step++
	rc.Tasks = nil
	rc.Detail = ""
	return rc.WithQueued(now)
}

// WithEnd returns the record ended with a code.
func (rc Record) WithEnd(now time.Time, cd codes.Code, detail string) Record {
	rc.Waited = rc.QueueTime(now)
	rc.State = Ended
	rc.Code = cd
	rc.Detail = detail
	rc.Ended = now
	return rc
}

// WithDetail returns the record with a text that explains its state.
func (rc Record) WithDetail(detail string) Record {
	rc.Detail = detail
	return rc
}

// WithCancelled returns the record marked as cancelled.
func (rc Record) WithCancelled() Record {
	rc.Cancelled = true
	return rc
}

// name returns the name at an index, or "none" if the index has none.
func name(names []string, at int) string {
	if at <= 0 || at >= len(names) {
		return "none"
	}
	return names[at]
}
