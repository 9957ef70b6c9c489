package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/ports"
)

type (
	// plant is a small deployment: hosts as processes, and stand-ins of all that
	// they speak to.
	plant struct {
		rec     *record
		ledger  *ledger
		trouble bool // whether the case is to cause its disruption
		store   *store
		cloud   *cloud
		workers []*worker
		hosts   []*host
		folder  string // for settings and logs
		servers []*http.Server

		mu     sync.Mutex
		labels map[string]string // that the work units of a job require, by job
	}

	// host is a process of the system, over all of its restarts.
	host struct {
		name     string
		callers  string // address
		ready    string // address
		settings string // file
		log      *os.File

		mu  sync.Mutex
		cmd *exec.Cmd
	}
)

const (
	program      = "target/cicadawharf"
	hostCount    = 3
	startTimeout = 20 * time.Second
	queueHost    = "jute.example"
	queuePrefix  = "/sort/"
	apiKey       = "d4a3hwrr6x73d3zji9n7"
	settings     = `host:
  name: %q
  zone: "centro-a"
  region: "centro"
  callersAddress: %q
  readinessAddress: %q
  metricsAddress: %q
  peerAddress: %q
store:
  address: %q
machines:
  address: %q
memoryMegabytes: 284
processor:
  share: 0.4
  cores: 1
log:
  level: info
timing:
  stopGrace: 6s
  revoke: 5000ms
`
)

// newPlant starts the stand-ins of the store and of the machines.
func newPlant(rec *record, trouble bool) (*plant, error) {
	pl := &plant{rec: rec, ledger: newLedger(rec), trouble: trouble, store: newStore(), labels: map[string]string{}}
	pl.cloud = newCloud(pl)
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	var err error
	pl.folder, err = os.MkdirTemp("", "rig")
	return pl, err
}

// serve serves a handler at a free loopback address.
func (pl *plant) serve(ha http.Handler) (string, error) {
	address, err := ports.FreeAddress()
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	sv := &http.Server{Handler: ha}
	pl.servers = append(pl.servers, sv)
	go func() { _ = sv.Serve(ln) }()
	return address, nil
}

// configure writes the operator's configuration: one queue and one tenant.
func (pl *plant) configure() {
	pl.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "sort", "host": queueHost, "prefix": queuePrefix, "kind": "non_idempotent", "service": service, "priority": 1,
			"timeout_ms": 3000, "target_latency_ms": 1200, "max_attempts": 4, "stretch": 3.0, "allow_anonymous": false,
		}},
		"services": []map[string]any{{"name": service, "max_connections": 64, "rejects_overload": false, "spare": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []map[string]any{{"name": "kaje80", "api_keys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 0}}},
	})
}

// addWorker starts a worker.
func (pl *plant) addWorker(kind string, ca capacity) (*worker, error) {
	n := len(pl.workers) + 1
	address, err := ports.FreeAddress()
	if err != nil {
		return nil, err
	}
	wo := &worker{
		pl: pl, id: fmt.Sprintf("i-%010x", 0x7f3a91c200+n), machine: fmt.Sprintf("m-%05x", 0xa3f10+n), address: address,
		rack: "r1-1", kind: kind, capacity: ca,
	}
	pl.workers = append(pl.workers, wo)
	return wo, wo.start()
}

// startHosts starts the hosts and waits until all are ready and some time has
// passed for the election.
func (pl *plant) startHosts() error {
	storeAddress, err := pl.serve(pl.store)
	if err != nil {
		return err
	}
	cloudAddress, err := pl.serve(pl.cloud)
	if err != nil {
		return err
	}
	pl.configure()
	for i := range hostCount {
		ho, err := pl.startHost(fmt.Sprintf("front-centro-a-%d", i+1), storeAddress, cloudAddress)
		if err != nil {
			return err
		}
		pl.hosts = append(pl.hosts, ho)
	}
	for _, ho := range pl.hosts {
		if err := ho.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	if pl.leader() == nil {
		return errors.New("no host is the leader")
	}
	pl.rec.write("the hosts are ready; %s leads", pl.leader().name)
	return nil
}

func (pl *plant) startHost(name, storeAddress, cloudAddress string) (*host, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = ports.FreeAddress(); err != nil {
			return nil, err
		}
	}
	ho := &host{name: name, callers: addresses[0], ready: addresses[1], settings: filepath.Join(pl.folder, name+".yaml")}
	text := fmt.Sprintf(settings, name, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress, cloudAddress)
	if err := os.WriteFile(ho.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if ho.log, err = os.Create(filepath.Join(pl.folder, name+".log")); err != nil {
		return nil, err
	}
	return ho, ho.start()
}

// start starts the next process.
func (ho *host) start() error {
	cmd := exec.Command(program, "domain", ho.settings)
	cmd.Stdout, cmd.Stderr = ho.log, ho.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CICADAWHARF_CONFIG=" + ho.settings}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.cmd = cmd
	return cmd.Start()
}

func (ho *host) process() *exec.Cmd {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.cmd
}

func (ho *host) pid() int { return ho.process().Process.Pid }

// wait waits until the process has ended.
func (ho *host) wait() { _ = ho.process().Wait() }

// awaitReady waits until the host reports itself ready.
func (ho *host) awaitReady() error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		rsp, err := http.Get("http://" + ho.ready + "/ready")
		if err != nil {
			continue
		}
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", ho.name)
}

func (ho *host) signal(sg syscall.Signal) error { return ho.process().Process.Signal(sg) }

// leader returns the host that the store names as the leader, or nil.
func (pl *plant) leader() *host {
	value := string(pl.store.value("holder"))
	for _, ho := range pl.hosts {
		if strings.HasPrefix(value, ho.name+" ") {
			return ho
		}
	}
	return nil
}

// setLabel sets the label that the work units of a job require.
func (pl *plant) setLabel(id, label string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.labels[id] = label
}

// labelOf returns the label that a work unit requires, or an empty string.
func (pl *plant) labelOf(task string) string {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return pl.labels[id]
}

// close ends all processes and stand-ins. With KEEP=1 in the environment the logs
// of the hosts stay in the folder.
func (pl *plant) close() {
	for _, ho := range pl.hosts {
		_ = ho.signal(syscall.SIGCONT)
		_ = ho.signal(syscall.SIGKILL)
		ho.wait()
		_ = ho.log.Close()
	}
	for _, wo := range pl.workers {
		wo.mu.Lock()
		sv := wo.server
		wo.server = nil
		wo.mu.Unlock()
		if sv != nil {
			_ = sv.Close()
		}
	}
	for _, sv := range pl.servers {
		_ = sv.Close()
	}
	pl.store.close()
	if os.Getenv("KEEP") != "1" {
		_ = os.RemoveAll(pl.folder)
		return
	}
	fmt.Println("logs:", pl.folder)
}
