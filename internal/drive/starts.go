package drive

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// openStarts holds the calls that start attempts and have not returned. Its zero value
	// has none.
	openStarts struct {
		mu    sync.Mutex
		calls map[domain.Withdraw]*openStart // by the effect that gives a call up
	}

	// openStart is a call that starts an attempt. It is sent a second time once that is
	// permitted, if it has had no reply before.
	openStart struct {
		call      domain.Start
		cancel    context.CancelFunc
		permitted chan struct{} // closed when the second copy may be sent
		permit    func()        // closes permitted, once
		results   chan result[time.Duration]
		repeated  bool // the second copy was sent
	}
)

// unansweredDelay is how long a start may be without a reply before the core is asked to
// permit its second copy, which takes a write to the store.
const unansweredDelay = repeatDelay / 2

func keyOf(st domain.Start) domain.Withdraw {
	return domain.Withdraw{Worker: st.Worker.ID, Task: st.Request.Task, Attempt: st.Request.Attempt}
}

// begin returns a call and its context, which ends when the call is given up.
func (op *openStarts) begin(ctx context.Context, st domain.Start) (context.Context, *openStart) {
	ctx, cancel := context.WithCancel(ctx)
	ost := &openStart{call: st, cancel: cancel, permitted: make(chan struct{}), results: make(chan result[time.Duration], 2)}
	ost.permit = sync.OnceFunc(func() { close(ost.permitted) })
	op.mu.Lock()
	defer op.mu.Unlock()
	if op.calls == nil {
		op.calls = map[domain.Withdraw]*openStart{}
	}
	op.calls[keyOf(st)] = ost
	return ctx, ost
}

// end forgets a call that has returned.
func (op *openStarts) end(ost *openStart) {
	op.mu.Lock()
	defer op.mu.Unlock()
	ost.cancel()
	if key := keyOf(ost.call); op.calls[key] == ost {
		delete(op.calls, key)
	}
}

// withdraw gives up a call unless both copies were sent, whose outcomes may still come.
func (op *openStarts) withdraw(wd domain.Withdraw) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if ost, ok := op.calls[wd]; ok && !ost.repeated {
		ost.cancel()
	}
}

// mayResend reports whether the second copy of a call may be sent now, since it was not
// given up, and notes that it is.
func (op *openStarts) mayResend(ctx context.Context, ost *openStart) bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	ost.repeated = ctx.Err() == nil
	return ost.repeated
}

// permitRepeat permits the second copy of a call.
func (op *openStarts) permitRepeat(rp domain.Repeat) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if ost, ok := op.calls[domain.Withdraw(rp)]; ok {
		ost.permit()
	}
}

// start makes a call that starts an attempt, and reports its outcome. Of two copies, the
// first decisive reply is the outcome. The other copy is waited for after that, since the
// worker may restart before a copy arrives that got no reply.
func (te *term) start(ctx context.Context, ost *openStart) {
	defer te.starts.end(ost)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	outcome, pending := te.awaitStart(ctx, ost)
	countCall("start", began, outcome.err)
	te.send(domain.Started{Call: ost.call, Clock: outcome.value, Err: outcome.err, Repeated: ost.repeated})
	if pending && !errors.Is((<-ost.results).err, runner.ErrOutcomeUnknown) {
		te.send(domain.Answered{Call: ost.call})
	}
}

// sendStart sends one copy of a call.
func (te *term) sendStart(ctx context.Context, ost *openStart) {
	clock, err := te.cfg.Workers.Start(ctx, ost.call.Worker, ost.call.Request)
	ost.results <- result[time.Duration]{clock, err}
}

// awaitStart sends a call and returns its outcome, and whether the result of another copy
// is still to come.
func (te *term) awaitStart(ctx context.Context, ost *openStart) (outcome result[time.Duration], pending bool) {
	due := time.Now().Add(repeatDelay)
	go te.sendStart(ctx, ost)
	outcome, answered := awaitResult(ost, time.After(unansweredDelay))
	if !answered || isLost(ctx, outcome) {
		te.send(domain.Unanswered{Call: ost.call})
	}
	if !answered {
		outcome, answered = awaitResult(ost, ost.permitted)
	}
	if !answered {
		outcome, answered = awaitResult(ost, time.After(time.Until(due)))
	}
	switch {
	case answered && isLost(ctx, outcome):
		return te.repeatLost(ctx, ost, outcome), false
	case answered:
		return outcome, false
	}
	if !te.resend(ctx, ost) {
		return <-ost.results, false
	}
	if outcome = <-ost.results; isDecided(outcome.err) {
		return outcome, true
	}
	return combine(outcome, <-ost.results), false
}

// awaitResult returns the first result of a call, or false if something else happens before.
func awaitResult[T any](ost *openStart, until <-chan T) (result[time.Duration], bool) {
	select {
	case rs := <-ost.results:
		return rs, true
	case <-until:
		return result[time.Duration]{}, false
	}
}

// isLost reports whether the result of a copy says nothing of its outcome, and there is time
// for another one.
func isLost(ctx context.Context, rs result[time.Duration]) bool {
	return errors.Is(rs.err, runner.ErrOutcomeUnknown) && ctx.Err() == nil
}

// repeatLost sends the second copy of a call whose first one was lost, once that is
// permitted, and returns the outcome of both.
func (te *term) repeatLost(ctx context.Context, ost *openStart, lost result[time.Duration]) result[time.Duration] {
	select {
	case <-ost.permitted:
		if !te.resend(ctx, ost) {
			return lost
		}
		return combine(lost, <-ost.results)
	case <-ctx.Done():
		return lost
	}
}

// resend sends the second copy of a call, and reports whether it did.
func (te *term) resend(ctx context.Context, ost *openStart) bool {
	if !te.starts.mayResend(ctx, ost) {
		return false
	}
	repeatedCalls.Inc()
	go te.sendStart(ctx, ost)
	return true
}
