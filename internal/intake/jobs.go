package intake

import (
	"context"
	"errors"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	// resolveTimeout is the time for which a write whose outcome is unknown is
	// retried. After that, the caller repeats a submission under the same ID.
	resolveTimeout = 1500 * time.Millisecond
	// writeTimeout is the timeout of one write.
	writeTimeout = 700 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 50 * time.Millisecond
)

// Submit accepts a job. It returns nil once the job is in the store, even if it
// was there before. An error of class NotRun means that this call has not caused
// the job to be accepted; SubmitUnknown means that it may have. After
// ErrPolicyChanged, the call must be authorized again.
func (in *Intake) Submit(ctx context.Context, up time.Duration, ac Access, jb batch.Job) (err error) {
	defer func(began time.Time) { countCall("submit", began, err) }(time.Now())
	if !in.health.allowCall(up) {
		return storeUnavailable()
	}
	if err := in.checkState(ctx, up, jb); err != nil {
		return err
	}
	data, err := batch.Encode(jb)
	if err != nil {
		return codes.New(codes.InternalFailure, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	tx := store.Txn{
		Expect: []store.Expectation{{Key: batch.JobKey(jb.ID)}, {Key: in.cfg.PolicyKey, Revision: ac.revision}},
		Puts:   []store.Put{{Key: batch.JobKey(jb.ID), Value: data}},
	}
	rev, err := in.submit(ctx, up, tx)
	if rev != 0 {
		in.state.add(jb.Footprint(jb.UnitsPerOccurrence()))
		in.cfg.Announce(batch.Notice{Job: &jb, Revision: int64(rev)})
	}
	return err
}

// submit retries the write until its outcome is known. All of the writes expect
// that the job does not exist, so at most one of them takes effect, even if one
// that timed out reaches the store after a retry. The revision is that of the
// write if this call knows that it has taken effect, and zero otherwise.
func (in *Intake) submit(ctx context.Context, up time.Duration, tx store.Txn) (store.Revision, error) {
	began := time.Now()
	indeterminate := false
	for {
		wctx, cancel := context.WithTimeout(ctx, writeTimeout)
		sent := up + time.Since(began)
		rev, ents, err := in.cfg.Store.Commit(wctx, tx)
		cancel()
		switch {
		case err == nil:
			in.health.record(sent, nil)
			in.confirmRevision(sent, tx.Expect[1].Revision)
			return rev, nil
		case isConflict(err):
			in.health.record(sent, nil)
			return 0, in.resolveConflict(sent, indeterminate, ents)
		case errors.Is(err, store.ErrOutcomeUnknown):
			indeterminate = true
		}
		in.health.record(sent, err)
		if !pause.For(ctx, writeRetryDelay) {
			break
		}
	}
	if indeterminate {
		return 0, newUndecided(OutcomeUnknown, codes.SubmitUnknown, "the store's response was lost")
	}
	return 0, storeUnavailable()
}

// resolveConflict returns the result of a submission whose transaction
// conflicted: nil if the job exists, which means that it is accepted, or
// ErrPolicyChanged, or NotReady if the new policy can't be decoded. ents are the
// current entries of the keys that the transaction expected. indeterminate says
// that the outcome of an earlier write is unknown.
func (in *Intake) resolveConflict(up time.Duration, indeterminate bool, ents []store.Entry) error {
	for _, en := range ents {
		if _, _, ok := batch.ParseAccepted(en.Key); ok && en.Revision != 0 {
			return nil
		}
	}
	for _, en := range ents {
		if en.Key != in.cfg.PolicyKey {
			continue
		}
		if err := in.applyEntry(up, en); err != nil {
			return codes.New(codes.NotReady, "%v", err).WithRetryAfter(retryAfter)
		}
	}
	if indeterminate {
		// The write expects the previous policy, so it can no longer take
		// effect.
		in.cfg.Log.Debug("a write of unknown outcome can no longer take effect", "event", "writeFencedOff")
	}
	return ErrPolicyChanged
}

// ErrPolicyChanged means that another policy came into force while a job was
// being submitted, and that the job was not accepted. The call must be
// authorized again.
var ErrPolicyChanged = errors.New("the policy has changed")

// confirmRevision records that a write sent at the uptime up has found the policy
// at a revision.
func (in *Intake) confirmRevision(up time.Duration, rev store.Revision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.snapshot.revision == rev {
		in.snapshot.confirmedAt = max(in.snapshot.confirmedAt, up)
	}
}

// State returns the state of a job, which is Queued until the scheduler has
// recorded its progress. The code of the error is JobNotFound for an unknown job,
// and for a job of another workspace whose progress has not been recorded yet.
func (in *Intake) State(ctx context.Context, up time.Duration, ac Access, id string) (_ batch.State, err error) {
	defer func(began time.Time) { countCall("state", began, err) }(time.Now())
	en, err := in.read(ctx, up, batch.ProgressKey(id))
	if err != nil {
		return 0, err
	}
	if en.Revision != 0 {
		rc, err := batch.DecodeRecord(en.Value)
		if err != nil {
			return 0, codes.New(codes.InternalFailure, "%v", err)
		}
		return rc.State, nil
	}
	if _, err := in.readJob(ctx, up, ac, id); err != nil {
		return 0, err
	}
	return batch.Queued, nil
}

// readJob reads an accepted job. It returns JobNotFound if the job does not exist
// or belongs to another workspace than the caller. An anonymous caller may read
// every job, and every caller an anonymous job.
func (in *Intake) readJob(ctx context.Context, up time.Duration, ac Access, id string) (batch.Job, error) {
	en, err := in.read(ctx, up, batch.JobKey(id))
	if err != nil {
		return batch.Job{}, err
	}
	if en.Revision == 0 {
		return batch.Job{}, codes.New(codes.JobNotFound, "job %s", id)
	}
	jb, err := batch.DecodeJob(en.Value)
	if err != nil {
		return batch.Job{}, codes.New(codes.InternalFailure, "%v", err)
	}
	if jb.Workspace != "" && ac.Workspace != "" && jb.Workspace != ac.Workspace {
		return batch.Job{}, codes.New(codes.JobNotFound, "job %s of this workspace", id)
	}
	return jb, nil
}

// Cancel requests the cancellation of a job. It returns nil once the request is
// in the store, even if it was there before. CancelUnknown means that it may be
// there, and JobNotFound that the job does not exist or belongs to another
// workspace than the caller.
func (in *Intake) Cancel(ctx context.Context, up time.Duration, ac Access, id string) (err error) {
	defer func(began time.Time) { countCall("cancel", began, err) }(time.Now())
	if _, err := in.readJob(ctx, up, ac, id); err != nil {
		return err
	}
	began := time.Now()
	tx := store.Txn{
		Expect: []store.Expectation{{Key: batch.CancelKey(id)}},
		Puts:   []store.Put{{Key: batch.CancelKey(id), Value: []byte(ac.Workspace)}},
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		wctx, stop := context.WithTimeout(ctx, writeTimeout)
		rev, _, err := in.cfg.Store.Commit(wctx, tx)
		stop()
		if err == nil || isConflict(err) {
			in.health.record(up, nil)
			in.cfg.Announce(batch.Notice{Cancelled: id, Revision: int64(rev)})
			return nil
		}
		in.health.record(up+time.Since(began), err)
		if !pause.For(ctx, writeRetryDelay) {
			return newUndecided(OutcomeUnknown, codes.CancelUnknown, "the store does not respond")
		}
	}
}
