package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// holdWatch measures for how long jobs have had nothing running although a task of
// them could run.
type holdWatch struct {
	*simulation
	since  map[string]time.Time // by job; no entry if the job is not held
	longer []string             // jobs that were held for longer than maxHold, in order
}

const (
	calmWorlds   = 20
	calmInterval = 1200 * time.Millisecond // between two jobs in calm
	calmSpan     = 30 * time.Second        // for which holds are watched
	watchStep    = 20 * time.Millisecond   // between two looks
	entryBeat    = 1500 * time.Millisecond // between two writes of a worker's entry
	maxFitCount  = 64                      // of tasks on one worker
)

// TestCalmHoldsNoWork injects troubles of all kinds, ends them, and watches the work
// that is left and some that arrives in calm. It guards against holds of work that
// could run that outlast a few seconds of calm, whatever decides them.
func TestCalmHoldsNoWork(t *testing.T) {
	for seed := range uint64(calmWorlds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			watchCalm(t, seed)
		})
	}
}

func watchCalm(t *testing.T, seed uint64) {
	mx := newMixture(seed)
	for step := range 40 {
		mx.run(time.Duration(mx.rng.IntN(600)) * time.Millisecond)
		mx.inject(step)
	}
	mx.run(max(0, mx.awayUntil.Sub(mx.now)))
	mx.endTroubles()
	mx.writeEntries()
	mx.run(calmTime)
	hw := holdWatch{simulation: mx.simulation, since: map[string]time.Time{}}
	for i := range int(calmSpan / watchStep) {
		if i%int(calmInterval/watchStep) == 0 {
			mx.submitRandom(fmt.Sprintf("calm%03d", i))
		}
		mx.run(watchStep)
		hw.observe()
	}
	if len(hw.longer) > 0 {
		t.Errorf("held for more than %v although there was capacity for them twice over: %v", maxHold, hw.longer)
	}
	if violations := mx.check(); len(violations) > 0 {
		t.Errorf("violations: %v", violations)
	}
}

// writeEntries makes the workers write their entries again and again.
func (sim *simulation) writeEntries() {
	for id, wk := range sim.workers {
		if !sim.lapsed[id] {
			sim.notify(domain.Listed{Worker: wk})
		}
	}
	sim.after(entryBeat, sim.writeEntries)
}

// observe looks at all jobs at the present time.
func (hw *holdWatch) observe() {
	for _, id := range hw.accepted {
		if !hw.isHeld(id) {
			delete(hw.since, id)
			continue
		}
		if hw.since[id].IsZero() {
			hw.since[id] = hw.now
		}
		if hw.now.Sub(hw.since[id]) > maxHold && !slices.Contains(hw.longer, id) {
			hw.longer = append(hw.longer, id)
		}
	}
}

// isHeld reports whether a job has nothing running although the turn of a step has
// come and there is free capacity for two of its units.
func (sim *simulation) isHeld(id string) bool {
	if _, cancelled := sim.cancelled[id]; cancelled || sim.state(id).Final() || sim.fleet.Running(id) > 0 {
		return false
	}
	jb := sim.jobs[id]
	for oc := range jb.Occurrences() {
		for at := range jb.Steps {
			if sim.isTurn(jb, oc, at) && sim.fitsTwice(&jb.Steps[at]) {
				return true
			}
		}
	}
	return false
}

// isTurn reports whether a step is due and not done, and those before it are done.
func (sim *simulation) isTurn(jb batch.Job, occurrence, at int) bool {
	if sim.now.Before(jb.Due(occurrence)) || sim.isDone(jb, occurrence, at) {
		return false
	}
	return !slices.ContainsFunc(jb.Steps[at].After, func(before int) bool { return !sim.isDone(jb, occurrence, before) })
}

// isDone reports whether all units of a step have succeeded.
func (sim *simulation) isDone(jb batch.Job, occurrence, at int) bool {
	for i := range jb.Steps[at].Units() {
		if !sim.fleet.Succeeded(batch.TaskID{Job: jb.ID, Occurrence: occurrence, Step: at, Index: i}) {
			return false
		}
	}
	return true
}

// fitsTwice reports whether the workers have free capacity for two units of a step.
func (sim *simulation) fitsTwice(sp *batch.Step) bool {
	wanted := 2
	if sp.Gang {
		wanted = 2 * sp.Tasks
	}
	for id, wk := range sim.workers {
		if sim.lapsed[id] || sp.Label != "" && !slices.Contains(wk.Labels, sp.Label) {
			continue
		}
		most := maxFitCount
		if sp.PerWorker > 0 {
			most = sp.PerWorker
		}
		for free := sim.fleet.Free(id); most > 0 && free.Covers(sp.Needs); most-- {
			free = free.Minus(sp.Needs)
			wanted--
		}
	}
	return wanted <= 0
}
