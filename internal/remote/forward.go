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

// A host that knows fewer than fewMembers asks others for those that they know.
const fewMembers = 3

// Forward has other hosts decide a call that this one could not, for a cause and
// with an error. It returns that error if none of them can either.
func (pe *Peer) Forward(ctx context.Context, ca Call, cause intake.Cause, err error) (Result, error) {
	ve := newVerdict(ca.Op, cause, err)
	var tried []Member
	for try := range maxTries {
		me, ok := pe.choose(tried)
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, me)
		_, more := pe.choose(tried)
		span := timeFor(timeLeft(ctx), more && try < maxTries-1)
		if span == 0 {
			break
		}
		re, oc, err := pe.ask(ctx, me, span, request{Call: ca, Cause: cause, Learn: len(pe.Members()) < fewMembers})
		var decided bool
		if ve, decided = ve.With(oc, err); decided {
			return re, ve.Err()
		}
	}
	if len(tried) == 0 && !hungUp(ctx) {
		countCall(forwarder, cause, nobody)
	}
	return Result{}, ve.Err()
}

// timeLeft returns what is left until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return maxTime
	}
	return time.Until(at)
}

// ask has one host decide within a time, and notes how that went.
func (pe *Peer) ask(ctx context.Context, me Member, span time.Duration, rq request) (Result, outcome, error) {
	began := time.Now()
	cctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	rp, err := pe.exchange(cctx, me, span, rq)
	oc := outcomeOf(rq.Call.Op, err)
	pe.note(me, oc, err, hungUp(ctx))
	pe.Learn(rp.Members)
	countCall(forwarder, rq.Cause, oc)
	args := []any{
		"event", "forwarded", "job", rq.Call.Job, "op", rq.Call.Op, "cause", rq.Cause,
		"to", me.Name, "outcome", oc, "took", time.Since(began).Round(time.Millisecond),
	}
	if err != nil {
		args = append(args, "reason", err.Error())
	}
	pe.cfg.Log.Info("call is forwarded", args...)
	return rp.Result, oc, err
}

// hungUp tells whether a call has ended because its caller has gone.
func hungUp(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// note remembers how a host has answered. A caller that hangs up says nothing of
// the host.
func (pe *Peer) note(me Member, oc outcome, err error, gone bool) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	switch {
	case oc == answered:
		pe.roster.Answered(me)
	case oc == refused:
		pe.roster.Refused(time.Now(), me, codes.Of(err).RetryAfter)
	case (oc == unreachable || oc == lost) && !gone:
		pe.roster.Silent(time.Now(), me)
	}
}

// exchange makes one call to a host.
func (pe *Peer) exchange(ctx context.Context, me Member, span time.Duration, rq request) (reply, error) {
	msg, err := rq.toWire(pe.cfg.Self, timeThere(span))
	if err != nil {
		return reply{}, &calls.NotSentError{Host: me.Name, Err: err}
	}
	li, err := pe.pool.get(ctx, me.Address)
	if err != nil {
		return reply{}, &calls.NotSentError{Host: me.Name, Err: err}
	}
	payload, err := calls.Call{
		Session: li.sess, Host: me.Name, Message: msg, Bound: maxMessage,
		Done: func() { pe.pool.release(li) },
	}.Do(ctx)
	if oc := outcomeOf(rq.Call.Op, err); (oc == lost || oc == unreachable) && !hungUp(ctx) {
		pe.pool.retire(li)
	}
	if err != nil {
		return reply{}, err
	}
	var rp reply
	if err := json.Unmarshal(payload, &rp); err != nil {
		return reply{}, merry.Prependf(err, "answer of %s", me.Name)
	}
	return rp, nil
}
