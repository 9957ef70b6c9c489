package domain

import (
	"errors"
	"fmt"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// A call that was sent to one incarnation of a worker may be carried out by the next
// one, which knows no fencing token yet and whose clock begins anew. So after a restart
// the calls to a worker carry a larger token than all orders to its former
// incarnations, and it gets no order before it has replied to a poll with that token.
// From then on none of the former orders can take effect there. An order is a call that
// means something else to another incarnation: a start, or a poll that grants a lease or
// acknowledges ends. A stop is none, since attempts are numbered and a stop ends only
// those up to its own.
//
// The tokens are revisions of the store by this scheduler's writes: each requires the
// leader key, so they are larger than the term's token, and smaller than that of every
// successor.

type (
	// fence is the state of the fencing of a worker.
	fence struct {
		token          int64     // of the calls to the worker
		orderToken     int64     // largest token of an order to it; zero if this term has sent none
		staleToken     int64     // the same for orders to its former incarnations
		pending        bool      // such an order may still take effect on the present incarnation
		restartKnownAt time.Time // when a restart last became known; zero if none did
	}

	// fenceTokens are the fencing tokens of a term.
	fenceTokens struct {
		newest int64 // largest that may be used
		used   int64 // largest that calls to some worker carry
		wanted bool  // a worker needs a larger one than newest
	}

	// formerWorker is what has to be known of a worker that was removed, in case
	// another incarnation returns under its ID.
	formerWorker struct {
		orderToken  int64
		leaseSentAt time.Time
		removedAt   time.Time
	}
)

// formerWorkerRetention is how long a removed worker is remembered: until no call to it
// can take effect any more.
const formerWorkerRetention = maxCallDelay + maxLeaseTime

// nextOrder returns the token for an order to a worker.
func (fe *fence) nextOrder() int64 {
	fe.orderToken = max(fe.orderToken, fe.token)
	return fe.token
}

// noteOrder notes that a poll is sent, which is an order if it grants a lease or
// acknowledges ends.
func (fe *fence) noteOrder(rq runner.PollRequest) {
	if rq.Deadline > 0 || rq.Acked > 0 {
		fe.nextOrder()
	}
}

// isConfirmedBy reports whether a reply to a call with the given token shows that no
// order to a former incarnation can take effect any more. Every call of this term shows
// that of the orders of former terms.
func (fe *fence) isConfirmedBy(token int64) bool { return fe.staleToken == 0 || token > fe.staleToken }

// precedes reports whether a poll was meant for a former incarnation.
func (fe *fence) precedes(po Poll) bool {
	return po.Sent.Before(fe.restartKnownAt) || po.Sent.Equal(fe.restartKnownAt) && !fe.isConfirmedBy(po.Request.Token)
}

// needsToken reports whether calls to the worker must carry a larger token.
func (fe *fence) needsToken() bool { return fe.pending && fe.token <= fe.staleToken }

// beginFencing begins the fencing of a worker whose orders so far were meant for a
// former incarnation.
func (co *Core) beginFencing(now time.Time, nd *node) {
	nd.fence.staleToken = nd.fence.orderToken
	nd.fence.pending, nd.fence.restartKnownAt = true, now
	nd.polling = false // what is in flight may never get a reply
	co.raiseToken(nd)
}

// raiseToken raises the token of the calls to a worker if it has to be larger. If
// there is none, the next commit provides it.
func (co *Core) raiseToken(nd *node) {
	if !nd.fence.needsToken() {
		return
	}
	if co.tokens.newest <= nd.fence.staleToken {
		co.tokens.wanted = true
		co.commits.urgent = true
		return
	}
	nd.fence.token = co.tokens.newest
	co.tokens.used = max(co.tokens.used, nd.fence.token)
}

// addToken adds the revision of a commit to the tokens that may be used, and raises
// those of the workers that wait for it.
func (co *Core) addToken(now time.Time, revision int64) {
	co.tokens.newest = max(co.tokens.newest, revision)
	if !co.tokens.wanted {
		return
	}
	co.tokens.wanted = false
	for _, nd := range co.nodesByID() {
		if !nd.fence.needsToken() {
			continue
		}
		co.raiseToken(nd)
		if !nd.fence.needsToken() {
			nd.nextPoll = now
			co.considerPoll(nd)
		}
	}
}

// endFencing processes the first reply that shows that no order to a former
// incarnation can take effect any more.
func (co *Core) endFencing(now time.Time, nd *node, sent time.Time, clock time.Duration) {
	co.boundStaleLeases(now, nd, sent, clock)
	if !nd.fence.pending {
		return
	}
	nd.fence.pending = false
	for _, ru := range nd.runs {
		ru.lateUntil = time.Time{} // the reply decides whether it runs there
	}
	co.emit(LogDecision{
		Decision: "fenced", Worker: nd.worker.ID, Token: nd.fence.token, Duration: now.Sub(nd.fence.restartKnownAt),
		Leases: max(0, nd.earlierLeases.Sub(now)), Reason: "the worker has confirmed the token; orders to its former incarnation can't take effect any more",
	})
}

// isSuperseded reports whether a refused call shows that another scheduler has a larger
// token than this one: it carried the largest that this one uses for the worker.
func (co *Core) isSuperseded(worker string, token int64) bool {
	nd, ok := co.nodes[worker]
	if !ok {
		return token >= co.tokens.used
	}
	return token >= nd.fence.token
}

// resignIfSuperseded resigns if the error of a call with the given token shows that
// another scheduler has a larger one.
func (co *Core) resignIfSuperseded(worker string, token int64, err error) {
	if errors.Is(err, runner.ErrFenced) && co.isSuperseded(worker, token) {
		co.resign(fmt.Sprintf("worker %s has accepted a larger fencing token than %d", worker, token))
	}
}

// observeUnfenced processes a reply to a poll of a worker on which orders to a former
// incarnation may still take effect. What it lists runs there, and has ended there; what
// it doesn't list may still begin.
func (co *Core) observeUnfenced(now time.Time, nd *node, ev Polled) {
	nd.nextPoll = now
	if nd.fence.needsToken() {
		nd.nextPoll = now.Add(pollRetryDelay)
	}
	for _, rn := range ev.Status.Running {
		co.observeRun(now, nd, runKey{rn.Task, rn.Attempt}, rn)
		nd.runs[runKey{rn.Task, rn.Attempt}].lateUntil = co.staleLeaseEnd(now, nd)
	}
	co.processEnds(now, nd, ev.Status.Ended)
}

// staleLeaseEnd returns when the last lease has expired that a worker may have been
// granted by the clock of a former incarnation, while its fencing is pending.
func (co *Core) staleLeaseEnd(now time.Time, nd *node) time.Time {
	return latest(now, nd.leaseSentAt.Add(maxCallDelay)).Add(maxLeaseTime)
}

// checkStartClock compares the clock in the reply to a start with that of the worker
// when the start was sent. A smaller one shows that the worker has restarted, which is
// processed at once. One that
// no incarnation can have that began since shows that it has not. Any other leaves it
// open until a poll lists the run.
func (co *Core) checkStartClock(now time.Time, nd *node, ru *run, clock time.Duration) {
	switch {
	case clock == 0 || ru.clockSent == 0:
	case clock < ru.clockSent:
		co.handleRestart(now, nd, nd.worker.Born, "the worker has restarted, by its clock in the reply to a start")
	case clock > now.Sub(ru.clockReadAfter):
		ru.startedHere = true
	default: // if it has restarted, only the worker limits the lease
		ru.lateUntil = latest(ru.lateUntil, now.Add(maxLeaseTime))
	}
}

// rememberRemoved remembers the orders to a worker that is removed.
func (co *Core) rememberRemoved(now time.Time, nd *node) {
	if nd.fence.orderToken > 0 {
		co.formerWorkers[nd.worker.ID] = formerWorker{orderToken: nd.fence.orderToken, leaseSentAt: nd.leaseSentAt, removedAt: now}
	}
}

// restoreRemoved restores what is remembered of a worker that was removed to its new
// node, so that orders to a former incarnation can't be mistaken for later ones.
func (co *Core) restoreRemoved(nd *node) {
	fw, ok := co.formerWorkers[nd.worker.ID]
	if !ok {
		return
	}
	delete(co.formerWorkers, nd.worker.ID)
	nd.leaseSentAt = fw.leaseSentAt
	nd.fence.orderToken = fw.orderToken
	co.beginFencing(fw.removedAt, nd)
}

// forgetRemoved drops removed workers after formerWorkerRetention.
func (co *Core) forgetRemoved(now time.Time) {
	for id, fw := range co.formerWorkers {
		if now.Sub(fw.removedAt) > formerWorkerRetention {
			delete(co.formerWorkers, id)
		}
	}
}
