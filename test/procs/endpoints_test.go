package procs_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// callRecord is one request and the response that its caller received.
	callRecord struct {
		path       string // unique to the request
		repeatable bool
		code       codes.Code // zero if there was none
		endpoint   string     // that responded; empty if none did
		err        error
	}

	// mixedLoad is a group of callers that send repeatable and other requests
	// in sequence, some of them slow.
	mixedLoad struct {
		stop  chan struct{}
		group sync.WaitGroup
		mu    sync.Mutex
		all   []callRecord
	}

	// loggedAttempt is an attempt as logged by an entry host.
	loggedAttempt struct {
		endpoint string
		began    time.Time
	}
)

const (
	mixCallers    = 3 // at each host
	mixPause      = 30 * time.Millisecond
	mixDelay      = 150 * time.Millisecond // of every second pair of requests
	mixSpan       = 4 * time.Second        // for which the load continues after a fault
	leaveBound    = 3 * time.Second        // time after which no host may send new requests to a draining endpoint
	spareEndpoint = "endpoint-spare"
	// maxSlow is how many slow requests of startSlowRequests are in progress at a
	// time: half of the slots that are left without the spare endpoint, so that
	// no request waits in the queue for longer than limits.queueTime.
	maxSlow = 8 * endpointsPerZone / 2
)

func startMixedLoad(t *testing.T, ehs []*entryHost) *mixedLoad {
	mx := &mixedLoad{stop: make(chan struct{})}
	for at, eh := range ehs {
		for i := range mixCallers {
			mx.group.Go(func() { mx.call(eh, fmt.Sprintf("/mix/%d/%d", at, i)) })
		}
	}
	t.Cleanup(func() { mx.end() })
	return mx
}

// call makes requests at a host until the load ends.
func (mx *mixedLoad) call(eh *entryHost, base string) {
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
		cr := eh.record(fmt.Sprintf("%s/%d", base, i), i%2 == 0, delay)
		mx.mu.Lock()
		mx.all = append(mx.all, cr)
		mx.mu.Unlock()
	}
}

// end stops the callers and returns the records of all requests.
func (mx *mixedLoad) end() []callRecord {
	select {
	case <-mx.stop:
	default:
		close(mx.stop)
	}
	mx.group.Wait()
	return mx.all
}

// record makes a request and returns the record of its response.
func (eh *entryHost) record(path string, repeatable bool, delay time.Duration) callRecord {
	cr := callRecord{path: path, repeatable: repeatable}
	op := client.CallOptions{Repeatable: &repeatable, Header: http.Header{epsim.HeaderDelay: {delay.String()}}}
	an, err := eh.call(path, op)
	cr.code, cr.endpoint, cr.err = an.Code, an.Header.Get(epsim.HeaderEndpoint), err
	var ce *codes.Error
	if errors.As(err, &ce) {
		cr.code = ce.Code
	}
	return cr
}

// check compares the response to a caller with the runs of its request. The runs
// at the endpoint lost are unknown; lost is empty if all runs are known.
func (cr callRecord) check(rns []epsim.Run, lost string) error {
	count := len(rns)
	if cr.endpoint != "" && cr.endpoint == lost {
		count++
	}
	switch {
	case cr.code == 0:
		return fmt.Errorf("no result code: %w", cr.err)
	case cr.repeatable && cr.code != codes.RequestDone:
		return fmt.Errorf("repeatable request ended with %v", cr.code)
	case !cr.repeatable && count > 1:
		return fmt.Errorf("caller got %v, request ran %d times", cr.code, count)
	case cr.code.Class() == codes.NotRun && count != 0:
		return fmt.Errorf("caller got %v, request ran %d times", cr.code, count)
	case cr.code.Class() == codes.Done && count == 0:
		return fmt.Errorf("caller got %v, request did not run", cr.code)
	case cr.code.Class() == codes.Unknown && lost != "" && count != 0:
		return fmt.Errorf("caller got %v, request ran at an endpoint that was not lost", cr.code)
	case cr.code.Class() == codes.Failed:
		return fmt.Errorf("caller got %v", cr.code)
	}
	return nil
}

