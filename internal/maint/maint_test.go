package maint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/maint"
)

type (
	// site simulates machines with work in virtual time.
	site struct {
		rng           *rand.Rand
		now           time.Time
		core          *maint.Core
		machines      map[string]*machine
		maxDown       int
		reports       []maint.Progress
		records       map[int]maint.Record
		ended         map[string]bool      // workers whose work was reported as ended
		downed        map[string]bool      // workers whose machines went down
		draining      map[string]time.Time // workers that get no new work
		orders        int
		violations    []string
		lostShare     float64 // share of orders that are carried out without a response
		rejectedShare float64 // share of orders that are rejected
		firstErrors   []error // of the first orders, in place of what the shares say
	}

	machine struct {
		worker     string
		busyUntil  time.Time // end of its work
		upAt       time.Time // end of its downtime
		maintained bool
	}
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const (
	upkeepTime = 2 * time.Second
	tick       = 100 * time.Millisecond
)

func newSite(machines, maxDown int, work time.Duration) *site {
	si := &site{rng: rand.New(rand.NewPCG(1, 1)), now: start, machines: map[string]*machine{}, maxDown: maxDown, records: map[int]maint.Record{}, ended: map[string]bool{}, downed: map[string]bool{}}
	for i := range machines {
		si.machines[id(i)] = &machine{worker: "w" + id(i), busyUntil: start.Add(work)}
	}
	si.core = maint.New(start, maint.Config{WorkerState: si.workerState})
	return si
}

func id(i int) string { return fmt.Sprintf("m%02d", i) }

func (si *site) workerState(worker string) maint.WorkerState {
	for _, ma := range si.machines {
		if ma.worker == worker {
			return maint.WorkerState{Idle: !si.now.Before(ma.busyUntil)}
		}
	}
	return maint.WorkerState{Idle: true}
}

func (si *site) wave(duration time.Duration) maint.Wave {
	wa := maint.Wave{Number: 1, Duration: duration, MaxDown: si.maxDown}
	for i := range len(si.machines) {
		wa.Machines = append(wa.Machines, id(i))
	}
	return wa
}

func (si *site) handle(ev maint.Event) {
	for _, ef := range si.core.Handle(si.now, ev) {
		switch ef := ef.(type) {
		case maint.ListMachines:
			si.handle(maint.MachinesListed{Sent: ef.Sent, Machines: si.list()})
		case maint.ReportProgress:
			si.reports = append(si.reports, ef.Progress)
		case maint.SaveRecord:
			si.records[ef.Record.Number] = ef.Record
		case maint.Drain:
			si.draining = ef.By
		case maint.WorkerDown:
			si.checkEnded(ef.Worker)
		case maint.Order:
			si.handle(maint.OrderCompleted{Order: ef, Err: si.order(ef)})
		}
	}
}

// checkEnded checks that a worker that was reported as down is not running.
func (si *site) checkEnded(worker string) {
	si.ended[worker] = true
	for _, ma := range si.machines {
		if ma.worker == worker && !si.now.Before(ma.upAt) {
			si.violations = append(si.violations, worker+" was reported as down but is running")
		}
	}
}

func (si *site) list() []maint.Machine {
	var mas []maint.Machine
	for i := range len(si.machines) {
		ma := si.machines[id(i)]
		mas = append(mas, maint.Machine{ID: id(i), Worker: ma.worker, Up: !si.now.Before(ma.upAt)})
	}
	return mas
}

// order carries out an order as the platform does.
func (si *site) order(or maint.Order) error {
	ma := si.machines[or.Machine]
	lost, rejected := si.rng.Float64() < si.lostShare, si.rng.Float64() < si.rejectedShare
	if len(si.firstErrors) > 0 {
		lost, rejected = si.firstErrors[0] == maint.ErrOutcomeUnknown, si.firstErrors[0] == maint.ErrNotUp
		si.firstErrors = si.firstErrors[1:]
	}
	if rejected {
		return maint.ErrNotUp // also a repeated order
	}
	if ma.maintained {
		return nil
	}
	down := 0
	for _, other := range si.machines {
		if si.now.Before(other.upAt) {
			down++
		}
	}
	if down >= si.maxDown {
		si.violations = append(si.violations, fmt.Sprintf("%s went down while %d others were down", or.Machine, down))
	}
	ma.maintained = true
	si.downed[ma.worker] = true
	ma.upAt = si.now.Add(upkeepTime)
	ma.worker += "'"
	si.orders++
	if lost {
		return maint.ErrOutcomeUnknown
	}
	return nil
}

func (si *site) run(d time.Duration) {
	for end := si.now.Add(d); si.now.Before(end); {
		si.now = si.now.Add(tick)
		si.handle(maint.Ticked{})
		for worker := range si.downed {
			if _, ok := si.draining[worker]; !ok && !si.ended[worker] {
				si.violations = append(si.violations, worker+" may get work although its machine is down")
			}
		}
	}
}

func (si *site) countMaintained() int {
	n := 0
	for _, ma := range si.machines {
		if ma.maintained {
			n++
		}
	}
	return n
}

// TestWaves carries out waves in which work takes long, responses are lost and
// orders are rejected. Each machine must have its maintenance once and in time,
// with no more machines down than the wave permits.
func TestWaves(t *testing.T) {
	tests := []struct {
		name                     string
		machines, maxDown        int
		work                     time.Duration // remaining work when the wave is requested
		duration                 time.Duration
		lostShare, rejectedShare float64
	}{
		{"idle machines", 10, 2, 0, 30 * time.Second, 0, 0},
		{"work that finishes in time", 4, 2, 5 * time.Second, 30 * time.Second, 0, 0},
		{"work that does not finish", 4, 1, time.Hour, 30 * time.Second, 0, 0},
		{"all at once", 5, 5, time.Hour, 10 * time.Second, 0, 0},
		{"responses are lost", 8, 2, time.Second, 40 * time.Second, 0.5, 0},
		{"orders are rejected", 8, 2, time.Second, 40 * time.Second, 0, 0.5},
		{"both", 8, 3, time.Second, 40 * time.Second, 0.3, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			si := newSite(tt.machines, tt.maxDown, tt.work)
			si.lostShare, si.rejectedShare = tt.lostShare, tt.rejectedShare
			si.handle(maint.WaveRequested{Wave: si.wave(tt.duration)})
			si.run(tt.duration)
			is.Equal(si.countMaintained(), tt.machines)
			is.Equal(si.orders, tt.machines)
			is.Equal(si.violations, nil)
			si.run(10 * time.Second)
			is.Equal(si.reports, []maint.Progress{maint.Running, maint.Completed})
			is.Equal(len(si.ended), tt.machines)
		})
	}
}

