package procs_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// asked is one request with what its caller was told.
	asked struct {
		path       string // its own
		repeatable bool
		code       codes.Code // zero if none was given
		endpoint   string     // that answered
		err        error
	}

	// mix is callers at some hosts who make requests of both kinds, one after
	// another, some of them slow.
	mix struct {
		stop  chan struct{}
		group sync.WaitGroup
		mu    sync.Mutex
		all   []asked
	}

	// routed is one attempt as the log of an entry host tells it.
	routed struct {
		endpoint string
		began    time.Time
	}
)

const (
	mixCallers = 3 // at each host
	mixPause   = 30 * time.Millisecond
	mixDelay   = 150 * time.Millisecond // of every second pair of requests
	mixSpan    = 4 * time.Second        // after a fault
	leaveBound = 3 * time.Second        // until nobody sends new work
	spare      = "endpoint-spare"
)

func startMix(t *testing.T, ehs []*entryHost) *mix {
	mx := &mix{stop: make(chan struct{})}
	for at, eh := range ehs {
		for i := range mixCallers {
			mx.group.Go(func() { mx.call(eh, fmt.Sprintf("/mix/%d/%d", at, i)) })
		}
	}
	t.Cleanup(func() { mx.end() })
	return mx
}

func (mx *mix) call(eh *entryHost, base string) {
	for i := range maxCalls {
		select {
		case <-mx.stop:
			return
		case <-time.After(mixPause):
		}
		delay := time.Duration(0)
		if i/2%2 == 1 {
			delay = mixDelay
		}
		as := eh.ask(fmt.Sprintf("%s/%d", base, i), i%2 == 0, delay)
		mx.mu.Lock()
		mx.all = append(mx.all, as)
		mx.mu.Unlock()
	}
}

// end waits for the last answers and returns everything that was asked.
func (mx *mix) end() []asked {
	select {
	case <-mx.stop:
	default:
		close(mx.stop)
	}
	mx.group.Wait()
	return mx.all
}

// ask makes a request and notes what its caller is told.
func (eh *entryHost) ask(path string, repeatable bool, delay time.Duration) asked {
	as := asked{path: path, repeatable: repeatable}
	op := client.CallOptions{Repeatable: &repeatable, Header: http.Header{epsim.HeaderDelay: {delay.String()}}}
	an, err := eh.order(path, op)
	as.code, as.endpoint, as.err = an.Code, an.Header.Get(epsim.HeaderEndpoint), err
	var ce *codes.Error
	if errors.As(err, &ce) {
		as.code = ce.Code
	}
	return as
}

// check compares what a caller was told with the runs of its request. Those of
// the endpoint lost are not known; empty if all are.
func (as asked) check(rns []epsim.Run, lost string) error {
	count := len(rns)
	if as.endpoint != "" && as.endpoint == lost {
		count++
	}
	switch {
	case as.code == 0:
		return fmt.Errorf("no result code: %w", as.err)
	case as.repeatable && as.code != codes.RequestDone:
		return fmt.Errorf("repeatable request told %v", as.code)
	case !as.repeatable && count > 1:
		return fmt.Errorf("told %v, ran %d times", as.code, count)
	case as.code.Class() == codes.NotRun && count != 0:
		return fmt.Errorf("told %v, ran %d times", as.code, count)
	case as.code.Class() == codes.Done && count == 0:
		return fmt.Errorf("told %v, did not run", as.code)
	case as.code.Class() == codes.Unknown && lost != "" && count != 0:
		return fmt.Errorf("told %v, ran at an endpoint that is well", as.code)
	case as.code.Class() == codes.Failed:
		return fmt.Errorf("told %v", as.code)
	}
	return nil
}

