package domain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// stepKey identifies a step in one occurrence of a job.
	stepKey struct {
		occurrence, stepIndex int
	}

	// advice holds the workers known to be allowed or refused for a step. A
	// ticket expires, a refusal does not.
	advice struct {
		inFlight  bool      // a call is in flight
		notBefore time.Time // earliest time of the next call
		refused   map[string]bool
		tickets   map[string]ticket
		outdated  map[string]bool // workers that have restarted since the call in flight was made
	}

	// ticket permits the start of a step's tasks on one worker.
	ticket struct {
		text  string
		until time.Time
	}
)

const (
	// maxAdviceWorkers bounds the workers that one call asks about, since each
	// adds to its latency.
	maxAdviceWorkers = 24
	// maxAdviceCalls bounds the calls in flight, which the advice service
	// processes one by one.
	maxAdviceCalls = 4
	// maxAdviceCallsWithoutRoom bounds those for units that would not fit anywhere at
	// present, so that the others need not wait for them.
	maxAdviceCallsWithoutRoom = 3
	// adviceRetryDelay is the pause after a failed call before the next one for
	// the same step.
	adviceRetryDelay = 500 * time.Millisecond
	// ticketMargin is subtracted from the validity of a ticket for the start to
	// arrive.
	ticketMargin = 500 * time.Millisecond
)

// ensureAdvice reports whether a unit may be placed: its queue needs no advice,
// or some worker has a ticket for it. As a side effect it requests advice if no
// allowed worker has enough free capacity.
func (co *Core) ensureAdvice(ps *pass, un *unit) bool {
	if !co.queueOf(un.job).Advised {
		un.job.advice = nil
		return true
	}
	if un.job.advice == nil {
		un.job.advice = map[stepKey]*advice{}
	}
	key := stepKey{un.occurrence, un.stepIndex}
	ad, ok := un.job.advice[key]
	if !ok {
		ad = &advice{refused: map[string]bool{}, tickets: map[string]ticket{}, outdated: map[string]bool{}}
		un.job.advice[key] = ad
	}
	ad.expire(ps.now)
	if co.chooseNodes(ps, un, co.fitKeyOf(ps, unitGroup{}, un)) == nil {
		co.requestAdvice(ps, un, ad)
	}
	return len(ad.tickets) > 0
}

// expire drops the tickets that are no longer valid.
func (ad *advice) expire(now time.Time) {
	for id, ti := range ad.tickets {
		if !now.Before(ti.until) {
			delete(ad.tickets, id)
		}
	}
}

// dropAdvice drops what is known about a worker that has restarted: tickets are void
// then, and the new incarnation may be of another kind.
func (co *Core) dropAdvice(worker string) {
	for _, jb := range co.arrivals {
		for _, ad := range jb.advice {
			delete(ad.tickets, worker)
			delete(ad.refused, worker)
			if ad.inFlight {
				ad.outdated[worker] = true
			}
		}
	}
}

// requestAdvice requests advice about workers that are not known to be allowed or
// refused, those with the most free capacity first.
func (co *Core) requestAdvice(ps *pass, un *unit, ad *advice) {
	if ad.inFlight || co.adviceCalls >= maxAdviceCalls || ps.now.Before(ad.notBefore) {
		return
	}
	if co.adviceCalls >= maxAdviceCallsWithoutRoom && !co.hasRoom(ps, un) {
		return
	}
	var nds []*node
	for _, nd := range co.schedulableNodes(ps, co.queueOf(un.job).Service) {
		_, known := ad.tickets[nd.worker.ID]
		if !known && !ad.refused[nd.worker.ID] && un.fitCount(nd, nd.worker.Capacity, un.tasks) > 0 {
			nds = append(nds, nd)
		}
	}
	if len(nds) == 0 {
		return
	}
	slices.SortStableFunc(nds, func(a, b *node) int {
		return cmp.Or(cmp.Compare(un.fitCount(b, b.free(), un.tasks), un.fitCount(a, a.free(), un.tasks)), cmp.Compare(b.free().Accelerators, a.free().Accelerators))
	})
	rq := runner.AdviceRequest{Job: un.job.ID, Occurrence: un.occurrence, Step: un.stepIndex}
	for _, nd := range nds[:min(maxAdviceWorkers, len(nds))] {
		rq.Workers = append(rq.Workers, nd.worker.ID)
	}
	ad.inFlight = true
	co.adviceCalls++
	co.emit(Advise{Sent: ps.now, Request: rq})
}

// hasRoom reports whether a unit would fit on the workers of its service now if all
// of them were allowed.
func (co *Core) hasRoom(ps *pass, un *unit) bool {
	n := 0
	for _, nd := range co.schedulableNodes(ps, co.queueOf(un.job).Service) {
		n += un.fitCount(nd, nd.free(), un.tasks-n)
		if n >= un.tasks {
			return true
		}
	}
	return false
}

// handleAdvice processes the outcome of an advice call.
func (co *Core) handleAdvice(now time.Time, ev Advised) {
	co.adviceCalls--
	rq := ev.Call.Request
	jb, ok := co.jobs[rq.Job]
	if !ok {
		return
	}
	ad, ok := jb.advice[stepKey{rq.Occurrence, rq.Step}]
	if !ok {
		return
	}
	ad.inFlight = false
	defer clear(ad.outdated)
	ad.notBefore = now.Add(adviceRetryDelay)
	co.passDue = true
	if ev.Err != nil {
		co.emit(LogDecision{Decision: "adviceFails", Job: rq.Job, Reason: ev.Err.Error()})
		return
	}
	ad.notBefore = now
	until := now.Add(ev.Advice.ValidFor - ticketMargin)
	for _, id := range rq.Workers {
		if ad.outdated[id] {
			continue
		}
		if text, allowed := ev.Advice.Tickets[id]; allowed {
			ad.tickets[id] = ticket{text: text, until: until}
			continue
		}
		ad.refused[id] = true
	}
}

// ticket returns the ticket of a unit for a worker, or an empty string.
func (un *unit) ticket(nd *node) string {
	ad, ok := un.job.advice[stepKey{un.occurrence, un.stepIndex}]
	if !ok {
		return ""
	}
	return ad.tickets[nd.worker.ID].text
}

// isRefusedBy reports whether a unit is known to get no ticket for a worker.
func (un *unit) isRefusedBy(nd *node) bool {
	ad, ok := un.job.advice[stepKey{un.occurrence, un.stepIndex}]
	return ok && ad.refused[nd.worker.ID]
}
