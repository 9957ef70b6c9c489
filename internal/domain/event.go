// Package domain is the core of a scheduling domain: the availability zones
// whose workers one scheduler uses. It holds the state of jobs, units and
// workers, and decides what is started where and what is stopped. It does no
// I/O and reads no clock. An event and the present time go in, effects come
// out, and the surrounding shell carries them out.
//
// These hold after every event:
//
//   - An attempt is started only after its record, which names the workers, is
//     in the store.
//   - A unit has at most one attempt that may run. The next one is begun only
//     when every task of the last one is certain to be over, on each worker.
//   - Room on a worker stays taken until the worker has said that a task is
//     over, or its lease is over by the slowest clock.
//   - An end is acknowledged to the worker only after the record that counts
//     it is in the store.
//   - All is done under one token. Whoever holds a larger one ends this core.
package domain

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// Event is something that the core is told. The types below are all.
	Event interface{ event() }

	// Configured brings the policy in force.
	Configured struct{ Policy *batch.Policy }

	// Accepted brings a job that stands in the store.
	Accepted struct{ Job batch.Job }

	// CancelAsked brings the cancellation of a job.
	CancelAsked struct{ ID string }

	// Listed brings the entry of a worker on the platform's list.
	Listed struct{ Worker runner.Worker }

	// Unlisted says that a worker has left the platform's list.
	Unlisted struct{ ID string }

	// Emptying names the workers that get no new work, and by when each should
	// be clear of it. It replaces the former one.
	Emptying struct{ By map[string]time.Time }

	// Evacuated names the availability zones whose workers get no new work, since
	// an operator has asked to empty them. It replaces the former set.
	Evacuated struct{ Zones []string }

	// Downed says that everything that ran on a worker is over.
	Downed struct{ Worker string }

	// Looked is the outcome of a Look.
	Looked struct {
		Call Look
		Look runner.Look
		Err  error
	}

	// Started is the outcome of a Start.
	Started struct {
		Call Start
		Err  error
	}

	// Stopped is the outcome of a Stop.
	Stopped struct {
		Call Stop
		Err  error
	}

	// Advised is the outcome of an Advise.
	Advised struct {
		Call   Advise
		Advice runner.Advice
		Err    error
	}

	// Committed says that a Commit stands in the store.
	Committed struct{ Seq int64 }

	// Ticked lets time pass.
	Ticked struct{}

	// Prompted lets the core go on with what it has put off; see Core.Soon.
	Prompted struct{}

	// Effect is something that the shell is to do. The types below are all.
	Effect interface{ effect() }

	// Commit asks to write records. Several may be under way, each with records
	// of other jobs.
	Commit struct {
		Seq     int64
		Records []batch.Record
		Waiting *batch.Waiting // nil if it has not changed
	}

	// Look asks to look at a worker.
	Look struct {
		Worker  runner.Worker
		Sent    time.Time
		Request runner.LookRequest
		Extra   bool // beside the one that waits for ends
	}

	// Start asks to start an attempt of a task.
	Start struct {
		Worker  runner.Worker
		Request runner.StartRequest
	}

	// Stop asks to stop an attempt of a task.
	Stop struct {
		Worker  runner.Worker
		Request runner.StopRequest
	}

	// Advise asks which workers may run a step.
	Advise struct {
		Sent    time.Time
		Request runner.AdviceRequest
	}

	// Forget asks to delete the keys of a job that ended long ago.
	Forget struct{ ID string }

	// Noted is a decision for the log.
	Noted struct {
		Decision string // placed, preempts, starts, ends, endsLate, stops, overdue, jobEnds, hangs, suspects, reinstates, silent, evacuation
		Job      string
		Task     string
		Queue    string        // of a placed unit
		Waited   time.Duration // of a placed unit, or of a job that ends until its first start
		Took     time.Duration // of a job that ends, since it is known
		Lost     time.Duration // of processor time, by a stop or by all stops of a job
		Stops    int           // of a job that ends: attempts that were stopped for other work
		Attempt  int
		Worker   string
		Workers  []string
		Reason   string
	}

	// Waits says once a second what waits for room, and what room there is.
	Waits struct {
		Backlogs     []Backlog
		Shares       []Share // by service and workspace
		Accelerators Accelerators
	}

	// Evacuation says, at most once a second, what runs in availability zones that
	// are to be emptied, whenever that has changed.
	Evacuation struct{ Zones []ZoneLeft }

	// Suspects says how many workers there is evidence against, at most once a
	// second and when that has changed.
	Suspects struct {
		Doubted     int // others are preferred
		Suspended   int // they get no work
		OnProbation int // they get work that can bear a failure
	}

	// Resign ends the core: another one holds a larger token.
	Resign struct{ Reason string }
)

