//go:build linux

package crowd_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/platform/plsim"
)

// domain is one host of a scheduling domain and the simulated store.
type domain struct {
	*process
	t          *testing.T
	memory     int64 // configured, bytes
	store      *plsim.Store
	callers    string   // address
	readiness  string   // address
	metrics    string   // address
	peers      string   // address
	operators  string   // address
	submitted  int      // number of ordinary jobs
	accepted   []string // IDs of jobs
	notStored  []string // IDs of jobs that were refused or never submitted completely
	statuses   map[int]int
	restMemory int64
	calmMemory int64 // under a mild load
	after      int64 // memory after the crowd has gone
}

var settleTime = flag.Duration("crowd.settle", time.Second, "time between the end of a crowd and the reading of the memory")

const (
	crowdMemory = 96 // MiB, of a host that faces a few hundred clients
	mildLoad    = 50 // ordinary requests before a crowd

	legalBody    = 262144 // bytes, the limit of the configuration
	queueHost    = "crowd.example"
	queuePrefix  = "/jobs/"
	ordinaryKey  = "key-1"
	crowdKey     = "key-2"
	keyLine      = "Authorization: Bearer " + crowdKey
	callTimeout  = 20 * time.Second
	retryDelay   = 200 * time.Millisecond
	ordinaryJob  = `{"spec":"ordinary","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}]}`
	ordinaryBase = 1 << 32 // first job ID of ordinary requests; those of crowds are below

	domainSettings = `host:
  name: h1
  zone: z1
  region: r1
  callersAddress: %s
  readinessAddress: %s
  metricsAddress: %s
  peerAddress: %s
  operatorsAddress: %s
store:
  address: %s
memoryMegabytes: %d
timing: {stopGrace: 2s, revoke: 5s, evacuate: 5s}
`
)

// startDomain starts a host with the given memory and waits until it has accepted
// a mild load of ordinary jobs.
func startDomain(t *testing.T, megabytes int) *domain {
	t.Helper()
	do := &domain{
		t: t, memory: int64(megabytes) * mebibyte, store: plsim.New(1), statuses: map[int]int{},
		callers: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t), operators: freeAddress(t),
	}
	do.store.Put("op/config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "q", "host": queueHost, "prefix": queuePrefix, "service": "s", "priority": 1, "max_attempts": 3}},
		"services": []map[string]any{{"name": "s"}},
		"limits":   map[string]any{"max_body_bytes": legalBody},
		"tenants": []map[string]any{
			{"name": "t1", "api_keys": []string{ordinaryKey}},
			{"name": "t2", "api_keys": []string{crowdKey}},
		},
	})
	sv := httptest.NewServer(do.store)
	t.Cleanup(sv.CloseClientConnections)
	go do.store.Run(t.Context())
	dir := t.TempDir()
	content := fmt.Sprintf(domainSettings, do.callers, do.readiness, do.metrics, do.peers, do.operators, sv.Listener.Addr(), megabytes)
	do.process = spawn(t, dir, "host", "domain", writeFile(t, dir, "settings.yaml", content))
	eventually(t, "the host is ready", func() error { return getOK("http://" + do.readiness + "/ready") })
	do.restMemory = do.process.memory(peakMemory)
	for range mildLoad {
		do.submit("in calm")
	}
	do.calmMemory = do.process.memory(peakMemory)
	t.Cleanup(func() {
		do.logUse(t, do.restMemory, do.calmMemory, do.memory, do.after)
		t.Logf("statuses of jobs: %v", do.statuses)
	})
	return do
}

// newClient returns a client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// getOK returns an error unless a GET request gets status 200.
func getOK(url string) error {
	rs, err := newClient().Get(url)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, rs.Status)
	}
	return nil
}

// answer makes an ordinary request and a check of the load balancer, which have to
// be answered.
func (do *domain) answer(when string) {
	do.t.Helper()
	do.submit(when)
	eventually(do.t, "the host is ready "+when, func() error { return getOK("http://" + do.readiness + "/ready") })
}

// submit submits an ordinary job over a new connection, and repeats this with new
// jobs while the host refuses them or doesn't answer.
func (do *domain) submit(when string) {
	do.t.Helper()
	eventually(do.t, "an ordinary job is accepted "+when, func() error {
		id := fmt.Sprintf("%016x", ordinaryBase+do.submitted)
		do.submitted++
		status, err := do.post(id, []byte(ordinaryJob))
		do.statuses[status]++
		switch {
		case err != nil:
			return err
		case status/100 == 2:
			do.accepted = append(do.accepted, id)
			return nil
		case isRefusal(status):
			do.notStored = append(do.notStored, id)
		}
		time.Sleep(retryDelay)
		return fmt.Errorf("status %d", status)
	})
}

