// Package launch keeps account of the calls that start attempts of tasks on workers, and
// decides where the next attempt of a task may begin and when the end of one may be
// acknowledged.
//
// A call is sent up to twice, and may be made again. A copy without a reply may be
// carried out up to MaxDelay after it was sent, also by a later incarnation of its
// worker, which knows nothing of what an earlier one has run, stopped or refused. So a
// call outlives its attempt, its unit and its job: until no copy of it can arrive, the
// next attempt begins on the same worker, or waits. There the call is made again with the
// same number, or the former attempt was stopped first, and whatever arrives is seen in
// the worker's replies. And until then an end of the task on that worker is not
// acknowledged: if the worker restarts, the end is lost with the incarnation, and what the
// copy runs is the only run that counts.
//
// A successor knows the calls that may have been sent more than once, since the store
// names them before the second copy is sent. Of any other call that an earlier term has
// made there is one copy at most.
package launch

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// Call is the call that starts one attempt of a task on one worker.
	Call struct {
		worker     string
		task       batch.TaskID
		attempt    int
		born       int64     // identifies the incarnation of the worker that it was last sent to; zero if unknown
		first      time.Time // when its first copy was sent
		last       time.Time // by when its last copy was sent
		copies     int       // that may have been sent
		lost       int       // those of calls that have returned whose outcome is unknown
		open       int       // number of calls that have not returned
		repeatable bool      // the store has to name it as one with several copies
		repeated   bool      // the second copy of the call that has not returned may be sent
		withdrawn  bool      // it was given up before it returned
		presumed   bool      // an earlier term may have made it; its copy need not exist
		seen       bool      // a copy was carried out
		failed     bool      // the attempt has failed there, so that the next one does not begin there
	}

	// Ledger holds the calls of a scheduler as long as they matter. Its zero value is
	// empty.
	Ledger struct {
		byTask     map[batch.TaskID][]*Call
		repeatable map[string][]*Call // by job
	}

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
	// maxRepeatable bounds the calls for a job that the store names, so that its record
	// stays small.
	maxRepeatable = 1000
)

// Begin adds a call.
func (le *Ledger) Begin(worker string, task batch.TaskID, attempt int) *Call {
	if le.byTask == nil {
		le.byTask, le.repeatable = map[batch.TaskID][]*Call{}, map[string][]*Call{}
	}
	ca := &Call{worker: worker, task: task, attempt: attempt}
	le.byTask[task] = append(le.byTask[task], ca)
	return ca
}

// Find returns the call that has started an attempt, or nil if it is not known any more.
func (le *Ledger) Find(worker string, task batch.TaskID, attempt int) *Call {
	for _, ca := range le.byTask[task] {
		if ca.worker == worker && ca.attempt == attempt {
			return ca
		}
	}
	return nil
}

// Next says where the next attempt of a task may begin.
func (le *Ledger) Next(now time.Time, task batch.TaskID, contactOf func(worker string) Contact) Choice {
	ch := Choice{Anywhere: true}
	for _, ca := range le.byTask[task] {
		if !le.bars(now, ca, contactOf(ca.worker)) {
			continue
		}
		if ca.failed || !ch.Anywhere && ch.Worker != ca.worker {
			return Choice{}
		}
		ch = Choice{Worker: ca.worker}
	}
	return ch
}

// Asks returns the workers that have to be heard of before the next attempt of a task may
// begin elsewhere, as enough time has passed for that.
func (le *Ledger) Asks(now time.Time, task batch.TaskID, contactOf func(worker string) Contact) []string {
	var workers []string
	for _, ca := range le.byTask[task] {
		if now.Before(le.patientUntil(now, ca)) {
			continue
		}
		if co := contactOf(ca.worker); co.InTouch && le.bars(now, ca, co) {
			workers = append(workers, ca.worker)
		}
	}
	return workers
}

// MayBar reports whether some call may restrict where the next attempt of a task begins.
func (le *Ledger) MayBar(now time.Time, task batch.TaskID) bool {
	return slices.ContainsFunc(le.byTask[task], func(ca *Call) bool { return !ca.Settled() && !ca.isOver(now) })
}

