package remote

import (
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// callState is what is known of a call so far. It is an immutable value.
	callState struct {
		op            Op
		indeterminate bool  // the call may have taken effect
		err           error // for the caller, unless another host decides
	}

	// outcome is how one try has ended.
	outcome string
)

// The outcomes.
const (
	answered    outcome = "answered"    // the other host has decided
	refused     outcome = "refused"     // it has not, and the call had no effect there
	unreachable outcome = "unreachable" // the call did not reach it
	noResponse  outcome = "lost"        // the call may have reached it
	unknown     outcome = "unknown"     // it does not know either whether the call had an effect
	noHost      outcome = "nobody"      // there was none to ask
)

// unknownRetryAfter is after which callers whose call is in doubt are told to ask again.
const unknownRetryAfter = time.Second

// undecidedCodes are the answers by which a host says that it can't decide.
var undecidedCodes = map[codes.Code]bool{
	codes.StoreUnavailable: true, codes.NotReady: true, codes.Stopping: true, codes.Overloaded: true,
}

// newCallState returns what is known of a call that this host could not decide.
func newCallState(op Op, cause intake.Cause, err error) callState {
	return callState{op: op, indeterminate: cause == intake.OutcomeUnknown && op.mutates(), err: err}
}

// classify tells how a try has ended by its error.
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

// withOutcome returns what is known after another try, and whether that decides.
func (cs callState) withOutcome(oc outcome, err error) (callState, bool) {
	switch oc {
	case answered:
		return cs.decided(err), true
	case noResponse, unknown:
		cs.indeterminate = cs.indeterminate || cs.op.mutates()
	}
	return cs, false
}

// decided takes the judgement of another host. Only a success settles a doubt: a
// refusal says nothing of an effect that the call may have had before.
func (cs callState) decided(err error) callState {
	cs.indeterminate = cs.indeterminate && err != nil
	cs.err = err
	return cs
}

// Err returns what the caller is told.
func (cs callState) Err() error {
	switch {
	case !cs.indeterminate:
		return cs.err
	case cs.op == Cancel:
		return codes.New(codes.CancelUnknown, "no host has confirmed it").WithRetryAfter(unknownRetryAfter)
	default:
		return codes.New(codes.SubmitUnknown, "no host has confirmed it").WithRetryAfter(unknownRetryAfter)
	}
}
