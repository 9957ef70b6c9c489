package drive

import (
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// load reads the state of the domain from the store.
func (te *term) load() (domain.Config, *watchStart, error) {
	var (
		gr       errgroup.Group
		ws       = watchStart{workerIDs: map[string]bool{}}
		accepted []store.Entry
		progress []store.Entry
		workers  []store.Entry
		policy   store.Entry
	)
	list := func(prefix string, ents *[]store.Entry, rev *store.Revision) func() error {
		return func() (err error) {
			*ents, *rev, err = te.cfg.Store.List(te.ctx, prefix)
			return merry.Prepend(err, "list "+prefix)
		}
	}
	var unused store.Revision
	gr.Go(list(batch.AcceptedPrefix, &accepted, &ws.acceptedRev))
	gr.Go(list(batch.ProgressPrefix, &progress, &unused))
	gr.Go(list(te.cfg.Layout.WorkerPrefix, &workers, &ws.workersRev))
	gr.Go(func() (err error) {
		policy, ws.policyRev, err = te.cfg.Store.Get(te.ctx, te.cfg.Layout.PolicyKey)
		return merry.Prepend(err, "read policy")
	})
	gr.Go(func() (err error) {
		ws.evacuations, err = te.loadEvacuations()
		return err
	})
	gr.Go(func() (err error) {
		te.waves, err = te.loadWaves(time.Now())
		return err
	})
	if err := gr.Wait(); err != nil {
		return domain.Config{}, nil, err
	}
	cf := domain.Config{
		Token: int64(te.token), Cores: te.cfg.Cores, Policy: te.decodePolicy(policy), EvacuatedZones: ws.evacuations.zoneNames(),
		MinMoveRunTime: te.cfg.MinMoveRunTime, FairShares: te.cfg.FairShares,
		FormerBounded: te.formerBounded(), StoreReturnedAt: te.outages.lastReturn(), StateLimit: batch.StateLimit(te.cfg.MemoryLimit),
	}
	for i, en := range accepted {
		te.addAccepted(en, &cf)
		accepted[i] = store.Entry{} // its value may be large
	}
	for i, en := range progress {
		te.addRecord(en, &cf)
		progress[i] = store.Entry{}
	}
	for _, en := range workers {
		if wk, ok := te.decodeWorker(en); ok {
			cf.Workers = append(cf.Workers, wk)
			ws.workerIDs[wk.ID] = true
		}
	}
	return cf, &ws, nil
}

// addAccepted adds the accepted job or the cancellation in an entry to cf.
func (te *term) addAccepted(en store.Entry, cf *domain.Config) {
	id, cancel, ok := batch.ParseAccepted(en.Key)
	switch {
	case !ok:
		te.logInvalidEntry(en.Key, errors.New("unknown key format"))
	case cancel:
		cf.Cancelled = append(cf.Cancelled, id)
	default:
		jb, err := batch.DecodeJob(en.Value)
		if err != nil {
			te.logInvalidEntry(en.Key, err)
			return
		}
		cf.Jobs = append(cf.Jobs, jb)
	}
}

// addRecord adds the progress record in an entry to cf and stores the entry's
// revision, which the next write of the record requires.
func (te *term) addRecord(en store.Entry, cf *domain.Config) {
	te.revisions.set(en.Key, en.Revision)
	rc, err := batch.DecodeRecord(en.Value)
	if err != nil {
		te.logInvalidEntry(en.Key, err)
		return
	}
	cf.Records = append(cf.Records, rc)
}

// decodeWorker decodes a worker and reports whether the entry is valid.
func (te *term) decodeWorker(en store.Entry) (runner.Worker, bool) {
	wk, err := te.cfg.Layout.DecodeWorker(strings.TrimPrefix(en.Key, te.cfg.Layout.WorkerPrefix), en.Value)
	if err != nil {
		te.logInvalidEntry(en.Key, err)
		return runner.Worker{}, false
	}
	return wk, true
}

// decodePolicy decodes the policy. It returns nil if there is none or it is
// invalid.
func (te *term) decodePolicy(en store.Entry) *batch.Policy {
	if en.Revision == 0 {
		return nil
	}
	po, err := te.cfg.Layout.DecodePolicy(en.Value)
	if err != nil {
		te.logInvalidEntry(en.Key, err)
		return nil
	}
	return po
}

// logInvalidEntry reports a store entry that can't be decoded and is ignored.
func (te *term) logInvalidEntry(key string, err error) {
	te.log.Warn("malformed entry of the store is ignored", "event", "invalidEntry", "key", key, "reason", err)
}
