package kvsim

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

type (
	// Faults lists the faults injected into the service. The zero value
	// injects none.
	Faults struct {
		Down          bool          // every call is dropped before it takes effect, and every watch is aborted
		Slow          time.Duration // delay of each call before it takes effect, even if its caller has disconnected
		LoseAnswers   int           // number of next writes that take effect and whose response is dropped
		RefuseFirst   int           // number of next calls that are dropped before they take effect
		FreezeWatches bool          // watches, also new ones, stop sending events permanently
	}

	// Calls holds the number of received calls of each kind.
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

	// connState is the state of a connection.
	connState struct {
		silent atomic.Bool // calls that arrive on it hang without effect
	}

	connKey struct{}

	// counters counts the received calls of each kind.
	counters struct {
		rng, txn, grant, keepAlive, revoke, watch atomic.Int64
	}
)

// Total returns the number of calls of all kinds.
func (ca Calls) Total() int64 {
	return ca.Range + ca.Txn + ca.Grant + ca.KeepAlive + ca.Revoke + ca.Watch
}

// SetFaults replaces the injected faults.
func (sv *Server) SetFaults(fa Faults) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = fa
	if fa.Down {
		sv.abortWatches()
	}
	if fa.FreezeWatches {
		for wa := range sv.watchers {
			wa.frozen = true
		}
	}
}

// Faults returns the active faults, with the remaining counts.
func (sv *Server) Faults() Faults {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.faults
}

// SilenceConnections makes calls on every connection that is open now hang
// without effect, and freezes the open watches. New connections work.
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

// Calls returns the number of calls received so far.
func (sv *Server) Calls() Calls {
	co := &sv.counters
	return Calls{
		Range: co.rng.Load(), Txn: co.txn.Load(), Grant: co.grant.Load(),
		KeepAlive: co.keepAlive.Load(), Revoke: co.revoke.Load(), Watch: co.watch.Load(),
	}
}

// Snapshot returns a copy of the service's content.
func (sv *Server) Snapshot() Snapshot {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return Snapshot{st: sv.state.clone()}
}

// Restore replaces the content, as when the service is restored from a backup:
// the revision counter goes back, and every watch is aborted.
func (sv *Server) Restore(sn Snapshot) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state = sn.st.clone()
	sv.abortWatches()
}

// applyFaults applies the faults that precede a call's effect and reports
// whether the call continues.
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

// dropResponse reports whether the response to a write that took effect is to
// be dropped, and if so, decrements the number of responses to drop.
func (sv *Server) dropResponse() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faults.LoseAnswers == 0 {
		return false
	}
	sv.faults.LoseAnswers--
	return true
}

// sleep waits and reports whether the server is still open afterwards.
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

// hang blocks until the caller disconnects or the server is closed.
func (sv *Server) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-sv.Closed():
	}
}

// trackConn registers a new connection and puts its state into the context of
// the calls that arrive on it.
func (sv *Server) trackConn(ctx context.Context, nc net.Conn) context.Context {
	cs := &connState{}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.conns[cs] = nc
	return context.WithValue(ctx, connKey{}, cs)
}

// untrackConn removes the state of a closed connection.
func (sv *Server) untrackConn(nc net.Conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cs, known := range sv.conns {
		if known == nc {
			delete(sv.conns, cs)
		}
	}
}
