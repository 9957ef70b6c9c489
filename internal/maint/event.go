// Package maint carries out maintenance waves that operators request: each
// machine of a wave goes down for a while, within the duration of the wave and
// with a limited number of machines down at once. It does no I/O and reads no
// clock: events and the current time go in, effects come out, and the caller
// carries them out.
//
// These invariants hold after every event:
//
//   - No more machines of a wave are down for it than it permits. A machine
//     counts from when its order is sent until a list that was requested after
//     the response shows it up.
//   - A wave is reported as completed only when each of its machines has
//     started its maintenance or is no longer listed.
//   - The work on a worker is reported as ended only when its machine was ordered
//     to go down and is then listed as down or with another worker, or is no
//     longer listed, and the worker is not known to have restarted since the order.
//   - Work is moved off a machine first, as far as the wave's duration allows.
package maint

import (
	"context"
	"errors"
	"time"
)

type (
	// Machine is a machine of the platform, which hosts one worker at a time.
	Machine struct {
		ID     string
		Worker string // on the machine now; empty for none
		Up     bool
	}

	// Wave requests the maintenance of some machines.
	Wave struct {
		Number   int
		Machines []string
		Duration time.Duration // within which every machine must have started its maintenance
		MaxDown  int           // maximum number of machines down for it at a time
	}

	// Progress is the progress of a wave as reported to the operators.
	Progress uint8

	// Record is the stored state of a wave.
	Record struct {
		Number    int       `json:"number"`
		FirstSeen time.Time `json:"known"` // when the leader first saw the wave
		Started   []string  `json:"begun"` // machines that have started their maintenance
	}

	// Order asks the platform to start the maintenance of one machine. It has no
	// effect if the wave has maintained the machine already.
	Order struct {
		Machine string
		Wave    int
	}

	// Client calls the platform's machines.
	Client interface {
		// Machines returns all machines.
		Machines(ctx context.Context) ([]Machine, error)
		// SendOrder sends an order on behalf of the leader, given by its host name, with
		// its fencing token. Its errors wrap one of the Err values.
		SendOrder(ctx context.Context, or Order, leader string, token int64) error
	}

	// Event is an input of the core, one of the types below.
	Event interface{ event() }

	// WaveRequested adds a wave. It is ignored if the wave is known or completed.
	WaveRequested struct{ Wave Wave }

	// WaveWithdrawn reports that a wave is no longer requested.
	WaveWithdrawn struct{ Number int }

	// MachinesListed is the outcome of a ListMachines.
	MachinesListed struct {
		Sent     time.Time // as in the ListMachines
		Machines []Machine
		Err      error
	}

	// OrderCompleted is the outcome of an Order.
	OrderCompleted struct {
		Order Order
		Err   error
	}

	// Ticked reports that time has passed. The core needs it at short intervals.
	Ticked struct{}

	// Effect is an action for the caller to carry out, one of the types below.
	Effect interface{ effect() }

	// ListMachines requests a list of all machines. Sent is the time of the
	// request.
	ListMachines struct{ Sent time.Time }

	// ReportProgress requests a write of a wave's progress.
	ReportProgress struct {
		Wave     int
		Progress Progress
	}

	// SaveRecord requests a write of a wave's record.
	SaveRecord struct{ Record Record }

	// Drain names all workers that get no new work, with the time by which each
	// should be idle. It replaces the previous Drain.
	Drain struct{ By map[string]time.Time }

	// WorkerDown reports that the machine of a worker went down or is no longer
	// listed, so that everything that ran on the worker has ended. The worker is of the
	// incarnation that its state shows at present.
	WorkerDown struct{ Worker string }

	// LogDecision requests a log line about a decision.
	LogDecision struct {
		Decision string // wave, upkeep, upkeepFails, waveEnds
		Wave     int
		Machine  string
		Worker   string
		Reason   string
	}
)

// The values of Progress.
const (
	Running Progress = iota + 1
	Completed
)

// The errors of an order. All but ErrOutcomeUnknown mean that it had no effect.
var (
	ErrFenced         = errors.New("a larger fencing token has been seen")
	ErrNotUp          = errors.New("the machine is not up")
	ErrNotInWave      = errors.New("the machine is not part of the wave")
	ErrRefused        = errors.New("the platform rejected the order")
	ErrNotSent        = errors.New("the order was not sent")
	ErrOutcomeUnknown = errors.New("no response; the outcome is unknown")
)

func (WaveRequested) event()  {}
func (WaveWithdrawn) event()  {}
func (MachinesListed) event() {}
func (OrderCompleted) event() {}
func (Ticked) event()         {}

func (ListMachines) effect()   {}
func (Order) effect()          {}
func (ReportProgress) effect() {}
func (SaveRecord) effect()     {}
func (Drain) effect()          {}
func (WorkerDown) effect()     {}
func (LogDecision) effect()    {}
