// Package runner says what a scheduler asks of workers that run single tasks:
// to start an attempt of a task, to stop it, and to look at what runs and what
// has ended.
//
// Everything that runs holds a lease on the worker's own steady clock. A look
// extends the lease of all that runs there. A worker refuses a token that is
// smaller than the largest it has seen, and keeps each end until a look
// acknowledges it.
//
// A call that gets no answer may take effect, also seconds later. A stopped
// attempt, and any lower one of its task, can't start on that worker any more.
package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// Worker is one lifetime of a worker as the platform lists it.
	Worker struct {
		ID       string
		Address  string
		Service  string
		Zone     string
		Rack     string
		Labels   []string
		Capacity batch.Resources
		Draining bool
		Leaves   time.Duration // while it drains: how much longer it stays at least
		Cold     time.Duration // how much longer its tasks are slow, after its zone came back to service
		Born     int64         // changes when the worker starts anew under the same ID
	}

	// LookRequest asks for what runs and what has ended.
	LookRequest struct {
		Token    int64
		Deadline time.Duration // on the worker's clock, of all that runs there; zero leaves leases alone
		Seen     int64         // ends up to this number are forgotten
		Wait     time.Duration // for an end, if there is none yet
	}

	// Look is what a worker says of itself.
	Look struct {
		Clock   time.Duration
		Born    int64
		Running []Run
		Ended   []End
	}

	// Run is an attempt that holds a lease.
	Run struct {
		Task       batch.TaskID
		Attempt    int
		Checkpoint string // newest
		Percent    int    // of its work
		Load       int    // of a task that serves others: its slow responses, in milliseconds
	}

	// End is how an attempt ended. Numbers rise within a lifetime.
	End struct {
		Number     int64
		Task       batch.TaskID
		Attempt    int
		How        How
		Checkpoint string
	}

	// How says how an attempt ended.
	How uint8

	// StartRequest asks to start one attempt.
	StartRequest struct {
		Token      int64
		Task       batch.TaskID
		Attempt    int
		Payload    string
		Checkpoint string        // to resume from; empty for none
		Ticket     string        // from an Adviser; empty if the queue needs none
		Deadline   time.Duration // on the worker's clock
	}

	// StopRequest asks to stop one attempt.
	StopRequest struct {
		Token   int64
		Task    batch.TaskID
		Attempt int
	}

	// AdviceRequest asks which of some workers may run a step.
	AdviceRequest struct {
		Job        string
		Occurrence int
		Step       int
		Workers    []string
	}

	// Advice names the workers that may run a step, each with the ticket that a
	// start there needs.
	Advice struct {
		Tickets  map[string]string
		ValidFor time.Duration
	}

	// Adviser knows which workers a queue's policy allows. Its errors wrap
	// ErrRefused, ErrUnreachable or ErrLost.
	Adviser interface {
		Advise(ctx context.Context, rq AdviceRequest) (Advice, error)
	}

	// Client makes the calls. Its errors wrap one of the Err values.
	Client interface {
		Look(ctx context.Context, wk Worker, rq LookRequest) (Look, error)
		Start(ctx context.Context, wk Worker, rq StartRequest) error
		Stop(ctx context.Context, wk Worker, rq StopRequest) error
	}
)

// The ways in which an attempt ends.
const (
	Succeeded How = iota + 1
	Failed
	Stopped
	Lapsed // its lease ran out
	Broken // another task of its gang ended
	Alone  // the rest of its gang did not come in time
)

// The ways in which a call fails. All but ErrLost and ErrOtherLife say that
// the call had no effect.
var (
	ErrFenced      = errors.New("a larger token has been seen")
	ErrOld         = errors.New("the attempt, or a higher one, was stopped or ended there")
	ErrLate        = errors.New("the deadline has passed")
	ErrNoRoom      = errors.New("the worker has no room")
	ErrRefused     = errors.New("the worker refuses")
	ErrUnreachable = errors.New("the worker can't be reached") // nothing was sent
	ErrOtherLife   = errors.New("the worker has started anew")
	ErrLost        = errors.New("the answer was lost")
)

var howNames = [...]string{Succeeded: "succeeded", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", Broken: "broken", Alone: "alone"}

// Equal tells whether two entries say the same. For how much longer a worker is
// cold falls from entry to entry and says nothing new.
func (wk Worker) Equal(other Worker) bool {
	return wk.ID == other.ID && wk.Address == other.Address && wk.Service == other.Service &&
		wk.Zone == other.Zone && wk.Rack == other.Rack && slices.Equal(wk.Labels, other.Labels) &&
		wk.Capacity == other.Capacity && wk.Draining == other.Draining &&
		wk.Leaves == other.Leaves && (wk.Cold > 0) == (other.Cold > 0) && wk.Born == other.Born
}

// String returns the name for logs.
func (ho How) String() string {
	if ho < Succeeded || ho > Alone {
		return "none"
	}
	return howNames[ho]
}
