package remote

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// minMembers is the number of known hosts below which a host asks others for
// their members.
const minMembers = 3

// Forward makes another host decide a call that this host could not decide for
// the given cause, with the error err. It tries at most maxAttempts hosts, and
// returns the result or the error of the one that decides, or err if none does.
// If the call may have taken effect and no host has accepted it, the error is a
// *codes.Error with SubmitUnknown or CancelUnknown.
func (pe *Peer) Forward(ctx context.Context, ca Call, cause intake.Cause, err error) (Result, error) {
	cs := newCallState(ca.Op, cause, err)
	var tried []Member
	for attempt := range maxAttempts {
		me, ok := pe.choose(tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, me)
		_, more := pe.choose(tried)
		timeout := attemptTime(timeLeft(ctx), more && attempt < maxAttempts-1)
		if timeout == 0 {
			break
		}
		re, oc, err := pe.callHost(ctx, me, timeout, request{Call: ca, Cause: cause, WantMembers: len(pe.Members()) < minMembers})
		var decided bool
		if cs, decided = cs.withOutcome(oc, err); decided {
			return re, cs.Err()
		}
	}
	if len(tried) == 0 && !callerCancelled(ctx) {
		countCall(forwarder, cause, noHost)
	}
	return Result{}, cs.Err()
}

// timeLeft returns the time until the deadline of ctx, or maxCallTime if it has
// none.
func timeLeft(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return maxCallTime
	}
	return time.Until(at)
}

// callHost forwards a call to one host within timeout, records the outcome, and
// adds the hosts in the response to the roster.
func (pe *Peer) callHost(ctx context.Context, me Member, timeout time.Duration, rq request) (Result, outcome, error) {
	began := time.Now()
	cctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rp, err := pe.exchange(cctx, me, timeout, rq)
	oc := classify(rq.Call.Op, err)
	pe.recordOutcome(me, oc, err, callerCancelled(ctx))
	pe.AddMembers(rp.Members)
	countCall(forwarder, rq.Cause, oc)
	args := []any{
		"event", "forwarded", "job", rq.Call.Job, "op", rq.Call.Op, "cause", rq.Cause,
		"to", me.Name, "outcome", oc, "took", time.Since(began).Round(time.Millisecond),
	}
	if err != nil {
		args = append(args, "reason", err.Error())
	}
	pe.cfg.Log.Info("attempt to forward a call", args...)
	return rp.Result, oc, err
}

// callerCancelled reports whether ctx, the context of a call, ended because the
// caller disconnected.
func callerCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// recordOutcome records the outcome of an attempt in the roster. If the caller
// has cancelled the call, a missing response is no failure of the host.
func (pe *Peer) recordOutcome(me Member, oc outcome, err error, cancelled bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	switch {
	case oc == answered:
		pe.roster.RecordSuccess(me)
	case oc == refused:
		pe.roster.RecordRefusal(time.Now(), me, codes.Of(err).RetryAfter)
	case (oc == unreachable || oc == noResponse) && !cancelled:
		pe.roster.RecordFailure(time.Now(), me)
	}
}

// exchange makes one call to a host over a pooled session. It returns a
// *calls.NotSentError if the call provably did not reach the host. If it did not,
// or there is no response, the session is retired, so that the next call opens a
// new one; a call that the caller has cancelled leaves the session in use.
func (pe *Peer) exchange(ctx context.Context, me Member, timeout time.Duration, rq request) (response, error) {
	msg, err := rq.toWire(pe.cfg.Self, remoteTimeout(timeout))
	if err != nil {
		return response{}, &calls.NotSentError{Host: me.Name, Err: err}
	}
	li, err := pe.pool.get(ctx, me.Address)
	if err != nil {
		return response{}, &calls.NotSentError{Host: me.Name, Err: err}
	}
	payload, err := calls.Call{
		Session: li.sess, Host: me.Name, Message: msg, MaxResponse: maxMessageSize,
		Done: func() { pe.pool.release(li) },
	}.Do(ctx)
	if oc := classify(rq.Call.Op, err); (oc == noResponse || oc == unreachable) && !callerCancelled(ctx) {
		pe.pool.retire(li)
	}
	if err != nil {
		return response{}, err
	}
	var rp response
	if err := json.Unmarshal(payload, &rp); err != nil {
		return response{}, merry.Prependf(err, "response of %s", me.Name)
	}
	return rp, nil
}
