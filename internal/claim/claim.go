// Package claim stores claims on idempotency keys, shared by all entry hosts,
// so that a request that must not be repeated runs at most once.
//
// Claims are kept in a fixed number of buckets, each one value of the
// platform's store; a hash of workspace and key selects the bucket. A host
// batches the claims that arrive within a short interval and writes those of
// one bucket by one compare-and-swap, so the number of store calls grows with
// the batches and not with the requests.
//
// Two invariants hold. Acquire returns no prior claim and no error only if the
// claim is known to be stored for this request. A claim that may have been
// stored although Acquire failed is released later, by a write that also fences
// off a delayed write of the claim.
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
	// Config configures a Table.
	Config struct {
		Store           store.Store
		Host            string        // name of this entry host
		TTL             time.Duration // time to live of a claim
		MaxBatchWait    time.Duration // longest wait of a claim for its batch
		MaxOutcomeWait  time.Duration // longest wait of an outcome for a batch
		Buckets         int           // must be the same on all hosts
		WritesPerSecond int           // limit of this host; at the limit, batches grow
		Clock           func() time.Time
		Log             *slog.Logger
	}

	// Claim records that a request uses an idempotency key.
	Claim struct {
		Workspace string
		Key       string
		Digest    string     // of the content of the request
		Request   string     // identifier of the request that holds the claim
		Code      codes.Code // outcome of that request; zero until it is known
	}

	// Table acquires claims and records their outcomes. It is safe for
	// concurrent use. Nothing is written before Run is called.
	Table struct {
		st             store.Store
		host           string
		ttl            time.Duration
		maxBatchWait   time.Duration
		maxOutcomeWait time.Duration
		limiter        *rate.Limiter
		clock          func() time.Time
		log            *slog.Logger
		wake           chan struct{}
		flushes        sync.WaitGroup

		mu      sync.Mutex
		queues  []*bucketQueue
		stopped bool
	}

	// bucketQueue holds what this host has yet to write to one bucket, and the
	// last known state of the bucket.
	bucketQueue struct {
		key      string
		pending  pendingWork
		due      time.Time    // time of the next flush; zero if nothing is pending
		flushing bool         // a flush is in progress
		cache    cachedBucket // owned by the flush in progress
	}

	// cachedBucket is the last known state of a bucket.
	cachedBucket struct {
		valid    bool
		revision store.Revision
		bucket   bucket
	}
)

// Defaults for the fields of Config that aren't set.
const (
	DefaultTTL             = 10 * time.Minute
	DefaultMaxBatchWait    = 25 * time.Millisecond
	DefaultMaxOutcomeWait  = 10 * time.Second
	DefaultBuckets         = 64
	DefaultWritesPerSecond = 40
)

const (
	// retryDelay is the delay before the outcomes and releases of a failed
	// flush are written again.
	retryDelay = time.Second

	// flushTimeout limits one flush including its retries.
	flushTimeout = 5 * time.Second

	// retryAfter is the delay after which a caller is told to retry.
	retryAfter = 2 * time.Second
)

// New returns a Table, with defaults for fields of cf that aren't set.
func New(cf Config) *Table {
	tb := &Table{
		st: cf.Store, host: cf.Host, clock: cf.Clock, log: cf.Log,
		ttl:            orDefault(cf.TTL, DefaultTTL),
		maxBatchWait:   orDefault(cf.MaxBatchWait, DefaultMaxBatchWait),
		maxOutcomeWait: orDefault(cf.MaxOutcomeWait, DefaultMaxOutcomeWait),
		limiter:        rate.NewLimiter(rate.Limit(orDefault(cf.WritesPerSecond, DefaultWritesPerSecond)), 1),
		wake:           make(chan struct{}, 1),
	}
	if tb.clock == nil {
		tb.clock = time.Now
	}
	if tb.log == nil {
		tb.log = slog.New(slog.DiscardHandler)
	}
	for i := range orDefault(cf.Buckets, DefaultBuckets) {
		tb.queues = append(tb.queues, &bucketQueue{key: bucketKey(i)})
	}
	return tb
}

// Acquire stores a claim, or returns the prior claim of its key. The error is a
// *codes.Error of class NotRun: it isn't known that the claim is stored, so
// the request must not be sent to an endpoint.
func (tb *Table) Acquire(ctx context.Context, cl Claim) (prior *Claim, err error) {
	if ctx.Err() != nil {
		return nil, unavailable(ctx.Err().Error())
	}
	pc := &pendingClaim{claim: cl, id: recordID(cl.Workspace, cl.Key), done: make(chan struct{})}
	if !tb.enqueue(cl, tb.maxBatchWait, func(pw *pendingWork) { pw.claims = append(pw.claims, pc) }) {
		return nil, codes.New(codes.Stopping, "host is shutting down and accepts no claims")
	}
	select {
	case <-pc.done:
		return pc.prior, pc.err
	case <-ctx.Done():
		return tb.abandon(pc, ctx.Err())
	}
}

// SetOutcome records cl.Code as the outcome of the request that holds a claim. A
// code of class NotRun releases the claim. SetOutcome returns at once; the outcome
// is written with one of the next batches. The error is Stopping after shutdown.
func (tb *Table) SetOutcome(_ context.Context, cl Claim) error {
	wait := tb.maxOutcomeWait
	if cl.Code.Class() == codes.NotRun {
		wait = tb.maxBatchWait // the caller may retry soon
	}
	oc := outcome{id: recordID(cl.Workspace, cl.Key), holder: tb.holder(cl), code: cl.Code}
	if !tb.enqueue(cl, wait, func(pw *pendingWork) { pw.outcomes = append(pw.outcomes, oc) }) {
		return codes.New(codes.Stopping, "host is shutting down and records no outcomes")
	}
	return nil
}

// abandon stops waiting for a claim and returns its result if it has one by now,
// or else a StoreUnavailable error. If the claim is stored later, it is released.
func (tb *Table) abandon(pc *pendingClaim, cause error) (*Claim, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	select {
	case <-pc.done:
		return pc.prior, pc.err
	default:
	}
	pc.abandoned = true
	return nil, unavailable(cause.Error())
}

// enqueue adds to the pending batch of a claim's bucket, whose flush is due after
// wait at the latest. It returns false after shutdown.
func (tb *Table) enqueue(cl Claim, wait time.Duration, add func(pw *pendingWork)) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.stopped {
		return false
	}
	bq := tb.queues[bucketIndex(cl.Workspace, cl.Key, len(tb.queues))]
	add(&bq.pending)
	tb.schedule(bq, tb.clock().Add(wait))
	return true
}

// schedule moves the next flush of a bucket forward to at, if that is earlier.
// The caller holds tb.mu.
func (tb *Table) schedule(bq *bucketQueue, at time.Time) {
	if !bq.due.IsZero() && !at.Before(bq.due) {
		return
	}
	bq.due = at
	select {
	case tb.wake <- struct{}{}:
	default:
	}
}

// holder returns an identifier of the claim's request that is unique across
// hosts.
func (tb *Table) holder(cl Claim) string { return tb.host + "/" + cl.Request }

// unavailable returns the error of a claim that isn't known to be stored.
func unavailable(detail string) *codes.Error {
	return codes.New(codes.StoreUnavailable, "%s", detail).WithRetryAfter(retryAfter)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
