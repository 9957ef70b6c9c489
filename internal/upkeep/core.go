package upkeep

import (
	"errors"
	"maps"
	"slices"
	"time"
)

type (
	// Config constructs a Core.
	Config struct {
		Waves     []Wave
		Records   []Record // of a former core
		Completed []int    // waves that were reported as completed
		// WorkerState tells what runs on a worker.
		WorkerState func(worker string) WorkerState
	}

	// WorkerState is what runs on a worker.
	WorkerState struct {
		Idle     bool
		Pinned   bool // work of it may not be interrupted now
		Draining bool
	}

	// Core is the state of all waves. It is not safe for concurrent use.
	Core struct {
		workerState func(worker string) WorkerState
		waves       map[int]*wave
		completed   map[int]bool // reported as completed
		machines    map[string]Machine
		listedAt    time.Time // when the list that is known was asked for
		listing     bool
		nextList    time.Time
		draining    map[string]time.Time
		effects     []Effect
	}

	// wave is a wave with the progress of its machines.
	wave struct {
		Wave
		firstSeen time.Time
		states    []*waveMachine
	}

	// waveMachine is one machine of a wave.
	waveMachine struct {
		machine    string
		phase      phase
		drainBy    time.Time // when it goes down even if work is left
		notBefore  time.Time // no order before
		answeredAt time.Time // when its order was
		worker     string    // that ran there when the order was sent
	}

	phase uint8
)

const (
	pending  phase = iota
	draining       // its worker gets no new work
	ordered        // the order is under way
	down
	done
	removed // it is not among the machines any more
)

const (
	// listInterval is the pause between two lists of the machines, and downPause
	// the same while one is down.
	listInterval     = time.Second
	downListInterval = 300 * time.Millisecond
	// orderRetry is the pause after an order that failed.
	orderRetry = 500 * time.Millisecond
	// expectedDownTime is what the upkeep of one machine is reckoned to take, with the
	// list that shows it up again.
	expectedDownTime = 3 * time.Second
	// slackShare of a wave's time is kept for orders that fail.
	slackShare = 0.2
	// minDrainTime is the least time that work gets to end.
	minDrainTime = 500 * time.Millisecond
	// maxPinnedDelay is for how long pinned work may hold up a machine beyond that.
	maxPinnedDelay = 3 * time.Second
)

// New returns a core that knows no machine yet.
func New(now time.Time, cf Config) *Core {
	co := &Core{workerState: cf.WorkerState, waves: map[int]*wave{}, completed: map[int]bool{}, machines: map[string]Machine{}}
	for _, number := range cf.Completed {
		co.completed[number] = true
	}
	records := map[int]Record{}
	for _, rc := range cf.Records {
		records[rc.Number] = rc
	}
	for _, wa := range cf.Waves {
		co.addWave(now, wa, records[wa.Number])
	}
	return co
}

// Handle takes one event and returns what is to be done.
func (co *Core) Handle(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case WaveRequested:
		co.addWave(now, ev.Wave, Record{})
	case WaveWithdrawn:
		delete(co.waves, ev.Number)
	case MachinesListed:
		co.updateMachines(now, ev)
	case OrderCompleted:
		co.completeOrder(now, ev)
	case Ticked:
	}
	co.step(now)
	effects := co.effects
	co.effects = nil
	return effects
}

// addWave takes a wave in, with what a former core has recorded of it.
func (co *Core) addWave(now time.Time, wa Wave, rc Record) {
	if _, ok := co.waves[wa.Number]; ok || co.completed[wa.Number] {
		return
	}
	wv := &wave{Wave: wa, firstSeen: now}
	for _, id := range wa.Machines {
		wv.states = append(wv.states, &waveMachine{machine: id})
	}
	wv.restore(now, rc)
	co.waves[wa.Number] = wv
	co.emit(SaveRecord{Record: wv.record()})
	co.emit(LogDecision{Decision: "wave", Wave: wa.Number, Reason: "the operators ask for it"})
	co.emit(ReportProgress{Wave: wa.Number, Progress: Running})
}