// isRefusal reports whether a status means that a job never runs.
func isRefusal(status int) bool {
	return status/100 == 4 || status == http.StatusServiceUnavailable
}

// post submits a job over a new connection and returns the status.
func (do *domain) post(id string, body []byte) (int, error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+do.callers+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	rq.Host = queueHost
	rq.Header.Set("Authorization", "Bearer "+ordinaryKey)
	rq.Header.Set("Cicadawharf-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	rs, err := newClient().Do(rq)
	if err != nil {
		return 0, err
	}
	defer rs.Body.Close()
	_, _ = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode, nil
}

// face opens crowds that never submit a valid job completely and faces them.
func (do *domain) face(crowds ...crowd) {
	do.t.Helper()
	var all []*member
	for _, cr := range crowds {
		all = append(all, cr.open(do.t)...)
		for i := range cr.count {
			do.notStored = append(do.notStored, jobID(i))
		}
	}
	do.faceOpen(all)
}

// faceOpen makes an ordinary request while a crowd is open and another one after
// it has gone, and checks what must hold.
func (do *domain) faceOpen(all []*member) {
	do.t.Helper()
	do.answer("while the crowd is open")
	leave(all)
	do.check()
}

// faceWhole is face for a crowd of requests that are complete. Only those of its
// jobs that are accepted may be stored.
func (do *domain) faceWhole(cr crowd) {
	do.t.Helper()
	all := cr.open(do.t)
	do.answer("while the crowd is open")
	for _, me := range all {
		status, id := me.status(), jobID(me.index)
		do.statuses[status]++
		switch {
		case status/100 == 2:
			do.accepted = append(do.accepted, id)
		case isRefusal(status):
			do.notStored = append(do.notStored, id)
		}
	}
	leave(all)
	do.check()
}

// check makes the last ordinary request, and checks the process, its limits and
// the stored jobs.
func (do *domain) check() {
	do.t.Helper()
	is := is.New(do.t)
	time.Sleep(*settleTime)
	do.after = do.process.memory(usedMemory)
	do.answer("after the crowd has gone")
	peak, fds := do.process.memory(peakMemory), do.fds.Load()
	is.True(do.lives())            // the process has not ended
	is.True(peak <= do.memory)     // peak memory stays within the configured memory
	is.True(do.after <= do.memory) // memory after the crowd stays within the configured memory
	is.True(fds <= maxDescriptors) // open file descriptors stay within those of a machine
	for _, id := range do.accepted {
		_, stored := do.store.Value(batch.JobKey(id))
		is.True(stored) // an accepted job is stored
	}
	for _, id := range do.notStored {
		_, stored := do.store.Value(batch.JobKey(id))
		is.True(!stored) // a job that was refused or never complete is not stored
	}
}

// jobID returns the ID of the job of a connection of a crowd.
func jobID(i int) string { return fmt.Sprintf("%016x", i) }

// head returns the beginning of a request: the request line, a key on every
// second connection, and the given lines.
func head(method string, i int, lines ...string) []byte {
	if i%2 == 0 {
		lines = append(lines, keyLine)
	}
	return request(method, i, lines...)
}

// request returns the request line and the given lines.
func request(method string, i int, lines ...string) []byte {
	text := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\n", method, queuePrefix, jobID(i), queueHost)
	return []byte(text + strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// announced returns a header line with a content length.
func announced(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// unfinished returns the pieces of a submission whose body is announced with the
// given size and of which sent bytes are sent, at most piece at a time.
func unfinished(size, sent, piece int) func(int) [][]byte {
	body := split(filled(sent)[:sent], piece)
	return func(i int) [][]byte {
		return append([][]byte{head(http.MethodPost, i, announced(size))}, body...)
	}
}

// unfinishedChunks returns the pieces of a submission with a chunked body of
// which sent bytes are sent in chunks of the given size.
func unfinishedChunks(sent, chunk, piece int) func(int) [][]byte {
	body := split(chunked(filled(sent)[:sent], chunk), piece)
	return func(i int) [][]byte {
		return append([][]byte{head(http.MethodPost, i, "Transfer-Encoding: chunked")}, body...)
	}
}

// whole returns the pieces of a submission with a complete body and a valid key.
// The last byte is sent after all else.
func whole(body []byte) func(int) [][]byte {
	last := len(body) - 1
	return func(i int) [][]byte {
		return [][]byte{request(http.MethodPost, i, announced(len(body)), keyLine), body[:last], body[last:]}
	}
}