// ArrivesUntil returns until when a copy of a call for a task may arrive at a worker, or
// zero if none can. Until then no end of the task there may be acknowledged.
func (le *Ledger) ArrivesUntil(now time.Time, worker string, task batch.TaskID) time.Time {
	var until time.Time
	for _, ca := range le.byTask[task] {
		if ca.worker == worker && !ca.Settled() {
			if at := ca.Last(now).Add(MaxDelay); at.After(until) && at.After(now) {
				until = at
			}
		}
	}
	return until
}

// FailedOn returns the workers on which an attempt of a task has failed and at which a copy of
// its start may still arrive.
func (le *Ledger) FailedOn(now time.Time, task batch.TaskID) []string {
	var workers []string
	for _, ca := range le.byTask[task] {
		if ca.failed && !ca.Settled() && ca.mayArrive(now) {
			workers = append(workers, ca.worker)
		}
	}
	return workers
}

// LastUnsettled returns when the last copy was sent of the calls for a task on a worker
// that are not settled, other than a given one; zero if there is none.
func (le *Ledger) LastUnsettled(now time.Time, worker string, task batch.TaskID, except *Call) time.Time {
	var last time.Time
	for _, ca := range le.byTask[task] {
		if ca != except && ca.worker == worker && !ca.Settled() {
			if at := ca.Last(now); at.After(last) {
				last = at
			}
		}
	}
	return last
}

// MakeRepeatable notes that a call is to be sent more than once, and reports whether that
// is new. The store has to name it before; see Repeatable. It refuses calls beyond
// maxRepeatable of a job.
func (le *Ledger) MakeRepeatable(ca *Call) bool {
	job := ca.task.Job
	if ca.repeatable || len(le.repeatable[job]) >= maxRepeatable {
		return false
	}
	ca.repeatable = true
	le.repeatable[job] = append(le.repeatable[job], ca)
	return true
}

// Repeatable returns the calls for a job of which the store has to name that several
// copies may arrive.
func (le *Ledger) Repeatable(now time.Time, job string) []*Call {
	return slices.DeleteFunc(slices.Clone(le.repeatable[job]), func(ca *Call) bool { return ca.Settled() || !ca.mayArrive(now) })
}

// Prune drops the calls that no longer matter, and returns the number of calls that it has
// looked at.
func (le *Ledger) Prune(now time.Time) int {
	examined := 0
	drop := func(ca *Call) bool {
		examined++
		return ca.open == 0 && (ca.Settled() || ca.isOver(now))
	}
	prune(le.byTask, drop)
	prune(le.repeatable, drop)
	return examined
}

// prune drops calls and the keys that have none left.
func prune[K comparable](calls map[K][]*Call, drop func(ca *Call) bool) {
	for key, cas := range calls {
		if cas = slices.DeleteFunc(cas, drop); len(cas) == 0 {
			delete(calls, key)
		} else {
			calls[key] = cas
		}
	}
}

// Worker returns the worker that is called.
func (ca *Call) Worker() string { return ca.worker }

// Task returns the task that is started.
func (ca *Call) Task() batch.TaskID { return ca.task }

// Attempt returns the number of the attempt.
func (ca *Call) Attempt() int { return ca.attempt }

// Adopt notes that an earlier term may have made the call until the given time, with an
// outcome that is unknown. If the call is repeatable, several copies may have been sent.
func (ca *Call) Adopt(now, until time.Time) {
	ca.first, ca.last = now, until
	ca.copies, ca.lost, ca.presumed = 1, 1, true
	if ca.repeatable {
		ca.copies, ca.lost, ca.presumed = 2, 2, false
	}
}

// See notes that the worker has carried out a copy.
func (ca *Call) See() { ca.seen = true }

// Fail notes that the attempt has failed.
func (ca *Call) Fail() { ca.failed = true }

