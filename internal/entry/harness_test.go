package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// testHost is an entry host with simulated endpoints.
type testHost struct {
	url       string
	server    *entry.Server
	account   *report.Account
	endpoints []*epsim.Server
	claims    *fakeClaims
	log       *logCapture
	stop      context.CancelFunc
	stopped   chan error
}

// fakeClaims stores claims in memory.
type fakeClaims struct {
	mu   sync.Mutex
	held map[string]entry.Claim
	err  error
}

// logCapture collects log lines.
type logCapture struct {
	mu   sync.Mutex
	text strings.Builder
}

func declarations() *spec.Declarations {
	use := []spec.ServiceUse{{Name: "orders", Slots: 2}}
	return &spec.Declarations{
		Zones: []spec.Zone{{Name: "lima", Region: "peru"}, {Name: "cusco", Region: "peru"}, {Name: "talca", Region: "chile"}},
		Workspaces: []spec.Workspace{
			{Name: "parish", Weight: 1, Services: use},
			{Name: "hotels", Weight: 1, Services: use},
			{Name: "idle", Weight: 1},
		},
		Services: []spec.Service{{
			Name: "orders", Slots: 8, Connections: 60, Repeatable: true, Spill: spec.SpillAny,
			Timeout: 10 * time.Second, MaxBody: 1 << 20,
		}},
	}
}

// newTestHost starts an entry host with a number of endpoints. change, if not
// nil, may modify its configuration and declarations.
func newTestHost(t *testing.T, endpoints int, change func(*entry.Config, *spec.Declarations)) *testHost {
	t.Helper()
	th := &testHost{
		account: report.NewAccount(report.AccountConfig{Host: "lima-a", Zone: "lima"}),
		claims:  &fakeClaims{held: make(map[string]entry.Claim)},
		log:     &logCapture{},
		stopped: make(chan error, 1),
	}
	var listed []plat.Host
	for i := range endpoints {
		ep := startEndpoint(t, fmt.Sprintf("ep-%d", i))
		th.endpoints = append(th.endpoints, ep)
		listed = append(listed, plat.Host{Name: ep.Name(), Kind: plat.KindEndpoint, Address: ep.Addr(), State: plat.StateLive, Service: "orders"})
	}
	de := declarations()
	ln := listen(t)
	cfg := entry.Config{
		Host: "lima-a", Zone: "lima", Region: "peru", Listener: ln,
		Limits: setup.Limits{
			Requests: 1000, HeaderBytes: 16 << 10, BodyBytes: 4 << 20,
			ReadTimeout: 2 * time.Second, QueueTime: 2 * time.Second,
		},
		Stop:         setup.Stop{Delay: 50 * time.Millisecond, Timeout: 10 * time.Second},
		Declarations: func() (*spec.Declarations, int64) { return de, 1 },
		Endpoints:    func() []plat.Host { return listed },
		Members:      func(time.Time) []peers.Member { return nil },
		Jobs:         newFakeJobs(),
		Claims:       th.claims,
		Account:      th.account,
		Log:          slog.New(slog.NewTextHandler(th.log, nil)),
		Seed:         1,
	}
	if change != nil {
		change(&cfg, de)
	}
	th.server = entry.New(cfg)
	th.url = "http://" + ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	th.stop = cancel
	go func() { th.stopped <- th.server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-th.stopped
	})
	return th
}

func startEndpoint(t *testing.T, name string) *epsim.Server {
	t.Helper()
	ep, err := epsim.New(epsim.Config{Name: name, Service: "orders", Listen: "127.0.0.1:0", Slots: 8, Connections: 60})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = ep.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		ep.Close()
		<-done
	})
	return ep
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// response is the response as seen by the caller.
type response struct {
	status  int
	code    codes.Code
	class   string
	request string
	header  http.Header
	body    string
	err     error // of reading the body
}

// call sends a request for the workspace parish. headers are pairs of name and
// value.
func (th *testHost) call(method, path, body string, headers ...string) (response, error) {
	var rd io.Reader
	if body != "" {
		rd = strings.NewReader(body)
	}
	rq, err := http.NewRequest(method, th.url+path, rd)
	if err != nil {
		return response{}, err
	}
	rq.Header.Set(client.HeaderWorkspace, "parish")
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Add(headers[i], headers[i+1])
	}
	tr := &http.Transport{DisableKeepAlives: true}
	rs, err := tr.RoundTrip(rq)
	if err != nil {
		return response{}, err
	}
	defer rs.Body.Close()
	content, err := io.ReadAll(rs.Body)
	number, _ := strconv.Atoi(rs.Header.Get(client.HeaderCode))
	return response{
		status: rs.StatusCode, code: codes.Code(number), class: rs.Header.Get(client.HeaderClass),
		request: rs.Header.Get(client.HeaderRequest), header: rs.Header, body: string(content), err: err,
	}, nil
}

