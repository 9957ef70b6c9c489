package kvsim

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

type (
	// Faults is how the service misbehaves. The zero value is none.
	Faults struct {
		Down          bool          // every call is dropped before its effect, and every watch is cut
		Slow          time.Duration // each call waits this long before its effect, also if its caller has gone
		LoseAnswers   int           // so many of the next writes take effect and are not answered
		RefuseFirst   int           // so many of the next calls are dropped before their effect
		FreezeWatches bool          // watches go silent, and stay so even when this ends
	}

	// Calls counts the calls that arrived, by kind.
	Calls struct {
		Range, Txn, Grant, KeepAlive, Revoke, Watch int64
	}

	// faultsRequest is the JSON form of Faults.
	faultsRequest struct {
		Down          bool  `json:"down"`
		SlowMillis    int64 `json:"slowMillis"`
		LoseAnswers   int   `json:"loseAnswers"`
		RefuseFirst   int   `json:"refuseFirst"`
		FreezeWatches bool  `json:"freezeWatches"`
	}

	// connState is what is known of one connection.
	connState struct {
		silent atomic.Bool // swallows what is sent on it
	}

	connKey struct{}

	counters struct {
		rng, txn, grant, keepAlive, revoke, watch atomic.Int64
	}
)

// Total returns the number of calls of all kinds.
func (ca Calls) Total() int64 {
	return ca.Range + ca.Txn + ca.Grant + ca.KeepAlive + ca.Revoke + ca.Watch
}

// SetFaults replaces the faults in force.
func (sv *Server) SetFaults(fa Faults) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = fa
	if fa.Down {
		sv.cutWatches()
	}
	if fa.FreezeWatches {
		for wa := range sv.watchers {
			wa.frozen = true
		}
	}
}

// Faults returns the faults in force, with the numbers that are left.
func (sv *Server) Faults() Faults {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.faults
}

// SilenceConnections makes every connection that is open now swallow what is
// sent on it. New connections work.
func (sv *Server) SilenceConnections() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cs := range sv.conns {
		cs.silent.Store(true)
	}
	for wa := range sv.watchers {
		wa.frozen = true
	}
}

// Calls returns the calls that have arrived so far.
func (sv *Server) Calls() Calls {
	co := &sv.counters
	return Calls{
		Range: co.rng.Load(), Txn: co.txn.Load(), Grant: co.grant.Load(),
		KeepAlive: co.keepAlive.Load(), Revoke: co.revoke.Load(), Watch: co.watch.Load(),
	}
}

// Snapshot returns a copy of the content.
func (sv *Server) Snapshot() Snapshot {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return Snapshot{st: sv.state.clone()}
}

// Restore replaces the content, as when the service is set up again from an
// older copy. Revisions go back, and every watch is cut.
func (sv *Server) Restore(sn Snapshot) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state = sn.st.clone()
	sv.cutWatches()
}

// applyFaults applies the faults that come before a call's effect and tells
// whether the call goes on.
func (sv *Server) applyFaults(ctx context.Context) bool {
	if cs, ok := ctx.Value(connKey{}).(*connState); ok && cs.silent.Load() {
		sv.hang(ctx)
		return false
	}
	sv.mu.Lock()
	slow := sv.faults.Slow
	sv.mu.Unlock()
	if slow > 0 && !sv.sleep(slow) {
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faults.Down {
		return false
	}
	if sv.faults.RefuseFirst > 0 {
		sv.faults.RefuseFirst--
		return false
	}
	return true
}

// dropResponse tells whether the answer of a write that took effect is dropped.
func (sv *Server) dropResponse() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faults.LoseAnswers == 0 {
		return false
	}
	sv.faults.LoseAnswers--
	return true
}

// sleep waits, and tells whether the server lasted as long.
func (sv *Server) sleep(wait time.Duration) bool {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-sv.Closed():
		return false
	}
}

// hang waits until the caller or the server gives up.
func (sv *Server) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-sv.Closed():
	}
}

// trackConn remembers a new connection. Its state is found in the context of
// the calls that arrive on it.
func (sv *Server) trackConn(ctx context.Context, nc net.Conn) context.Context {
	cs := &connState{}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.conns[cs] = nc
	return context.WithValue(ctx, connKey{}, cs)
}

// untrackConn drops the state of a connection that has ended.
func (sv *Server) untrackConn(nc net.Conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cs, known := range sv.conns {
		if known == nc {
			delete(sv.conns, cs)
		}
	}
}
