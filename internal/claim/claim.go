// Package claim keeps the claims of idempotency keys, which all entry hosts
// share, so that a request that may not be repeated runs at most once.
//
// Claims lie in a fixed number of values of the platform's store, the buckets,
// chosen by a hash of workspace and key. A host collects the claims of a short
// time and writes those of one bucket by one compare-and-swap, so calls grow
// with batches and not with requests.
//
// Two rules hold. Take returns no prior claim and no error only if the claim
// is known to be stored under this request. And a claim that may be stored
// though Take failed is released later, by a write that also keeps a delayed
// one from taking effect.
package claim

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Config says how a Table writes.
	Config struct {
		Store           store.Store
		Host            string        // name of this entry host
		Expiry          time.Duration // of a claim, from its start
		BatchEvery      time.Duration // for how long claims are collected
		SettleEvery     time.Duration // for how long outcomes wait for a batch to go with
		Buckets         int           // the same on all hosts
		WritesPerSecond int           // bounds the calls of this host; batches grow instead
		Clock           func() time.Time
		Log             *slog.Logger
	}

	// Claim is the use of an idempotency key by one request.
	Claim struct {
		Workspace string
		Key       string
		Digest    string     // of what the request asks for
		Request   string     // identifier of the request that holds the claim
		Code      codes.Code // how that request ended; zero while that is not known
	}

	// Table takes and settles claims. It is safe for concurrent use. Nothing
	// is written before Run.
	Table struct {
		st          store.Store
		host        string
		expiry      time.Duration
		batchEvery  time.Duration
		settleEvery time.Duration
		limiter     *rate.Limiter
		clock       func() time.Time
		log         *slog.Logger
		wake        chan struct{}
		flushes     sync.WaitGroup

		mu      sync.Mutex
		shards  []*shard
		stopped bool
	}

	// shard is one bucket as this host sees it.
	shard struct {
		key      string
		pending  batch
		due      time.Time // of the next flush; zero if nothing is pending
		flushing bool      // a flush is going on
		cached   cached    // belongs to the flush that is going on
	}

	// cached is the last that was seen of a bucket.
	cached struct {
		valid    bool
		revision store.Revision
		bucket   bucket
	}
)

// What New takes for fields that are not set.
const (
	DefaultExpiry          = 10 * time.Minute
	DefaultBatchEvery      = 25 * time.Millisecond
	DefaultSettleEvery     = 10 * time.Second
	DefaultBuckets         = 64
	DefaultWritesPerSecond = 40
)

const (
	// retryEvery is the pause before a flush that failed is made again for
	// the sake of outcomes and releases.
	retryEvery = time.Second

	// flushTimeout is for one flush with all its retries.
	flushTimeout = 5 * time.Second

	// retryAfter is when a caller should come back.
	retryAfter = 2 * time.Second
)

// New returns a Table.
func New(cf Config) *Table {
	tb := &Table{
		st: cf.Store, host: cf.Host, clock: cf.Clock, log: cf.Log,
		expiry:      orDefault(cf.Expiry, DefaultExpiry),
		batchEvery:  orDefault(cf.BatchEvery, DefaultBatchEvery),
		settleEvery: orDefault(cf.SettleEvery, DefaultSettleEvery),
		limiter:     rate.NewLimiter(rate.Limit(orDefault(cf.WritesPerSecond, DefaultWritesPerSecond)), 1),
		wake:        make(chan struct{}, 1),
	}
	if tb.clock == nil {
		tb.clock = time.Now
	}
	if tb.log == nil {
		tb.log = slog.New(slog.DiscardHandler)
	}
	for i := range orDefault(cf.Buckets, DefaultBuckets) {
		tb.shards = append(tb.shards, &shard{key: bucketKey(i)})
	}
	return tb
}

// Take stores a claim, or returns the one that stands. The error is a
// *codes.Error of class NotRun: the claim can't be relied upon, and the
// request must not be sent anywhere.
func (tb *Table) Take(ctx context.Context, cl Claim) (prior *Claim, err error) {
	if ctx.Err() != nil {
		return nil, unavailable(ctx.Err().Error())
	}
	tk := &take{claim: cl, id: recordID(cl.Workspace, cl.Key), done: make(chan struct{})}
	if !tb.enqueue(cl, tb.batchEvery, func(ba *batch) { ba.takes = append(ba.takes, tk) }) {
		return nil, codes.New(codes.Stopping, "claims are not taken any more")
	}
	select {
	case <-tk.done:
		return tk.prior, tk.err
	case <-ctx.Done():
		return tb.abandon(tk, ctx.Err())
	}
}

// Settle notes how the request that holds a claim ended; cl.Code says how. A
// code of class NotRun releases the claim. It returns at once, and the outcome
// is written with one of the next batches.
func (tb *Table) Settle(_ context.Context, cl Claim) error {
	wait := tb.settleEvery
	if cl.Code.Class() == codes.NotRun {
		wait = tb.batchEvery // its caller may come back soon
	}
	se := settlement{id: recordID(cl.Workspace, cl.Key), holder: tb.holder(cl), code: cl.Code}
	if !tb.enqueue(cl, wait, func(ba *batch) { ba.settlements = append(ba.settlements, se) }) {
		return codes.New(codes.Stopping, "claims are not settled any more")
	}
	return nil
}

// abandon ends the wait for a claim. If it gets stored yet, it is released.
func (tb *Table) abandon(tk *take, cause error) (*Claim, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	select {
	case <-tk.done:
		return tk.prior, tk.err
	default:
	}
	tk.abandoned = true
	return nil, unavailable(cause.Error())
}

// enqueue adds to what is pending for the bucket of a claim, to be flushed
// after wait at the latest.
func (tb *Table) enqueue(cl Claim, wait time.Duration, add func(ba *batch)) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.stopped {
		return false
	}
	sh := tb.shards[shardOf(cl.Workspace, cl.Key, len(tb.shards))]
	add(&sh.pending)
	tb.schedule(sh, tb.clock().Add(wait))
	return true
}

// schedule makes a shard due no later than at. The caller holds the lock.
func (tb *Table) schedule(sh *shard, at time.Time) {
	if !sh.due.IsZero() && !at.Before(sh.due) {
		return
	}
	sh.due = at
	select {
	case tb.wake <- struct{}{}:
	default:
	}
}

// holder names a request over all hosts.
func (tb *Table) holder(cl Claim) string { return tb.host + "/" + cl.Request }

func unavailable(detail string) *codes.Error {
	return codes.New(codes.StoreUnavailable, "%s", detail).WithRetryAfter(retryAfter)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