// Send notes that the call is made to an incarnation of the worker.
func (ca *Call) Send(now time.Time, born int64) {
	ca.born = born
	if ca.first.IsZero() {
		ca.first = now
	}
	ca.last = now
	ca.copies++
	ca.open++
	ca.withdrawn, ca.repeated = false, false
}

// Repeat notes that the second copy of the call in flight may be sent.
func (ca *Call) Repeat() {
	ca.copies++
	ca.repeated = true
}

// Return notes that the call has returned. It tells whether its second copy was sent and
// how many of its copies may still be carried out.
func (ca *Call) Return(now time.Time, repeated bool, lost int) {
	ca.open = max(0, ca.open-1)
	switch {
	case repeated && !ca.repeated:
		ca.copies++
	case ca.repeated && !repeated:
		ca.copies--
	}
	ca.repeated = false
	if lost > 0 {
		ca.lost += lost
		ca.presumed = false
		ca.last = now // a second copy was sent before
	}
}

// Answer notes that a copy has an outcome whose call has returned without it.
func (ca *Call) Answer() { ca.lost = max(0, ca.lost-1) }

// IsRepeatable reports whether MakeRepeatable has accepted the call.
func (ca *Call) IsRepeatable() bool { return ca.repeatable }

// Withdraw notes that the call is given up, and reports whether it was open until now.
func (ca *Call) Withdraw() bool {
	if ca.open == 0 || ca.withdrawn {
		return false
	}
	ca.withdrawn = true
	return true
}

// MayRepeat reports whether the call has neither returned nor been given up, and its second
// copy was not sent.
func (ca *Call) MayRepeat() bool { return ca.open > 0 && !ca.withdrawn && !ca.repeated }

// IsOpen reports whether the call has not returned yet.
func (ca *Call) IsOpen() bool { return ca.open > 0 }

// Settled reports whether no copy can be carried out any more: the outcome of each copy is
// known, or the worker has carried out the only one.
func (ca *Call) Settled() bool { return ca.open == 0 && ca.lost == 0 || ca.seen && ca.copies == 1 }

// First returns when the first copy was sent.
func (ca *Call) First() time.Time { return ca.first }

// Last returns by when the last copy was sent.
func (ca *Call) Last(now time.Time) time.Time {
	if ca.open > 0 || ca.last.After(now) {
		return now
	}
	return ca.last
}

// mayArrive reports whether a copy whose outcome is unknown may still be carried out.
func (ca *Call) mayArrive(now time.Time) bool { return now.Before(ca.Last(now).Add(MaxDelay)) }

// isOver reports whether no run that a copy has begun can still hold a lease.
func (ca *Call) isOver(now time.Time) bool { return !now.Before(ca.Last(now).Add(MaxDelay + MaxLease)) }

// bars reports whether a call bars the next attempt from other workers.
func (le *Ledger) bars(now time.Time, ca *Call, co Contact) bool {
	last := ca.Last(now)
	switch {
	case ca.Settled(), ca.presumed && ca.seen, ca.isOver(now):
		return false
	case ca.open == 0 && !co.HeardAt.Before(last.Add(MaxDelay)):
		return false // all copies had arrived when it was heard of
	case co.Gone:
		return false
	case co.Alive && ca.seen && ca.born == co.Born:
		return false // it refuses what it has run
	case co.InTouch:
		// Another crash of the worker is needed for a copy to take effect there. So the
		// work goes where there is room after some time.
		return !ca.presumed && co.HeardAt.Before(le.patientUntil(now, ca))
	default:
		return true
	}
}

// patientUntil returns until when a call keeps the next attempt on a worker in touch.
func (le *Ledger) patientUntil(now time.Time, ca *Call) time.Time {
	until, first := ca.Last(now).Add(Patience), ca.first
	for _, other := range le.byTask[ca.task] {
		if other.worker == ca.worker && !other.Settled() && other.first.Before(first) {
			first = other.first
		}
	}
	if limit := first.Add(maxPatience); limit.Before(until) {
		return limit
	}
	return until
}
