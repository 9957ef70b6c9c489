// Package worker defines the protocol with the platform's workers, which run
// tasks under leases, and a client for it.
//
// A call, POST /v1/tasks, carries a batch of commands and returns the worker's
// lease table, which is authoritative for what runs on the worker. Every call
// carries the scheduler's epoch as a fencing token: a worker refuses an epoch
// smaller than the largest it has seen, so that a former leader can't change
// anything.
//
// Leases are measured on the worker's own clock, which every reply contains. A
// call states when it was sent by that clock, and a lease that it grants begins
// at that time, however late the call arrives. A scheduler that has sent nothing
// since some time therefore knows by when all leases granted by it expire.
//
// A task is first reserved, then running, then ended. The worker itself stops a
// reservation or a running task whose lease is not renewed in time. Ended tasks
// stay in the table until they are acknowledged.
package worker

import (
	"context"
	"time"
)

// Op is the operation of a command.
type Op string

// Phase is the state of a task on its worker.
type Phase string

// TaskID identifies one task of one attempt of a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"` // within the gang, from zero
}

// Command is an operation on one task.
type Command struct {
	Op                Op            `json:"op"`
	Task              TaskID        `json:"task"`
	Workspace         string        `json:"workspace,omitempty"`
	Accelerators      int           `json:"accelerators,omitempty"` // with OpReserve
	Lease             time.Duration `json:"lease,omitempty"`        // with OpReserve and OpStart, nanoseconds
	Command           []string      `json:"command,omitempty"`      // with OpStart: the command line of the task
	CheckpointTimeout time.Duration `json:"bound,omitempty"`        // with OpStop: how long a checkpoint may take, nanoseconds
	Rate              float64       `json:"rate,omitempty"`         // with OpThrottle: fraction of full speed, 0 to 1
}

// Request is one call. Without commands it renews the leases and waits up to
// Wait for the table to differ from Version. Durations are in nanoseconds.
type Request struct {
	Epoch       int64         `json:"epoch"`
	Leader      string        `json:"holder"`         // name of the calling host, for the worker's log
	Version     int64         `json:"version"`        // of the table that the scheduler has; -1 to get the table in any case
	Incarnation string        `json:"boot,omitempty"` // to which Sent refers; empty before the first reply
	Sent        time.Duration `json:"sent,omitempty"` // the worker's clock when the call was sent, or earlier
	Wait        time.Duration `json:"wait"`
	Lease       time.Duration `json:"lease"` // if not zero, every lease in the table is renewed for this long
	Commands    []Command     `json:"commands,omitempty"`
}

// Result is the result of one command, in the order of the request.
type Result struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"` // one of the Reason constants if not OK
}

// Task is a row of the lease table.
type Task struct {
	ID           TaskID        `json:"id"`
	Workspace    string        `json:"workspace"`
	Accelerators int           `json:"accelerators"`
	Phase        Phase         `json:"phase"`
	Epoch        int64         `json:"epoch"`           // of the scheduler that reserved it
	Runtime      time.Duration `json:"runtime"`         // since its start, nanoseconds
	Usage        float64       `json:"usage"`           // accelerators busy; may lag
	Error        string        `json:"error,omitempty"` // why it failed
	Started      bool          `json:"started"`         // whether it ever ran
	Checkpointed bool          `json:"checkpointed,omitempty"`
}

// Reply is the reply to a call. Tasks is omitted if Version equals that of the
// request.
type Reply struct {
	Worker       string        `json:"worker"`
	Incarnation  string        `json:"boot"`    // changes when the worker restarts with an empty table
	Clock        time.Duration `json:"clock"`   // monotonic within one incarnation, nanoseconds
	Epoch        int64         `json:"epoch"`   // the largest that the worker has seen
	Version      int64         `json:"version"` // of the lease table, within one incarnation
	Accelerators int           `json:"accelerators"`
	Draining     bool          `json:"draining"`
	Tasks        []Task        `json:"tasks,omitempty"`
	Results      []Result      `json:"results,omitempty"`
}

// Client makes calls to workers by address. The error is or wraps ErrStaleEpoch
// (with the reply's Epoch set), ErrRefused if the call is malformed, or a
// *NotSentError if the call was not sent. With any other error it is unknown
// whether the commands took effect.
type Client interface {
	Call(ctx context.Context, address string, req Request) (Reply, error)
}

// The operations. All are idempotent for the same task.
const (
	OpReserve  Op = "reserve"  // reserve accelerators under a lease
	OpStart    Op = "start"    // run a reserved task
	OpRelease  Op = "release"  // release a reservation; has no effect on a started task
	OpStop     Op = "stop"     // stop a task, after a checkpoint if CheckpointTimeout is not zero
	OpAck      Op = "ack"      // remove an ended task from the table
	OpThrottle Op = "throttle" // slow a task down
)

// The phases of a task.
const (
	PhaseReserved  Phase = "reserved"
	PhaseRunning   Phase = "running"
	PhaseStopping  Phase = "stopping" // checkpointing before a stop
	PhaseSucceeded Phase = "succeeded"
	PhaseFailed    Phase = "failed"
	PhaseStopped   Phase = "stopped" // by command
	PhaseExpired   Phase = "lapsed"  // its lease expired
)

// The reasons of a Result that is not OK.
const (
	ReasonNoCapacity = "noRoom"   // too few accelerators are free
	ReasonNoTask     = "noTask"   // the task is not in the lease table
	ReasonDraining   = "draining" // the worker makes no new reservations
	ReasonEnded      = "ended"    // the task has ended already
	ReasonLate       = "late"     // the lease had expired when the call arrived, or is of another incarnation
)

// Ended reports whether a task in this phase has ended.
func (ph Phase) Ended() bool {
	switch ph {
	case PhaseSucceeded, PhaseFailed, PhaseStopped, PhaseExpired:
		return true
	default:
		return false
	}
}
