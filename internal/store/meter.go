package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// metered counts the calls to a store and measures their durations. Watches are
// only counted, since their duration depends on when something changes.
type metered struct{ next TxnStore }

// Meter returns a store that records the calls to next in the metrics. A Client
// records its calls itself, so it must not be wrapped.
func Meter(next TxnStore) TxnStore { return metered{next: next} }

// Get implements Store.
func (me metered) Get(ctx context.Context, key string) (Entry, Revision, error) {
	began := time.Now()
	ent, rev, err := me.next.Get(ctx, key)
	kindGet.observe(began, err)
	return ent, rev, err
}

// List implements Store.
func (me metered) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	began := time.Now()
	ents, rev, err := me.next.List(ctx, prefix)
	kindList.observe(began, err)
	return ents, rev, err
}

// Swap implements Store.
func (me metered) Swap(ctx context.Context, req SwapRequest) (Entry, error) {
	began := time.Now()
	ent, err := me.next.Swap(ctx, req)
	kindSwap.observe(began, err)
	return ent, err
}

// Commit implements TxnStore.
func (me metered) Commit(ctx context.Context, tx Txn) (Revision, []Entry, error) {
	began := time.Now()
	rev, ents, err := me.next.Commit(ctx, tx)
	kindCommit.observe(began, err)
	return rev, ents, err
}

// Grant implements Store.
func (me metered) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	began := time.Now()
	id, err := me.next.Grant(ctx, ttl)
	kindGrant.observe(began, err)
	return id, err
}

// Renew implements Store.
func (me metered) Renew(ctx context.Context, id LeaseID) error {
	began := time.Now()
	err := me.next.Renew(ctx, id)
	kindRenew.observe(began, err)
	return err
}

// Revoke implements Store.
func (me metered) Revoke(ctx context.Context, id LeaseID) error {
	began := time.Now()
	err := me.next.Revoke(ctx, id)
	kindRevoke.observe(began, err)
	return err
}

// Watch implements Store.
func (me metered) Watch(ctx context.Context, prefix string, after Revision, fn func(Entry) error) error {
	kindWatch.countCall()
	return me.next.Watch(ctx, prefix, after, fn)
}

// WatchBatched implements TxnStore.
func (me metered) WatchBatched(ctx context.Context, prefix string, after Revision, interval time.Duration, fn func(Entry) error) error {
	kindWatch.countCall()
	return me.next.WatchBatched(ctx, prefix, after, interval, fn)
}

// observe records a completed call. A conflict doesn't count as a failure.
func (ck callKind) observe(began time.Time, err error) {
	ck.countCall()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`cicadawharf_store_call_seconds{kind=%q}`, string(ck))).UpdateDuration(began)
	if err != nil && !errors.Is(err, ErrConflict) {
		ck.countFailure(err)
	}
}
