package intake

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Cause says why a host can't decide a call that another one could.
	Cause string

	// undecidedError is the error of a call that this host can't decide.
	undecidedError struct {
		cause    Cause
		response *codes.Error // for the caller
	}
)

// The causes.
const (
	PolicyUnconfirmed Cause = "policy"  // no policy is known, or it can't be confirmed
	StoreSilent       Cause = "store"   // the store does not answer, and nothing was done
	OutcomeUnknown    Cause = "outcome" // a write may have taken effect
)

// Known tells whether a cause is one of the defined ones.
func (ca Cause) Known() bool {
	return ca == PolicyUnconfirmed || ca == StoreSilent || ca == OutcomeUnknown
}

// CauseOf returns why a host could not decide a call, if that is what an error
// says.
func CauseOf(err error) (Cause, bool) {
	var ue undecidedError
	if !errors.As(err, &ue) {
		return "", false
	}
	return ue.cause, true
}

// Error implements error.
func (ue undecidedError) Error() string { return ue.response.Error() }

// Unwrap returns the code for the caller.
func (ue undecidedError) Unwrap() error { return ue.response }

// newUndecided returns the error of a call that this host can't decide, with what
// the caller is told unless another host decides.
func newUndecided(cause Cause, code codes.Code, detail string) error {
	return undecidedError{cause: cause, response: codes.New(code, "%s", detail).WithRetryAfter(retryAfter)}
}

// OpenFresh is Open by a policy that was read after an uptime, whatever was known
// before. It is for calls that another host forwards, which are judged by a policy
// no older than the call, so that a key which was revoked before does not work.
func (in *Intake) OpenFresh(ctx context.Context, up time.Duration, host, path, key string) (_ Access, err error) {
	defer func(began time.Time) { countCall("open", began, err) }(time.Now())
	ps, err := in.freshPolicy(ctx, up)
	if err != nil {
		return Access{}, err
	}
	return ps.authorize(host, path, key)
}

// freshPolicy returns the policy by a read that began after an uptime. A read that was
// under way then is shared, and followed by another one.
func (in *Intake) freshPolicy(ctx context.Context, up time.Duration) (policySnapshot, error) {
	began := time.Now()
	for range maxConfirmReads {
		if err := in.refresh(ctx, up+time.Since(began)); err != nil {
			break
		}
		if ps := in.latestSnapshot(); ps.policy != nil && ps.confirmedAt >= up {
			return ps, nil
		}
	}
	return policySnapshot{}, newUndecided(PolicyUnconfirmed, codes.StoreUnavailable, "the policy can't be confirmed")
}
