// Package worker speaks with the workers of the platform, which run tasks
// under leases.
//
// One call, POST /v1/tasks, carries a batch of commands and returns the
// worker's lease table. The table is the truth about what runs there. Every
// call carries the caller's epoch: a worker refuses one that is smaller than
// the largest it has seen, so that a deposed scheduler can change nothing.
//
// Leases are counted on the worker's own clock, which every reply states. A call
// says when it was sent by that clock, and a lease that it grants begins there,
// however late the call arrives. A holder that has sent nothing since some
// moment therefore knows when every lease that it granted is over.
//
// A task goes reserved, running, ended. A reservation or a running task whose
// lease is not renewed in time is stopped by the worker itself. Ended tasks
// stay in the table until they are acknowledged.
package worker

import (
	"context"
	"time"
)

// Op is what a command does.
type Op string

// Phase is where a task stands on its worker.
type Phase string

// TaskID names one task of one attempt of a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"` // within the gang, from zero
}

// Command asks the worker to change one task.
type Command struct {
	Op           Op            `json:"op"`
	Task         TaskID        `json:"task"`
	Workspace    string        `json:"workspace,omitempty"`
	Accelerators int           `json:"accelerators,omitempty"` // with OpReserve
	Lease        time.Duration `json:"lease,omitempty"`        // with OpReserve and OpStart, nanoseconds
	Command      []string      `json:"command,omitempty"`      // with OpStart: what the task is to run
	Bound        time.Duration `json:"bound,omitempty"`        // with OpStop of a task that checkpoints: how long it may take
	Rate         float64       `json:"rate,omitempty"`         // with OpThrottle: share of full speed, 0 to 1
}

// Request is one call. With no commands it renews the leases and waits up to
// Wait for the table to differ from Version.
type Request struct {
	Epoch    int64         `json:"epoch"`
	Holder   string        `json:"holder"` // name of the calling host, for the worker's log
	Version  int64         `json:"version"`
	Boot     string        `json:"boot,omitempty"` // that Sent belongs to; empty if no reply was seen yet
	Sent     time.Duration `json:"sent,omitempty"` // the worker's clock when the call was sent, at most
	Wait     time.Duration `json:"wait"`
	Lease    time.Duration `json:"lease"` // renews every lease of the table by this much if not zero
	Commands []Command     `json:"commands,omitempty"`
}

// Result answers one command, in the order of the request.
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
	Epoch        int64         `json:"epoch"`   // under which it was reserved
	Runtime      time.Duration `json:"runtime"` // since its start
	Usage        float64       `json:"usage"`   // accelerators busy, as of a while ago
	Error        string        `json:"error,omitempty"`
	Started      bool          `json:"started"` // whether it ever ran
	Checkpointed bool          `json:"checkpointed,omitempty"`
}

// Reply is the answer to a call. Tasks is omitted when Version equals that of
// the request.
type Reply struct {
	Worker       string        `json:"worker"`
	Boot         string        `json:"boot"`  // changes when the worker restarts with an empty table
	Clock        time.Duration `json:"clock"` // runs evenly within one boot
	Epoch        int64         `json:"epoch"`
	Version      int64         `json:"version"`
	Accelerators int           `json:"accelerators"`
	Draining     bool          `json:"draining"`
	Tasks        []Task        `json:"tasks,omitempty"`
	Results      []Result      `json:"results,omitempty"`
}

// Caller makes calls to workers by their address. Errors are ErrStaleEpoch
// (with the reply's Epoch set), ErrRefused for a malformed call, or any other
// error for a worker that can't be reached or whose answer was lost.
type Caller interface {
	Call(ctx context.Context, address string, req Request) (Reply, error)
}

// The operations. All are idempotent for the same task.
const (
	OpReserve  Op = "reserve"  // hold accelerators under a lease
	OpStart    Op = "start"    // run a reserved task
	OpRelease  Op = "release"  // give a reservation up; has no effect on a started task
	OpStop     Op = "stop"     // stop a task, after a checkpoint if Bound is not zero
	OpAck      Op = "ack"      // forget an ended task
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
	PhaseLapsed    Phase = "lapsed"  // its lease ran out
)

// The reasons of a Result that is not OK.
const (
	ReasonNoRoom   = "noRoom"
	ReasonNoTask   = "noTask"
	ReasonDraining = "draining"
	ReasonEnded    = "ended"
	ReasonLate     = "late" // the lease was over when the call arrived, or belongs to another boot
)

// Ended tells whether a task in this phase is over.
func (ph Phase) Ended() bool {
	switch ph {
	case PhaseSucceeded, PhaseFailed, PhaseStopped, PhaseLapsed:
		return true
	default:
		return false
	}
}
