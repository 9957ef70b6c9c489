//go:build linux

package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// entry is one entry host, the simulated store and one simulated endpoint.
type entry struct {
	*process
	t          *testing.T
	http       string // address for callers and operators
	peers      string // address
	endpoint   string // address
	sent       int    // number of ordinary requests
	notRun     []string
	outcomes   map[string]int
	restMemory int64
	calmMemory int64 // under a mild load
	after      int64 // memory after the crowd has gone
}

const (
	entryMemory = 284 * mebibyte // of the smallest machine on the pages
	entryBody   = 16 << 20       // bytes, the default limit of a host
	workspace   = "parish"
	jobsPath    = "/v1/jobs"
	checkPath   = "/v1/declarations/check"
	jobBody     = 262144  // bytes, the limit of a job
	fileBody    = 1 << 19 // bytes, an eighth of the limit of a declarations file
	kindHTTP    = 'h'     // first byte of a stream that carries an HTTP connection

	entrySettings = `host: {name: entry-1, zone: lima, region: lima, httpAddress: "%s", peerAddress: "%s"}
store: {addresses: ["%s"]}
limits: {readTimeout: 10m}
`
	declarations = `timeZone: UTC
zones:
  - name: lima
    region: lima
    racks: [{name: rack-1, workers: 1, accelerators: 8, cores: 64, memoryGiB: 128}]
services:
  - {name: orders, slots: 8, connections: 60, repeatable: false, timeout: 20s, maxBody: 16777216}
workspaces:
  - {name: parish, weight: 1, services: [{name: orders, slots: 8}]}
`
)

// startEntry starts an entry host and waits until it has forwarded a mild load of
// ordinary requests.
func startEntry(t *testing.T) *entry {
	t.Helper()
	en := &entry{t: t, http: freeAddress(t), peers: freeAddress(t), endpoint: freeAddress(t), outcomes: map[string]int{}}
	dir, store := t.TempDir(), freeAddress(t)
	spawn(t, dir, "store", "standin", "store", "--listen", store)
	spawn(t, dir, "endpoint", "standin", "endpoint", "--listen", en.endpoint, "--store", store, "--name", "endpoint-1", "--zone", "lima", "--service", "orders")
	en.process = spawn(t, dir, "entry", "serve", writeFile(t, dir, "entry.yaml", fmt.Sprintf(entrySettings, en.http, en.peers, store)))
	eventually(t, "the host is healthy", func() error { return getOK("http://" + en.http + "/healthz") })
	out, err := exec.Command(program, "apply", "--wait", "30s", writeFile(t, dir, "declarations.yaml", declarations), "--address", en.http).CombinedOutput()
	if err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	en.restMemory = en.process.memory(peakMemory)
	for range mildLoad {
		en.call("in calm")
	}
	en.calmMemory = en.process.memory(peakMemory)
	t.Cleanup(func() {
		en.logUse(t, en.restMemory, en.calmMemory, entryMemory, en.after)
		t.Logf("codes of requests: %v", en.outcomes)
	})
	return en
}

// call makes an ordinary request over a new connection, and repeats it under
// another path while the host refuses it or doesn't answer.
func (en *entry) call(when string) {
	en.t.Helper()
	eventually(en.t, "an ordinary request is answered "+when, func() error {
		path := fmt.Sprintf("/ordinary/%d", en.sent)
		en.sent++
		rq, err := http.NewRequest(http.MethodPost, "http://"+en.http+"/v1/services/orders"+path, strings.NewReader("sacks"))
		if err != nil {
			return err
		}
		rq.Header.Set(client.HeaderWorkspace, workspace)
		rs, err := newClient().Do(rq)
		if err != nil {
			return err
		}
		defer rs.Body.Close()
		_, _ = io.Copy(io.Discard, rs.Body)
		en.outcomes[rs.Header.Get(client.HeaderCode)]++
		if rs.StatusCode == http.StatusOK {
			return nil
		}
		if rs.Header.Get(client.HeaderClass) == codes.NotRun.String() {
			en.notRun = append(en.notRun, path)
		}
		time.Sleep(retryDelay)
		return fmt.Errorf("status %s, code %s", rs.Status, rs.Header.Get(client.HeaderCode))
	})
}

// face makes an ordinary request while a crowd is open and another one after it
// has gone, and checks what must hold.
func (en *entry) face(all []*member) {
	en.t.Helper()
	is := is.New(en.t)
	en.call("while the crowd is open")
	leave(all)
	time.Sleep(*settleTime)
	en.after = en.process.memory(usedMemory)
	en.call("after the crowd has gone")
	peak, fds := en.process.memory(peakMemory), en.fds.Load()
	is.True(en.lives())              // the process has not ended
	is.True(peak <= entryMemory)     // peak memory stays within that of a machine
	is.True(en.after <= entryMemory) // memory after the crowd stays within that of a machine
	is.True(fds <= maxDescriptors)   // open file descriptors stay within those of a machine
	ran := en.paths()
	for _, path := range en.notRun {
		is.True(!ran[path]) // a request that was reported as not run did not reach the endpoint
	}
	for path := range ran {
		is.True(strings.HasPrefix(path, "/ordinary/")) // no request of the crowd reached the endpoint
	}
}

