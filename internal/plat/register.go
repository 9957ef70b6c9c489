package plat

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

// ErrNoHost reports that a host is not on its zone's list.
var ErrNoHost = errors.New("host is not on the list")

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Register adds hosts to an availability zone's list, or replaces those with the
// same names, in one write. It retries conflicts, unknown outcomes and calls
// during an outage of the store until ctx ends, and then returns the context's
// error with the last failure. Any other error, such as store.ErrTooLarge, is
// returned at once. If the outcome of the write is unknown, it reads the list
// again to find out.
func Register(ctx context.Context, st store.Store, zone string, hosts ...Host) error {
	return update(ctx, st, zone, func(li List) (List, error) {
		for _, ho := range hosts {
			if old, found := li.Find(ho.Name); !found || old != ho {
				li = li.With(ho)
			}
		}
		return li, nil
	})
}

// SetState changes the state of one host. The error is ErrNoHost if the host is
// not on the list; otherwise it behaves like Register.
func SetState(ctx context.Context, st store.Store, zone, name string, state State) error {
	return update(ctx, st, zone, func(li List) (List, error) {
		ho, found := li.Find(name)
		if !found {
			return li, merry.Prependf(ErrNoHost, "%s", name)
		}
		if ho.State == state {
			return li, nil
		}
		ho.State = state
		return li.With(ho), nil
	})
}

// Remove deletes hosts from the list in one write. Absent ones are no error;
// otherwise it behaves like Register.
func Remove(ctx context.Context, st store.Store, zone string, names ...string) error {
	return update(ctx, st, zone, func(li List) (List, error) {
		for _, name := range names {
			li = li.Without(name)
		}
		return li, nil
	})
}

// update replaces a zone's list by the result of change. The function must be
// idempotent, so that a retry after an unknown outcome makes no second write.
func update(ctx context.Context, st store.Store, zone string, change func(List) (List, error)) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := updateOnce(ctx, st, zone, change)
		if !retryable(err) {
			return merry.Prependf(err, "host list of %s", zone)
		}
		if errors.Is(err, store.ErrConflict) {
			backoff = minBackoff
		}
		select {
		case <-time.After(jitter(backoff)):
		case <-ctx.Done():
			return merry.Prependf(errors.Join(ctx.Err(), err), "host list of %s", zone)
		}
	}
}

// updateOnce reads the list, changes it and writes it if it differs.
func updateOnce(ctx context.Context, st store.Store, zone string, change func(List) (List, error)) error {
	ent, _, err := st.Get(ctx, Key(zone))
	if err != nil {
		return err
	}
	old, err := Decode(ent.Value)
	if err != nil {
		return err
	}
	old.Zone = zone
	li, err := change(old)
	if err != nil || li.Equal(old) {
		return err
	}
	value, err := li.Encode()
	if err != nil {
		return err
	}
	if len(value) > store.MaxValue {
		return merry.Prependf(store.ErrTooLarge, "%d hosts", len(li.Hosts))
	}
	_, err = st.Swap(ctx, store.SwapRequest{Key: Key(zone), Value: value, Expect: ent.Revision})
	return err
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrUnavailable)
}

// jitter returns a random duration between half of dur and dur.
func jitter(dur time.Duration) time.Duration {
	return dur/2 + rand.N(dur/2+1)
}
