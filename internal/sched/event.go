// Package sched is the core of an availability zone's scheduler: the state of
// its jobs and workers, and the rules by which both move. It does no I/O and
// reads no clock. An event and the present time go in, effects come out, and
// the surrounding shell carries them out.
//
// The core compares, for each job, what its record says with what the lease
// tables of the workers say, and asks for whatever is missing between the two.
// Commands are idempotent, so an answer that was lost is met by looking again.
// These hold after every event:
//
//   - A task is only started when every task of its gang is reserved.
//   - An attempt of a job that may not be repeated is started only when its
//     record is in the store, and only if no earlier attempt may have run.
//   - A caller is told of a step only when the step is in the store.
//   - The rows of an attempt stay on the workers until its outcome is in the
//     store.
//   - All is done under one epoch. Whoever holds a larger one ends this core.
package sched

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Ticket names a caller who waits for an answer.
	Ticket uint64

	// Event is something that the core is told. The types below are all.
	Event interface{ event() }

	// DeclarationsChanged brings the declarations in force.
	DeclarationsChanged struct{ Declarations *spec.Declarations }

	// WorkersListed brings the workers of the platform's list.
	WorkersListed struct{ Workers []plat.Host }

	// Submitted asks to record a job.
	Submitted struct {
		Ticket Ticket
		Spec   jobs.Spec
	}

	// CancelRequested asks to end a job.
	CancelRequested struct {
		Ticket Ticket
		ID     string
	}

	// WorkerReplied brings an answer of a worker. Commands are those that the
	// answer's results belong to; none for a renewal.
	WorkerReplied struct {
		Worker    string
		Reply     worker.Reply
		Commands  []worker.Command
		Unchanged bool // the table has not changed, and the reply omits it
	}

	// WorkerCallFailed says that a call to a worker failed. Commands may have taken
	// effect.
	WorkerCallFailed struct {
		Worker   string
		Commands []worker.Command
	}

	// WriteDone says what became of a write.
	WriteDone struct {
		Bucket int
		Seq    int64
		Result WriteResult
	}

	// Tick lets time pass.
	Tick struct{}

	// WriteResult is what is known of a write.
	WriteResult uint8

	// Effect is something that the shell is to do. The types below are all.
	Effect interface{ effect() }

	// Write asks to replace a bucket in the store.
	Write struct {
		Bucket int
		Seq    int64
		Jobs   []jobs.Record
	}

	// Send asks to call a worker with commands.
	Send struct {
		Worker   string
		Address  string
		Commands []worker.Command
	}

	// Answer tells a caller how its request went. Err is nil or a
	// *codes.Error.
	Answer struct {
		Ticket Ticket
		Record jobs.Record
		Err    error
	}

	// Finished says that a job's end is in the store.
	Finished struct{ Record jobs.Record }

	// PlacementDecision is a placement decision for the log.
	PlacementDecision struct {
		Job        string
		Workspace  string
		Decision   string // placed, reclaim, waits, started, stopping, requeued, ended
		Workers    []string
		Candidates int    // how many spots there were
		Rejected   string // why the other spots lost, as reason:count
		Victims    []string
		Reason     string
		Attempt    int
	}

	// Resign ends the core: another one holds a larger epoch.
	Resign struct{ Reason string }
)

// The results of a write.
const (
	WriteSucceeded WriteResult = iota + 1
	WriteFailed                // it had no effect
	WriteUnknown               // it may stand
	WriteConflict              // another scheduler has written
	WriteTooLarge              // the value is past the limit; it had no effect
)

// The periods that the core works with.
const (
	// TaskLease is how long a worker keeps a task without renewal.
	TaskLease = 12 * time.Second
	// RenewEvery is how often a worker's leases are renewed at least.
	RenewEvery = 6 * time.Second
	// RenewGrace is for how long after a worker's last answer a call may still
	// grant leases there.
	RenewGrace = 8 * time.Second
	// leaseMargin covers the difference between the rates of two clocks.
	leaseMargin = time.Second
	// lostAfter is when a worker's tasks are certain to be over.
	lostAfter = RenewGrace + TaskLease + leaseMargin
	// suspectAfter is when a worker gets no new work.
	suspectAfter = 2500 * time.Millisecond
	// inventoryTimeout is how long placing waits for workers to be heard.
	inventoryTimeout = 2 * time.Second
	// reserveTimeout bounds the reservation of a gang.
	reserveTimeout = 1500 * time.Millisecond
	// startTimeout bounds the start of a reserved gang.
	startTimeout = 3 * time.Second
	// checkpointTimeout bounds a checkpoint before a stop.
	checkpointTimeout = 1500 * time.Millisecond
	// preemptTimeout bounds how long ground is kept for a gang while its victims
	// are stopped.
	preemptTimeout = 8 * time.Second
	// requeueDelay keeps a job that was just undone from being placed again
	// in the same instant.
	requeueDelay = 200 * time.Millisecond
	// storeTimeout bounds how long a caller waits for the store.
	storeTimeout = 3 * time.Second
	// writeInterval is the least time between two writes of a bucket.
	writeInterval = 100 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 500 * time.Millisecond
	// recordRetention is how long ended jobs are kept.
	recordRetention = 48 * time.Hour
)

func (DeclarationsChanged) event() {}
func (WorkersListed) event()       {}
func (Submitted) event()           {}
func (CancelRequested) event()     {}
func (WorkerReplied) event()       {}
func (WorkerCallFailed) event()    {}
func (WriteDone) event()           {}
func (Tick) event()                {}

func (Write) effect()             {}
func (Send) effect()              {}
func (Answer) effect()            {}
func (Finished) effect()          {}
func (PlacementDecision) effect() {}
func (Resign) effect()            {}
