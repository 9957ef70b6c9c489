package epsim_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/pkg/client"
)

type (
	// response is the response to a test request, or the error that prevented it.
	response struct {
		status int
		header http.Header
		body   string
		err    error // of sending or of reading the response
	}

	// caller sends requests over its own connection pool.
	caller struct {
		address   string
		transport *http.Transport
	}
)

// waitTimeout bounds waits that take far less time unless something is broken.
const waitTimeout = 30 * time.Second

func startServer(t *testing.T, slots, connections int) (*epsim.Server, caller) {
	t.Helper()
	is := is.New(t)
	sv, err := epsim.New(epsim.Config{
		Name: "e1", Service: "pricing", Listen: "127.0.0.1:0", Slots: slots, Connections: connections,
	})
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- sv.Run(t.Context()) }()
	ca := caller{address: sv.Addr(), transport: &http.Transport{}}
	t.Cleanup(func() {
		sv.Close()
		is.NoErr(<-ended)
		ca.transport.CloseIdleConnections()
	})
	return sv, ca
}

func (ca caller) send(ctx context.Context, method, path string, body io.Reader, header map[string]string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ca.address+path, body)
	if err != nil {
		return response{err: err}
	}
	for key, value := range header {
		req.Header.Set(key, value)
	}
	resp, err := ca.transport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(content), err: err}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func TestHeadersSelectBehaviour(t *testing.T) {
	tests := []struct {
		name   string
		header map[string]string
		body   string
		status int
		want   string // response body
		broken bool   // sending the request or reading the response fails
		ran    bool   // the request was executed
	}{
		{"echo", nil, "sacks", 200, "sacks", false, true},
		{"default body", nil, "", 200, `{"endpoint":"e1","service":"pricing","request":"r1"}`, false, true},
		{"status", map[string]string{epsim.HeaderStatus: "500"}, "x", 500, "x", false, true},
		{"no content", map[string]string{epsim.HeaderStatus: "204"}, "x", 204, "", false, true},
		{"size", map[string]string{epsim.HeaderSize: "5"}, "x", 200, "r1\nr1", false, true},
		{"delay", map[string]string{epsim.HeaderDelay: "1ms"}, "x", 200, "x", false, true},
		{"half", map[string]string{epsim.HeaderFault: epsim.FaultHalf}, "1234", 200, "12", true, true},
		{"drop before", map[string]string{epsim.HeaderFault: epsim.FaultDropBefore}, "x", 0, "", true, false},
		{"drop after", map[string]string{epsim.HeaderFault: epsim.FaultDropAfter}, "x", 0, "", true, true},
		{"misspelt fault", map[string]string{epsim.HeaderFault: "halve"}, "x", 400, "unknown fault \"halve\"\n", false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sv, ca := startServer(t, 1, 4)
			header := map[string]string{plat.HeaderRequest: "r1", client.HeaderWorkspace: "velas"}
			for key, value := range tc.header {
				header[key] = value
			}
			rs := ca.send(t.Context(), http.MethodPost, "/quotes", strings.NewReader(tc.body), header)
			is.Equal(rs.status, tc.status)
			is.Equal(rs.body, tc.want)
			is.Equal(rs.err != nil, tc.broken)
			runs := sv.Runs()
			is.Equal(len(runs) == 1, tc.ran)
			if tc.ran {
				is.Equal(runs[0].Request, "r1")
				is.Equal(runs[0].Workspace, "velas")
				is.Equal(runs[0].Count, 1)
			}
			waitFor(t, "free slot", func() bool { return sv.SlotsInUse() == 0 })
		})
	}
}

