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
	// settleTime bounds how long a submission whose outcome is not known is
	// looked into. The caller repeats it after that, under the same ID.
	settleTime = 1500 * time.Millisecond
	// writeTime bounds one write.
	writeTime = 700 * time.Millisecond
	// writeRetry is the pause after a write that failed.
	writeRetry = 50 * time.Millisecond
)

// Submit accepts a job: it returns nil once the job is in the store, also if it
// was there before. An error of class notRun says that the job is not accepted
// by this call; SubmitUnknown that it may be.
func (in *Intake) Submit(ctx context.Context, up time.Duration, ac Access, jb batch.Job) (err error) {
	defer func(began time.Time) { countCall("submit", began, err) }(time.Now())
	if !in.path.allows(up) {
		return unavailable()
	}
	data, err := batch.Encode(jb)
	if err != nil {
		return codes.New(codes.InternalFailure, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
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
	lost := false
	for {
		wctx, cancel := context.WithTimeout(ctx, writeTime)
		sent := up + time.Since(began)
		_, ents, err := in.cfg.Store.Commit(wctx, tx)
		cancel()
		switch {
		case err == nil:
			in.path.note(sent, nil)
			in.confirmed(sent, tx.Expect[1].Revision)
			return nil
		case isConflict(err):
			in.path.note(sent, nil)
			return in.conflict(sent, lost, ents)
		case errors.Is(err, store.ErrLost):
			lost = true
		}
		in.path.note(sent, err)
		if !pause.For(ctx, writeRetry) {
			break
		}
	}
	if lost {
		return cannotDecide(OutcomeUnknown, codes.SubmitUnknown, "the store's answer was lost")
	}
	return unavailable()
}

// conflict tells what stands in the way of a submission: the job itself, which
// is then accepted, or another policy.
func (in *Intake) conflict(up time.Duration, lost bool, ents []store.Entry) error {
	for _, en := range ents {
		if _, _, ok := batch.ParseAccepted(en.Key); ok && en.Revision != 0 {
			return nil
		}
	}
	for _, en := range ents {
		if en.Key != in.cfg.PolicyKey {
			continue
		}
		if err := in.adopt(up, en); err != nil {
			return codes.New(codes.NotReady, "%v", err).WithRetryAfter(comeBack)
		}
	}
	if lost {
		// The lost write expects the former policy, so it can't take effect any more.
		in.cfg.Log.Debug("a lost write is void", "event", "lostWrite")
	}
	return ErrPolicyChanged
}

// ErrPolicyChanged says that another policy came into force while a job was
// being submitted, and that the job is not accepted. The call has to be judged
// anew.
var ErrPolicyChanged = errors.New("the policy has changed")

// confirmed notes that a write at an uptime has found a revision of the policy.
func (in *Intake) confirmed(up time.Duration, rev store.Revision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.known.revision == rev {
		in.known.asOf = max(in.known.asOf, up)
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
	if _, err := in.job(ctx, up, ac, id); err != nil {
		return 0, err
	}
	return batch.Queued, nil
}

// job reads an accepted job of the caller's queue.
func (in *Intake) job(ctx context.Context, up time.Duration, ac Access, id string) (batch.Job, error) {
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
	if _, err := in.job(ctx, up, ac, id); err != nil {
		return err
	}
	began := time.Now()
	tx := store.Txn{
		Expect: []store.Expectation{{Key: batch.CancelKey(id)}},
		Puts:   []store.Put{{Key: batch.CancelKey(id), Value: []byte(ac.Workspace)}},
	}
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		wctx, stop := context.WithTimeout(ctx, writeTime)
		_, _, err := in.cfg.Store.Commit(wctx, tx)
		stop()
		if err == nil || isConflict(err) {
			in.path.note(up, nil)
			return nil
		}
		in.path.note(up+time.Since(began), err)
		if !pause.For(ctx, writeRetry) {
			return cannotDecide(OutcomeUnknown, codes.CancelUnknown, "the store does not answer")
		}
	}
}
