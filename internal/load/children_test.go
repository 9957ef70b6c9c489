package load_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/host"
	"github.com/cicadawharf/cicadawharf/internal/setup"
)

type (
	// role is the configuration of a child process: an entry host or the plain
	// forwarder.
	role struct {
		Name      string   // of the entry host; empty for the plain forwarder
		Zone      string   // of the entry host
		Store     string   // address of the store of the entry host
		Seeds     []string // peer addresses of other entry hosts
		Endpoints []string // addresses that the plain forwarder sends to
	}

	// listenAddrs holds the addresses at which a child listens. They are the first
	// line that it prints, as JSON.
	listenAddrs struct{ HTTP, Peer string }

	// child is a process under test. It runs the same binary in another role.
	child struct {
		listenAddrs
		stdin  io.WriteCloser
		stdout *bufio.Scanner
	}
)

const (
	roleVariable = "CICADAWHARF_LOAD_ROLE"
	childProcs   = 2 // GOMAXPROCS of each child
)

// TestMain runs the tests, or a child process if roleVariable is set.
func TestMain(m *testing.M) {
	if text := os.Getenv(roleVariable); text != "" {
		if err := serveRole(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// serveRole runs a role until the standard input ends. For each line of the
// input, it prints the processor time used so far, in nanoseconds.
func serveRole(text string) error {
	var ro role
	if err := json.Unmarshal([]byte(text), &ro); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	la := listenAddrs{HTTP: callers.Addr().String(), Peer: peers.Addr().String()}
	if ro.Name == "" {
		go func() { _ = http.Serve(callers, newForwarder(ro.Endpoints)) }()
	} else {
		ho, err := host.New(time.Now(), host.Config{
			Settings: ro.settings(la), HTTPListener: callers, PeerListener: peers,
			Log: slog.New(slog.NewTextHandler(os.Stderr, nil)),
		})
		if err != nil {
			return err
		}
		go func() { _ = ho.Run(context.Background()) }()
	}
	if err := json.NewEncoder(os.Stdout).Encode(la); err != nil {
		return err
	}
	for sc := bufio.NewScanner(os.Stdin); sc.Scan(); {
		var ru syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
			return err
		}
		fmt.Println(ru.Utime.Nano() + ru.Stime.Nano())
	}
	return nil
}

func (ro role) settings(la listenAddrs) setup.Settings {
	return setup.Settings{
		Host:  setup.Host{Name: ro.Name, Zone: ro.Zone, Region: ro.Zone, HTTPAddress: la.HTTP, PeerAddress: la.Peer},
		Seeds: ro.Seeds,
		Store: setup.Store{Addresses: []string{ro.Store}, Timeout: 2 * time.Second},
		Log:   setup.Log{Level: "info"},
		Limits: setup.Limits{
			Requests: setup.DefaultRequests, HeaderBytes: setup.DefaultHeaderBytes, BodyBytes: setup.DefaultBodyBytes,
			ReadTimeout: setup.DefaultReadTimeout, QueueTime: setup.DefaultQueueTime,
		},
		Stop: setup.Stop{Timeout: time.Second},
	}
}

// spawn starts a child. Its log is discarded.
func spawn(tb testing.TB, ro role) *child {
	tb.Helper()
	text, err := json.Marshal(ro)
	must(tb, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+string(text), "GOMAXPROCS="+strconv.Itoa(childProcs))
	stdin, err := cmd.StdinPipe()
	must(tb, err)
	stdout, err := cmd.StdoutPipe()
	must(tb, err)
	must(tb, cmd.Start())
	ch := &child{stdin: stdin, stdout: bufio.NewScanner(stdout)}
	tb.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	ch.stdout.Scan()
	must(tb, json.Unmarshal(ch.stdout.Bytes(), &ch.listenAddrs))
	return ch
}

// cpuTime returns the processor time that the child has used so far.
func (ch *child) cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	_, err := fmt.Fprintln(ch.stdin)
	must(tb, err)
	ch.stdout.Scan()
	nanos, err := strconv.ParseInt(ch.stdout.Text(), 10, 64)
	must(tb, err)
	return time.Duration(nanos)
}

// newForwarder returns the plain forwarder that entry hosts are compared with.
// It uses the endpoints in turn and passes headers and body on, and does
// nothing else.
func newForwarder(endpoints []string) http.Handler {
	var turn atomic.Uint64
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq := r.Clone(r.Context())
		rq.URL.Scheme = "http"
		rq.URL.Host = endpoints[turn.Add(1)%uint64(len(endpoints))]
		rq.RequestURI = ""
		rp, err := transport.RoundTrip(rq)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer rp.Body.Close()
		for key, values := range rp.Header {
			w.Header()[key] = values
		}
		w.WriteHeader(rp.StatusCode)
		_, _ = io.Copy(w, rp.Body)
	})
}

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
