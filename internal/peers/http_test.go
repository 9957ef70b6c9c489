package peers_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

// TestHTTPBetweenHosts guards against bodies that are corrupted on the way to
// another host or that count as control traffic.
func TestHTTPBetweenHosts(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z2/b")
		sv := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			body, _ := io.ReadAll(rq.Body)
			_, _ = wr.Write(append([]byte(rq.URL.Path+" "), body...))
		})}
		served := make(chan error, 1)
		go func() { served <- sv.Serve(hs[1].HTTPListener()) }()
		tr := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			host, _, _ := net.SplitHostPort(address)
			return hs[0].DialHTTP(ctx, "z2/"+host)
		}}
		body := strings.Repeat("x", 1<<20)
		before := hs[0].ControlBytes()
		for range 3 {
			rs, err := (&http.Client{Transport: tr}).Post("http://b/price", "text/plain", strings.NewReader(body))
			is.NoErr(err)
			got, err := io.ReadAll(rs.Body)
			is.NoErr(err)
			rs.Body.Close()
			is.Equal(string(got), "/price "+body)
		}
		is.True(hs[0].ControlBytes()-before < 100<<10) // bodies are not control traffic
		tr.CloseIdleConnections()
		is.NoErr(sv.Close())
		is.Equal(<-served, http.ErrServerClosed)
		var ns *peers.NotSentError
		_, err := hs[0].DialHTTP(t.Context(), "z2/none")
		is.True(errors.As(err, &ns))
		stopAll(t, hs)
	})
}

// TestHTTPToSelf guards against a host that can't open an HTTP connection to
// itself, since it has no session with itself.
func TestHTTPToSelf(t *testing.T) {
	is := is.New(t)
	ms := peers.New(peers.Config{Self: func() peers.Member { return peers.Member{Name: "a"} }})
	conn, err := ms.DialHTTP(t.Context(), "a")
	is.NoErr(err)
	far, err := ms.HTTPListener().Accept()
	is.NoErr(err)
	go func() { _, _ = conn.Write([]byte("x")) }()
	var buf [1]byte
	_, err = io.ReadFull(far, buf[:])
	is.NoErr(err)
	is.NoErr(ms.HTTPListener().Close())
	_, err = ms.HTTPListener().Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

// TestUnresponsiveHostDoesNotBlockOthers makes many calls with short deadlines
// to an unresponsive host. Calls to another host must not be delayed, and the
// unresponsive one must be called again once it responds.
func TestUnresponsiveHostDoesNotBlockOthers(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z1/b", "z1/c")
		for _, ho := range hs {
			peers.Handle(ho, peers.MethodGetJob, echo)
		}
		nw.setFrozen("z1/b", []string{"z1/a", "z1/c"}, true)
		// The deadlines differ a little, because hundreds of timers in a bubble that
		// fire at the same time can crash the race detector's runtime.
		done := make(chan error, 600)
		for i := range cap(done) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond+time.Duration(i)*100*time.Microsecond)
				defer cancel()
				done <- hs[0].Call(ctx, "z1/b", peers.MethodGetJob, &wire.GetJob{Id: "j"}, new(wire.Job))
			}()
		}
		began := time.Now()
		for range 10 {
			is.NoErr(hs[0].Call(t.Context(), "z1/c", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job)))
		}
		is.Equal(time.Since(began), time.Duration(0))
		notSent := 0
		for range cap(done) {
			err := <-done
			is.True(err != nil)
			var ns *peers.NotSentError
			if errors.As(err, &ns) {
				notSent++
			}
		}
		is.True(time.Since(began) <= 300*time.Millisecond)
		is.True(notSent > 0)           // those that waited for a call slot
		is.True(notSent < cap(done)-1) // the others have an unknown outcome
		nw.setFrozen("z1/b", []string{"z1/a", "z1/c"}, false)
		time.Sleep(3 * time.Second)
		is.NoErr(hs[0].Call(t.Context(), "z1/b", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job)))
		stopAll(t, hs)
	})
}
