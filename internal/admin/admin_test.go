package admin_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/admin"
	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// newClient serves the operator API on a store and returns a client of it.
func newClient(t *testing.T, st store.Store) *client.Client {
	sv := httptest.NewServer(admin.New(admin.Config{
		Host: "a", Store: st, Layout: runsim.Layout(), Log: slog.New(slog.DiscardHandler),
	}))
	t.Cleanup(sv.Close)
	cl := client.New(client.Config{Addresses: []string{sv.Listener.Addr().String()}})
	t.Cleanup(cl.Close)
	return cl
}

// TestEvacuationIsRequestedAndWithdrawn guards against an evacuation key other than
// the platform's, and against a status without the remaining tasks.
func TestEvacuationIsRequestedAndWithdrawn(t *testing.T) {
	is := is.New(t)
	kv := kvsim.Start(t, kvsim.Config{})
	cl := newClient(t, kv.Client(t, time.Second))
	kv.Put(batch.LeaderKey, []byte("b 7 8"))
	kv.Put(runsim.WorkerPrefix+"w", []byte(`{"Zone":"z1"}`))
	kv.Put(batch.BacklogKey, []byte(`{"queues":{},"left":{"z1":5}}`))
	for range 2 { // the second request changes nothing
		ev, err := cl.Evacuate(t.Context(), "z1", false)
		is.NoErr(err)
		is.Equal(ev.Code, codes.ZoneEmptied)
		is.Equal(*ev.Workers, 1)
	}
	value, _ := kv.Value(runsim.EvacuationPrefix + "z1")
	is.Equal(string(value), "{}")
	st, err := cl.Status(t.Context())
	is.NoErr(err)
	is.True(st.StoreUp)
	is.Equal(st.Domain.Scheduler, "b")
	is.Equal(len(st.Domain.Evacuations), 1)
	is.Equal(*st.Domain.Evacuations[0].Tasks, 5)
	ev, err := cl.Evacuate(t.Context(), "z1", true)
	is.NoErr(err)
	is.Equal(ev.Code, codes.ZoneServes)
	_, keyExists := kv.Value(runsim.EvacuationPrefix + "z1")
	is.True(!keyExists)
	li, err := cl.Evacuations(t.Context())
	is.NoErr(err)
	is.Equal(len(li.Evacuations), 0)
}

// TestEvacuationUnderStoreFaults guards against a response that reports success
// or failure while the outcome is unknown.
func TestEvacuationUnderStoreFaults(t *testing.T) {
	loseReply := func(ctx context.Context, st store.Store, rq store.SwapRequest) (store.Entry, error) {
		_, err := st.Swap(ctx, rq)
		return store.Entry{}, errors.Join(store.ErrOutcomeUnknown, err)
	}
	tests := []struct {
		name      string
		onSwap    func(ctx context.Context, st store.Store, rq store.SwapRequest) (store.Entry, error)
		down      bool
		want      codes.Code
		keyExists bool
	}{
		{name: "lost reply", onSwap: loseReply, want: codes.ZoneEmptied, keyExists: true},
		{name: "lost writes", want: codes.EvacuateUnknown, onSwap: func(context.Context, store.Store, store.SwapRequest) (store.Entry, error) {
			return store.Entry{}, store.ErrOutcomeUnknown
		}},
		{name: "forbidden", want: codes.WriteForbidden, onSwap: func(context.Context, store.Store, store.SwapRequest) (store.Entry, error) {
			return store.Entry{}, errors.Join(store.ErrUnavailable, store.ErrForbidden)
		}},
		{name: "unavailable", down: true, want: codes.StoreUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			kv := kvsim.Start(t, kvsim.Config{})
			var st store.Store = kv.Client(t, time.Second)
			if tt.onSwap != nil {
				st = &kvsim.HookedStore{Store: st, OnSwap: tt.onSwap}
			}
			cl := newClient(t, st)
			kv.SetFaults(kvsim.Faults{Down: tt.down})
			ev, err := cl.Evacuate(t.Context(), "z1", false)
			if err != nil {
				ev.Code = codes.Of(err).Code
			}
			is.Equal(ev.Code, tt.want)
			status, err := cl.Status(t.Context())
			is.NoErr(err)
			is.Equal(status.StoreUp, !tt.down)
			_, keyExists := kv.Value(runsim.EvacuationPrefix + "z1")
			is.Equal(keyExists, tt.keyExists)
		})
	}
}