// checkAsked compares all that callers were told with all that ran.
func checkAsked(t *testing.T, sy *system, all []asked, lost string) {
	t.Helper()
	byPath := map[string][]epsim.Run{}
	for _, rn := range sy.requestRuns(t) {
		byPath[rn.Path] = append(byPath[rn.Path], rn)
	}
	told := map[codes.Class]int{}
	for _, as := range all {
		told[as.code.Class()]++
		if err := as.check(byPath[as.path], lost); err != nil {
			t.Errorf("%s: %v", as.path, err)
		}
		delete(byPath, as.path)
	}
	for path, rns := range byPath {
		t.Errorf("%s ran %d times, and nobody asked for it", path, len(rns))
	}
	t.Logf("%d requests, told %v", len(all), told)
}

// slots returns how many slots of the service a host has for itself.
func (eh *entryHost) slots() (int, error) {
	metrics, err := get(eh.http, "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(metrics)) {
		if number, ok := strings.CutPrefix(line, `cicadawharf_slots{service="orders"} `); ok {
			return strconv.Atoi(strings.TrimSpace(number))
		}
	}
	return 0, errors.New("no line of slots")
}

// addEndpoint starts one more endpoint of lima and waits until its slots are
// shared out. Its address is not among those of the system.
func (sy *system) addEndpoint(t *testing.T) (pr *process, address string) {
	t.Helper()
	address = freeAddress(t)
	pr = spawn(t, sy.dir, spare, "standin", "endpoint", "--listen", address, "--store", sy.store,
		"--name", spare, "--zone", lima, "--service", orders)
	eventually(t, "the slots of one more endpoint are shared out", func() error {
		sum := 0
		for _, eh := range sy.of(lima) {
			count, err := eh.slots()
			if err != nil {
				return err
			}
			sum += count
		}
		if sum != 8*(endpointsPerZone+1) {
			return fmt.Errorf("%d slots", sum)
		}
		return nil
	})
	return pr, address
}

// awaitWork waits until an endpoint has run some requests.
func awaitWork(t *testing.T, address string) {
	t.Helper()
	eventually(t, "the endpoint gets work", func() error {
		if rns := fetch[epsim.Run](t, []string{address}, epsim.RunsPath); len(rns) < 5 {
			return fmt.Errorf("%d runs", len(rns))
		}
		return nil
	})
}

// held makes slow requests of both kinds until an endpoint holds one of each,
// and returns what is asked and the paths that it holds.
func held(t *testing.T, ehs []*entryHost, address string) (all []<-chan result[asked], paths map[string]bool) {
	t.Helper()
	eventually(t, "the endpoint holds requests of both kinds", func() error {
		for _, repeatable := range []bool{true, false} {
			eh := ehs[len(all)/2%len(ehs)]
			path := fmt.Sprintf("/held/%t/%d", repeatable, len(all))
			all = append(all, background(func() (asked, error) { return eh.ask(path, repeatable, slowOrder), nil }))
		}
		paths = map[string]bool{}
		kinds := map[string]bool{}
		for _, rn := range fetch[epsim.Run](t, []string{address}, epsim.RunsPath) {
			if strings.HasPrefix(rn.Path, "/held/") && time.Since(rn.Started) < slowOrder/2 {
				paths[rn.Path] = true
				kinds[strings.Split(rn.Path, "/")[2]] = true
			}
		}
		if len(kinds) != 2 {
			return fmt.Errorf("held are %v", paths)
		}
		return nil
	})
	return all, paths
}

// receiveAll waits for requests in the background.
func receiveAll(t *testing.T, sent []<-chan result[asked]) []asked {
	t.Helper()
	var all []asked
	for _, done := range sent {
		as, _ := receive(t, "slow request", done)
		all = append(all, as)
	}
	return all
}

// attempts returns the attempts of a host's log.
func (eh *entryHost) attempts(t *testing.T) []routed {
	t.Helper()
	var found []routed
	for line := range strings.Lines(string(eh.text())) {
		if !strings.Contains(line, " event=route ") {
			continue
		}
		fields := map[string]string{}
		for _, word := range strings.Fields(line) {
			name, value, _ := strings.Cut(word, "=")
			fields[name] = value
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			t.Fatal(err)
		}
		took, err := time.ParseDuration(fields["duration"])
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, routed{endpoint: fields["endpoint"], began: at.Add(-took)})
	}
	return found
}

