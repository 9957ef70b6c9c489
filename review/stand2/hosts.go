package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// host is one process of the system, started with the command of the deploy file.
	host struct {
		name      string
		gate      *gate  // its path to the store
		callers   string // address
		readiness string // address
		settings  string // file
		log       string // file
		mu        sync.Mutex
		cmd       *exec.Cmd
		done      chan struct{}
	}

	// call is a call of a client.
	call struct {
		method, path, key string
		body              []byte
		timeout           time.Duration
	}
)

const (
	program      = "target/cicadawharf"
	memoryMB     = 284
	stopTime     = 6 * time.Second
	serviceName  = "svc"
	queueHost    = "queue.example"
	queuePrefix  = "/jobs/"
	tenantKey    = "key-of-tenant-1"
	clientTime   = 3 * time.Second // until its deadline
	memorySample = 10 * time.Millisecond
	firstPort    = 12_000
	portCount    = 18_000
)

// The layout of deploy/settings.yaml.tmpl with the figures of the site.
const settings = `host:
  name: %q
  zone: "z1"
  region: "r1"
  callersAddress: %q
  readinessAddress: %q
  metricsAddress: %q
  peerAddress: %q
store:
  address: %q
%smemoryMegabytes: %d
processor:
  share: 0.4
  cores: 1
log:
  level: info
timing:
  stopGrace: 6s
  revoke: 5000ms
`

// serve serves a handler on a free loopback address, which it returns.
func serve(ha http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(ln, ha) }()
	return ln.Addr().String()
}

// freeAddress returns a loopback address on which nothing listens. Its port is below
// those that the system gives to outgoing channels, which could take it before a host
// listens there.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			return address
		}
	}
}

// newHost writes the settings of a host in a temporary folder.
func newHost(dir, name, store, machines string) *host {
	ho := &host{
		name: name, callers: freeAddress(), readiness: freeAddress(),
		settings: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
	}
	part := ""
	if machines != "" {
		part = fmt.Sprintf("machines:\n  address: %q\n", machines)
	}
	content := fmt.Sprintf(settings, name, ho.callers, ho.readiness, freeAddress(), freeAddress(), store, part, memoryMB)
	if err := os.WriteFile(ho.settings, []byte(content), 0o600); err != nil {
		panic(err)
	}
	return ho
}

// start starts the process.
func (ho *host) start() {
	file, err := os.OpenFile(ho.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(program, "domain", ho.settings)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	done := make(chan struct{})
	ho.mu.Lock()
	ho.cmd, ho.done = cmd, done
	ho.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		file.Close()
		close(done)
	}()
}

// signal sends a signal to the process.
func (ho *host) signal(sig os.Signal) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	_ = ho.cmd.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (ho *host) kill() {
	ho.signal(os.Kill)
	<-ho.done
}

// lives reports whether the process has not ended.
func (ho *host) lives() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	select {
	case <-ho.done:
		return false
	default:
		return true
	}
}

// memory returns a field of the process's memory in bytes, zero if it has ended.
func (ho *host) memory(field string) int64 {
	ho.mu.Lock()
	pid := ho.cmd.Process.Pid
	ho.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			n, _ := strconv.ParseInt(words[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// awaitReady waits until the host is ready.
func (ho *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		rs, err := http.Get("http://" + ho.readiness + "/ready")
		if err != nil {
			continue
		}
		rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// call makes a call over a new connection. The status is zero if there is no answer.
func (ho *host) call(ca call) (int, []byte) {
	timeout := ca.timeout
	if timeout == 0 {
		timeout = clientTime
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	rq, err := http.NewRequest(ca.method, "http://"+ho.callers+ca.path, bytes.NewReader(ca.body))
	if err != nil {
		panic(err)
	}
	rq.Host = queueHost
	rq.Header.Set("Authorization", "Bearer "+ca.key)
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Cicadawharf-Deadline-Ms", strconv.FormatInt(clientTime.Milliseconds(), 10))
	rs, err := client.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer rs.Body.Close()
	body, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, body
}

// submit submits a job.
func (ho *host) submit(id string, body []byte) int {
	status, _ := ho.call(call{method: http.MethodPost, path: queuePrefix + id, key: tenantKey, body: body})
	return status
}

// state returns the status of a look at a job, and its state.
func (ho *host) state(id string) (int, string) {
	status, body := ho.call(call{method: http.MethodGet, path: queuePrefix + id, key: tenantKey})
	var sr struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &sr)
	return status, sr.State
}

// pending returns the status of a look at the queue, and its number of pending jobs.
func (ho *host) pending() (status, pending int) {
	status, body := ho.call(call{method: http.MethodGet, path: queuePrefix, key: tenantKey})
	var sr struct {
		Pending int `json:"pending"`
	}
	_ = json.Unmarshal(body, &sr)
	return status, sr.Pending
}

// configuration returns the first configuration of the operator.
func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "q", "host": queueHost, "prefix": queuePrefix, "service": serviceName, "timeout_ms": 3000, "priority": 1,
			"max_attempts": 4, "stretch": 3, "target_latency_ms": 1200,
		}},
		"services": []map[string]any{{"name": serviceName, "rejects_overload": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants": []map[string]any{
			{"name": "t1", "api_keys": []string{tenantKey}, "guaranteed": capacity{GPU: 4}},
			{"name": "t2", "api_keys": []string{"key-of-tenant-2"}, "guaranteed": capacity{GPU: 4}},
		},
	}
}
