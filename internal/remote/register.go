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

// registrar keeps the host's entry in the store, and the list of the others.
type registrar struct {
	peer    *Peer
	lease   store.LeaseID // zero for none
	renewAt time.Time     // when the lease is to be renewed, or granted
	listAt  time.Time     // when the list is to be read
}

const (
	leaseTime     = 60 * time.Second
	renewInterval = 20 * time.Second
	listInterval  = 30 * time.Second
	// firstListDelay is when the list is first read: hosts that start together have
	// registered by then.
	firstListDelay = 1500 * time.Millisecond
	// storeRetryDelay is the pause after a call of the store that failed.
	storeRetryDelay = 2 * time.Second
	// storeTimeout bounds one call, and revokeTime the last one.
	storeTimeout  = time.Second
	revokeTimeout = 300 * time.Millisecond
)

// register keeps the host registered until ctx ends, and removes its entry then.
func (pe *Peer) register(ctx context.Context) {
	now := time.Now()
	re := &registrar{peer: pe, renewAt: now, listAt: now.Add(jitter(firstListDelay))}
	for {
		now := time.Now()
		if !now.Before(re.renewAt) {
			re.renewAt = now.Add(jitter(re.renew(ctx)))
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

// renew keeps the host's lease, or registers the host under a new one. It
// returns when to do so again.
func (re *registrar) renew(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	st := re.peer.cfg.Store
	if re.lease != 0 {
		err := st.Renew(ctx, re.lease)
		switch {
		case err == nil:
			return renewInterval
		case !errors.Is(err, store.ErrLapsed):
			return re.logFailure("lease is not renewed", err)
		}
		re.lease = 0
	}
	value, err := re.peer.cfg.Self.encode()
	if err != nil {
		return re.logFailure("host is not registered", err)
	}
	lease, err := st.Grant(ctx, leaseTime)
	if err != nil {
		return re.logFailure("host is not registered", err)
	}
	key := batch.HostKey(re.peer.cfg.Self.Name)
	if _, _, err := st.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value, Lease: lease}}}); err != nil {
		return re.logFailure("host is not registered", err)
	}
	re.lease = lease
	re.peer.cfg.Log.Info("host is registered", "event", "registered", "address", re.peer.cfg.Self.Address)
	return renewInterval
}

// list takes the list of the hosts. It returns when to do so again.
func (re *registrar) list(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ents, _, err := re.peer.cfg.Store.List(ctx, batch.HostPrefix)
	if err != nil {
		return re.logFailure("list of hosts is not read", err)
	}
	var members []Member
	for _, en := range ents {
		me, err := decodeMember(en)
		if err != nil {
			re.peer.cfg.Log.Warn("entry of the store is not used", "event", "foreignEntry", "key", en.Key, "reason", err)
			continue
		}
		members = append(members, me)
	}
	re.peer.setMembers(members)
	return listInterval
}

// logFailure reports a failure and returns when to try again.
func (re *registrar) logFailure(msg string, err error) time.Duration {
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
		re.peer.cfg.Log.Info("entry of the host is left to its lease", "event", "registerFails", "reason", err)
	}
}

// jitter spreads a pause over 90 to 110 per cent of it, so that hosts that
// started together part.
func jitter(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (0.9 + 0.2*rand.Float64()))
}