// checkRecords compares the responses to all callers with all recorded runs.
func checkRecords(t *testing.T, sy *system, all []callRecord, lost string) {
	t.Helper()
	byPath := map[string][]epsim.Run{}
	for _, rn := range sy.requestRuns(t) {
		byPath[rn.Path] = append(byPath[rn.Path], rn)
	}
	byClass := map[codes.Class]int{}
	for _, cr := range all {
		byClass[cr.code.Class()]++
		if err := cr.check(byPath[cr.path], lost); err != nil {
			t.Errorf("%s: %v", cr.path, err)
		}
		delete(byPath, cr.path)
	}
	for path, rns := range byPath {
		t.Errorf("%s ran %d times, but no caller requested it", path, len(rns))
	}
	t.Logf("%d requests, by class %v", len(all), byClass)
}

// slots returns the number of slots of the service that a host is assigned.
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
	return 0, errors.New("slots metric not found")
}

// addEndpoint starts another endpoint in lima and waits until its slots are
// assigned to hosts. Its address isn't added to the system's endpoints.
func (sy *system) addEndpoint(t *testing.T) (pr *process, address string) {
	t.Helper()
	address = freeAddress(t)
	pr = spawn(t, sy.dir, spareEndpoint, "standin", "endpoint", "--listen", address, "--store", sy.store,
		"--name", spareEndpoint, "--zone", lima, "--service", orders)
	eventually(t, "the slots of the new endpoint are assigned", func() error {
		sum := 0
		for _, eh := range sy.hostsIn(lima) {
			count, err := eh.slots()
			if err != nil {
				return err
			}
			sum += count
		}
		if sum != 8*(endpointsPerZone+1) {
			return fmt.Errorf("%d slots are assigned", sum)
		}
		return nil
	})
	return pr, address
}

// awaitRequests waits until an endpoint has run at least five requests.
func awaitRequests(t *testing.T, address string) {
	t.Helper()
	eventually(t, "the endpoint receives requests", func() error {
		if rns := fetch[epsim.Run](t, []string{address}, epsim.RunsPath); len(rns) < 5 {
			return fmt.Errorf("%d runs", len(rns))
		}
		return nil
	})
}

// startSlowRequests makes slow requests, repeatable and not, at most maxSlow at a
// time, until an endpoint is processing one of each kind. It returns the pending
// results and the paths in progress there.
func startSlowRequests(t *testing.T, ehs []*entryHost, address string) (all []<-chan result[callRecord], paths map[string]bool) {
	t.Helper()
	var inProgress atomic.Int64
	send := func(eh *entryHost, path string, repeatable bool) {
		inProgress.Add(1)
		all = append(all, background(func() (callRecord, error) {
			defer inProgress.Add(-1)
			return eh.record(path, repeatable, slowDelay), nil
		}))
	}
	eventually(t, "the endpoint is processing requests of both kinds", func() error {
		if inProgress.Load()+2 <= maxSlow {
			eh := ehs[len(all)/2%len(ehs)]
			send(eh, fmt.Sprintf("/held/true/%d", len(all)), true)
			send(eh, fmt.Sprintf("/held/false/%d", len(all)), false)
		}
		paths = map[string]bool{}
		kinds := map[string]bool{}
		for _, rn := range fetch[epsim.Run](t, []string{address}, epsim.RunsPath) {
			if strings.HasPrefix(rn.Path, "/held/") && time.Since(rn.Started) < slowDelay/2 {
				paths[rn.Path] = true
				kinds[strings.Split(rn.Path, "/")[2]] = true
			}
		}
		if len(kinds) != 2 {
			return fmt.Errorf("requests in progress: %v", paths)
		}
		return nil
	})
	return all, paths
}

// receiveAll waits for the results of background requests.
func receiveAll(t *testing.T, sent []<-chan result[callRecord]) []callRecord {
	t.Helper()
	var all []callRecord
	for _, done := range sent {
		cr, _ := receive(t, "slow request", done)
		all = append(all, cr)
	}
	return all
}

// attempts returns the attempts in a host's log.
func (eh *entryHost) attempts(t *testing.T) []loggedAttempt {
	t.Helper()
	var found []loggedAttempt
	for line := range strings.Lines(string(eh.readLog())) {
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
		found = append(found, loggedAttempt{endpoint: fields["endpoint"], began: at.Add(-took)})
	}
	return found
}