func TestRefusesBeyondSlotsAndWhileDraining(t *testing.T) {
	is := is.New(t)
	sv, ca := startServer(t, 1, 8)
	ctx, cancel := context.WithCancel(t.Context())
	hung := make(chan response, 1)
	go func() {
		hung <- ca.send(ctx, http.MethodPost, "/", strings.NewReader("x"), map[string]string{epsim.HeaderFault: epsim.FaultHang})
	}()
	waitFor(t, "slot in use", func() bool { return sv.SlotsInUse() == 1 })
	rs := ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil)
	is.NoErr(rs.err)
	is.Equal(rs.status, http.StatusServiceUnavailable)
	is.Equal(rs.header.Get(plat.HeaderRefused), plat.RefusedBusy)
	is.Equal(rs.header.Get(plat.HeaderState), string(plat.StateLive))

	is.Equal(ca.send(t.Context(), http.MethodPost, epsim.DrainPath, nil, nil).status, http.StatusNoContent)
	rs = ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil)
	is.Equal(rs.header.Get(plat.HeaderRefused), plat.RefusedDraining)
	rs = ca.send(t.Context(), http.MethodGet, plat.ProbePath, nil, nil)
	is.Equal(rs.status, http.StatusOK)
	is.Equal(rs.header.Get(plat.HeaderState), string(plat.StateDraining))
	is.Equal(sv.SlotsInUse(), 1) // the request in progress continues
	cancel()
	is.True(errors.Is((<-hung).err, context.Canceled))
	is.Equal(len(sv.Runs()), 1)
}

func TestRequestInProgressFinishesWhileDraining(t *testing.T) {
	is := is.New(t)
	sv, ca := startServer(t, 1, 8)
	body, sender := io.Pipe()
	finished := make(chan response, 1)
	go func() { finished <- ca.send(t.Context(), http.MethodPost, "/", body, nil) }()
	waitFor(t, "slot in use", func() bool { return sv.SlotsInUse() == 1 })
	sv.Drain()
	_, err := sender.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(sender.Close())
	rs := <-finished
	is.NoErr(rs.err)
	is.Equal(rs.body, "x")
	is.Equal(rs.header.Get(plat.HeaderState), string(plat.StateDraining))
}

func TestRefusesBeyondConnectionLimit(t *testing.T) {
	is := is.New(t)
	sv, ca := startServer(t, 8, 1)
	is.NoErr(ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil).err)
	second := caller{address: sv.Addr(), transport: &http.Transport{}}
	rs := second.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil)
	is.NoErr(rs.err)
	is.Equal(rs.header.Get(plat.HeaderRefused), plat.RefusedBusy)
	is.Equal(ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("y"), nil).body, "y") // the first connection still works
	is.Equal(len(sv.Runs()), 2)
}

func TestSilencedConnectionsDiscardDataWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	sv, old := startServer(t, 8, 1)
	is.NoErr(old.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil).err)
	sv.SilenceConnections()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	rs := old.send(short, http.MethodPost, "/", strings.NewReader("lost"), nil)
	is.True(errors.Is(rs.err, context.DeadlineExceeded))
	fresh := caller{address: sv.Addr(), transport: &http.Transport{}}
	rs = fresh.send(t.Context(), http.MethodPost, "/", strings.NewReader("y"), nil)
	is.NoErr(rs.err)
	is.Equal(rs.body, "y")
	is.Equal(len(sv.Runs()), 2) // the discarded request was not executed
}

func TestDownEndpointResetsConnections(t *testing.T) {
	is := is.New(t)
	sv, ca := startServer(t, 8, 8)
	is.NoErr(ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil).err)
	sv.SetFaults(epsim.Faults{Down: true})
	is.True(ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil).err != nil)
	sv.SetFaults(epsim.Faults{})
	is.NoErr(ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil).err)
	is.Equal(len(sv.Runs()), 2)
}

func TestRunsAndFaultsByHTTP(t *testing.T) {
	is := is.New(t)
	_, ca := startServer(t, 8, 8)
	body, err := json.Marshal(epsim.FaultsRequest{Faults: epsim.Faults{Down: true}, DownFor: time.Millisecond})
	is.NoErr(err)
	ca.send(t.Context(), http.MethodPost, epsim.FaultsPath, bytes.NewReader(body), nil)
	waitFor(t, "a response after the endpoint is up again", func() bool { return ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil).err == nil })
	ca.send(t.Context(), http.MethodPost, "/", strings.NewReader("x"), nil)
	var runs []epsim.Run
	rs := ca.send(t.Context(), http.MethodGet, epsim.RunsPath, nil, nil)
	is.NoErr(json.NewDecoder(bytes.NewBufferString(rs.body)).Decode(&runs))
	is.Equal(runs[len(runs)-1].Count, len(runs))
}
