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
	claimCount    = metrics.GetOrCreateCounter("cicadawharf_claim_takes_total")
	conflictCount = metrics.GetOrCreateCounter("cicadawharf_claim_conflicts_total")
)

// Run writes batches until ctx ends, then tries once to write what is pending.
func (tb *Table) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		bq, wait := tb.nextDue(tb.clock())
		if bq == nil {
			tb.sleep(ctx, wait)
			continue
		}
		if err := tb.limiter.Wait(ctx); err != nil {
			tb.endFlush(bq)
			break
		}
		tb.flushes.Go(func() { tb.flush(ctx, bq) })
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
	for _, bq := range tb.queues {
		if pw := tb.drain(bq); len(pw.claims)+len(pw.outcomes) > 0 {
			tb.flushBatch(ctx, bq, pw)
		}
	}
}

// nextDue returns the bucket queue with the earliest due time and marks it as
// flushing. If none is due, it returns nil and the time until one is.
func (tb *Table) nextDue(now time.Time) (*bucketQueue, time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var first *bucketQueue
	for _, bq := range tb.queues {
		if bq.flushing || bq.due.IsZero() {
			continue
		}
		if first == nil || bq.due.Before(first.due) {
			first = bq
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

// endFlush marks a bucket queue as no longer flushing and wakes Run if more is
// pending.
func (tb *Table) endFlush(bq *bucketQueue) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	bq.flushing = false
	if !bq.due.IsZero() {
		select {
		case tb.wake <- struct{}{}:
		default:
		}
	}
}

// sleep returns after wait, or earlier if a flush was scheduled or ctx ends.
func (tb *Table) sleep(ctx context.Context, wait time.Duration) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-tb.wake:
	case <-ctx.Done():
	}
}

// drain removes and returns the pending batch of a bucket, without abandoned
// claims.
func (tb *Table) drain(bq *bucketQueue) pendingWork {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	pw := pendingWork{outcomes: bq.pending.outcomes}
	for _, pc := range bq.pending.claims {
		if !pc.abandoned {
			pw.claims = append(pw.claims, pc)
		}
	}
	bq.pending = pendingWork{}
	bq.due = time.Time{}
	return pw
}

func (tb *Table) flush(ctx context.Context, bq *bucketQueue) {
	defer tb.endFlush(bq)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	tb.flushBatch(ctx, bq, tb.drain(bq))
}

// flushBatch applies one batch to its bucket and retries after each conflict. A
// prior claim counts only if this flush has read the bucket.
func (tb *Table) flushBatch(ctx context.Context, bq *bucketQueue, pw pendingWork) {
	if len(pw.claims)+len(pw.outcomes) == 0 {
		return
	}
	batchCount.Inc()
	claimCount.Add(len(pw.claims))
	fresh := false // whether this flush has read the bucket
	for {
		if !bq.cache.valid {
			if err := tb.read(ctx, bq); err != nil {
				tb.failBatch(bq, pw, nil, err)
				return
			}
			fresh = true
		}
		pl := bq.cache.bucket.plan(tb.clock(), pw, tb.recordOf)
		if len(pl.priors) > 0 && !fresh {
			bq.cache.valid = false // another host may have released the prior claim
			continue
		}
		err := tb.write(ctx, bq, pl)
		if errors.Is(err, store.ErrConflict) {
			conflictCount.Inc()
			fresh = true
			if err = tb.limiter.Wait(ctx); err == nil {
				continue
			}
		}
		if err != nil {
			tb.failBatch(bq, pw, pl.added, err)
			return
		}
		tb.completeClaims(bq, pl)
		return
	}
}

func (tb *Table) read(ctx context.Context, bq *bucketQueue) error {
	ent, _, err := tb.st.Get(ctx, bq.key)
	if err != nil {
		return err
	}
	return bq.updateCache(ent)
}

// updateCache replaces the cached bucket by the one of an entry.
func (bq *bucketQueue) updateCache(ent store.Entry) error {
	bq.cache = cachedBucket{}
	bk, err := decodeBucket(ent)
	if err != nil {
		return err
	}
	bq.cache = cachedBucket{valid: true, revision: ent.Revision, bucket: bk}
	return nil
}

// write stores the bucket of a plan. On ErrConflict the cache holds the current
// bucket; any other error of the store invalidates the cache.
func (tb *Table) write(ctx context.Context, bq *bucketQueue, pl plan) error {
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
	req := store.SwapRequest{Key: bq.key, Value: value, Expect: bq.cache.revision}
	ent, err := store.SwapAndResolve(ctx, tb.st, req, func(ent store.Entry) bool { return tb.isWritten(ent, pl) })
	if err != nil && !errors.Is(err, store.ErrConflict) {
		bq.cache = cachedBucket{}
		return err
	}
	if err == nil && bytes.Equal(ent.Value, value) {
		bq.cache = cachedBucket{valid: true, revision: ent.Revision, bucket: pl.next}
		return nil
	}
	if decodeErr := bq.updateCache(ent); decodeErr != nil {
		return decodeErr
	}
	return err
}

// isWritten reports whether a bucket has all claims that a plan added, which
// shows that the plan was written. A plan that added none is written again when
// its outcome is unknown.
func (tb *Table) isWritten(ent store.Entry, pl plan) bool {
	bk, err := decodeBucket(ent)
	if err != nil || len(pl.added) == 0 {
		return false
	}
	for _, pc := range pl.added {
		if bk.Claims[pc.id].Holder != tb.holder(pc.claim) {
			return false
		}
	}
	return true
}

// completeClaims completes the claims of a batch that was written, and schedules
// the release of abandoned ones.
func (tb *Table) completeClaims(bq *bucketQueue, pl plan) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, pc := range pl.added {
		if pc.abandoned {
			tb.releaseLater(bq, pc)
			continue
		}
		close(pc.done)
	}
	for pc, prior := range pl.priors {
		pc.prior = &prior
		close(pc.done)
	}
}

// failBatch fails the claims of a batch that wasn't written or whose write has an
// unknown outcome. The outcomes of the batch stay pending and are written again
// after retryDelay.
func (tb *Table) failBatch(bq *bucketQueue, pw pendingWork, added []*pendingClaim, cause error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.log.Warn("writing a bucket of claims failed", "bucket", bq.key, "claims", len(pw.claims), "error", cause)
	if errors.Is(cause, store.ErrOutcomeUnknown) {
		for _, pc := range added {
			tb.releaseLater(bq, pc)
		}
	}
	for _, pc := range pw.claims {
		pc.err = unavailable(cause.Error())
		close(pc.done)
	}
	if len(pw.outcomes) > 0 {
		bq.pending.outcomes = append(pw.outcomes, bq.pending.outcomes...)
		tb.schedule(bq, tb.clock().Add(retryDelay))
	}
}

// releaseLater schedules the release of a claim that may be stored but isn't in
// use. The caller holds tb.mu.
func (tb *Table) releaseLater(bq *bucketQueue, pc *pendingClaim) {
	bq.pending.outcomes = append(bq.pending.outcomes, outcome{
		id: pc.id, holder: tb.holder(pc.claim), code: codes.StoreUnavailable, mustWrite: true,
	})
	tb.schedule(bq, tb.clock().Add(tb.maxBatchWait))
}

func (tb *Table) recordOf(pc *pendingClaim) record {
	return record{
		Digest:  shortHash(pc.claim.Digest),
		Holder:  tb.holder(pc.claim),
		Expires: tb.clock().Add(tb.ttl).Unix(),
	}
}