// TestEndpointLeaves checks that every request succeeds while an endpoint leaves:
// those in progress at it are completed, and after leaveBound it gets no others.
func TestEndpointLeaves(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	const name = "endpoint-" + lima + "-1"
	address := sy.endpoints[0]
	mx := startMixedLoad(t, sy.hostsIn(lima))
	var slow []<-chan result[callRecord]
	for i := range 6 {
		eh := sy.hostsIn(lima)[i%hostsPerZone]
		slow = append(slow, background(func() (callRecord, error) { return eh.record(fmt.Sprintf("/slow/%d", i), false, slowDelay), nil }))
	}
	eventually(t, "slow requests run at the endpoint", func() error {
		for _, rn := range fetch[epsim.Run](t, []string{address}, epsim.RunsPath) {
			if strings.HasPrefix(rn.Path, "/slow/") {
				return nil
			}
		}
		return errors.New("no slow request runs")
	})
	rs, err := http.Post("http://"+address+epsim.DrainPath, "", nil)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	is.Equal(rs.StatusCode, http.StatusNoContent)
	leftAt := time.Now()
	time.Sleep(leaveBound + mixSpan)

	all := mx.end()
	all = append(all, receiveAll(t, slow)...)
	for _, cr := range all {
		if cr.code != codes.RequestDone {
			t.Errorf("%s: %v", cr.path, cr.err)
		}
	}
	checkRecords(t, sy, all, "")
	for _, eh := range sy.hostsIn(lima) {
		later := 0
		for _, at := range eh.attempts(t) {
			if at.began.Before(leftAt.Add(leaveBound)) {
				continue
			}
			later++
			if at.endpoint == name {
				t.Errorf("%s sent a request %v after the endpoint began to leave", eh.host, at.began.Sub(leftAt))
			}
		}
		is.True(later > 0)
	}
}

// TestEndpointKilled checks that no request runs twice unless it is repeatable, and
// that every repeatable one succeeds. The callers of the other requests in progress
// at a killed endpoint must learn that the outcome is unknown.
func TestEndpointKilled(t *testing.T) {
	sy := start(t)
	pr, address := sy.addEndpoint(t)
	mx := startMixedLoad(t, sy.hostsIn(lima))
	awaitRequests(t, address)
	sent, paths := startSlowRequests(t, sy.hostsIn(lima), address)
	pr.kill()
	time.Sleep(mixSpan)
	all := append(mx.end(), receiveAll(t, sent)...)
	checkRecords(t, sy, all, spareEndpoint)
	for _, cr := range all {
		if paths[cr.path] && !cr.repeatable && cr.code.Class() != codes.Unknown {
			t.Errorf("%s was in progress at the killed endpoint, but its caller got %v", cr.path, cr.code)
		}
	}
}

// TestEndpointFrozen checks that the responses to callers agree with what ran at an
// endpoint that was suspended, and that it gets requests again after it resumes.
func TestEndpointFrozen(t *testing.T) {
	sy := start(t)
	pr, address := sy.addEndpoint(t)
	mx := startMixedLoad(t, sy.hostsIn(lima))
	awaitRequests(t, address)
	sent, _ := startSlowRequests(t, sy.hostsIn(lima), address)
	pr.freeze(t)
	time.Sleep(mixSpan)
	pr.signal(t, syscall.SIGCONT)
	all := append(mx.end(), receiveAll(t, sent)...)
	sy.endpoints = append(sy.endpoints, address)
	count := -1 // the requests that waited in its sockets run now
	eventually(t, "the endpoint has run the requests that waited", func() error {
		last := count
		count = len(sy.requestRuns(t))
		if last != count {
			time.Sleep(time.Second)
			return fmt.Errorf("%d runs", count)
		}
		return nil
	})
	checkRecords(t, sy, all, "")
	eventually(t, "the endpoint gets requests again", func() error {
		before := len(fetch[epsim.Run](t, []string{address}, epsim.RunsPath))
		for i := range 2 * 8 {
			_, err := sy.hostsIn(lima)[i%hostsPerZone].call("/again", client.CallOptions{})
			if err != nil {
				return err
			}
		}
		if len(fetch[epsim.Run](t, []string{address}, epsim.RunsPath)) == before {
			return errors.New("no new request ran")
		}
		return nil
	})
}

// awaitReachable waits until one host reports the given reachability of another.
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