// order sends a request to the service orders.
func (th *testHost) order(headers ...string) (response, error) {
	return th.call(http.MethodPost, "/v1/services/orders/buy", "crates=1", headers...)
}

// runs returns how often each request ran, summed over all endpoints.
func (th *testHost) runs() map[string]int {
	counts := make(map[string]int)
	for _, ep := range th.endpoints {
		for _, rn := range ep.Runs() {
			counts[rn.Request]++
		}
	}
	return counts
}

// checkAccount compares the account with want, the number of requests that ended
// with each code.
func (th *testHost) checkAccount(is *is.I, want map[codes.Code]int) {
	is.Helper()
	counted := make(map[codes.Code]int)
	offered := 0
	for _, row := range th.account.Snapshot(time.Now()).GetRows() {
		offered += int(row.GetOffered())
		for cd, n := range row.GetEnded() {
			counted[codes.Code(cd)] += int(n)
		}
	}
	total := 0
	for cd, n := range want {
		total += n
		is.Equal(counted[cd], n) // account of this code
	}
	is.Equal(offered, total)
	is.Equal(th.account.RejectedEnds(), int64(0))
}

// eventually waits for a condition and fails the test after 10 s.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func (fc *fakeClaims) Acquire(_ context.Context, cl entry.Claim) (*entry.Claim, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.err != nil {
		return nil, fc.err
	}
	prior, ok := fc.held[cl.Workspace+"/"+cl.Key]
	if ok && (prior.Code == 0 || prior.Code.Class() != codes.NotRun) {
		return &prior, nil
	}
	fc.held[cl.Workspace+"/"+cl.Key] = cl
	return nil, nil
}

func (fc *fakeClaims) SetOutcome(_ context.Context, cl entry.Claim) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.held[cl.Workspace+"/"+cl.Key] = cl
	return nil
}

func (lc *logCapture) Write(p []byte) (int, error) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.text.Write(p)
}

// lines returns the log lines that contain part.
func (lc *logCapture) lines(part string) []string {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	var found []string
	for line := range strings.Lines(lc.text.String()) {
		if strings.Contains(line, part) {
			found = append(found, line)
		}
	}
	return found
}

// fakeJobs is a jobs.Scheduler that stores jobs in memory and never starts them.
type fakeJobs struct {
	mu      sync.Mutex
	records map[string]jobs.Record
}

func newFakeJobs() *fakeJobs { return &fakeJobs{records: make(map[string]jobs.Record)} }

func (fj *fakeJobs) Submit(_ context.Context, sp jobs.Spec) (jobs.Record, error) {
	fj.mu.Lock()
	defer fj.mu.Unlock()
	rc, ok := fj.records[sp.ID]
	if !ok {
		rc = jobs.Record{Spec: sp, Submitted: time.Now()}.WithState(jobs.Queued)
		fj.records[sp.ID] = rc
	}
	return rc, nil
}

func (fj *fakeJobs) Get(ctx context.Context, id string, wait time.Duration) (jobs.Record, error) {
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return jobs.Record{}, ctx.Err()
		}
	}
	fj.mu.Lock()
	defer fj.mu.Unlock()
	rc, ok := fj.records[id]
	if !ok {
		return rc, codes.New(codes.JobNotFound, "job %q", id)
	}
	return rc, nil
}

func (fj *fakeJobs) List(_ context.Context, fi jobs.Filter) ([]jobs.Record, error) {
	fj.mu.Lock()
	defer fj.mu.Unlock()
	var rcs []jobs.Record
	for _, rc := range fj.records {
		if (fi.Workspace == "" || fi.Workspace == rc.Workspace) && (!fi.Active || rc.Active()) {
			rcs = append(rcs, rc)
		}
	}
	return rcs, nil
}

func (fj *fakeJobs) Cancel(_ context.Context, id string) (jobs.Record, error) {
	fj.mu.Lock()
	defer fj.mu.Unlock()
	rc, ok := fj.records[id]
	if !ok {
		return rc, codes.New(codes.JobNotFound, "job %q", id)
	}
	rc = rc.WithCancelled().WithEnd(time.Now(), codes.CancelledUnstarted, "")
	fj.records[id] = rc
	return rc, nil
}
