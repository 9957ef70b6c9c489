// Package launch keeps account of the calls that start attempts of tasks on workers, and
// decides where the next attempt of a task may begin.
//
// A call is sent up to twice, and may be made again. A copy without a reply may be
// carried out up to MaxDelay after it was sent, also by a later incarnation of its
// worker, which knows nothing of what an earlier one has run, stopped or refused. So a
// call outlives its attempt: until no copy of it can arrive, the next attempt begins on
// the same worker, or waits. There the call is made again with the same number, or the
// former attempt was stopped first, and whatever arrives is seen in the worker's replies.
package launch

import "time"

type (
	// Call is the call that starts one attempt of a task on one worker.
	Call struct {
		worker    string
		task      int // index within its gang, or zero
		attempt   int
		born      int64     // identifies the incarnation of the worker that it was last sent to; zero if unknown
		first     time.Time // when its first copy was sent
		last      time.Time // by when its last copy was sent
		times     int       // that it was made
		open      int       // those of which it has not returned
		unknown   bool      // a copy was sent whose outcome is unknown
		withdrawn bool      // it was given up before it returned
		presumed  bool      // an earlier term may have made it; its copies need not exist
		seen      bool      // a copy was carried out
	}

	// Ledger holds the calls for one unit of work, a task or a gang, as long as they
	// matter. Its zero value is empty.
	Ledger struct{ calls []*Call }

	// Contact is what is known of a worker.
	Contact struct {
		// InTouch says that the present incarnation replies, and refuses each copy that
		// was sent before it last did. Born identifies it.
		InTouch bool
		Born    int64
		// Alive says that the incarnation with Born, though silent, is known to have lived
		// on since it fell silent.
		Alive bool
		// Gone says that the worker left the platform or is about to, and is not
		// expected back.
		Gone bool
		// HeardAt is when the last call was sent to which any incarnation has replied
		// with all that it runs.
		HeardAt time.Time
	}

	// Choice says where the next attempt of a task may begin: anywhere, on one worker
	// only, or nowhere yet.
	Choice struct {
		Anywhere bool
		Worker   string
	}
)

const (
	// MaxDelay bounds the time after which a copy without a reply may still be carried
	// out.
	MaxDelay = 12 * time.Second
	// MaxLease is the longest lease that such a copy grants if it reaches another
	// incarnation of the worker, whose clock its deadline does not refer to: the limit
	// of 10 s that workers have for a lease, by a clock that is slow by 2%, and a margin
	// for the latency of replies.
	MaxLease = 10*time.Second + 400*time.Millisecond
	// Patience is how long a call is made again on a worker that is in touch, and how long
	// after its last copy it keeps the next attempt there. A missing reply is trouble, in
	// which work may stand still; 7 s after it the attempt must have begun elsewhere.
	Patience = 5 * time.Second
	// maxPatience is how long after its first copy a call, or one that follows it there,
	// keeps the next attempt on a worker that is in touch and replies to no start.
	maxPatience = 2 * Patience
)

// Begin adds a call and drops those that no longer matter.
func (le *Ledger) Begin(now time.Time, worker string, task, attempt int) *Call {
	le.prune(now)
	ca := &Call{worker: worker, task: task, attempt: attempt}
	le.calls = append(le.calls, ca)
	return ca
}

// Find returns the call that has started an attempt, or nil if it is not known any more.
func (le *Ledger) Find(worker string, task, attempt int) *Call {
	for _, ca := range le.calls {
		if ca.worker == worker && ca.task == task && ca.attempt == attempt {
			return ca
		}
	}
	return nil
}

// Next says where the next attempt of a task may begin.
func (le *Ledger) Next(now time.Time, task int, contactOf func(worker string) Contact) Choice {
	ch := Choice{Anywhere: true}
	for _, ca := range le.calls {
		if ca.task != task || !le.bars(now, ca, contactOf(ca.worker)) {
			continue
		}
		if !ch.Anywhere && ch.Worker != ca.worker {
			return Choice{}
		}
		ch = Choice{Worker: ca.worker}
	}
	return ch
}

// Asks returns the workers that have to be heard of before the next attempt of a task may
// begin elsewhere, as enough time has passed for that.
func (le *Ledger) Asks(now time.Time, task int, contactOf func(worker string) Contact) []string {
	var workers []string
	for _, ca := range le.calls {
		if ca.task != task || now.Before(le.patientUntil(now, ca)) {
			continue
		}
		if co := contactOf(ca.worker); co.InTouch && le.bars(now, ca, co) {
			workers = append(workers, ca.worker)
		}
	}
	return workers
}

// MayBar reports whether some call may restrict where the next attempt begins.
func (le *Ledger) MayBar(now time.Time) bool {
	le.prune(now)
	return len(le.calls) > 0
}

