// Package runner defines the calls of a scheduler to workers that run single
// tasks: start an attempt of a task, stop it, and poll the worker for running
// and ended attempts.
//
// Every running attempt holds a lease, measured on the worker's own monotonic
// clock. A poll extends the leases of all attempts on the worker. A worker
// rejects a fencing token smaller than the largest it has seen, and keeps the
// end of each attempt until a poll acknowledges it.
//
// A call without a response may take effect, even seconds later. Once an
// attempt was stopped, neither it nor an earlier attempt of its task can start
// on that worker.
package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// Worker is one incarnation of a worker as the platform lists it.
	Worker struct {
		ID       string
		Address  string
		Service  string
		Zone     string
		Rack     string
		Labels   []string
		Capacity batch.Resources
		Draining bool
		Leaves   time.Duration // while draining: the minimum time until it goes away
		Cold     time.Duration // remaining time during which its tasks run slowly, after its zone came back into service
		Born     int64         // identifies the incarnation; changes when the worker restarts under the same ID
	}

	// PollRequest asks a worker for its running and ended attempts, and may extend
	// the leases of the running ones.
	PollRequest struct {
		Token    int64
		Deadline time.Duration // new lease expiry of all running attempts, on the worker's clock; zero leaves leases unchanged
		Acked    int64         // largest End.Number received; the worker drops the ends up to it
		Wait     time.Duration // how long to wait for an end if there is none yet
	}

	// Status is the state of a worker, which it returns to a poll.
	Status struct {
		Clock   time.Duration // reading of the worker's clock, on which leases are measured
		Born    int64         // see Worker.Born
		Running []Run
		Ended   EndPage
	}

	// EndPage holds the oldest ends of which a worker has no acknowledgement, in
	// the order of their numbers.
	EndPage struct {
		Ends []End
		More bool // the worker may have further ends, and lists them once these are acknowledged
	}

	// Run is a running attempt, which holds a lease.
	Run struct {
		Task          batch.TaskID
		Attempt       int
		Checkpoint    string // the latest; empty for none
		Percent       int    // progress of the attempt
		LatencyMillis int    // of a serving task: the latency of its slow responses
	}

	// End is the end of an attempt. Numbers increase within an incarnation of the
	// worker.
	End struct {
		Number     int64
		Task       batch.TaskID
		Attempt    int
		Reason     EndReason
		Checkpoint string // the latest; empty for none
	}

	// EndReason is the reason why an attempt ended.
	EndReason uint8

	// StartRequest asks a worker to start one attempt.
	StartRequest struct {
		Token      int64
		Task       batch.TaskID
		Attempt    int
		Payload    string
		Checkpoint string        // to resume from; empty to start from the beginning
		Ticket     string        // issued by an Adviser for the worker; empty if the queue needs none
		Deadline   time.Duration // lease expiry on the worker's clock
	}

	// StopRequest asks a worker to stop one attempt.
	StopRequest struct {
		Token   int64
		Task    batch.TaskID
		Attempt int
	}

	// AdviceRequest asks which of the given workers may run a step of a job.
	AdviceRequest struct {
		Job        string
		Occurrence int // of the job's schedule; zero for a job without one
		Step       int // index into batch.Job.Steps
		Workers    []string
	}

	// Advice lists the workers that may run a step, each with the ticket that a
	// start on it requires.
	Advice struct {
		Tickets  map[string]string // by worker
		ValidFor time.Duration     // of the tickets
	}

	// Adviser decides which workers a queue's policy allows. Its errors wrap
	// ErrRefused, ErrUnreachable or ErrOutcomeUnknown.
	Adviser interface {
		Advise(ctx context.Context, rq AdviceRequest) (Advice, error)
	}

	// Client calls workers. Its errors wrap one of the Err values. Start returns the
	// reading of the worker's clock with which it confirms the start.
	Client interface {
		Poll(ctx context.Context, wk Worker, rq PollRequest) (Status, error)
		Start(ctx context.Context, wk Worker, rq StartRequest) (time.Duration, error)
		Stop(ctx context.Context, wk Worker, rq StopRequest) error
	}
)

// maxIncarnation bounds Worker.Incarnation to three bytes of a record. Two
// incarnations have the same only if they were born a multiple of that many
// milliseconds, which is 35 minutes, apart.
const maxIncarnation = 1<<21 - 1

// The reasons why an attempt ends.
const (
	Succeeded EndReason = iota + 1
	Failed
	Stopped
	LeaseExpired // no poll has extended its lease in time
	GangBroken   // another member of its gang ended
	GangTimeout  // the other gang members did not start in time
)

// The errors of a call. All but ErrOutcomeUnknown and ErrRestarted mean that
// the call had no effect.
var (
	ErrFenced         = errors.New("a larger fencing token has been seen")
	ErrStaleAttempt   = errors.New("the attempt or a later one was already stopped or has ended")
	ErrDeadlinePassed = errors.New("the lease deadline has passed")
	ErrNoCapacity     = errors.New("the worker has no free capacity")
	ErrRefused        = errors.New("the worker rejected the call")
	ErrUnreachable    = errors.New("the worker is unreachable") // nothing was sent
	ErrRestarted      = errors.New("the worker has restarted")
	ErrOutcomeUnknown = errors.New("no response; the outcome is unknown")
)

var endReasonNames = [...]string{Succeeded: "succeeded", Failed: "failed", Stopped: "stopped", LeaseExpired: "lapsed", GangBroken: "broken", GangTimeout: "alone"}

// Equal reports whether two listings of a worker are equivalent. Cold counts
// down from one listing to the next, so only whether it is positive is
// compared.
func (wk Worker) Equal(other Worker) bool {
	return wk.ID == other.ID && wk.Address == other.Address && wk.Service == other.Service &&
		wk.Zone == other.Zone && wk.Rack == other.Rack && slices.Equal(wk.Labels, other.Labels) &&
		wk.Capacity == other.Capacity && wk.Draining == other.Draining &&
		wk.Leaves == other.Leaves && (wk.Cold > 0) == (other.Cold > 0) && wk.Born == other.Born
}

// ShowsAbsence reports whether an attempt that the status lists neither as running
// nor as ended is not on the worker. Otherwise it may have ended.
func (st Status) ShowsAbsence() bool { return !st.Ended.More }

// Incarnation returns a short form of Born for records. It differs between the
// incarnations of a worker, but is not ordered. It is zero if Born is unknown.
func (wk Worker) Incarnation() uint32 {
	if wk.Born == 0 {
		return 0
	}
	return uint32(wk.Born%maxIncarnation) + 1
}

// String returns the name of the reason for logs, or "none" if it is not one
// of the constants.
func (er EndReason) String() string {
	if er < Succeeded || er > GangTimeout {
		return "none"
	}
	return endReasonNames[er]
}
