package remote_test

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/remote"
)

// TestSessionWithTooManyStreamsIsClosed opens more streams than a host takes, with calls
// that never end. It guards against a client that fills the memory before its streams are
// accepted, and against keeping other hosts out meanwhile.
func TestSessionWithTooManyStreamsIsClosed(t *testing.T) {
	const maxStreams = 8
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	a := start(t, sv, "a", "z1", accepts, nil)
	b := start(t, sv, "b", "z2", accepts, func(cf *remote.Config) { cf.MaxStreams = maxStreams })
	kvsim.Eventually(t, func() bool { return len(a.Members()) == 1 })
	crowd(t, b.self.Address, 4*maxStreams)
	_, err := forward(t, a, lookup, intake.StoreUnreachable, storeUnavailable)
	is.NoErr(err)
}

// TestCrowdLosesNoCallOfOthers forwards calls while another session opens too many
// streams again and again. It guards against a call without a response because the
// session of somebody else was to be closed when it arrived.
func TestCrowdLosesNoCallOfOthers(t *testing.T) {
	const (
		maxStreams = 8
		crowds     = 40
		timeout    = 3 * time.Second
	)
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	a := start(t, sv, "a", "z1", accepts, nil)
	b := start(t, sv, "b", "z2", accepts, func(cf *remote.Config) { cf.MaxStreams = maxStreams })
	kvsim.Eventually(t, func() bool { return len(a.Members()) == 1 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range crowds {
			crowd(t, b.self.Address, 4*maxStreams)
		}
	}()
	t.Cleanup(func() { <-done })
	for crowded := true; crowded; {
		select {
		case <-done:
			crowded = false
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		_, _ = a.Forward(ctx, lookup, intake.StoreUnreachable, storeUnavailable) // may be refused
		err := ctx.Err()
		cancel()
		is.NoErr(err) // but not left without a response
	}
}

// crowd opens a session with streams whose calls never end, and returns once the host has
// closed it.
func crowd(t *testing.T, address string, streams int) {
	cn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	sess, err := yamux.Client(cn, calls.SessionConfig(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Error(err)
		return
	}
	defer sess.Close()
	unfinished := append(binary.AppendUvarint(nil, 1<<20), "x"...)
	for range streams {
		st, err := sess.OpenStream()
		if err != nil {
			break
		}
		_, _ = st.Write(unfinished)
	}
	select {
	case <-sess.CloseChan():
	case <-time.After(5 * time.Second):
		t.Error("the session is still open")
	}
}