// updateMachines takes the machines. One that was ordered is through once a updateMachines that was
// asked for later shows it up.
func (co *Core) updateMachines(now time.Time, ev MachinesListed) {
	co.listing = false
	co.nextList = now.Add(co.nextListDelay())
	if ev.Err != nil {
		co.emit(LogDecision{Decision: "upkeepFails", Reason: "list of machines: " + ev.Err.Error()})
		return
	}
	co.machines = make(map[string]Machine, len(ev.Machines))
	for _, ma := range ev.Machines {
		co.machines[ma.ID] = ma
	}
	co.listedAt = ev.Sent
	for _, wv := range co.waves {
		for _, wm := range wv.states {
			ma, ok := co.machines[wm.machine]
			switch {
			case !ok && wm.phase < ordered:
				wm.phase = removed
			case wm.phase == down && ev.Sent.After(wm.answeredAt):
				co.observe(wm, ma)
			}
		}
	}
}

// observe takes what a list shows of a machine that was ordered. One that still has
// its worker had its upkeep before.
func (co *Core) observe(wm *waveMachine, ma Machine) {
	if wm.worker != "" && (!ma.Up || ma.Worker != wm.worker) {
		co.emit(WorkerGone{Worker: wm.worker})
		wm.worker = ""
	}
	if ma.Up || ma.ID == "" {
		wm.phase = done
	}
}

func (co *Core) nextListDelay() time.Duration {
	for _, wv := range co.waves {
		if wv.count(down) > 0 {
			return downListInterval
		}
	}
	return listInterval
}

func (co *Core) completeOrder(now time.Time, ev OrderCompleted) {
	wv, ok := co.waves[ev.Order.Wave]
	if !ok {
		return
	}
	i := slices.IndexFunc(wv.states, func(wm *waveMachine) bool { return wm.machine == ev.Order.Machine })
	if i < 0 {
		return
	}
	wm := wv.states[i]
	ld := LogDecision{Decision: "upkeep", Wave: wv.Number, Machine: wm.machine, Worker: wm.worker}
	switch {
	case ev.Err == nil:
		wm.phase, wm.answeredAt = down, now
		co.emit(SaveRecord{Record: wv.record()})
	case errors.Is(ev.Err, ErrForeign):
		wm.phase = removed
	default:
		// A lost order may have been carried out; it is given again, which then
		// has no further effect. It counts as under way until an answer comes.
		if !errors.Is(ev.Err, ErrLost) {
			wm.phase = draining
		}
		wm.notBefore = now.Add(orderRetry)
	}
	if ev.Err != nil {
		ld.Decision, ld.Reason = "upkeepFails", ev.Err.Error()
	}
	co.emit(ld)
}

// step moves every wave on.
func (co *Core) step(now time.Time) {
	if len(co.waves) > 0 && !co.listing && !now.Before(co.nextList) {
		co.listing = true
		co.emit(ListMachines{Sent: now})
	}
	by := map[string]time.Time{}
	for _, number := range slices.Sorted(maps.Keys(co.waves)) {
		wv := co.waves[number]
		if !co.listedAt.IsZero() {
			co.stepWave(now, wv)
		}
		for _, wm := range wv.states {
			if worker := co.drainingWorker(wm); worker != "" {
				by[worker] = wm.drainBy
			}
		}
	}
	if !maps.Equal(by, co.draining) {
		co.draining = by
		co.emit(Drain{By: by})
	}
}

// drainingWorker returns the worker of a part that gets no new work, if any does. One
// whose machine went down stands in lists for a while.
func (co *Core) drainingWorker(wm *waveMachine) string {
	switch wm.phase {
	case draining:
		return co.machines[wm.machine].Worker
	case ordered, down:
		return wm.worker
	default:
		return ""
	}
}