// paths returns the paths of the requests that the endpoint has run.
func (en *entry) paths() map[string]bool {
	en.t.Helper()
	is := is.New(en.t)
	rs, err := newClient().Get("http://" + en.endpoint + epsim.RunsPath)
	is.NoErr(err)
	defer rs.Body.Close()
	var runs []epsim.Run
	is.NoErr(json.NewDecoder(rs.Body).Decode(&runs))
	ran := map[string]bool{}
	for _, rn := range runs {
		ran[rn.Path] = true
	}
	return ran
}

// entryHead returns the beginning of a request of a crowd.
func entryHead(method, path string, lines ...string) []byte {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\n%s: %s\r\n", method, path, client.HeaderWorkspace, workspace)
	return []byte(text + strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// entryPieces returns the same pieces for each connection: the beginning of a
// request and a body.
func entryPieces(hd, body []byte, size int) func(int) [][]byte {
	pieces := append([][]byte{hd}, split(body, size)...)
	return func(int) [][]byte { return pieces }
}

// TestAnnouncedBodiesAtEntry guards against bodies that are only announced and
// keep an entry host from taking others.
func TestAnnouncedBodiesAtEntry(t *testing.T) {
	const count = 40
	en := startEntry(t)
	hd := entryHead(http.MethodPost, "/v1/services/orders/crowd", announced(entryBody))
	en.face(crowd{en.http, count, entryPieces(hd, filled(pieceSize), pieceSize)}.open(t))
}

// TestUnfinishedChunksAtEntry guards against chunked bodies without an end that
// fill the memory of an entry host.
func TestUnfinishedChunksAtEntry(t *testing.T) {
	const count, piece = 24, 4 << 20
	en := startEntry(t)
	hd := entryHead(http.MethodPost, "/v1/services/orders/crowd", "Transfer-Encoding: chunked")
	en.face(crowd{en.http, count, entryPieces(hd, chunked(filled(entryBody)[:entryBody-1], longPieceSize), piece)}.open(t))
}

// TestUnfinishedBodiesAtEntry guards against bodies that stop just short of their
// end and fill the memory of an entry host.
func TestUnfinishedBodiesAtEntry(t *testing.T) {
	const count, piece = 24, 4 << 20
	en := startEntry(t)
	hd := entryHead(http.MethodPost, "/v1/services/orders/crowd", announced(entryBody))
	en.face(crowd{en.http, count, entryPieces(hd, filled(entryBody)[:entryBody-1], piece)}.open(t))
}

// TestCostlyDeclarations guards against declarations of many tiny entries that
// fill the memory of an entry host when they are checked.
func TestCostlyDeclarations(t *testing.T) {
	const count = 4
	en := startEntry(t)
	body := repeated("zones: [", "{}", "]\n", fileBody)
	en.face(crowd{en.http, count, entryPieces(entryHead(http.MethodPost, checkPath, announced(len(body))), body, len(body)/2)}.open(t))
}

// TestCostlyJobsAtEntry guards against complete jobs of many steps that fill the
// memory of an entry host when they are decoded.
func TestCostlyJobsAtEntry(t *testing.T) {
	const count = 100
	en := startEntry(t)
	body := repeated(`{"then":[`, `{}`, `]}`, jobBody)
	en.face(crowd{en.http, count, entryPieces(entryHead(http.MethodPost, jobsPath, announced(len(body))), body, len(body)/2+1)}.open(t))
}

// TestLargeHeadersAtEntry guards against headers of up to the limit that fill the
// memory of an entry host while the body is awaited.
func TestLargeHeadersAtEntry(t *testing.T) {
	const count, lines, lineSize = 1000, 60, 4096
	en := startEntry(t)
	var long []string
	for i := range lines {
		long = append(long, fmt.Sprintf("X-Line-%d: ", i)+strings.Repeat("x", lineSize))
	}
	en.face(crowd{en.http, count, entryPieces(entryHead(http.MethodPost, jobsPath, append(long, announced(jobBody))...), nil, 1)}.open(t))
}

// TestUnfinishedStreamsAtEntry guards against streams at the listener for other
// entry hosts that carry requests without an end and fill the memory.
func TestUnfinishedStreamsAtEntry(t *testing.T) {
	const streams = 120
	en := startEntry(t)
	hd := entryHead(http.MethodPost, "/v1/services/orders/crowd", announced(entryBody))
	en.face(openStreams(t, en.peers, streams, append([]byte{kindHTTP}, hd...)))
}

// TestMoreConnectionsAtEntry guards against callers whose connections take all
// file descriptors of an entry host.
func TestMoreConnectionsAtEntry(t *testing.T) {
	const connections = 4400
	en := startEntry(t)
	en.face(crowd{en.http, connections, entryPieces(entryHead(http.MethodPost, jobsPath, announced(jobBody)), bytes.Repeat([]byte("x"), 1), 1)}.open(t))
}

// TestLargestRequestInCalm guards against limits that refuse a single request of
// the largest size.
func TestLargestRequestInCalm(t *testing.T) {
	is := is.New(t)
	en := startEntry(t)
	rq, err := http.NewRequest(http.MethodPost, "http://"+en.http+"/v1/services/orders/ordinary/large", bytes.NewReader(filled(entryBody)[:entryBody]))
	is.NoErr(err)
	rq.Header.Set(client.HeaderWorkspace, workspace)
	rs, err := newClient().Do(rq)
	is.NoErr(err)
	defer rs.Body.Close()
	is.Equal(rs.StatusCode, http.StatusOK)
	en.face(nil)
}
