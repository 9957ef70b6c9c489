// Package store is a client of the platform's key-value service, with
// compare-and-swap, leases and watches.
//
// The service counts every call, and a long-polling watch as one call. A method
// of Client makes one call; other implementations of Store may read a list in
// pages or poll for changes.
//
// A write that received no reply returns ErrOutcomeUnknown: its outcome is unknown
// until the key is read again. No method of Client retries a write;
// SwapAndResolve reads the key and repeats a swap where that is safe.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision is the modification revision of a key. It increases across the whole
// store. Zero stands for a key that does not exist.
type Revision int64

// LeaseID identifies a lease. Zero stands for none.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// SwapRequest replaces one value if the key still has the revision Expect.
type SwapRequest struct {
	Key    string
	Value  []byte // nil deletes the key
	Expect Revision
	Lease  LeaseID // attached to the key if not zero
}

// Store is the interface that the rest of the system uses. Errors wrap one of
// the Err values below. ErrForbidden is wrapped together with ErrUnavailable, so
// callers that distinguish the two must test for ErrForbidden first.
type Store interface {
	// Get returns the entry of a key and the store's revision at the read;
	// a missing key gives an Entry with Revision zero and no error.
	Get(ctx context.Context, key string) (Entry, Revision, error)
	// List returns the entries whose keys begin with prefix, in key order, and
	// the store's revision at the read.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Swap performs one compare-and-swap and returns the written entry, which
	// has Revision zero after a deletion. On ErrConflict the returned entry is
	// the current one.
	Swap(ctx context.Context, req SwapRequest) (Entry, error)
	// Grant creates a lease. The implementation may round ttl up to its unit,
	// such as whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live. The error is ErrLeaseExpired
	// if the lease has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it. The error is
	// ErrLeaseExpired if the lease has ended already.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for each change, after a revision, of the keys that begin
	// with prefix. For a deleted key, Value is nil and Revision is that of the
	// deletion. It returns when ctx ends, the stream ends, or fn fails.
	Watch(ctx context.Context, prefix string, after Revision, fn func(Entry) error) error
}

// Errors of calls. Errors returned by a Store wrap one of these. ErrUnavailable
// also stands for a read without a reply, for a request that can't be encoded,
// and for one that the service rejects with a client error.
var (
	ErrUnavailable    = errors.New("store is unavailable")     // the call had no effect
	ErrOutcomeUnknown = errors.New("no reply from the store")  // the write may have taken effect
	ErrConflict       = errors.New("key has another revision") // the swap had no effect
	ErrLeaseExpired   = errors.New("lease has expired")
	ErrTooLarge       = errors.New("value exceeds the store's size limit")
	ErrForbidden      = errors.New("store does not permit the write")
	ErrCompacted      = errors.New("requested revision has been compacted") // read again, then watch from there
)

// MaxValue is the largest value that the platform's service stores, in bytes.
const MaxValue = 1 << 20
