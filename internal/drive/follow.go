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

// followed is what a term reads at its beginning and then follows.
type followed struct {
	accepted, policy, workers store.Revision // up to which each is known
	listed                    map[string]bool
	evacuations               *evacuations
}

const (
	// followRetry is the pause after a watch or list that failed.
	followRetry = 250 * time.Millisecond
	// workerGap is for how long changes of the workers' list gather: each worker
	// writes its entry every second or two, and most of them change nothing.
	workerGap = 200 * time.Millisecond
)

// load reads the state of the domain.
func (te *term) load() (domain.Config, *followed, error) {
	var (
		gr       errgroup.Group
		fo       = followed{listed: map[string]bool{}}
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
	gr.Go(list(batch.AcceptedPrefix, &accepted, &fo.accepted))
	gr.Go(list(batch.ProgressPrefix, &progress, &unused))
	gr.Go(list(te.cfg.Layout.WorkerPrefix, &workers, &fo.workers))
	gr.Go(func() (err error) {
		policy, fo.policy, err = te.cfg.Store.Get(te.ctx, te.cfg.Layout.PolicyKey)
		return merry.Prepend(err, "read the policy")
	})
	gr.Go(func() (err error) {
		fo.evacuations, err = te.loadEvacuations()
		return err
	})
	gr.Go(func() (err error) {
		te.duty, err = te.loadDuty(time.Now())
		return err
	})
	if err := gr.Wait(); err != nil {
		return domain.Config{}, nil, err
	}
	cf := domain.Config{
		Token: int64(te.token), Cores: te.cfg.Cores, Policy: te.readPolicy(policy), Evacuated: fo.evacuations.list(),
		Evacuate: te.cfg.Evacuate, FairShares: te.cfg.FairShares,
	}
	for _, en := range accepted {
		te.readAccepted(en, &cf)
	}
	for _, en := range progress {
		te.readRecord(en, &cf)
	}
	for _, en := range workers {
		if wk, ok := te.readWorker(en); ok {
			cf.Workers = append(cf.Workers, wk)
			fo.listed[wk.ID] = true
		}
	}
	return cf, &fo, nil
}

func (te *term) readAccepted(en store.Entry, cf *domain.Config) {
	id, cancel, ok := batch.ParseAccepted(en.Key)
	switch {
	case !ok:
		te.foreign(en.Key, errors.New("key of an unknown form"))
	case cancel:
		cf.Cancelled = append(cf.Cancelled, id)
	default:
		jb, err := batch.DecodeJob(en.Value)
		if err != nil {
			te.foreign(en.Key, err)
			return
		}
		cf.Jobs = append(cf.Jobs, jb)
	}
}

func (te *term) readRecord(en store.Entry, cf *domain.Config) {
	te.ledger.set(en.Key, en.Revision)
	rc, err := batch.DecodeRecord(en.Value)
	if err != nil {
		te.foreign(en.Key, err)
		return
	}
	cf.Records = append(cf.Records, rc)
}

func (te *term) readWorker(en store.Entry) (runner.Worker, bool) {
	wk, err := te.cfg.Layout.Worker(strings.TrimPrefix(en.Key, te.cfg.Layout.WorkerPrefix), en.Value)
	if err != nil {
		te.foreign(en.Key, err)
		return runner.Worker{}, false
	}
	return wk, true
}

func (te *term) readPolicy(en store.Entry) *batch.Policy {
	if en.Revision == 0 {
		return nil
	}
	po, err := te.cfg.Layout.Policy(en.Value)
	if err != nil {
		te.foreign(en.Key, err)
		return nil
	}
	return po
}

// foreign reports an entry that can't be used.
func (te *term) foreign(key string, err error) {
	te.log.Warn("entry of the store is not used", "event", "foreignEntry", "key", key, "reason", err)
}

// start follows the store from the revisions that were read.
func (fo *followed) start(te *term) {
	go te.follow(batch.AcceptedPrefix, fo.accepted, 0, te.tellAccepted, te.relistAccepted)
	go te.follow(te.cfg.Layout.PolicyKey, fo.policy, 0, te.tellPolicy, te.rereadPolicy)
	fo.evacuations.start()
	known := &directory{term: te, ids: fo.listed}
	go te.follow(te.cfg.Layout.WorkerPrefix, fo.workers, workerGap, known.tell, known.relist)
}

// follow watches a prefix until the term ends. When the store has dropped the
// changes that it needs, it reads everything anew.
func (te *term) follow(prefix string, after store.Revision, gap time.Duration, tell func(store.Entry), reread func() (store.Revision, error)) {
	for te.ctx.Err() == nil {
		err := te.cfg.Store.WatchGathered(te.ctx, prefix, after, gap, func(en store.Entry) error {
			after = max(after, en.Revision)
			tell(en)
			return nil
		})
		if errors.Is(err, store.ErrCompacted) {
			rev, err := reread()
			if err == nil {
				after = rev
				te.log.Info("read anew", "event", "reread", "prefix", prefix, "revision", rev)
				continue
			}
		}
		te.pauseFor(followRetry)
	}
}

func (te *term) tellAccepted(en store.Entry) {
	if en.Value == nil {
		return // deleted long after its end
	}
	var cf domain.Config
	te.readAccepted(en, &cf)
	for _, jb := range cf.Jobs {
		te.tell(domain.Accepted{Job: jb})
	}
	for _, id := range cf.Cancelled {
		te.tell(domain.CancelAsked{ID: id})
	}
}

func (te *term) relistAccepted() (store.Revision, error) {
	ents, rev, err := te.cfg.Store.List(te.ctx, batch.AcceptedPrefix)
	if err != nil {
		return 0, err
	}
	var cf domain.Config
	for _, en := range ents {
		te.readAccepted(en, &cf)
	}
	for _, jb := range cf.Jobs {
		te.tell(domain.Accepted{Job: jb})
	}
	for _, id := range cf.Cancelled {
		te.tell(domain.CancelAsked{ID: id})
	}
	return rev, nil
}

func (te *term) tellPolicy(en store.Entry) {
	if en.Key != te.cfg.Layout.PolicyKey || en.Value == nil {
		return
	}
	if po := te.readPolicy(en); po != nil {
		te.log.Info("policy is in force", "event", "policy", "version", po.Version)
		te.tell(domain.Configured{Policy: po})
	}
}

func (te *term) rereadPolicy() (store.Revision, error) {
	en, rev, err := te.cfg.Store.Get(te.ctx, te.cfg.Layout.PolicyKey)
	if err != nil {
		return 0, err
	}
	te.tellPolicy(en)
	return rev, nil
}

// directory follows the platform's list of workers.
type directory struct {
	*term
	ids map[string]bool
}

func (di *directory) tell(en store.Entry) {
	id := strings.TrimPrefix(en.Key, di.cfg.Layout.WorkerPrefix)
	if en.Value == nil {
		delete(di.ids, id)
		di.term.tell(domain.Unlisted{ID: id})
		return
	}
	if wk, ok := di.readWorker(en); ok {
		di.ids[id] = true
		di.term.tell(domain.Listed{Worker: wk})
	}
}

func (di *directory) relist() (store.Revision, error) {
	ents, rev, err := di.cfg.Store.List(di.ctx, di.cfg.Layout.WorkerPrefix)
	if err != nil {
		return 0, err
	}
	former := di.ids
	di.ids = map[string]bool{}
	for _, en := range ents {
		di.tell(en)
	}
	for id := range former {
		if !di.ids[id] {
			di.term.tell(domain.Unlisted{ID: id})
		}
	}
	return rev, nil
}
