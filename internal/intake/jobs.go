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
	// resolveTimeout bounds how long a submission whose outcome is not known is
	// looked into. The caller repeats it after that, under the same ID.
	resolveTimeout = 1500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = 700 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 50 * time.Millisecond
)

// Submit accepts a job: it returns nil once the job is in the store, also if it
// was there before. An error of class notRun says that the job is not accepted
// by this call; SubmitUnknown that it may be.
func (in *Intake) Submit(ctx context.Context, up time.Duration, ac Access, jb batch.Job) (err error) {
	defer func(began time.Time) { countCall("submit", began, err) }(time.Now())
	if !in.health.allowCall(up) {
		return storeUnavailable()
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
	return in.submit(ctx, up, tx)
}

// submit writes until the outcome is known. All of its writes expect that the
// job is not there, so at most one of them takes effect, whichever arrives.
func (in *Intake) submit(ctx context.Context, up time.Duration, tx store.Txn) error {
	began := time.Now()
	indeterminate := false
	for {
		wctx, cancel := context.WithTimeout(ctx, writeTimeout)
		sent := up + time.Since(began)
		_, ents, err := in.cfg.Store.Commit(wctx, tx)
		cancel()
		switch {
		case err == nil:
			in.health.record(sent, nil)
			in.confirmRevision(sent, tx.Expect[1].Revision)
			return nil
		case isConflict(err):
			in.health.record(sent, nil)
			return in.resolveConflict(sent, indeterminate, ents)
		case errors.Is(err, store.ErrLost):
			indeterminate = true
		}
		in.health.record(sent, err)
		if !pause.For(ctx, writeRetryDelay) {
			break
		}
	}
	if indeterminate {
		return newUndecided(OutcomeUnknown, codes.SubmitUnknown, "the store's answer was lost")
	}
	return storeUnavailable()
}

// resolveConflict tells what stands in the way of a submission: the job itself, which
// is then accepted, or another policy.
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
		// The lost write expects the former policy, so it can't take effect any more.
		in.cfg.Log.Debug("a lost write is void", "event", "lostWrite")
	}
	return ErrPolicyChanged
}

// ErrPolicyChanged says that another policy came into force while a job was
// being submitted, and that the job is not accepted. The call has to be judged
// anew.
var ErrPolicyChanged = errors.New("the policy has changed")

// confirmRevision notes that a write at an uptime has found a revision of the policy.
func (in *Intake) confirmRevision(up time.Duration, rev store.Revision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.snapshot.revision == rev {
		in.snapshot.confirmedAt = max(in.snapshot.confirmedAt, up)
	}
}

// State returns where a job stands.
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

// readJob reads an accepted readJob of the caller's queue.
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

// Cancel asks for the end of a job. It returns nil once the wish is in the
// store.
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
		_, _, err := in.cfg.Store.Commit(wctx, tx)
		stop()
		if err == nil || isConflict(err) {
			in.health.record(up, nil)
			return nil
		}
		in.health.record(up+time.Since(began), err)
		if !pause.For(ctx, writeRetryDelay) {
			return newUndecided(OutcomeUnknown, codes.CancelUnknown, "the store does not answer")
		}
	}
}
