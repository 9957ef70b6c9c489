package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// A job holds units only of its open occurrences: those that are due and have not
// finished yet. What a scheduler holds in memory then follows what can run, not
// what was accepted.

const (
	// occurrenceHorizon is how long before it is due an occurrence gets its units.
	occurrenceHorizon = time.Second
	// maxJobUnits bounds the units of a job beyond which no further occurrence is
	// opened while others of it are open.
	maxJobUnits = 8192
)

// mayOpen reports whether the next occurrence of a job should get its units.
func (jb *job) mayOpen(now time.Time) bool {
	switch {
	case jb.state.Final(), jb.nextOpen >= jb.Occurrences():
		return false
	case len(jb.units) >= maxJobUnits:
		return false
	default:
		return !jb.Due(jb.nextOpen).After(now.Add(occurrenceHorizon))
	}
}

// openNext adds the units of the next occurrence.
func (jb *job) openNext() {
	for stepIndex := range jb.Steps {
		jb.addUnits(jb.nextOpen, stepIndex)
	}
	jb.nextOpen++
}

// openDue opens the occurrences that are due, in the order of acceptance of their
// jobs, as long as there are fewer units than maxUnits.
func (co *Core) openDue(now time.Time) {
	_, held := co.heldState()
	for _, jb := range co.arrivals {
		for held < co.maxUnits && jb.mayOpen(now) {
			before := len(jb.units)
			jb.openNext()
			held += len(jb.units) - before
		}
	}
}

// closeFinished drops the units of the first open occurrences that have finished.
// A job without a schedule keeps its units until it ends.
func (jb *job) closeFinished() {
	if jb.Schedule == nil {
		return
	}
	n := jb.UnitsPerOccurrence()
	for len(jb.units) > 0 && !slices.ContainsFunc(jb.units[:n], (*unit).isOpen) {
		jb.units = slices.Delete(jb.units, 0, n)
		jb.stepUnitsLeft = slices.Delete(jb.stepUnitsLeft, 0, len(jb.Steps))
		for stepIndex := range jb.Steps {
			delete(jb.advice, stepKey{jb.firstOpen, stepIndex})
		}
		jb.firstOpen++
	}
}

// isOpen reports whether a unit has not finished or has runs that have not ended.
func (un *unit) isOpen() bool { return un.phase != finished || len(un.runs) > 0 }

// skipFinished makes a job that holds no units begin with a later occurrence, all
// before it having finished.
func (jb *job) skipFinished(occurrences int) {
	jb.firstOpen = min(occurrences, jb.Occurrences())
	jb.nextOpen = jb.firstOpen
	jb.unitsLeft -= jb.firstOpen * jb.UnitsPerOccurrence()
}

// openThrough opens all occurrences up to a given one.
func (jb *job) openThrough(occurrence int) {
	for jb.nextOpen <= min(occurrence, jb.Occurrences()-1) {
		jb.openNext()
	}
}

// releaseEnded drops what a job whose end is on record needs no longer. Only its
// state remains for queries.
func (jb *job) releaseEnded() {
	if !jb.state.Final() || jb.savedVersion != jb.version {
		return
	}
	if slices.ContainsFunc(jb.units, func(un *unit) bool { return len(un.runs) > 0 || un.claim != nil }) {
		return
	}
	jb.units, jb.stepUnitsLeft, jb.advice, jb.Payload = nil, nil, nil, ""
}

// lastOccurrence returns the last occurrence that a record names.
func lastOccurrence(rc batch.Record) int {
	last := 0
	for _, tr := range rc.Succeeded {
		last = max(last, tr.Occurrence)
	}
	for _, ur := range rc.Units {
		last = max(last, ur.Occurrence)
	}
	return last
}
