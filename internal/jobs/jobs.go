// Package jobs defines the records of jobs and the interface by which callers
// reach the scheduler of an availability zone.
//
// A record is immutable; each step of a job gives a new one. Its state only
// moves forward, but for a repeatable job whose attempt was cut short, which
// is queued again with a larger attempt number, and for a job that has another
// step, which is queued for that.
package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// State is where a job stands.
type State uint8

// Priority orders the jobs of one workspace.
type Priority uint8

// Step is a gang with what it runs.
type Step struct {
	Shape   spec.Shape
	RunTime time.Duration // as declared; may be far off
	Command []string
}

// Spec is what a caller asked for: a step, and those that follow it.
type Spec struct {
	ID         string
	Workspace  string
	Caller     string
	Key        string // idempotency key; empty if none was given
	Shape      spec.Shape
	RunTime    time.Duration // as declared; may be far off
	Priority   Priority
	Repeatable bool
	Checkpoint bool // can be stopped and resumed without losing its work
	Command    []string
	Then       []Step // each begins once the one before it has succeeded
}

// Task is where one task of an attempt stands.
type Task struct {
	Worker  string
	Address string
}

// Record is one job with all that must last of it.
type Record struct {
	Spec
	State     State
	Step      int   // the present one; zero is the first
	Attempt   int   // of the last start; zero before the first
	Epoch     int64 // of the scheduler that began it
	Tasks     []Task
	Code      codes.Code
	Detail    string // why it waits, or how it ended
	Doubt     bool   // an attempt may have run of which nothing is known
	Cancelled bool   // cancellation was asked for
	Submitted time.Time
	Started   time.Time // of the last attempt
	Ended     time.Time
	Held      time.Duration // accelerator time of all attempts, accelerators times duration
	Lost      time.Duration // part of Held that attempts cut short have wasted
	Reclaimed time.Duration // part of Held in attempts that were stopped for other work
	Waited    time.Duration // in the queue, before every attempt
	Queued    time.Time     // when it last came into the queue
}

// Filter picks records of a listing.
type Filter struct {
	Workspace string // empty for all
	Active    bool   // only those that have not ended
}

// Service is what callers ask of a zone's scheduler. Errors are *codes.Error.
type Service interface {
	// Submit records a job. Submitting the same ID again gives the record
	// that stands.
	Submit(ctx context.Context, sp Spec) (Record, error)
	// Get returns a record. With a positive wait it returns as soon as the
	// job has ended, or with the state after that time.
	Get(ctx context.Context, id string, wait time.Duration) (Record, error)
	List(ctx context.Context, fi Filter) ([]Record, error)
	// Cancel asks for the end of a job and returns the record as it stands.
	Cancel(ctx context.Context, id string) (Record, error)
}

// The states in their order.
const (
	Queued   State = iota + 1
	Starting       // its attempt is recorded, and its gang is being started
	Running        // the whole gang runs
	Stopping       // the gang is being stopped, to be queued again or ended
	Ended
)

// The priorities.
const (
	Low Priority = iota + 1
	Normal
	Urgent
)

var (
	stateNames    = [...]string{Queued: "queued", Starting: "starting", Running: "running", Stopping: "stopping", Ended: "ended"}
	priorityNames = [...]string{Low: "low", Normal: "normal", Urgent: "urgent"}
)

// idSeparator parts the zone from the rest of a job's name. Zone names hold
// no dot.
const idSeparator = "."

// NewID names a job of an availability zone.
func NewID(zone, unique string) string { return zone + idSeparator + unique }

// ZoneOf returns the availability zone that a job's name says it belongs to.
func ZoneOf(id string) string {
	zone, _, _ := strings.Cut(id, idSeparator)
	return zone
}

// String returns the camelCase name of the state.
func (st State) String() string { return name(stateNames[:], int(st)) }

// String returns the camelCase name of the priority.
func (pr Priority) String() string { return name(priorityNames[:], int(pr)) }

// ParsePriority reads the name of a priority; empty stands for Normal.
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

// Preemptible tells whether a job may be stopped and run again as promised.
func (sp Spec) Preemptible() bool { return sp.Repeatable || sp.Checkpoint }

// Steps returns every step in order.
func (sp Spec) Steps() []Step {
	return append([]Step{{Shape: sp.Shape, RunTime: sp.RunTime, Command: sp.Command}}, sp.Then...)
}

// Accelerated tells whether any step uses accelerators.
func (sp Spec) Accelerated() bool {
	return slices.ContainsFunc(sp.Steps(), func(st Step) bool { return st.Shape.Total() > 0 })
}

// Present returns the present step.
func (rc Record) Present() Step {
	if rc.Step == 0 {
		return Step{Shape: rc.Shape, RunTime: rc.RunTime, Command: rc.Command}
	}
	return rc.Then[rc.Step-1]
}

// LastStep tells whether no step follows the present one.
func (rc Record) LastStep() bool { return rc.Step == len(rc.Then) }

// Active tells whether the job has not ended.
func (rc Record) Active() bool { return rc.State != Ended }

// WithState returns the record in another state, with the code that belongs
// to it while the job is in progress.
func (rc Record) WithState(st State) Record {
	rc.State = st
	if st == Queued {
		rc.Code = codes.JobQueued
	} else {
		rc.Code = codes.JobRunning
	}
	return rc
}

// Waiting returns how long the job has been held back in the queue so far.
func (rc Record) Waiting(now time.Time) time.Duration {
	if rc.State != Queued || rc.Queued.IsZero() {
		return rc.Waited
	}
	return rc.Waited + max(0, now.Sub(rc.Queued))
}

// WithQueued returns the record in the queue.
func (rc Record) WithQueued(now time.Time) Record {
	rc.Queued = now
	return rc.WithState(Queued)
}

// WithAttempt returns the record with its next attempt placed on tasks.
func (rc Record) WithAttempt(now time.Time, epoch int64, tasks []Task) Record {
	rc.Attempt++
	rc.Waited = rc.Waiting(now)
	rc.Epoch = epoch
	rc.Tasks = tasks
	rc.Started = now
	return rc.WithState(Starting)
}

// WithNextStep returns the record in the queue for its next step.
func (rc Record) WithNextStep(now time.Time) Record {
	rc.Step++
	rc.Tasks = nil
	rc.Detail = ""
	return rc.WithQueued(now)
}

// WithEnd returns the record ended with a code.
func (rc Record) WithEnd(now time.Time, cd codes.Code, detail string) Record {
	rc.Waited = rc.Waiting(now)
	rc.State = Ended
	rc.Code = cd
	rc.Detail = detail
	rc.Ended = now
	return rc
}

// WithDetail returns the record with a note on why it stands where it does.
func (rc Record) WithDetail(detail string) Record {
	rc.Detail = detail
	return rc
}

// WithCancelled returns the record marked for cancellation.
func (rc Record) WithCancelled() Record {
	rc.Cancelled = true
	return rc
}

func name(names []string, at int) string {
	if at <= 0 || at >= len(names) {
		return "none"
	}
	return names[at]
}