func (co *Core) stepWave(now time.Time, wv *wave) {
	begun := wv.count(done) + wv.count(down)
	if begun+wv.count(removed) == len(wv.states) && !co.completed[wv.Number] {
		co.completed[wv.Number] = true
		co.emit(ReportProgress{Wave: wv.Number, Progress: Completed})
	}
	if wv.count(done)+wv.count(removed) == len(wv.states) {
		delete(co.waves, wv.Number)
		co.emit(LogDecision{Decision: "waveEnds", Wave: wv.Number, Reason: "took " + now.Sub(wv.firstSeen).Round(time.Millisecond).String()})
		return
	}
	co.drainNext(now, wv)
	for _, wm := range wv.states {
		ready := wm.phase == draining || wm.phase == ordered && !wm.notBefore.IsZero()
		if !ready || now.Before(wm.notBefore) || !co.mayGoDown(now, wm) {
			continue
		}
		if wm.phase == draining && co.countDown(wv) >= wv.AtOnce {
			continue
		}
		if wm.phase == draining {
			wm.worker = co.machines[wm.machine].Worker
		}
		wm.phase, wm.notBefore = ordered, time.Time{}
		co.emit(Order{Machine: wm.machine, Wave: wv.Number})
	}
}

// drainNext begins to clear the machines that are next, and those of the round
// after that, so that their work has ended when it is their turn.
func (co *Core) drainNext(now time.Time, wv *wave) {
	free := wv.AtOnce - wv.count(draining) - co.countDown(wv)
	ahead := free + wv.AtOnce
	for _, wm := range wv.states {
		if ahead <= 0 {
			return
		}
		if wm.phase != pending || !co.machines[wm.machine].Up {
			continue
		}
		wm.phase = draining
		wm.drainBy = now.Add(wv.drainTime(now))
		if free <= 0 {
			wm.drainBy = wm.drainBy.Add(expectedDownTime)
		}
		free--
		ahead--
	}
}

// drainTime is how long work on the next machines gets to end: what the rest of
// the wave does not need, shared among its rounds.
func (wv *wave) drainTime(now time.Time) time.Duration {
	remaining := len(wv.states) - wv.count(done) - wv.count(removed)
	rounds := time.Duration((remaining + wv.AtOnce - 1) / wv.AtOnce)
	end := wv.firstSeen.Add(time.Duration((1 - slackShare) * float64(wv.Duration)))
	return max(minDrainTime, end.Sub(now)/max(1, rounds)-expectedDownTime)
}

// mayGoDown tells whether a machine may go down now: nothing runs there, or the time
// for it to end is over.
func (co *Core) mayGoDown(now time.Time, wm *waveMachine) bool {
	ma := co.machines[wm.machine]
	if !ma.Up {
		return wm.phase == ordered // its order may have been carried out
	}
	st := co.workerState(ma.Worker)
	switch {
	case st.Idle:
		return true
	case st.Pinned && !st.Draining:
		return now.After(wm.drainBy.Add(maxPinnedDelay))
	default:
		return now.After(wm.drainBy)
	}
}

// countDown counts the machines that are down for a wave, or may be: a former core
// may have ordered whatever is not up.
func (co *Core) countDown(wv *wave) int {
	n := 0
	for _, wm := range wv.states {
		ma, ok := co.machines[wm.machine]
		if wm.phase == ordered || wm.phase == down || (wm.phase == pending && ok && !ma.Up) {
			n++
		}
	}
	return n
}

// record returns what must last of a wave.
func (wv *wave) record() Record {
	rc := Record{Number: wv.Number, FirstSeen: wv.firstSeen, Started: []string{}}
	for _, wm := range wv.states {
		if wm.phase == down || wm.phase == done {
			rc.Started = append(rc.Started, wm.machine)
		}
	}
	return rc
}

// restore takes over what a former core has recorded, by the clock of its host.
func (wv *wave) restore(now time.Time, rc Record) {
	if !rc.FirstSeen.IsZero() && rc.FirstSeen.Before(now) {
		wv.firstSeen = rc.FirstSeen
	}
	for _, wm := range wv.states {
		if slices.Contains(rc.Started, wm.machine) {
			wm.phase, wm.answeredAt = down, now
		}
	}
}

func (wv *wave) count(ph phase) int {
	n := 0
	for _, wm := range wv.states {
		if wm.phase == ph {
			n++
		}
	}
	return n
}

func (co *Core) emit(ef Effect) { co.effects = append(co.effects, ef) }
