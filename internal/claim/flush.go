package claim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

var (
	batchCount    = metrics.GetOrCreateCounter("cicadawharf_claim_batches_total")
	acquireCount  = metrics.GetOrCreateCounter("cicadawharf_claim_takes_total")
	conflictCount = metrics.GetOrCreateCounter("cicadawharf_claim_conflicts_total")
)

// Run writes batches until ctx ends, then tries once to write what is pending.
func (tb *Table) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sh, wait := tb.nextDue(tb.clock())
		if sh == nil {
			tb.sleep(ctx, wait)
			continue
		}
		if err := tb.limiter.Wait(ctx); err != nil {
			tb.release(sh)
			break
		}
		tb.flushes.Go(func() { tb.flush(ctx, sh) })
	}
	tb.flushes.Wait()
	tb.flushAll(context.WithoutCancel(ctx))
	return nil
}

// flushAll stops the Table and writes what is pending.
func (tb *Table) flushAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	tb.mu.Lock()
	tb.stopped = true
	tb.mu.Unlock()
	for _, sh := range tb.shards {
		if ba := tb.drain(sh); len(ba.acquisitions)+len(ba.settlements) > 0 {
			tb.flushBatch(ctx, sh, ba)
		}
	}
}

// nextDue returns the shard with the earliest due time and marks it as
// flushing, or returns the time until a shard is due.
func (tb *Table) nextDue(now time.Time) (*shard, time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var first *shard
	for _, sh := range tb.shards {
		if sh.flushing || sh.due.IsZero() {
			continue
		}
		if first == nil || sh.due.Before(first.due) {
			first = sh
		}
	}
	if first == nil {
		return nil, time.Hour
	}
	if wait := first.due.Sub(now); wait > 0 {
		return nil, wait
	}
	first.flushing = true
	return first, 0
}

func (tb *Table) release(sh *shard) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	sh.flushing = false
	if !sh.due.IsZero() {
		select {
		case tb.wake <- struct{}{}:
		default:
		}
	}
}

// sleep returns after wait, or earlier if a shard was scheduled or ctx ends.
func (tb *Table) sleep(ctx context.Context, wait time.Duration) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-tb.wake:
	case <-ctx.Done():
	}
}

// drain removes and returns the pending batch of a shard, without abandoned
// acquisitions.
func (tb *Table) drain(sh *shard) batch {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	ba := batch{settlements: sh.pending.settlements}
	for _, aq := range sh.pending.acquisitions {
		if !aq.abandoned {
			ba.acquisitions = append(ba.acquisitions, aq)
		}
	}
	sh.pending = batch{}
	sh.due = time.Time{}
	return ba
}

func (tb *Table) flush(ctx context.Context, sh *shard) {
	defer tb.release(sh)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	tb.flushBatch(ctx, sh, tb.drain(sh))
}

// flushBatch applies one batch to its bucket and retries after each conflict.
func (tb *Table) flushBatch(ctx context.Context, sh *shard, ba batch) {
	if len(ba.acquisitions)+len(ba.settlements) == 0 {
		return
	}
	batchCount.Inc()
	acquireCount.Add(len(ba.acquisitions))
	fresh := false
	for {
		if !sh.cached.valid {
			if err := tb.read(ctx, sh); err != nil {
				tb.failBatch(sh, ba, nil, err)
				return
			}
			fresh = true
		}
		pl := sh.cached.bucket.plan(tb.clock(), ba, tb.recordOf)
		if len(pl.priors) > 0 && !fresh {
			sh.cached.valid = false // another host may have released the prior claim
			continue
		}
		err := tb.write(ctx, sh, pl)
		if errors.Is(err, store.ErrConflict) {
			conflictCount.Inc()
			fresh = true
			if err = tb.limiter.Wait(ctx); err == nil {
				continue
			}
		}
		if err != nil {
			tb.failBatch(sh, ba, pl.added, err)
			return
		}
		tb.complete(sh, pl)
		return
	}
}

