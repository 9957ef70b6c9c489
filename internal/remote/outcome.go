package remote

import (
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// callState is what is known about a call so far. It is immutable.
	callState struct {
		op            Op
		indeterminate bool  // the call may have taken effect
		err           error // returned to the caller unless another host decides
	}

	// outcome is the outcome of one attempt to forward a call.
	outcome string
)

// The outcomes.
const (
	answered    outcome = "answered"    // the other host accepted or rejected the call
	refused     outcome = "refused"     // it could not decide the call, which had no effect there
	unreachable outcome = "unreachable" // the call did not reach it
	noResponse  outcome = "lost"        // no response; the call may have reached it
	unknown     outcome = "unknown"     // it responded that it does not know whether the call had an effect
	noHost      outcome = "nobody"      // there was no host to try
)

// unknownRetryAfter is the retry delay returned to callers for a call with an
// unknown outcome.
const unknownRetryAfter = time.Second

// undecidedCodes are the codes with which a host responds that it can't decide
// a call and that the call had no effect there.
var undecidedCodes = map[codes.Code]bool{
	codes.StoreUnavailable: true, codes.NotReady: true, codes.Stopping: true, codes.Overloaded: true,
}

// newCallState returns the state of a call that this host could not decide, for
// the given cause and with the given error.
func newCallState(op Op, cause intake.Cause, err error) callState {
	return callState{op: op, indeterminate: cause == intake.OutcomeUnknown && op.mutates(), err: err}
}

// classify returns the outcome of an attempt that returned err.
func classify(op Op, err error) outcome {
	var notSent *calls.NotSentError
	var ce *codes.Error
	switch {
	case err == nil:
		return answered
	case errors.As(err, &notSent):
		return unreachable
	case !errors.As(err, &ce):
		return noResponse
	case undecidedCodes[ce.Code]:
		return refused
	case ce.Code.Class() == codes.Unknown && op.mutates():
		return unknown
	default:
		return answered
	}
}

// withOutcome returns the state after another attempt, and reports whether the
// call is decided.
func (cs callState) withOutcome(oc outcome, err error) (callState, bool) {
	switch oc {
	case answered:
		return cs.withDecision(err), true
	case noResponse, unknown:
		cs.indeterminate = cs.indeterminate || cs.op.mutates()
	}
	return cs, false
}

// withDecision returns the state after the decision of another host. Only a
// success resolves an unknown outcome: a rejection does not rule out an effect
// of an earlier attempt.
func (cs callState) withDecision(err error) callState {
	cs.indeterminate = cs.indeterminate && err != nil
	cs.err = err
	return cs
}

// Err returns the error for the caller, or nil if the call succeeded.
func (cs callState) Err() error {
	switch {
	case !cs.indeterminate:
		return cs.err
	case cs.op == Cancel:
		return codes.New(codes.CancelUnknown, "no host has confirmed the cancellation").WithRetryAfter(unknownRetryAfter)
	default:
		return codes.New(codes.SubmitUnknown, "no host has confirmed the submission").WithRetryAfter(unknownRetryAfter)
	}
}
