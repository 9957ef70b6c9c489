package wksim_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/worker"
)

// waitTimeout bounds waits that take far less time unless something is broken.
const waitTimeout = 30 * time.Second

func startServer(t *testing.T) (*wksim.Server, *worker.HTTPClient) {
	t.Helper()
	is := is.New(t)
	sv, err := wksim.New(wksim.Config{Name: "w", Listen: "127.0.0.1:0", Accelerators: 8})
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- sv.Run(t.Context()) }()
	hc := worker.NewHTTPClient(worker.HTTPConfig{Timeout: waitTimeout})
	t.Cleanup(func() {
		hc.Close()
		sv.Close()
		is.NoErr(<-ended)
	})
	return sv, hc
}

func TestCallRoundTrip(t *testing.T) {
	is := is.New(t)
	sv, hc := startServer(t)
	reply, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 3), run(first, "forever")}})
	is.NoErr(err)
	is.Equal(reply.Results, []worker.Result{{OK: true}, {OK: true}})
	is.Equal(reply.Tasks[0].Phase, worker.PhaseRunning)
	again, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1, Version: reply.Version})
	is.NoErr(err)
	is.Equal(len(again.Tasks), 0) // unchanged
	_, err = hc.Call(t.Context(), sv.Addr(), worker.Request{})
	is.True(errors.Is(err, worker.ErrRefused))
}

func TestStaleEpochReplyCarriesLargestEpoch(t *testing.T) {
	is := is.New(t)
	sv, hc := startServer(t)
	_, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 7})
	is.NoErr(err)
	reply, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 6, Commands: []worker.Command{reserve(first, 1)}})
	is.True(errors.Is(err, worker.ErrStaleEpoch))
	is.Equal(reply.Epoch, int64(7))
	is.Equal(len(sv.Tasks()), 0)
}

func TestWaitReturnsOnChange(t *testing.T) {
	tests := []struct {
		name   string
		change func(*wksim.Server, *worker.HTTPClient) error
		err    error
	}{
		{"by command", func(sv *wksim.Server, hc *worker.HTTPClient) error {
			_, err := hc.Call(context.Background(), sv.Addr(), worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 1)}})
			return err
		}, nil},
		{"by larger epoch", func(sv *wksim.Server, hc *worker.HTTPClient) error {
			_, err := hc.Call(context.Background(), sv.Addr(), worker.Request{Epoch: 2})
			return err
		}, worker.ErrStaleEpoch},
		{"by draining", func(sv *wksim.Server, _ *worker.HTTPClient) error {
			sv.SetFaults(wksim.Faults{Draining: true})
			return nil
		}, nil},
		{"by lease expiry", func(sv *wksim.Server, hc *worker.HTTPClient) error {
			cm := reserve(first, 1)
			cm.Lease = time.Millisecond
			_, err := hc.Call(context.Background(), sv.Addr(), worker.Request{Epoch: 1, Commands: []worker.Command{cm}})
			return err
		}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sv, hc := startServer(t)
			reply, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1})
			is.NoErr(err)
			changed := make(chan error, 1)
			go func() { changed <- tc.change(sv, hc) }()
			next, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1, Version: reply.Version, Wait: waitTimeout})
			is.True(errors.Is(err, tc.err))
			is.True(err != nil || next.Version != reply.Version)
			is.NoErr(<-changed)
		})
	}
}

func TestCallTakesEffectWhenResponseIsLost(t *testing.T) {
	is := is.New(t)
	sv, hc := startServer(t)
	sv.SetFaults(wksim.Faults{DropAfter: 1})
	_, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 1), run(first, "forever")}})
	var ns *worker.NotSentError
	is.True(err != nil && !errors.As(err, &ns)) // outcome unknown; the call did take effect
	is.Equal(len(sv.Runs()), 1)
}

func TestFrozenWorkerRespondsAfterThaw(t *testing.T) {
	is := is.New(t)
	sv, hc := startServer(t)
	sv.SetFaults(wksim.Faults{Frozen: true})
	answered := make(chan error, 1)
	go func() {
		_, err := hc.Call(context.Background(), sv.Addr(), worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 1)}})
		answered <- err
	}()
	brief := worker.NewHTTPClient(worker.HTTPConfig{Timeout: 20 * time.Millisecond})
	_, err := brief.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(len(sv.Tasks()), 0)
	sv.SetFaults(wksim.Faults{})
	is.NoErr(<-answered)
	is.Equal(len(sv.Tasks()), 1)
}

func TestUnreachableWorkerReturnsNotSentError(t *testing.T) {
	is := is.New(t)
	sv, hc := startServer(t)
	sv.Close()
	_, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1})
	var ns *worker.NotSentError
	is.True(errors.As(err, &ns))
	is.Equal(ns.Address, sv.Addr())
}

func TestFaultsByHTTP(t *testing.T) {
	is := is.New(t)
	sv, hc := startServer(t)
	before, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1})
	is.NoErr(err)
	body, err := json.Marshal(wksim.FaultsRequest{Faults: wksim.Faults{FailStarts: true}, Restart: true})
	is.NoErr(err)
	resp, err := http.Post("http://"+sv.Addr()+wksim.FaultsPath, "application/json", bytes.NewReader(body))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusNoContent)
	reply, err := hc.Call(t.Context(), sv.Addr(), worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 1), run(first, "forever")}})
	is.NoErr(err)
	is.True(reply.Incarnation != before.Incarnation)
	is.Equal(reply.Tasks[0].Phase, worker.PhaseFailed)
	resp, err = http.Get("http://" + sv.Addr() + wksim.RunsPath)
	is.NoErr(err)
	defer resp.Body.Close()
	var runs []wksim.Run
	is.NoErr(json.NewDecoder(resp.Body).Decode(&runs))
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Phase, worker.PhaseFailed)
}
