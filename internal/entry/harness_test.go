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

// bench is an entry host with endpoint stand-ins.
type bench struct {
	url       string
	server    *entry.Server
	account   *report.Account
	endpoints []*epsim.Server
	claims    *claims
	log       *logLines
	stop      context.CancelFunc
	stopped   chan error
}

// claims is a table of claims in memory.
type claims struct {
	mu   sync.Mutex
	held map[string]entry.Claim
	err  error
}

// logLines collects the log.
type logLines struct {
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

// newBench starts an entry host with endpoints. change may adapt its
// configuration.
func newBench(t *testing.T, endpoints int, change func(*entry.Config, *spec.Declarations)) *bench {
	t.Helper()
	be := &bench{
		account: report.NewAccount(report.AccountConfig{Host: "lima-a", Zone: "lima"}),
		claims:  &claims{held: make(map[string]entry.Claim)},
		log:     &logLines{},
		stopped: make(chan error, 1),
	}
	var hosts []plat.Host
	for i := range endpoints {
		ep := startEndpoint(t, fmt.Sprintf("ep-%d", i))
		be.endpoints = append(be.endpoints, ep)
		hosts = append(hosts, plat.Host{Name: ep.Name(), Kind: plat.KindEndpoint, Address: ep.Addr(), State: plat.StateLive, Service: "orders"})
	}
	de := declarations()
	ln := listen(t)
	cfg := entry.Config{
		Host: "lima-a", Zone: "lima", Region: "peru", Listener: ln,
		Limits: setup.Limits{
			Requests: 1000, HeaderBytes: 16 << 10, BodyBytes: 4 << 20,
			ReadTimeout: 2 * time.Second, QueueTime: 2 * time.Second,
		},
		Stop:         setup.Stop{Delay: 50 * time.Millisecond, Bound: 10 * time.Second},
		Declarations: func() (*spec.Declarations, int64) { return de, 1 },
		Endpoints:    func() []plat.Host { return hosts },
		Members:      func(time.Time) []peers.Member { return nil },
		Jobs:         newJobBook(),
		Claims:       be.claims,
		Account:      be.account,
		Log:          slog.New(slog.NewTextHandler(be.log, nil)),
		Seed:         1,
	}
	if change != nil {
		change(&cfg, de)
	}
	be.server = entry.New(cfg)
	be.url = "http://" + ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	be.stop = cancel
	go func() { be.stopped <- be.server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-be.stopped
	})
	return be
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

// answer is what a caller was told.
type answer struct {
	status  int
	code    codes.Code
	class   string
	request string
	header  http.Header
	body    string
	err     error // of reading the body
}

// call sends a request; headers come in pairs.
func (be *bench) call(method, path, body string, headers ...string) (answer, error) {
	var rd io.Reader
	if body != "" {
		rd = strings.NewReader(body)
	}
	rq, err := http.NewRequest(method, be.url+path, rd)
	if err != nil {
		return answer{}, err
	}
	rq.Header.Set(client.HeaderWorkspace, "parish")
	for i := 0; i < len(headers); i += 2 {
		rq.Header.Add(headers[i], headers[i+1])
	}
	tr := &http.Transport{DisableKeepAlives: true}
	rs, err := tr.RoundTrip(rq)
	if err != nil {
		return answer{}, err
	}
	defer rs.Body.Close()
	content, err := io.ReadAll(rs.Body)
	number, _ := strconv.Atoi(rs.Header.Get(client.HeaderCode))
	return answer{
		status: rs.StatusCode, code: codes.Code(number), class: rs.Header.Get(client.HeaderClass),
		request: rs.Header.Get(client.HeaderRequest), header: rs.Header, body: string(content), err: err,
	}, nil
}

// order calls the service.
func (be *bench) order(headers ...string) (answer, error) {
	return be.call(http.MethodPost, "/v1/services/orders/buy", "crates=1", headers...)
}

// runs returns how often each request ran, over all endpoints.
func (be *bench) runs() map[string]int {
	counts := make(map[string]int)
	for _, ep := range be.endpoints {
		for _, rn := range ep.Runs() {
			counts[rn.Request]++
		}
	}
	return counts
}

// checkAccount compares the account with what callers were told.
func (be *bench) checkAccount(is *is.I, told map[codes.Code]int) {
	is.Helper()
	counted := make(map[codes.Code]int)
	offered := 0
	for _, row := range be.account.Snapshot(time.Now()).GetRows() {
		offered += int(row.GetOffered())
		for cd, n := range row.GetEnded() {
			counted[codes.Code(cd)] += int(n)
		}
	}
	total := 0
	for cd, n := range told {
		total += n
		is.Equal(counted[cd], n) // account of this code
	}
	is.Equal(offered, total)
	is.Equal(be.account.Faults(), int64(0))
}

// eventually waits for a condition that comes true by itself.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func (cs *claims) Take(_ context.Context, cl entry.Claim) (*entry.Claim, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.err != nil {
		return nil, cs.err
	}
	prior, ok := cs.held[cl.Workspace+"/"+cl.Key]
	if ok && (prior.Code == 0 || prior.Code.Class() != codes.NotRun) {
		return &prior, nil
	}
	cs.held[cl.Workspace+"/"+cl.Key] = cl
	return nil, nil
}

func (cs *claims) Settle(_ context.Context, cl entry.Claim) error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.held[cl.Workspace+"/"+cl.Key] = cl
	return nil
}

func (ll *logLines) Write(p []byte) (int, error) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	return ll.text.Write(p)
}

func (ll *logLines) lines(part string) []string {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	var found []string
	for line := range strings.Lines(ll.text.String()) {
		if strings.Contains(line, part) {
			found = append(found, line)
		}
	}
	return found
}

// jobBook is a jobs.Service in memory that starts nothing.
type jobBook struct {
	mu      sync.Mutex
	records map[string]jobs.Record
}

func newJobBook() *jobBook { return &jobBook{records: make(map[string]jobs.Record)} }

func (jb *jobBook) Submit(_ context.Context, sp jobs.Spec) (jobs.Record, error) {
	jb.mu.Lock()
	defer jb.mu.Unlock()
	rc, ok := jb.records[sp.ID]
	if !ok {
		rc = jobs.Record{Spec: sp, Submitted: time.Now()}.WithState(jobs.Queued)
		jb.records[sp.ID] = rc
	}
	return rc, nil
}

func (jb *jobBook) Get(ctx context.Context, id string, wait time.Duration) (jobs.Record, error) {
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return jobs.Record{}, ctx.Err()
		}
	}
	jb.mu.Lock()
	defer jb.mu.Unlock()
	rc, ok := jb.records[id]
	if !ok {
		return rc, codes.New(codes.JobNotFound, "job %q", id)
	}
	return rc, nil
}

func (jb *jobBook) List(_ context.Context, fi jobs.Filter) ([]jobs.Record, error) {
	jb.mu.Lock()
	defer jb.mu.Unlock()
	var rcs []jobs.Record
	for _, rc := range jb.records {
		if (fi.Workspace == "" || fi.Workspace == rc.Workspace) && (!fi.Active || rc.Active()) {
			rcs = append(rcs, rc)
		}
	}
	return rcs, nil
}

func (jb *jobBook) Cancel(_ context.Context, id string) (jobs.Record, error) {
	jb.mu.Lock()
	defer jb.mu.Unlock()
	rc, ok := jb.records[id]
	if !ok {
		return rc, codes.New(codes.JobNotFound, "job %q", id)
	}
	rc = rc.WithCancelled().WithEnd(time.Now(), codes.CancelledUnstarted, "")
	jb.records[id] = rc
	return rc, nil
}
