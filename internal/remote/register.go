package remote

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// registrar maintains the host's entry in the store and reads the entries of
// the other hosts.
type registrar struct {
	peer    *Peer
	lease   store.LeaseID // of the entry; zero if there is none
	renewAt time.Time     // next renewal or grant
	listAt  time.Time     // next read of the list
}

const (
	// leaseTime is three renewal intervals, so that a short outage of the store
	// doesn't remove the host's entry.
	leaseTime     = 60 * time.Second
	renewInterval = 20 * time.Second
	listInterval  = 30 * time.Second
	// firstListDelay is the time until the first read of the list. By then, hosts
	// that start together have registered.
	firstListDelay = 1500 * time.Millisecond
	// storeRetryDelay is the pause after a failed store call.
	storeRetryDelay = 2 * time.Second
	// storeTimeout limits the store calls of one renewal, registration or list,
	// and revokeTimeout the one that removes the entry.
	storeTimeout  = time.Second
	revokeTimeout = 300 * time.Millisecond
)

// register keeps the host registered and its list of hosts up to date until ctx
// ends, and then removes the host's entry.
func (pe *Peer) register(ctx context.Context) {
	now := time.Now()
	re := &registrar{peer: pe, renewAt: now, listAt: now.Add(jitter(firstListDelay))}
	for {
		now := time.Now()
		if !now.Before(re.renewAt) {
			re.renewAt = now.Add(jitter(re.renewOrRegister(ctx)))
		}
		if !now.Before(re.listAt) {
			re.listAt = now.Add(jitter(re.list(ctx)))
		}
		next := re.renewAt
		if re.listAt.Before(next) {
			next = re.listAt
		}
		if !pause.For(ctx, time.Until(next)) {
			re.deregister()
			return
		}
	}
}

// renewOrRegister renews the host's lease, or registers the host under a new
// one. It returns the time until the next call.
func (re *registrar) renewOrRegister(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	st := re.peer.cfg.Store
	if re.lease != 0 {
		err := st.Renew(ctx, re.lease)
		switch {
		case err == nil:
			return renewInterval
		case !errors.Is(err, store.ErrLeaseExpired):
			return re.retryAfterFailure("can't renew lease", err)
		}
		re.lease = 0
	}
	value, err := re.peer.cfg.Self.encode()
	if err != nil {
		return re.retryAfterFailure("can't register host", err)
	}
	lease, err := st.Grant(ctx, leaseTime)
	if err != nil {
		return re.retryAfterFailure("can't register host", err)
	}
	key := batch.HostKey(re.peer.cfg.Self.Name)
	if _, _, err := st.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value, Lease: lease}}}); err != nil {
		return re.retryAfterFailure("can't register host", err)
	}
	re.lease = lease
	re.peer.cfg.Log.Info("host registered", "event", "registered", "address", re.peer.cfg.Self.Address)
	return renewInterval
}

// list replaces the known hosts by those in the store. It returns the time until
// the next call.
func (re *registrar) list(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ents, _, err := re.peer.cfg.Store.List(ctx, batch.HostPrefix)
	if err != nil {
		return re.retryAfterFailure("can't list hosts", err)
	}
	var members []Member
	for _, en := range ents {
		me, err := decodeMember(en)
		if err != nil {
			re.peer.cfg.Log.Warn("malformed entry of the store is ignored", "event", "invalidEntry", "key", en.Key, "reason", err)
			continue
		}
		members = append(members, me)
	}
	re.peer.setMembers(members)
	return listInterval
}

// retryAfterFailure logs a failure and returns the time until the next attempt.
func (re *registrar) retryAfterFailure(msg string, err error) time.Duration {
	re.peer.cfg.Log.Info(msg, "event", "registerFails", "reason", err)
	return storeRetryDelay
}

// deregister removes the host's entry.
func (re *registrar) deregister() {
	if re.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := re.peer.cfg.Store.Revoke(ctx, re.lease); err != nil {
		re.peer.cfg.Log.Info("host entry remains until its lease expires", "event", "registerFails", "reason", err)
	}
}

// jitter returns 90 to 110 per cent of a delay, at random, so that hosts that
// started together don't call the store at the same time.
func jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.9 + 0.2*rand.Float64()))
}
