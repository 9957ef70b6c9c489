package kvsim

import (
	"context"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// TB is the part of testing.TB that the test helpers use.
	TB interface {
		Helper()
		Cleanup(fn func())
		Error(args ...any)
		Fatal(args ...any)
	}

	// HookedStore is a store that passes Swap calls to OnSwap, together with
	// the store that it wraps.
	HookedStore struct {
		store.Store
		OnSwap func(ctx context.Context, st store.Store, req store.SwapRequest) (store.Entry, error)
	}
)

const (
	// Timeout bounds calls and waits in tests. It far exceeds the duration of a
	// call, even on a busy machine.
	Timeout = 20 * time.Second

	eventuallyPeriod = 5 * time.Millisecond
)

// Start runs a server on a free port until the test ends.
func Start(t TB, cf Config) *Server {
	t.Helper()
	cf.Listen = "127.0.0.1:0"
	sv, err := New(cf)
	if err != nil {
		t.Fatal(err)
	}
	Background(t, sv.Run)
	return sv
}

// Client returns a client of the server that is closed when the test ends.
func (sv *Server) Client(t TB, timeout time.Duration) *store.Client {
	t.Helper()
	cl := store.New(store.Config{Addresses: []string{sv.Addr()}, Timeout: timeout})
	t.Cleanup(cl.Close)
	return cl
}

// Background runs fn until stop is called or the test ends, and reports its
// error to the test. Function stop cancels the context of fn and waits until fn
// returns; further calls have no effect.
func Background(t TB, fn func(ctx context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := fn(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return stop
}

// Eventually waits until a condition holds, and fails the test if it doesn't
// within Timeout.
func Eventually(t TB, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(Timeout); time.Now().Before(limit); time.Sleep(eventuallyPeriod) {
		if holds() {
			return
		}
	}
	t.Error("condition not met in time")
}

// Swap implements store.Store.
func (ho HookedStore) Swap(ctx context.Context, req store.SwapRequest) (store.Entry, error) {
	return ho.OnSwap(ctx, ho.Store, req)
}
