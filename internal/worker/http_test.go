package worker_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

const testTimeout = 30 * time.Second

// TestReplies checks the reply and the error for each kind of response. Only the
// errors for which a call is known to have had no effect may say so.
func TestReplies(t *testing.T) {
	truncated := func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"epoch":`))
	}
	send := func(status int, body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	tests := []struct {
		name   string
		answer func(http.ResponseWriter)
		err    error // any error if nil
		epoch  int64
		fails  bool
	}{
		{"reply", send(200, `{"epoch":3}`), nil, 3, false},
		{"stale epoch", send(409, `{"epoch":9,"tasks":[{"phase":"running"}]}`), worker.ErrStaleEpoch, 9, true},
		{"refused", send(400, "no epoch"), worker.ErrRefused, 0, true},
		{"failure", send(500, `{"epoch":3}`), nil, 0, true},
		{"redirect", send(307, ""), nil, 0, true},
		{"malformed", send(200, "{"), nil, 0, true},
		{"malformed stale epoch", send(409, "{"), nil, 0, true},
		{"truncated", truncated, nil, 0, true},
		{"too large", send(200, strings.Repeat(" ", 9<<20)+"{}"), nil, 0, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || r.URL.Path != worker.TasksPath {
					http.NotFound(w, r)
					return
				}
				tc.answer(w)
			}))
			defer sv.Close()
			hc := worker.NewHTTPClient(worker.HTTPConfig{Timeout: testTimeout})
			defer hc.Close()
			reply, err := hc.Call(t.Context(), sv.Listener.Addr().String(), worker.Request{Epoch: 1})
			is.Equal(reply.Epoch, tc.epoch)
			is.Equal(len(reply.Tasks), 0) // no table of another epoch
			is.Equal(err != nil, tc.fails)
			is.True(tc.err == nil || errors.Is(err, tc.err))
			if tc.err == nil {
				is.True(!errors.Is(err, worker.ErrStaleEpoch) && !errors.Is(err, worker.ErrRefused))
			}
			var ns *worker.NotSentError
			is.True(!errors.As(err, &ns))
		})
	}
}

// TestCallWithoutConnectionIsNotSent makes a call while every connection to the
// worker is in use. It must fail with NotSentError, and calls that are cancelled
// after they were sent must not.
func TestCallWithoutConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnected client only after the body is read
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	defer sv.Close()
	address := sv.Listener.Addr().String()
	hc := worker.NewHTTPClient(worker.HTTPConfig{Timeout: testTimeout})
	defer hc.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error)
	for range worker.ConnectionsPerWorker {
		go func() {
			_, err := hc.Call(ctx, address, worker.Request{Epoch: 1})
			ended <- err
		}()
	}
	for range worker.ConnectionsPerWorker {
		<-arrived
	}
	brief, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	_, err := hc.Call(brief, address, worker.Request{Epoch: 1})
	var ns *worker.NotSentError
	is.True(errors.As(err, &ns))
	cancel()
	for range worker.ConnectionsPerWorker {
		is.True(!errors.As(<-ended, &ns)) // these may have taken effect
	}
}

// TestTimeoutIsAddedToWait checks that a long poll doesn't time out while the
// worker may still wait for a change.
func TestTimeoutIsAddedToWait(t *testing.T) {
	is := is.New(t)
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("{}"))
	}))
	defer sv.Close()
	hc := worker.NewHTTPClient(worker.HTTPConfig{Timeout: 10 * time.Millisecond})
	defer hc.Close()
	_, err := hc.Call(t.Context(), sv.Listener.Addr().String(), worker.Request{Epoch: 1})
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = hc.Call(t.Context(), sv.Listener.Addr().String(), worker.Request{Epoch: 1, Wait: testTimeout})
	is.NoErr(err)
}

// TestRequestHeaders checks that a call, which every worker gets every few
// seconds, has no more headers than necessary.
func TestRequestHeaders(t *testing.T) {
	is := is.New(t)
	names := make(chan []string, 1)
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		names <- slices.Sorted(maps.Keys(r.Header))
		_, _ = w.Write([]byte("{}"))
	}))
	defer sv.Close()
	hc := worker.NewHTTPClient(worker.HTTPConfig{Timeout: testTimeout})
	defer hc.Close()
	_, err := hc.Call(t.Context(), sv.Listener.Addr().String(), worker.Request{Epoch: 1})
	is.NoErr(err)
	is.Equal(<-names, []string{"Content-Length", "Content-Type"})
}
