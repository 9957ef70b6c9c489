package store_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// clock is a fake clock that tests advance.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func newClock() *clock { return &clock{at: time.Unix(1_800_000_000, 0)} }

func (cl *clock) now() time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.at
}

func (cl *clock) advance(by time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.at = cl.at.Add(by)
}

// swapA creates the key "a".
var swapA = store.SwapRequest{Key: "a", Value: []byte("v")}

// shortTimeout is for calls that are meant to time out.
const shortTimeout = 200 * time.Millisecond

func TestCallErrorsUnderFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  kvsim.Faults
		read    error
		write   error
		written bool // whether the write took effect
	}{
		{"down", kvsim.Faults{Down: true}, store.ErrUnavailable, store.ErrOutcomeUnknown, false},
		{"refused calls", kvsim.Faults{RefuseFirst: 2}, store.ErrUnavailable, store.ErrOutcomeUnknown, false},
		{"reply lost", kvsim.Faults{LoseAnswers: 1}, nil, store.ErrOutcomeUnknown, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sv, cl := start(t, kvsim.Config{})
			sv.SetFaults(tt.faults)
			_, _, err := cl.Get(t.Context(), "a")
			is.True(errors.Is(err, tt.read))
			_, err = cl.Swap(t.Context(), swapA)
			is.True(errors.Is(err, tt.write))
			is.Equal(sv.Calls().Txn, int64(1))
			_, written := sv.Value("a")
			is.Equal(written, tt.written)
		})
	}
}

func TestTimedOutWriteMayTakeEffectLater(t *testing.T) {
	is := is.New(t)
	sv, _ := start(t, kvsim.Config{})
	cl := sv.Client(t, shortTimeout)
	sv.SetFaults(kvsim.Faults{Slow: 2 * shortTimeout})
	_, err := cl.Swap(t.Context(), swapA)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	is.True(errors.Is(err, context.DeadlineExceeded))
	kvsim.Eventually(t, func() bool { _, ok := sv.Value("a"); return ok })
}

func TestRefusedConnectionIsSkipped(t *testing.T) {
	is := is.New(t)
	sv, _ := start(t, kvsim.Config{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := ln.Addr().String()
	is.NoErr(ln.Close())

	_, err = client(t, kvsim.Timeout, closed, sv.Addr()).Swap(t.Context(), swapA)
	is.NoErr(err)
	_, err = client(t, kvsim.Timeout, closed).Swap(t.Context(), swapA)
	is.True(errors.Is(err, store.ErrUnavailable)) // nothing was sent
	is.Equal(sv.Calls().Txn, int64(1))
}

// TestUnresponsiveConnectionIsDropped checks that a client stops using a connection
// on which calls hang.
func TestUnresponsiveConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	sv, _ := start(t, kvsim.Config{})
	cl := sv.Client(t, shortTimeout)
	kvsim.Eventually(t, func() bool { _, _, err := cl.Get(t.Context(), "a"); return err == nil })
	sv.SilenceConnections()
	_, err := cl.Swap(t.Context(), swapA)
	is.True(errors.Is(err, store.ErrOutcomeUnknown))
	kvsim.Eventually(t, func() bool { _, _, err := cl.Get(t.Context(), "a"); return err == nil })
}

func TestCancelledContextSendsNothing(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := cl.Swap(ctx, swapA)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(sv.Calls().Total(), int64(0))
}

func TestWatchEndsWhenTheServiceGoesDown(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	sv.Put("a", nil)
	err := cl.Watch(t.Context(), "a", 0, func(store.Entry) error {
		sv.SetFaults(kvsim.Faults{Down: true})
		return nil
	})
	is.True(errors.Is(err, store.ErrUnavailable))
}

// TestWritesAreNeverRetried serves the first request of each connection and fails
// the second in the ways after which net/http retries idempotent requests.
func TestWritesAreNeverRetried(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"succeeded\":true}"
	tests := []struct {
		name   string
		second string // response to the second request; empty to close the connection
	}{
		{"closed without a response", ""},
		{"redirected", "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v3/kv/txn\r\nContent-Length: 0\r\n\r\n"},
		{"server error", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{"truncated response", "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"succ"},
		{"not JSON", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nGone"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int64
			address := serveRaw(t, func(nc net.Conn, br *bufio.Reader) {
				for _, response := range []string{ok, tt.second} {
					if !readRequest(br) {
						return
					}
					received.Add(1)
					_, _ = io.WriteString(nc, response)
				}
			})
			cl := client(t, kvsim.Timeout, address, address)
			_, err := cl.Swap(t.Context(), swapA)
			is.NoErr(err)
			_, err = cl.Swap(t.Context(), swapA)
			is.True(errors.Is(err, store.ErrOutcomeUnknown))
			is.Equal(received.Load(), int64(2))
		})
	}
}

func TestSwapAndResolveResolvesALostReply(t *testing.T) {
	tookEffect := func(ent store.Entry) bool { return string(ent.Value) == "v" }
	tests := []struct {
		name   string
		faults kvsim.Faults
		want   error
	}{
		{"the write took effect", kvsim.Faults{LoseAnswers: 1}, nil},
		{"the write did not arrive", kvsim.Faults{RefuseFirst: 1}, nil},
		{"every reply is lost", kvsim.Faults{LoseAnswers: 100}, nil},
		{"the outcome stays unknown", kvsim.Faults{Down: true}, store.ErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sv, cl := start(t, kvsim.Config{})
			sv.SetFaults(tt.faults)
			ent, err := store.SwapAndResolve(t.Context(), cl, swapA, tookEffect)
			is.True(errors.Is(err, tt.want))
			if tt.want == nil {
				is.Equal(string(ent.Value), "v")
				is.True(ent.Revision > 0)
			}
		})
	}
}

// TestSwapAndResolveAppliesALateWriteOnce delays a swap until after its repetition.
// The late request must not replace the value again.
func TestSwapAndResolveAppliesALateWriteOnce(t *testing.T) {
	is := is.New(t)
	sv, _ := start(t, kvsim.Config{})
	cl := sv.Client(t, shortTimeout)
	sv.SetFaults(kvsim.Faults{Slow: 2 * shortTimeout})
	go func() {
		time.Sleep(shortTimeout / 2)
		sv.SetFaults(kvsim.Faults{})
	}()
	one, err := store.SwapAndResolve(t.Context(), cl, swapA, func(ent store.Entry) bool { return string(ent.Value) == "v" })
	is.NoErr(err)
	time.Sleep(3 * shortTimeout) // the late request arrives and must fail
	cur, _, err := sv.Client(t, kvsim.Timeout).Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(cur.Revision, one.Revision)
}

func TestSwapAndResolveReportsAConflict(t *testing.T) {
	is := is.New(t)
	sv, cl := start(t, kvsim.Config{})
	sv.Put("a", []byte("theirs"))
	sv.SetFaults(kvsim.Faults{RefuseFirst: 1})
	ent, err := store.SwapAndResolve(t.Context(), cl, swapA, func(ent store.Entry) bool { return string(ent.Value) == "v" })
	is.True(errors.Is(err, store.ErrConflict))
	is.Equal(string(ent.Value), "theirs")
}

// serveRaw accepts connections, calls fn for each and closes it afterwards.
func serveRaw(t *testing.T, fn func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				fn(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return ln.Addr().String()
}

func readRequest(br *bufio.Reader) bool {
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}
