// Package upkeep carries out the operators' waves of upkeep: each machine of a
// wave goes down for a while, in time, and no more at once than the wave
// permits. It does no I/O and reads no clock. An event and the present time go
// in, effects come out, and the surrounding shell carries them out.
//
// These hold after every event:
//
//   - No more machines of a wave are down for it than it permits. One counts
//     from when its order is sent until a list that was asked for after the
//     answer shows it up.
//   - A wave is reported as completed only when each of its machines has begun
//     its upkeep or has left.
//   - What ran on a worker is taken to be over only when its machine is seen to
//     be down, or to have another worker.
//   - Work is moved off a machine first, as far as the time of the wave goes.
package upkeep

import (
	"context"
	"errors"
	"time"
)

type (
	// Machine is what workers run on, one at a time.
	Machine struct {
		ID     string
		Worker string // that runs there; empty for none
		Up     bool
	}

	// Wave asks for the upkeep of some machines.
	Wave struct {
		Number   int
		Machines []string
		Duration time.Duration // within which all must have begun it
		AtOnce   int           // most that may be down for it
	}

	// Progress is where a wave stands.
	Progress uint8

	// Record is what must last of a wave.
	Record struct {
		Number    int       `json:"number"`
		FirstSeen time.Time `json:"known"` // when the wave was first seen
		Started   []string  `json:"begun"` // machines that have begun their upkeep
	}

	// Order asks the platform for the upkeep of one machine. It has no further
	// effect if the machine has had it.
	Order struct {
		Machine string
		Wave    int
	}

	// Client reaches the platform's machines. Errors of Upkeep wrap one of the
	// Err values.
	Client interface {
		Machines(ctx context.Context) ([]Machine, error)
		Upkeep(ctx context.Context, or Order, holder string, token int64) error
	}

	// Event is something that the core is told. The types below are all.
	Event interface{ event() }

	// WaveRequested brings a wave, or what has become of it.
	WaveRequested struct{ Wave Wave }

	// WaveWithdrawn says that a wave is not asked for any more.
	WaveWithdrawn struct{ Number int }

	// MachinesListed is the outcome of a List.
	MachinesListed struct {
		Sent     time.Time
		Machines []Machine
		Err      error
	}

	// OrderCompleted is the outcome of an Order.
	OrderCompleted struct {
		Order Order
		Err   error
	}

	// Ticked lets time pass.
	Ticked struct{}

	// Effect is something that the shell is to do. The types below are all.
	Effect interface{ effect() }

	// ListMachines asks for all machines.
	ListMachines struct{ Sent time.Time }

	// ReportProgress asks to write where a wave stands.
	ReportProgress struct {
		Wave     int
		Progress Progress
	}

	// SaveRecord asks to write what must last of a wave.
	SaveRecord struct{ Record Record }

	// Drain names the workers that get no new work, and by when each should be
	// clear of it. It replaces the former Drain.
	Drain struct{ By map[string]time.Time }

	// WorkerGone says that everything that ran on a worker is over.
	WorkerGone struct{ Worker string }

	// LogDecision is a decision for the log.
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

// The ways in which an order fails. All but ErrLost say that nothing was done.
var (
	ErrFenced  = errors.New("a larger token has been seen")
	ErrBusy    = errors.New("the machine is not up")
	ErrForeign = errors.New("the machine is not of the wave")
	ErrRefused = errors.New("the platform refuses")
	ErrLost    = errors.New("the answer was lost")
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
func (WorkerGone) effect()     {}
func (LogDecision) effect()    {}