// ArrivesUntil returns until when a copy of a call of this term for a task may arrive at a
// worker, or zero if none can.
func (le *Ledger) ArrivesUntil(now time.Time, worker string, task int) time.Time {
	var until time.Time
	for _, ca := range le.calls {
		if ca.worker == worker && ca.task == task && !ca.Settled() && !ca.presumed {
			if at := ca.Last(now).Add(MaxDelay); at.After(until) && at.After(now) {
				until = at
			}
		}
	}
	return until
}

// LastUnsettled returns when the last copy was sent of the calls for a task on a worker
// that are not settled, other than a given one; zero if there is none.
func (le *Ledger) LastUnsettled(now time.Time, worker string, task int, except *Call) time.Time {
	var last time.Time
	for _, ca := range le.calls {
		if ca != except && ca.worker == worker && ca.task == task && !ca.Settled() {
			if at := ca.Last(now); at.After(last) {
				last = at
			}
		}
	}
	return last
}

// prune drops the calls that no longer matter.
func (le *Ledger) prune(now time.Time) {
	kept := le.calls[:0]
	for _, ca := range le.calls {
		if !ca.Settled() && now.Before(ca.Last(now).Add(MaxDelay+MaxLease)) {
			kept = append(kept, ca)
		}
	}
	clear(le.calls[len(kept):])
	le.calls = kept
}

// Adopt notes that an earlier term may have made the call until the given time, with an
// outcome that is unknown.
func (ca *Call) Adopt(now, until time.Time) {
	ca.first, ca.last, ca.unknown, ca.presumed = now, until, true, true
}

// See notes that the worker has carried out a copy.
func (ca *Call) See() { ca.seen = true }

// Send notes that the call is made to an incarnation of the worker.
func (ca *Call) Send(now time.Time, born int64) {
	ca.born = born
	if ca.first.IsZero() {
		ca.first = now
	}
	ca.last = now
	ca.times++
	ca.open++
	ca.withdrawn = false
}

// Return notes that the call has returned. It is settled if each copy that was sent has
// been carried out or refused.
func (ca *Call) Return(now time.Time, settled bool) {
	ca.open = max(0, ca.open-1)
	if !settled {
		ca.unknown, ca.presumed = true, false
		ca.last = now // a second copy was sent before
	}
}

// IsCarriedOut reports whether the call was made once and the worker has carried out a copy
// of it, so that nothing is left of it if that was the only one.
func (ca *Call) IsCarriedOut() bool { return ca.seen && ca.times == 1 }

// Withdraw notes that the call is given up, and reports whether it was open until now.
func (ca *Call) Withdraw() bool {
	if ca.open == 0 || ca.withdrawn {
		return false
	}
	ca.withdrawn = true
	return true
}

// IsOpen reports whether the call has not returned yet.
func (ca *Call) IsOpen() bool { return ca.open > 0 }

// Settled reports whether no copy can be carried out any more: the call was not sent, or
// the outcome of each copy is known.
func (ca *Call) Settled() bool { return ca.open == 0 && !ca.unknown }

// First returns when the first copy was sent.
func (ca *Call) First() time.Time { return ca.first }

// Last returns by when the last copy was sent.
func (ca *Call) Last(now time.Time) time.Time {
	if ca.open > 0 || ca.last.After(now) {
		return now
	}
	return ca.last
}

// bars reports whether a call bars the next attempt from other workers.
func (le *Ledger) bars(now time.Time, ca *Call, co Contact) bool {
	last := ca.Last(now)
	switch {
	case ca.Settled(), ca.presumed && ca.seen, !now.Before(last.Add(MaxDelay + MaxLease)):
		return false
	case ca.open == 0 && !co.HeardAt.Before(last.Add(MaxDelay)):
		return false // all copies had arrived when it was heard of
	case co.Gone:
		return false
	case co.Alive && ca.seen && ca.born == co.Born:
		return false // it refuses what it has run
	case co.InTouch:
		// Another crash of the worker is needed for a copy to take effect there, and one
		// more if it has restarted since. So work that the worker is known to have run,
		// and all work after some time, goes where there is room.
		return !ca.seen && !ca.presumed && ca.born == co.Born && co.HeardAt.Before(le.patientUntil(now, ca))
	default:
		return true
	}
}

// patientUntil returns until when a call keeps the next attempt on a worker in touch.
func (le *Ledger) patientUntil(now time.Time, ca *Call) time.Time {
	until, first := ca.Last(now).Add(Patience), ca.first
	for _, other := range le.calls {
		if other.worker == ca.worker && other.task == ca.task && !other.Settled() && other.first.Before(first) {
			first = other.first
		}
	}
	if limit := first.Add(maxPatience); limit.Before(until) {
		return limit
	}
	return until
}
