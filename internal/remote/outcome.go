package remote

import (
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// verdict is what is known of a call so far. It is an immutable value.
	verdict struct {
		op    Op
		doubt bool  // the call may have taken effect
		err   error // for the caller, unless another host decides
	}

	// outcome is how one try has ended.
	outcome string
)

// The outcomes.
const (
	answered    outcome = "answered"    // the other host has decided
	refused     outcome = "refused"     // it has not, and the call had no effect there
	unreachable outcome = "unreachable" // the call did not reach it
	lost        outcome = "lost"        // the call may have reached it
	unknown     outcome = "unknown"     // it does not know either whether the call had an effect
	nobody      outcome = "nobody"      // there was none to ask
)

// doubtWait is after which callers whose call is in doubt are told to ask again.
const doubtWait = time.Second

// undecidedCodes are the answers by which a host says that it can't decide.
var undecidedCodes = map[codes.Code]bool{
	codes.StoreUnavailable: true, codes.NotReady: true, codes.Stopping: true, codes.Overloaded: true,
}

// newVerdict returns what is known of a call that this host could not decide.
func newVerdict(op Op, cause intake.Cause, err error) verdict {
	return verdict{op: op, doubt: cause == intake.OutcomeUnknown && op.changes(), err: err}
}

// outcomeOf tells how a try has ended by its error.
func outcomeOf(op Op, err error) outcome {
	var unsent *calls.NotSentError
	var ce *codes.Error
	switch {
	case err == nil:
		return answered
	case errors.As(err, &unsent):
		return unreachable
	case !errors.As(err, &ce):
		return lost
	case undecidedCodes[ce.Code]:
		return refused
	case ce.Code.Class() == codes.Unknown && op.changes():
		return unknown
	default:
		return answered
	}
}

// With returns what is known after another try, and whether that decides.
func (ve verdict) With(oc outcome, err error) (verdict, bool) {
	switch oc {
	case answered:
		return ve.decided(err), true
	case lost, unknown:
		ve.doubt = ve.doubt || ve.op.changes()
	}
	return ve, false
}

// decided takes the judgement of another host. Only a success settles a doubt: a
// refusal says nothing of an effect that the call may have had before.
func (ve verdict) decided(err error) verdict {
	ve.doubt = ve.doubt && err != nil
	ve.err = err
	return ve
}

// Err returns what the caller is told.
func (ve verdict) Err() error {
	switch {
	case !ve.doubt:
		return ve.err
	case ve.op == Cancel:
		return codes.New(codes.CancelUnknown, "no host has confirmed it").WithRetryAfter(doubtWait)
	default:
		return codes.New(codes.SubmitUnknown, "no host has confirmed it").WithRetryAfter(doubtWait)
	}
}