func (tb *Table) read(ctx context.Context, sh *shard) error {
	ent, _, err := tb.st.Get(ctx, sh.key)
	if err != nil {
		return err
	}
	return sh.updateCache(ent)
}

// updateCache replaces the cached bucket by the one of an entry.
func (sh *shard) updateCache(ent store.Entry) error {
	sh.cached = cached{}
	bk, err := decodeBucket(ent)
	if err != nil {
		return err
	}
	sh.cached = cached{valid: true, revision: ent.Revision, bucket: bk}
	return nil
}

// write stores the bucket of a plan. On ErrConflict the cache holds the current
// bucket; any other error of the store invalidates the cache.
func (tb *Table) write(ctx context.Context, sh *shard, pl plan) error {
	if !pl.changed {
		return nil
	}
	value, err := json.Marshal(pl.next)
	if err != nil {
		return err
	}
	if len(value) > store.MaxValue {
		return fmt.Errorf("claim bucket is full: %w", store.ErrTooLarge)
	}
	req := store.SwapRequest{Key: sh.key, Value: value, Expect: sh.cached.revision}
	ent, err := store.SwapAndResolve(ctx, tb.st, req, func(ent store.Entry) bool { return tb.isWritten(ent, pl) })
	if err != nil && !errors.Is(err, store.ErrConflict) {
		sh.cached = cached{}
		return err
	}
	if err == nil && bytes.Equal(ent.Value, value) {
		sh.cached = cached{valid: true, revision: ent.Revision, bucket: pl.next}
		return nil
	}
	if decodeErr := sh.updateCache(ent); decodeErr != nil {
		return decodeErr
	}
	return err
}

// isWritten tells whether a bucket has all claims that a plan added, which shows
// that the plan was written. A plan that added none is written again when its
// outcome is unknown.
func (tb *Table) isWritten(ent store.Entry, pl plan) bool {
	bk, err := decodeBucket(ent)
	if err != nil || len(pl.added) == 0 {
		return false
	}
	for _, aq := range pl.added {
		if bk.Claims[aq.id].Holder != tb.holder(aq.claim) {
			return false
		}
	}
	return true
}

// complete ends the acquisitions of a batch that was written. Claims of
// abandoned acquisitions are released.
func (tb *Table) complete(sh *shard, pl plan) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, aq := range pl.added {
		if aq.abandoned {
			tb.releaseLater(sh, aq)
			continue
		}
		close(aq.done)
	}
	for aq, prior := range pl.priors {
		aq.prior = &prior
		close(aq.done)
	}
}

// failBatch ends the acquisitions of a batch that wasn't written or whose write
// has an unknown outcome. Settlements stay pending.
func (tb *Table) failBatch(sh *shard, ba batch, added []*acquisition, cause error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.log.Warn("writing claims failed", "bucket", sh.key, "claims", len(ba.acquisitions), "error", cause)
	if errors.Is(cause, store.ErrOutcomeUnknown) {
		for _, aq := range added {
			tb.releaseLater(sh, aq)
		}
	}
	for _, aq := range ba.acquisitions {
		aq.err = unavailable(cause.Error())
		close(aq.done)
	}
	if len(ba.settlements) > 0 {
		sh.pending.settlements = append(ba.settlements, sh.pending.settlements...)
		tb.schedule(sh, tb.clock().Add(retryEvery))
	}
}

// releaseLater schedules the release of a claim that may be stored but isn't in
// use. The caller holds tb.mu.
func (tb *Table) releaseLater(sh *shard, aq *acquisition) {
	sh.pending.settlements = append(sh.pending.settlements, settlement{
		id: aq.id, holder: tb.holder(aq.claim), code: codes.StoreUnavailable, fence: true,
	})
	tb.schedule(sh, tb.clock().Add(tb.batchEvery))
}

func (tb *Table) recordOf(aq *acquisition) record {
	return record{
		Digest:  shortHash(aq.claim.Digest),
		Holder:  tb.holder(aq.claim),
		Expires: tb.clock().Add(tb.expiry).Unix(),
	}
}
