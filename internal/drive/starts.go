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
		call     domain.Start
		cancel   context.CancelFunc
		repeat   chan struct{} // receives a value when the second copy may be sent
		results  chan result[time.Duration]
		repeated bool // the second copy was sent
	}
)

func keyOf(st domain.Start) domain.Withdraw {
	return domain.Withdraw{Worker: st.Worker.ID, Task: st.Request.Task, Attempt: st.Request.Attempt}
}

// begin returns a call and its context, which ends when the call is given up.
func (op *openStarts) begin(ctx context.Context, st domain.Start) (context.Context, *openStart) {
	ctx, cancel := context.WithCancel(ctx)
	os := &openStart{call: st, cancel: cancel, repeat: make(chan struct{}, 1), results: make(chan result[time.Duration], 2)}
	op.mu.Lock()
	defer op.mu.Unlock()
	if op.calls == nil {
		op.calls = map[domain.Withdraw]*openStart{}
	}
	op.calls[keyOf(st)] = os
	return ctx, os
}

// end forgets a call that has returned.
func (op *openStarts) end(os *openStart) {
	op.mu.Lock()
	defer op.mu.Unlock()
	os.cancel()
	if key := keyOf(os.call); op.calls[key] == os {
		delete(op.calls, key)
	}
}

// withdraw gives up a call.
func (op *openStarts) withdraw(wd domain.Withdraw) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if os, ok := op.calls[wd]; ok {
		os.cancel()
	}
}

// permitRepeat permits the second copy of a call.
func (op *openStarts) permitRepeat(rp domain.Repeat) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if os, ok := op.calls[domain.Withdraw(rp)]; ok {
		select {
		case os.repeat <- struct{}{}:
		default:
		}
	}
}

// start makes a call that starts an attempt, and reports its outcome. Of two copies, the
// first decisive reply is the outcome. The other copy is waited for after that, since the
// worker may restart before a copy arrives that got no reply.
func (te *term) start(ctx context.Context, os *openStart) {
	defer te.starts.end(os)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	outcome, pending := te.awaitStart(ctx, os)
	countCall("start", began, outcome.err)
	te.send(domain.Started{Call: os.call, Clock: outcome.value, Err: outcome.err, Repeated: os.repeated})
	if pending && !errors.Is((<-os.results).err, runner.ErrOutcomeUnknown) {
		te.send(domain.Answered{Call: os.call})
	}
}

// sendStart sends one copy of a call.
func (te *term) sendStart(ctx context.Context, os *openStart) {
	clock, err := te.cfg.Workers.Start(ctx, os.call.Worker, os.call.Request)
	os.results <- result[time.Duration]{clock, err}
}

// awaitStart sends a call and returns its outcome, and whether the result of another copy
// is still to come.
func (te *term) awaitStart(ctx context.Context, os *openStart) (outcome result[time.Duration], pending bool) {
	go te.sendStart(ctx, os)
	unanswered := time.NewTimer(repeatDelay)
	defer unanswered.Stop()
	select {
	case outcome = <-os.results:
		if !errors.Is(outcome.err, runner.ErrOutcomeUnknown) || ctx.Err() != nil {
			return outcome, false
		}
		te.send(domain.Unanswered{Call: os.call})
		return te.repeatLost(ctx, os, outcome), false
	case <-unanswered.C:
		te.send(domain.Unanswered{Call: os.call})
	}
	select {
	case outcome = <-os.results:
		if !errors.Is(outcome.err, runner.ErrOutcomeUnknown) || ctx.Err() != nil {
			return outcome, false
		}
		return te.repeatLost(ctx, os, outcome), false
	case <-os.repeat:
		te.resend(ctx, os)
	}
	if outcome = <-os.results; isDecided(outcome.err) {
		return outcome, true
	}
	return combine(outcome, <-os.results), false
}

// repeatLost sends the second copy of a call whose first one was lost, once that is
// permitted, and returns the outcome of both.
func (te *term) repeatLost(ctx context.Context, os *openStart, lost result[time.Duration]) result[time.Duration] {
	select {
	case <-os.repeat:
		te.resend(ctx, os)
		return combine(lost, <-os.results)
	case <-ctx.Done():
		return lost
	}
}

// resend sends the second copy of a call.
func (te *term) resend(ctx context.Context, os *openStart) {
	os.repeated = true
	repeatedCalls.Inc()
	go te.sendStart(ctx, os)
}