// The periods that the core works with.
const (
	// TaskLeaseTime is how far ahead of a worker's clock leases are granted. It
	// covers the change of the scheduler with a look that went unanswered.
	TaskLeaseTime = 6 * time.Second
	// RenewTime is how long a scheduler goes on to renew leases on workers
	// after it last renewed its own.
	RenewTime = 5500 * time.Millisecond
	// LeaseTime is how long a scheduler's own lease lasts without renewal, so
	// that a successor begins no earlier.
	LeaseTime = 1500 * time.Millisecond
	// maxClockDrift is the share by which a worker's clock may be slow.
	maxClockDrift = 0.02
	// clockMargin covers the time that answers take.
	clockMargin = 200 * time.Millisecond
	// formerLeaseTime is when leases of a former scheduler are over on a worker
	// that was never reached.
	formerLeaseTime = RenewTime - LeaseTime + TaskLeaseTime + 500*time.Millisecond
	// maxCallDelay is how late a call that got no answer may be carried out, and
	// maxHold the longest lease that it grants if its deadline is of another
	// life of the worker.
	maxCallDelay = 12 * time.Second
	maxLeaseTime = 10*time.Second + 400*time.Millisecond

	// pollWait is how long a look waits for an end.
	pollWait = 2 * time.Second
	// pollGap is the least pause between two looks while an end waits for the
	// store.
	pollGap = 400 * time.Millisecond
	// pollRetryGap is the pause after a look that failed.
	pollRetryGap = 500 * time.Millisecond
	// stopRetryGap is the pause after a stop that failed.
	stopRetryGap = 400 * time.Millisecond

	// minPassInterval is the least time between two rounds over the work that waits.
	// passPerRank and passPerNode are what a round takes about, on a whole core,
	// for each rank that waits and each worker, and passRest times that is the
	// pause after it.
	minPassInterval  = 15 * time.Millisecond
	passTimePerGroup = 5 * time.Microsecond
	passTimePerNode  = 2 * time.Microsecond
	passPauseFactor  = 4
	// preemptGap is the least time between two searches for work that could make
	// way for the same unit.
	preemptGap = 100 * time.Millisecond
	// commitGap is the least time between two commits.
	commitGap = 30 * time.Millisecond
	// idleCommitGap is the same if no start waits for the commit.
	idleCommitGap = 150 * time.Millisecond
	// waitingCountGap is the least time between two counts of waiting jobs, and the
	// age from which a job is counted.
	waitingCountGap = time.Second
	// maxCommitRecords bounds the records of a commit, so that its expectations
	// and puts fit into one transaction of the store.
	maxCommitRecords = 14
	// maxOpenCommits bounds the commits under way.
	maxOpenCommits = 4
	// endedJobRetention is how long ended jobs can be asked for.
	endedJobRetention = 10 * time.Minute
	// overdueGap is the time between two searches for attempts that don't end.
	overdueGap = 2 * time.Second
	// refusedPause is how long a worker that has refused a start gets no other.
	refusedPause = 500 * time.Millisecond
)

func (Configured) event()  {}
func (Accepted) event()    {}
func (CancelAsked) event() {}
func (Listed) event()      {}
func (Unlisted) event()    {}
func (Looked) event()      {}
func (Emptying) event()    {}
func (Evacuated) event()   {}
func (Downed) event()      {}
func (Started) event()     {}
func (Stopped) event()     {}
func (Advised) event()     {}
func (Committed) event()   {}
func (Ticked) event()      {}
func (Prompted) event()    {}

func (Commit) effect()     {}
func (Look) effect()       {}
func (Start) effect()      {}
func (Stop) effect()       {}
func (Advise) effect()     {}
func (Forget) effect()     {}
func (Noted) effect()      {}
func (Waits) effect()      {}
func (Evacuation) effect() {}
func (Suspects) effect()   {}
func (Resign) effect()     {}
