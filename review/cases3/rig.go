package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/ports"
	"github.com/cicadawharf/cicadawharf/platform/plsim"
)

type (
	// rig holds the processes and stand-ins of a case.
	rig struct {
		began   time.Time
		dir     string // temporary
		logs    string // see -logs
		program string
		ctx     context.Context
		cancel  context.CancelFunc
		closing sync.Once
		store   *plsim.Store
		address string // of the store

		mu      sync.Mutex
		record  *os.File
		breaks  []string
		hosts   []*host
		workers map[string]*worker
		servers []*http.Server

		machines  *machines                         // nil if the case has none
		work      time.Duration                     // of each work unit; zero if all last
		endless   string                            // job whose work units last all the same
		late      time.Duration                     // of the first start of lateTask
		lateTask  string                            // empty if none is late
		begun     map[string]bool                   // work units that have begun
		steps     map[string]step                   // by job
		noted     map[string]bool                   // work units that are done, as was taken note of
		watched   *availability                     // nil if the case checks none
		latencyOf func(wo *worker, task string) int // of a work unit; nil if none serves. The worker is locked
	}

	// host is one process of the domain.
	host struct {
		name    string
		callers string // address for callers
		cmd     *exec.Cmd
		done    chan struct{}
	}
)

const (
	hostMemory  = 284 // megabytes, as in the site file
	settingsFmt = `host:
  name: %s
  zone: centro-a
  region: centro
  callersAddress: %s
  readinessAddress: %s
  metricsAddress: %s
  peerAddress: %s
store:
  address: %s
%smemoryMegabytes: %d
processor: {share: 0.4, cores: 1}
log: {level: info}
timing: {stopGrace: 6s, revoke: 5000ms}
`
)

func newRig(record, program, logs string) (*rig, error) {
	rg := &rig{began: time.Now(), program: program, logs: logs, store: plsim.New(1), workers: map[string]*worker{}, noted: map[string]bool{}, begun: map[string]bool{}, steps: map[string]step{}, endless: "none"}
	var err error
	if rg.dir, err = os.MkdirTemp("", "cases3"); err != nil {
		return nil, err
	}
	if rg.record, err = os.Create(record); err != nil {
		return nil, err
	}
	rg.ctx, rg.cancel = context.WithCancel(context.Background())
	go rg.store.Run(rg.ctx)
	rg.address, err = rg.serve(rg.store)
	return rg, err
}

// serve serves a handler on a free loopback port and returns the address.
func (rg *rig) serve(ha http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	go func() { _ = sv.Serve(ln) }()
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.servers = append(rg.servers, sv)
	return ln.Addr().String(), nil
}

// note adds a line to the record.
func (rg *rig) note(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.write(format, args...)
}

func (rg *rig) write(format string, args ...any) {
	fmt.Fprintf(rg.record, "%8.3f  %s\n", time.Since(rg.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule notes that the rule of the case was broken.
func (rg *rig) breakRule(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	rg.breaks = append(rg.breaks, text)
	rg.write("BROKEN: %s", text)
}

func (rg *rig) broken() []string {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.breaks
}

// startHosts starts a number of hosts.
func (rg *rig) startHosts(number int) error {
	for i := range number {
		if err := rg.startHost(fmt.Sprintf("front-%d", i+1)); err != nil {
			return err
		}
	}
	return nil
}

func (rg *rig) startHost(name string) error {
	ho := &host{name: name, done: make(chan struct{})}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = ports.FreeAddress(); err != nil {
			return err
		}
	}
	ho.callers = addresses[0]
	cloud := ""
	if rg.machines != nil {
		cloud = fmt.Sprintf("machines:\n  address: %s\n", rg.machines.address)
	}
	text := fmt.Sprintf(settingsFmt, name, addresses[0], addresses[1], addresses[2], addresses[3], rg.address, cloud, hostMemory)
	settings := filepath.Join(rg.dir, name+".yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	logs := rg.dir
	if rg.logs != "" {
		logs = rg.logs
	}
	out, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return err
	}
	ho.cmd = exec.Command(rg.program, "domain", settings)
	ho.cmd.Stdout, ho.cmd.Stderr = out, out
	if err := ho.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = ho.cmd.Wait()
		_ = out.Close()
		close(ho.done)
	}()
	rg.hosts = append(rg.hosts, ho)
	rg.note("started process %s", name)
	return nil
}

// close ends all processes and stand-ins.
func (rg *rig) close() { rg.closing.Do(rg.end) }

func (rg *rig) end() {
	for _, ho := range rg.hosts {
		_ = ho.cmd.Process.Kill() // it may have exited
		<-ho.done
	}
	rg.cancel()
	rg.mu.Lock()
	servers := rg.servers
	rg.mu.Unlock()
	for _, sv := range servers {
		_ = sv.Close()
	}
	_ = rg.record.Close()
	_ = os.RemoveAll(rg.dir)
}

// until waits until a condition holds, and reports whether it did within a time.
func until(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
