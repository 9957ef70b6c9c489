package intake

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Cause is the reason for which this host can't decide a call that another
	// host might be able to decide.
	Cause string

	// undecidedError is the error of a call that this host can't decide.
	undecidedError struct {
		cause    Cause
		response *codes.Error // for the caller
	}
)

// The causes. Their values are passed between hosts.
const (
	PolicyUnconfirmed Cause = "policy"  // there is no policy, or it can't be confirmed
	StoreUnreachable  Cause = "store"   // the store is unreachable, and nothing was written
	OutcomeUnknown    Cause = "outcome" // a write may have taken effect
)

// Known reports whether ca is one of the defined causes.
func (ca Cause) Known() bool {
	return ca == PolicyUnconfirmed || ca == StoreUnreachable || ca == OutcomeUnknown
}

// CauseOf returns the cause if err says that this host can't decide a call.
func CauseOf(err error) (Cause, bool) {
	var ue undecidedError
	if !errors.As(err, &ue) {
		return "", false
	}
	return ue.cause, true
}

// Error implements error.
func (ue undecidedError) Error() string { return ue.response.Error() }

// Unwrap returns the error for the caller.
func (ue undecidedError) Unwrap() error { return ue.response }

// newUndecided returns the error of a call that this host can't decide. The
// code and the detail are for the caller, in case no other host decides the
// call.
func newUndecided(cause Cause, code codes.Code, detail string) error {
	return undecidedError{cause: cause, response: codes.New(code, "%s", detail).WithRetryAfter(retryAfter)}
}

// AuthorizeSince authorizes a call like Authorize, but by a policy that was read
// no earlier than the uptime up. It is for calls forwarded by other hosts: they
// are decided by a policy that is no older than the call, so that a key revoked
// before the call is rejected.
func (in *Intake) AuthorizeSince(ctx context.Context, up time.Duration, host, path, key string) (_ Access, err error) {
	defer func(began time.Time) { countCall("open", began, err) }(time.Now())
	ps, err := in.policyReadSince(ctx, up)
	if err != nil {
		return Access{}, err
	}
	return ps.authorize(host, path, key)
}

// policyReadSince returns the policy as of a read that began no earlier than the
// uptime up. If it shares a read that began earlier, it reads once more.
func (in *Intake) policyReadSince(ctx context.Context, up time.Duration) (policySnapshot, error) {
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
