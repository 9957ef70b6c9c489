package maint

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
		Records   []Record // stored by a previous core
		Completed []int    // waves that were reported as completed
		// WorkerState returns the state of a worker.
		WorkerState func(worker string) WorkerState
	}

	// WorkerState summarizes the work on a worker.
	WorkerState struct {
		Idle            bool
		Uninterruptible bool // some of its work must not be interrupted now
		Draining        bool
		Born            int64 // identifies its incarnation; zero if unknown
	}

	// Core holds the state of all waves. It is not safe for concurrent use.
	Core struct {
		workerState func(worker string) WorkerState
		waves       map[int]*wave
		completed   map[int]bool // waves that were reported as completed
		machines    map[string]Machine
		listedAt    time.Time            // when the current list was requested; zero before the first
		listing     bool                 // a request for a list is in flight
		nextList    time.Time            // earliest time of the next request for a list
		draining    map[string]time.Time // as in the last Drain
		effects     []Effect
	}

	// wave is a wave with the state of its machines.
	wave struct {
		Wave
		firstSeen     time.Time
		machineStates []*waveMachine
	}

	// waveMachine is the state of one machine of a wave.
	waveMachine struct {
		machine     string
		phase       phase
		drainBy     time.Time // from then on it goes down even if work remains
		notBefore   time.Time // earliest time of the next order
		confirmedAt time.Time // when its order was confirmed
		worker      string    // on the machine when the order was sent; empty once reported as down
		born        int64     // of the worker then; see WorkerState
		mayBeDown   bool      // the outcome of an order is unknown
	}

	phase uint8
)

const (
	pending  phase = iota
	draining       // its worker gets no new work
	ordered        // the order is in flight, or its outcome is unknown
	down           // the order was confirmed
	done           // up again, or no longer listed after its order
	removed        // no longer listed before its order, or not part of the wave
)

const (
	// listInterval is the time between two lists of the machines, and
	// downListInterval the same while a machine is down.
	listInterval     = time.Second
	downListInterval = 300 * time.Millisecond
	// orderRetryDelay is the pause after a failed order.
	orderRetryDelay = 500 * time.Millisecond
	// expectedDownTime is the estimated time from the order to a machine until a
	// list shows the machine up again.
	expectedDownTime = 3 * time.Second
	// slackShare is the share of a wave's duration reserved for failed orders.
	slackShare = 0.2
	// minDrainTime is the minimum time for work to finish.
	minDrainTime = 500 * time.Millisecond
	// maxUninterruptibleDelay is how long after drainBy uninterruptible work may
	// delay a machine.
	maxUninterruptibleDelay = 3 * time.Second
)

// New returns a core that has no list of machines yet.
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

// Handle processes one event and returns the effects to carry out.
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

// addWave adds a wave, with the progress that a previous core recorded.
func (co *Core) addWave(now time.Time, wa Wave, rc Record) {
	if _, ok := co.waves[wa.Number]; ok || co.completed[wa.Number] {
		return
	}
	wv := &wave{Wave: wa, firstSeen: now}
	for _, id := range wa.Machines {
		wv.machineStates = append(wv.machineStates, &waveMachine{machine: id})
	}
	wv.restore(now, rc)
	co.waves[wa.Number] = wv
	co.emit(SaveRecord{Record: wv.record()})
	co.emit(LogDecision{Decision: "wave", Wave: wa.Number, Reason: "requested by operators"})
	co.emit(ReportProgress{Wave: wa.Number, Progress: Running})
}

// updateMachines replaces the list of machines. A machine that went down is
// done once a list that was requested after its order was confirmed shows it
// up.
func (co *Core) updateMachines(now time.Time, ev MachinesListed) {
	co.listing = false
	co.nextList = now.Add(co.nextListDelay())
	if ev.Err != nil {
		co.emit(LogDecision{Decision: "upkeepFails", Reason: "can't list machines: " + ev.Err.Error()})
		return
	}
	co.machines = make(map[string]Machine, len(ev.Machines))
	for _, ma := range ev.Machines {
		co.machines[ma.ID] = ma
	}
	co.listedAt = ev.Sent
	for _, wv := range co.waves {
		for _, wm := range wv.machineStates {
			ma, ok := co.machines[wm.machine]
			switch {
			case !ok && wm.phase < ordered:
				wm.phase = removed
			case wm.phase == down && ev.Sent.After(wm.confirmedAt):
				co.updateDownMachine(wm, ma)
			}
		}
	}
}

