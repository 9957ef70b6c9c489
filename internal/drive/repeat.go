package drive

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// result is the outcome of one call.
type result[T any] struct {
	value T
	err   error
}

// repeatDelay is how long a start or a stop may be without a response before it
// is sent a second time. It is several round trips between distant regions.
const repeatDelay = 300 * time.Millisecond

// callTwice makes a call that a worker carries out at most once however often it
// arrives, and makes it a second time if the first got no response within
// repeatDelay or was lost. A worker that leaves calls without a response and
// carries them out seconds later would otherwise hold up a whole gang. It returns
// the first response, but runner.ErrOutcomeUnknown in place of a refusal of one
// call if the other may still take effect, and whether it made the call twice. Stops are
// made this way; the second copy of a start needs a record before it, see awaitStart.
func callTwice[T any](ctx context.Context, call func(context.Context) (T, error)) (value T, repeated bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	send := func() {
		value, err := call(ctx)
		results <- result[T]{value, err}
	}
	resend := func() {
		repeatedCalls.Inc()
		send()
	}
	go send()
	repeat := time.NewTimer(repeatDelay)
	defer repeat.Stop()
	var first result[T]
	select {
	case first = <-results:
		if !errors.Is(first.err, runner.ErrOutcomeUnknown) || ctx.Err() != nil {
			return first.value, false, first.err
		}
		go resend()
	case <-repeat.C:
		go resend()
		if first = <-results; isDecided(first.err) {
			return first.value, true, first.err
		}
	}
	decisive := combine(first, <-results)
	return decisive.value, true, decisive.err
}

// isDecided reports whether the error of one call holds although another one was
// sent and may still arrive. If one of them finds another incarnation of the
// worker than the calls name, the other has no effect, either.
func isDecided(err error) bool {
	return err == nil || errors.Is(err, runner.ErrFenced) || errors.Is(err, runner.ErrRestarted)
}

// combine returns the outcome of two calls, the first of which was not decided.
func combine[T any](first, second result[T]) result[T] {
	if !isDecided(second.err) && errors.Is(first.err, runner.ErrOutcomeUnknown) {
		return first
	}
	return second
}