func TestEndpointLeaves(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	const name = "endpoint-" + lima + "-1"
	address := sy.endpoints[0]
	mx := startMix(t, sy.of(lima))
	var slow []<-chan result[asked]
	for i := range 6 {
		eh := sy.of(lima)[i%hostsPerZone]
		slow = append(slow, background(func() (asked, error) { return eh.ask(fmt.Sprintf("/slow/%d", i), false, slowOrder), nil }))
	}
	eventually(t, "slow requests run at the endpoint", func() error {
		for _, rn := range fetch[epsim.Run](t, []string{address}, epsim.RunsPath) {
			if strings.HasPrefix(rn.Path, "/slow/") {
				return nil
			}
		}
		return errors.New("none")
	})
	rs, err := http.Post("http://"+address+epsim.LeavePath, "", nil)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	is.Equal(rs.StatusCode, http.StatusNoContent)
	left := time.Now()
	time.Sleep(leaveBound + mixSpan)

	all := mx.end()
	all = append(all, receiveAll(t, slow)...)
	for _, as := range all {
		if as.code != codes.RequestDone {
			t.Errorf("%s: %v", as.path, as.err)
		}
	}
	checkAsked(t, sy, all, "")
	for _, eh := range sy.of(lima) {
		later := 0
		for _, at := range eh.attempts(t) {
			if at.began.Before(left.Add(leaveBound)) {
				continue
			}
			later++
			if at.endpoint == name {
				t.Errorf("%s sent work %v after the endpoint left", eh.host, at.began.Sub(left))
			}
		}
		is.True(later > 0)
	}
}

func TestEndpointKilled(t *testing.T) {
	sy := start(t)
	pr, address := sy.addEndpoint(t)
	mx := startMix(t, sy.of(lima))
	awaitWork(t, address)
	sent, paths := held(t, sy.of(lima), address)
	pr.kill()
	time.Sleep(mixSpan)
	all := append(mx.end(), receiveAll(t, sent)...)
	checkAsked(t, sy, all, spare)
	for _, as := range all {
		if paths[as.path] && !as.repeatable && as.code.Class() != codes.Unknown {
			t.Errorf("%s was held by the endpoint and is told %v", as.path, as.code)
		}
	}
}

func TestEndpointFrozen(t *testing.T) {
	sy := start(t)
	pr, address := sy.addEndpoint(t)
	mx := startMix(t, sy.of(lima))
	awaitWork(t, address)
	sent, _ := held(t, sy.of(lima), address)
	pr.freeze(t)
	time.Sleep(mixSpan)
	pr.signal(t, syscall.SIGCONT)
	all := append(mx.end(), receiveAll(t, sent)...)
	sy.endpoints = append(sy.endpoints, address)
	count := -1 // what lay in its sockets runs now
	eventually(t, "the endpoint has caught up", func() error {
		last := count
		count = len(sy.requestRuns(t))
		if last != count {
			time.Sleep(time.Second)
			return fmt.Errorf("%d runs", count)
		}
		return nil
	})
	checkAsked(t, sy, all, "")
	eventually(t, "the endpoint gets work again", func() error {
		before := len(fetch[epsim.Run](t, []string{address}, epsim.RunsPath))
		for i := range 2 * 8 {
			_, err := sy.of(lima)[i%hostsPerZone].order("/again", client.CallOptions{})
			if err != nil {
				return err
			}
		}
		if len(fetch[epsim.Run](t, []string{address}, epsim.RunsPath)) == before {
			return errors.New("none yet")
		}
		return nil
	})
}

// awaitReachable waits until one host says whether another is reachable.
func awaitReachable(t *testing.T, eh *entryHost, name string, reachable bool) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s sees that %s is reachable: %t", eh.host, name, reachable), func() error {
		st, err := eh.client().Status(context.Background())
		if err != nil {
			return err
		}
		for _, hs := range st.Hosts {
			if hs.Name == name && hs.Reachable == reachable {
				return nil
			}
		}
		return fmt.Errorf("%+v", st.Hosts)
	})
}
