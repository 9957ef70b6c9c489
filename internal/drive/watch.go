package drive

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// watchStart holds the revisions from which a term watches the store after it
// has loaded its state, and the state that the watches change.
type watchStart struct {
	acceptedRev, policyRev, workersRev store.Revision  // at which each was read
	workerIDs                          map[string]bool // of the listed workers
	evacuations                        *evacuations
}

const (
	// watchRetryDelay is the pause after a failed watch or list.
	watchRetryDelay = 250 * time.Millisecond
	// workerBatchTime is how long changes to the list of workers are batched: each
	// worker writes its entry every second or two, mostly unchanged.
	workerBatchTime = 200 * time.Millisecond
)

// watchGeneration is the context of the watches in progress. It is replaced when
// they are suspected of missing changes.
type watchGeneration struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// start watches the store from the revisions at which the state was loaded.
func (ws *watchStart) start(te *term) {
	te.monitor.reported(ws.acceptedRev)
	go te.watch(batch.AcceptedPrefix, ws.acceptedRev, 0, te.applyAccepted, te.relistAccepted)
	go te.watch(te.cfg.Layout.PolicyKey, ws.policyRev, 0, te.applyPolicy, te.reloadPolicy)
	ws.evacuations.start()
	wl := &workerList{term: te, ids: ws.workerIDs}
	go te.watch(te.cfg.Layout.WorkerPrefix, ws.workersRev, workerBatchTime, wl.apply, wl.relist)
}

// watch applies the changes under a prefix after a revision until the term ends.
// They arrive in batches, see store.TxnStore.WatchBatched for interval. If the
// store has compacted changes that the watch needs, or the watches are suspected,
// relist reads the state again and returns the revision of that read.
func (te *term) watch(prefix string, after store.Revision, interval time.Duration, apply func(store.Entry), relist func() (store.Revision, error)) {
	for te.ctx.Err() == nil {
		ctx := te.watches.context(te.ctx)
		err := te.cfg.Store.WatchBatched(ctx, prefix, after, interval, func(en store.Entry) error {
			after = max(after, en.Revision)
			te.observeStore(nil)
			apply(en)
			return nil
		})
		if ctx.Err() == nil {
			te.observeStore(err)
		}
		reason := "the store has compacted changes"
		if ctx.Err() != nil {
			reason = "the watches are behind"
		}
		if ctx.Err() != nil || errors.Is(err, store.ErrCompacted) {
			rev, err := relist()
			if err == nil {
				after = rev
				te.log.Info("state read again", "event", "relisted", "prefix", prefix, "revision", rev, "reason", reason)
				continue
			}
		}
		te.pauseFor(watchRetryDelay)
	}
}

// checkWatches makes all watches read their state again if that of accepted jobs
// is behind: what keeps one watch from reporting changes concerns them all.
func (te *term) checkWatches(now time.Time) {
	if te.monitor.lagging(now) {
		te.watches.restart(te.ctx)
	}
}

// context returns the context of the watches, which ends with parent or when
// they are to read their state again.
func (wg *watchGeneration) context(parent context.Context) context.Context {
	wg.mu.Lock()
	defer wg.mu.Unlock()
	if wg.ctx == nil {
		wg.ctx, wg.cancel = context.WithCancel(parent)
	}
	return wg.ctx
}

// restart ends the context of the watches. Those that begin later get a new one.
func (wg *watchGeneration) restart(parent context.Context) {
	wg.mu.Lock()
	defer wg.mu.Unlock()
	if wg.cancel != nil {
		wg.cancel()
	}
	wg.ctx, wg.cancel = context.WithCancel(parent)
}

// applyAccepted passes a new job or cancellation to the core.
func (te *term) applyAccepted(en store.Entry) {
	te.monitor.reported(en.Revision)
	if en.Value == nil {
		return // deleteJob has deleted the entry of an ended job
	}
	te.sendAccepted([]store.Entry{en})
}

// sendAccepted passes the accepted jobs and cancellations in entries to the core.
func (te *term) sendAccepted(ents []store.Entry) {
	var cf domain.Config
	for _, en := range ents {
		te.addAccepted(en, &cf)
	}
	for _, jb := range cf.Jobs {
		te.send(domain.Accepted{Job: jb})
	}
	for _, id := range cf.Cancelled {
		te.send(domain.CancelRequested{ID: id})
	}
}

// relistAccepted reads all accepted jobs and cancellations again and passes them
// to the core, which ignores those that it knows.
func (te *term) relistAccepted() (store.Revision, error) {
	ents, rev, err := te.cfg.Store.List(te.ctx, batch.AcceptedPrefix)
	if err != nil {
		return 0, err
	}
	te.sendAccepted(ents)
	te.monitor.reported(rev)
	return rev, nil
}

// applyPolicy passes a changed policy to the core. The core keeps its policy if
// the new one is invalid or was deleted.
func (te *term) applyPolicy(en store.Entry) {
	if en.Key != te.cfg.Layout.PolicyKey || en.Value == nil {
		return
	}
	if po := te.decodePolicy(en); po != nil {
		te.log.Info("policy applied", "event", "policy", "version", po.Version)
		te.send(domain.Configured{Policy: po})
	}
}

func (te *term) reloadPolicy() (store.Revision, error) {
	en, rev, err := te.cfg.Store.Get(te.ctx, te.cfg.Layout.PolicyKey)
	if err != nil {
		return 0, err
	}
	te.applyPolicy(en)
	return rev, nil
}

// workerList tracks the platform's list of workers and reports its changes to
// the core.
type workerList struct {
	*term
	ids map[string]bool
}

func (wl *workerList) apply(en store.Entry) {
	id := strings.TrimPrefix(en.Key, wl.cfg.Layout.WorkerPrefix)
	if en.Value == nil {
		delete(wl.ids, id)
		wl.term.send(domain.Unlisted{ID: id})
		return
	}
	if wk, ok := wl.decodeWorker(en); ok {
		wl.ids[id] = true
		wl.term.send(domain.Listed{Worker: wk})
	}
}

// relist reads the list again and reports its workers as listed. It reports the
// former ones that are missing from it, or have an invalid entry, as unlisted.
func (wl *workerList) relist() (store.Revision, error) {
	ents, rev, err := wl.cfg.Store.List(wl.ctx, wl.cfg.Layout.WorkerPrefix)
	if err != nil {
		return 0, err
	}
	former := wl.ids
	wl.ids = map[string]bool{}
	for _, en := range ents {
		wl.apply(en)
	}
	for id := range former {
		if !wl.ids[id] {
			wl.term.send(domain.Unlisted{ID: id})
		}
	}
	return rev, nil
}