// TestRefusedRepeatLeavesMachineDown loses the response to the first order, which is
// carried out, and rejects its repetition. It guards against taking the machine for
// up, and ordering the next one beside it.
func TestRefusedRepeatLeavesMachineDown(t *testing.T) {
	is := is.New(t)
	si := newSite(3, 1, 0)
	si.firstErrors = []error{maint.ErrOutcomeUnknown, maint.ErrNotUp}
	si.handle(maint.WaveRequested{Wave: si.wave(30 * time.Second)})
	si.run(30 * time.Second)
	is.Equal(si.countMaintained(), 3)
	is.Equal(si.violations, nil)
}

// TestDownWorkerGetsNoWork guards against new work for a worker whose machine
// went down and which the platform still lists, and against workers that get no
// work after the wave.
func TestDownWorkerGetsNoWork(t *testing.T) {
	is := is.New(t)
	si := newSite(3, 1, 0)
	si.handle(maint.WaveRequested{Wave: si.wave(30 * time.Second)})
	si.run(20 * time.Second)
	is.Equal(si.countMaintained(), 3)
	is.Equal(si.violations, nil)
	is.Equal(len(si.draining), 0) // the new workers get work
}

// TestWorkMayFinish guards against a wave that interrupts work although there
// is time for it to finish.
func TestWorkMayFinish(t *testing.T) {
	is := is.New(t)
	si := newSite(1, 1, 5*time.Second)
	si.handle(maint.WaveRequested{Wave: si.wave(30 * time.Second)})
	si.run(4900 * time.Millisecond)
	is.Equal(si.countMaintained(), 0)
	si.run(200 * time.Millisecond)
	is.Equal(si.countMaintained(), 1)
}

// TestTakeover guards against a new core that does not complete the wave of the
// previous core, or has too many machines down because that core ordered some.
// The record of the previous core may be lost.
func TestTakeover(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		is := is.New(t)
		si := newSite(6, 2, 0)
		wa := si.wave(30 * time.Second)
		si.handle(maint.WaveRequested{Wave: wa})
		si.run(4 * time.Second)
		is.True(si.countMaintained() > 2)
		cf := maint.Config{Waves: []maint.Wave{wa}, WorkerState: si.workerState}
		if recorded {
			cf.Records = []maint.Record{si.records[1]}
		}
		si.core = maint.New(si.now, cf)
		clear(si.downed) // the new core does not drain workers of machines that are down
		si.run(25 * time.Second)
		is.Equal(si.countMaintained(), 6)
		is.Equal(si.orders, 6)
		is.Equal(si.violations, nil)
	}
}

// TestCompletedWaveIsNotRepeated guards against a new core that carries out a
// wave that a previous one has completed.
func TestCompletedWaveIsNotRepeated(t *testing.T) {
	is := is.New(t)
	si := newSite(2, 1, 0)
	si.core = maint.New(si.now, maint.Config{Waves: []maint.Wave{si.wave(time.Minute)}, Completed: []int{1}, WorkerState: si.workerState})
	si.run(5 * time.Second)
	is.Equal(si.orders, 0)
	is.Equal(len(si.reports), 0)
}