// updateDownMachine updates a machine whose order was confirmed, from a list
// requested later. If it is up with the same worker, the order had no effect
// because the wave had maintained the machine before. If the worker is known to have
// restarted since the order, the list may be older than its next incarnation.
func (co *Core) updateDownMachine(wm *waveMachine, ma Machine) {
	if wm.worker != "" && (!ma.Up || ma.Worker != wm.worker) {
		if co.workerState(wm.worker).Born == wm.born {
			co.emit(WorkerDown{Worker: wm.worker})
		}
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

// completeOrder processes the outcome of an order.
func (co *Core) completeOrder(now time.Time, ev OrderCompleted) {
	wv, ok := co.waves[ev.Order.Wave]
	if !ok {
		return
	}
	i := slices.IndexFunc(wv.machineStates, func(wm *waveMachine) bool { return wm.machine == ev.Order.Machine })
	if i < 0 {
		return
	}
	wm := wv.machineStates[i]
	ld := LogDecision{Decision: "upkeep", Wave: wv.Number, Machine: wm.machine, Worker: wm.worker}
	switch {
	case ev.Err == nil:
		wm.phase, wm.confirmedAt = down, now
		co.emit(SaveRecord{Record: wv.record()})
	case errors.Is(ev.Err, ErrNotInWave):
		wm.phase = removed
	default:
		// An order whose outcome is unknown may have been carried out. It stays in
		// phase ordered and is sent again, which has no further effect if the first
		// one was carried out. A refusal of the second one says nothing of the first.
		wm.mayBeDown = wm.mayBeDown || errors.Is(ev.Err, ErrOutcomeUnknown)
		if !wm.mayBeDown {
			wm.phase = draining
		}
		wm.notBefore = now.Add(orderRetryDelay)
	}
	if ev.Err != nil {
		ld.Decision, ld.Reason = "upkeepFails", ev.Err.Error()
	}
	co.emit(ld)
}

// step advances all waves and updates the set of draining workers.
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
		for _, wm := range wv.machineStates {
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

// drainingWorker returns the worker of wm that gets no new work, or "" if there
// is none. It returns the worker of a down machine as well, because the
// platform lists it for a while.
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

// stepWave reports a wave as completed once each of its machines is down, done or
// removed, and removes the wave once each is done or removed. Until then it
// drains the next machines and orders those that may go down.
func (co *Core) stepWave(now time.Time, wv *wave) {
	started := wv.count(done) + wv.count(down)
	if started+wv.count(removed) == len(wv.machineStates) && !co.completed[wv.Number] {
		co.completed[wv.Number] = true
		co.emit(ReportProgress{Wave: wv.Number, Progress: Completed})
	}
	if wv.count(done)+wv.count(removed) == len(wv.machineStates) {
		delete(co.waves, wv.Number)
		co.emit(LogDecision{Decision: "waveEnds", Wave: wv.Number, Reason: "took " + now.Sub(wv.firstSeen).Round(time.Millisecond).String()})
		return
	}
	co.drainNext(now, wv)
	for _, wm := range wv.machineStates {
		ready := wm.phase == draining || wm.phase == ordered && !wm.notBefore.IsZero()
		if !ready || now.Before(wm.notBefore) || !co.mayGoDown(now, wm) {
			continue
		}
		if wm.phase == draining && co.countDown(wv) >= wv.MaxDown {
			continue
		}
		if wm.phase == draining {
			wm.worker = co.machines[wm.machine].Worker
			wm.born = co.workerState(wm.worker).Born
		}
		wm.phase, wm.notBefore = ordered, time.Time{}
		co.emit(Order{Machine: wm.machine, Wave: wv.Number})
	}
}

// drainNext starts to drain the machines that may go down next, and as many
// after them as may be down at a time, so that their work has finished when
// their turn comes.
func (co *Core) drainNext(now time.Time, wv *wave) {
	free := wv.MaxDown - wv.count(draining) - co.countDown(wv)
	ahead := free + wv.MaxDown
	for _, wm := range wv.machineStates {
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

// drainTime returns how long work on the next machines may take to finish. The
// remaining machines go down in rounds of MaxDown. Each round gets an equal part
// of the time that is left, without slackShare, and needs expectedDownTime of
// it.
func (wv *wave) drainTime(now time.Time) time.Duration {
	remaining := len(wv.machineStates) - wv.count(done) - wv.count(removed)
	rounds := time.Duration((remaining + wv.MaxDown - 1) / wv.MaxDown)
	end := wv.firstSeen.Add(time.Duration((1 - slackShare) * float64(wv.Duration)))
	return max(minDrainTime, end.Sub(now)/max(1, rounds)-expectedDownTime)
}

// mayGoDown reports whether a machine may go down now, because it is idle or
// the time for its work to finish is over.
func (co *Core) mayGoDown(now time.Time, wm *waveMachine) bool {
	ma := co.machines[wm.machine]
	if !ma.Up {
		return wm.phase == ordered // its order may have been carried out
	}
	st := co.workerState(ma.Worker)
	switch {
	case st.Idle:
		return true
	case st.Uninterruptible && !st.Draining:
		return now.After(wm.drainBy.Add(maxUninterruptibleDelay))
	default:
		return now.After(wm.drainBy)
	}
}

// countDown counts the machines of a wave that are down or may be. A pending
// machine that is not up counts, since a previous core may have ordered it.
func (co *Core) countDown(wv *wave) int {
	n := 0
	for _, wm := range wv.machineStates {
		ma, ok := co.machines[wm.machine]
		if wm.phase == ordered || wm.phase == down || (wm.phase == pending && ok && !ma.Up) {
			n++
		}
	}
	return n
}

// record returns the state of a wave to be stored.
func (wv *wave) record() Record {
	rc := Record{Number: wv.Number, FirstSeen: wv.firstSeen, Started: []string{}}
	for _, wm := range wv.machineStates {
		if wm.phase == down || wm.phase == done {
			rc.Started = append(rc.Started, wm.machine)
		}
	}
	return rc
}

// restore applies the record of a previous core, whose clock may differ.
func (wv *wave) restore(now time.Time, rc Record) {
	if !rc.FirstSeen.IsZero() && rc.FirstSeen.Before(now) {
		wv.firstSeen = rc.FirstSeen
	}
	for _, wm := range wv.machineStates {
		if slices.Contains(rc.Started, wm.machine) {
			wm.phase, wm.confirmedAt = down, now
		}
	}
}

func (wv *wave) count(ph phase) int {
	n := 0
	for _, wm := range wv.machineStates {
		if wm.phase == ph {
			n++
		}
	}
	return n
}

func (co *Core) emit(ef Effect) { co.effects = append(co.effects, ef) }
