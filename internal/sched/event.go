// Package sched is the core of the scheduler of one availability zone, which
// runs the zone's gangs: the state machine of its jobs and workers. It does no
// I/O and reads no clock. It takes events and the current time, and returns
// effects that package zone carries out. The scheduler of a domain, which may
// span several zones, is another one; its core is package domain.
//
// A lease table is a worker's list of the tasks that it has reserved, that it
// runs, or whose end has not been acknowledged. A task in it is unowned if it
// doesn't belong to the current attempt of a job.
//
// The core is a reconciler. For each job it compares the record with the lease
// tables of the workers, and sends the commands that bring the two together.
// Commands are idempotent, so a lost reply is handled by comparing again. These
// invariants hold after every event:
//
//   - A task is started only when every task of its gang is reserved.
//   - An attempt of a job that may not be repeated is started only when its
//     record is in the store, and only if no earlier attempt may have run.
//   - A caller is told that a job was accepted, was cancelled or has ended only
//     when that is in the store.
//   - The tasks of an attempt stay in the lease tables until its outcome is in
//     the store.
//   - All writes and commands carry one epoch. A larger epoch anywhere ends
//     this core.
package sched

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// RequestID identifies a caller's request to submit or cancel a job until it
	// is answered.
	RequestID uint64

	// Event is an input of the core. The types from DeclarationsChanged to Ticked
	// implement it.
	Event interface{ event() }

	// DeclarationsChanged carries the declarations now in force.
	DeclarationsChanged struct{ Declarations *spec.Declarations }

	// HostsListed carries the platform's list of hosts.
	HostsListed struct{ Hosts []plat.Host }

	// Submitted is a caller's request to run a job.
	Submitted struct {
		RequestID RequestID
		Spec      jobs.Spec
	}

	// CancelRequested is a caller's request to cancel a job.
	CancelRequested struct {
		RequestID RequestID
		ID        string
	}

	// WorkerReplied carries the reply of a worker. Commands are those of the
	// call, in the order of the reply's results; a renewal has none.
	WorkerReplied struct {
		Worker    string
		Reply     worker.Reply
		Commands  []worker.Command
		Unchanged bool // the table has not changed and is omitted from the reply
	}

	// WorkerCallFailed says that a call to a worker failed. It is unknown
	// whether its commands have taken effect.
	WorkerCallFailed struct {
		Worker   string
		Commands []worker.Command
	}

	// WriteDone carries the result of a write.
	WriteDone struct {
		Bucket int
		Seq    int64
		Result WriteResult
	}

	// Ticked is the periodic event that has the core check its timeouts.
	Ticked struct{}

	// WriteResult is the outcome of a write.
	WriteResult uint8

	// Effect is an output of the core. The types from Write to Resign implement
	// it.
	Effect interface{ effect() }

	// Write requests the replacement of a bucket in the store. Seq grows with
	// every write of the bucket.
	Write struct {
		Bucket int
		Seq    int64
		Jobs   []jobs.Record
	}

	// Send requests a call to a worker with commands.
	Send struct {
		Worker   string
		Address  string
		Commands []worker.Command
	}

	// Answer is the reply to a caller's request. Err is nil or a *codes.Error.
	Answer struct {
		RequestID RequestID
		Record    jobs.Record
		Err       error
	}

	// JobEnded says that the end of a job is in the store.
	JobEnded struct{ Record jobs.Record }

	// LogDecision requests a log line about a decision on a job or a worker. Its
	// field Decision is one of these:
	//
	//   - placed: the next attempt of a job has begun on the workers
	//   - reclaim: victims are being stopped for a job
	//   - waits: the reason why a job waits has changed
	//   - started: all tasks of a gang run
	//   - stopping: an attempt is being stopped
	//   - requeued: a job whose attempt was stopped is queued again
	//   - stepDone: a step has succeeded, and the job is queued for the next one
	//   - ended: a job has reached its final state
	//   - aside: a worker is suspended
	LogDecision struct {
		Job        string
		Workspace  string
		Decision   string
		Workers    []string
		Candidates int    // number of placements considered
		Rejected   string // why the other placements were rejected, as reason:count
		Victims    []string
		Reason     string
		Attempt    int
	}

	// Resign says that leadership was lost and the core has ended.
	Resign struct{ Reason string }
)

// The outcomes of a write.
const (
	WriteSucceeded WriteResult = iota + 1
	WriteFailed                // it had no effect
	WriteUnknown               // it may have taken effect
	WriteConflict              // another scheduler has written
	WriteTooLarge              // the value exceeds the size limit; it had no effect
)

// The timeouts and intervals of the core.
const (
	// TaskLeaseTime is how long a worker keeps a task without renewal.
	TaskLeaseTime = 12 * time.Second
	// MaxRenewInterval is the longest interval between renewals of a worker's
	// leases.
	MaxRenewInterval = 6 * time.Second
	// MaxReplyAge is the time since a worker's last reply up to which a call may
	// grant leases on it, commands are sent to it, and it is usable.
	MaxReplyAge = 8 * time.Second
	// leaseMargin covers the difference between two hosts' clocks over a lease
	// and MaxReplyAge, if their rates differ by up to 5 %.
	leaseMargin = time.Second
	// lostAfter is the time without a reply after which all leases on a worker
	// have certainly expired, and its tasks with them.
	lostAfter = MaxReplyAge + TaskLeaseTime + leaseMargin
	// unresponsiveAfter is the time without a reply after which a worker whose
	// last call failed is sent no commands.
	unresponsiveAfter = 2500 * time.Millisecond
	// takeoverTimeout bounds how long placement waits for the first reply of
	// every worker.
	takeoverTimeout = 2 * time.Second
	// reserveTimeout bounds the reservation of all tasks of a gang.
	reserveTimeout = 1500 * time.Millisecond
	// startTimeout bounds the start of all tasks of a reserved gang.
	startTimeout = 3 * time.Second
	// checkpointTimeout bounds the checkpoint of a task before it is stopped.
	checkpointTimeout = 1500 * time.Millisecond
	// victimStopTimeout bounds how long capacity is reserved for a gang while its
	// victims are stopped.
	victimStopTimeout = 8 * time.Second
	// requeueDelay keeps a job that was just stopped from being placed again
	// at once.
	requeueDelay = 200 * time.Millisecond
	// storeTimeout bounds how long a caller waits for a write to the store.
	storeTimeout = 3 * time.Second
	// writeInterval is the shortest time between two writes of a bucket.
	writeInterval = 100 * time.Millisecond
	// writeRetryDelay is the delay before a failed write is repeated.
	writeRetryDelay = 500 * time.Millisecond
	// recordRetention is how long the records of ended jobs are kept.
	recordRetention = 48 * time.Hour
)

func (DeclarationsChanged) event() {}
func (HostsListed) event()         {}
func (Submitted) event()           {}
func (CancelRequested) event()     {}
func (WorkerReplied) event()       {}
func (WorkerCallFailed) event()    {}
func (WriteDone) event()           {}
func (Ticked) event()              {}

func (Write) effect()       {}
func (Send) effect()        {}
func (Answer) effect()      {}
func (JobEnded) effect()    {}
func (LogDecision) effect() {}
func (Resign) effect()      {}
