// Package store reaches the platform's key-value service: compare-and-swap,
// leases and watches.
//
// The service counts every call, a waiting watch as one, so the interface has
// no call that hides several. A call whose answer was lost returns ErrLost:
// the write may or may not stand, and only reading the key again tells.
// Nothing here repeats a write by itself.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision is the modification revision of a key, growing over the whole
// store. Zero stands for a key that does not exist.
type Revision int64

// LeaseID names a lease. Zero stands for none.
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
// the Err values below.
type Store interface {
	// Get returns the entry of a key and the store's revision at the read;
	// a missing key gives an Entry with Revision zero and no error.
	Get(ctx context.Context, key string) (Entry, Revision, error)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Swap performs one compare-and-swap. On ErrConflict the returned entry
	// is the one that stands now.
	Swap(ctx context.Context, req SwapRequest) (Entry, error)
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live. ErrLapsed if it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits for changes after a revision of keys that begin with prefix
	// and calls fn for each, a deleted key with a nil Value and Revision of
	// the deletion. It returns when ctx ends, the stream breaks, or fn fails.
	Watch(ctx context.Context, prefix string, after Revision, fn func(Entry) error) error
}

// The ways in which a call fails.
var (
	ErrUnavailable = errors.New("store is unavailable")     // the call had no effect
	ErrLost        = errors.New("store's answer was lost")  // the call may have had its effect
	ErrConflict    = errors.New("key has another revision") // the swap had no effect
	ErrLapsed      = errors.New("lease has lapsed")
	ErrTooLarge    = errors.New("value exceeds the limit of the store")
	ErrForbidden   = errors.New("store permits no such write")
	ErrCompacted   = errors.New("store no longer holds the changes asked for") // read anew, then watch
)

// MaxValue is the largest value that the platform's service holds, in bytes.
const MaxValue = 1 << 20
