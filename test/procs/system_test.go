package procs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
)

type (
	// system is a small deployment of processes: two availability zones, each
	// with two entry hosts, one rack of workers and two endpoints.
	system struct {
		dir       string
		store     string   // address
		workers   []string // addresses
		endpoints []string // addresses
		hosts     []*entryHost
	}

	// entryHost is an entry host, running or not.
	entryHost struct {
		*process
		host  string // name
		zone  string
		http  string // address for callers
		peers string // address for other entry hosts
	}
)

const (
	lima      = "lima"
	cusco     = "cusco"
	workspace = "parish"
	orders    = "orders"

	hostsPerZone     = 2
	workersPerZone   = 4
	endpointsPerZone = 2
	accelerators     = 8
)

var zones = []string{lima, cusco}

// declarations returns the content of a declarations file, which differs for
// different weights.
func declarations(weight int) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "timeZone: %s\nzones:\n", timeZone(time.Now()))
	for _, zn := range zones {
		fmt.Fprintf(&sb, "  - name: %s\n    region: %s\n    racks:\n", zn, zn)
		fmt.Fprintf(&sb, "      - {name: rack-1, workers: %d, accelerators: %d, cores: 64, memoryGiB: 128}\n", workersPerZone, accelerators)
	}
	sb.WriteString(`services:
  - {name: orders, slots: 8, connections: 60, repeatable: false, spill: none, timeout: 20s, maxBody: 65536}
workspaces:
`)
	fmt.Fprintf(&sb, "  - name: %s\n    weight: %d\n    guarantees:\n", workspace, weight)
	for _, zn := range zones {
		fmt.Fprintf(&sb, "      - {zone: %s, shape: {tasks: 4, accelerators: 5, adjacency: rack}, count: 1}\n", zn)
	}
	sb.WriteString("    services:\n      - {name: orders, slots: 8}\n")
	return sb.String()
}

// timeZone returns a time zone in which no day ends while a test runs, so that a
// report covers all of it.
func timeZone(now time.Time) string {
	const midnightInLima = 5 // UTC
	if hour := now.UTC().Hour(); hour == midnightInLima-1 || hour == midnightInLima {
		return "UTC"
	}
	return "America/Lima"
}

// start starts a deployment, applies its first declarations and waits until all
// of it is ready.
func start(t *testing.T) *system {
	t.Helper()
	sy := &system{dir: t.TempDir(), store: freeAddress(t)}
	spawn(t, sy.dir, "store", "standin", "store", "--listen", sy.store)
	for _, zn := range zones {
		sy.startSimulators(t, zn)
	}
	for i := range hostsPerZone * len(zones) {
		zn := zones[i%len(zones)]
		sy.hosts = append(sy.hosts, &entryHost{
			host: fmt.Sprintf("entry-%s-%d", zn, i/len(zones)+1), zone: zn, http: freeAddress(t), peers: freeAddress(t),
		})
	}
	for _, eh := range sy.hosts {
		sy.serve(t, eh)
	}
	sy.awaitHealthy(t, sy.hosts...)
	file := sy.write(t, "declarations.yaml", declarations(1))
	args := []string{"apply", "--wait", "30s", file}
	for _, eh := range sy.hosts {
		args = append(args, "--address", eh.http)
	}
	if cr := command(t, args...); cr.code != 0 {
		t.Fatalf("apply: %+v", cr)
	}
	sy.awaitReady(t)
	return sy
}

// startSimulators starts the workers and the endpoints of a zone.
func (sy *system) startSimulators(t *testing.T, zn string) {
	t.Helper()
	for i := range workersPerZone {
		address, name := freeAddress(t), fmt.Sprintf("worker-%s-%d", zn, i+1)
		spawn(t, sy.dir, name, "standin", "worker", "--listen", address, "--store", sy.store,
			"--name", name, "--zone", zn, "--rack", "rack-1", "--accelerators", fmt.Sprint(accelerators))
		sy.workers = append(sy.workers, address)
	}
	for i := range endpointsPerZone {
		address, name := freeAddress(t), fmt.Sprintf("endpoint-%s-%d", zn, i+1)
		spawn(t, sy.dir, name, "standin", "endpoint", "--listen", address, "--store", sy.store,
			"--name", name, "--zone", zn, "--service", orders)
		sy.endpoints = append(sy.endpoints, address)
	}
}

// serve starts an entry host with all other hosts as seeds.
func (sy *system) serve(t *testing.T, eh *entryHost) {
	t.Helper()
	var sb strings.Builder
	fmt.Fprintf(&sb, "host:\n  name: %s\n  zone: %s\n  region: %s\n", eh.host, eh.zone, eh.zone)
	fmt.Fprintf(&sb, "  httpAddress: %s\n  peerAddress: %s\nseeds:\n", eh.http, eh.peers)
	for _, other := range sy.hosts {
		if other != eh {
			fmt.Fprintf(&sb, "  - %s\n", other.peers)
		}
	}
	fmt.Fprintf(&sb, "store:\n  addresses: [%s]\n  timeout: 2s\n", sy.store)
	sb.WriteString("limits:\n  queueTime: 5s\nstop:\n  delay: 1s\n  bound: 30s\n")
	name := fmt.Sprintf("%s-%d", eh.host, time.Now().UnixNano())
	eh.process = spawn(t, sy.dir, name, "serve", sy.write(t, name+".yaml", sb.String()))
}

// write writes a file in the system's directory and returns its path.
func (sy *system) write(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(sy.dir, name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// awaitHealthy waits until entry hosts respond to health checks.
func (sy *system) awaitHealthy(t *testing.T, ehs ...*entryHost) {
	t.Helper()
	for _, eh := range ehs {
		eventually(t, eh.host+" is healthy", func() error {
			_, err := get(eh.http, "/healthz")
			return err
		})
	}
}

// awaitReady waits until every running host is ready and has discovered the
// others and the endpoints, and every zone has a scheduler that reaches its
// workers.
func (sy *system) awaitReady(t *testing.T) {
	t.Helper()
	for _, eh := range sy.running() {
		eventually(t, eh.host+" is ready", func() error { return sy.checkReady(eh) })
	}
}

// checkReady returns an error unless a host is ready, has slots and reports that
// the deployment is complete.
func (sy *system) checkReady(eh *entryHost) error {
	if _, err := get(eh.http, "/readyz"); err != nil {
		return err
	}
	metrics, err := get(eh.http, "/metrics")
	if err != nil {
		return err
	}
	if !strings.Contains(string(metrics), `cicadawharf_slots{service="orders"} `) ||
		strings.Contains(string(metrics), `cicadawharf_slots{service="orders"} 0`) {
		return fmt.Errorf("no slots of %s", orders)
	}
	st, err := eh.client().Status(context.Background())
	if err != nil {
		return err
	}
	return sy.checkStatus(eh, st)
}

// checkStatus returns an error unless a status covers the whole running
// deployment.
func (sy *system) checkStatus(eh *entryHost, st client.Status) error {
	up := map[string]bool{}
	for _, hs := range st.Hosts {
		up[hs.Name] = hs.Ready && hs.Reachable && hs.Revision == st.Revision
	}
	for _, other := range sy.running() {
		if !up[other.host] {
			return fmt.Errorf("%s is not up: %+v", other.host, st.Hosts)
		}
	}
	for _, zs := range st.Zones {
		leader := sy.hostNamed(zs.Scheduler)
		if leader == nil {
			return fmt.Errorf("no scheduler of %s: %+v", zs.Name, zs)
		}
		if zs.Scheduler == eh.host && zs.Workers != workersPerZone {
			return fmt.Errorf("scheduler of %s does not reach all workers: %+v", zs.Name, zs)
		}
	}
	return nil
}

// running returns the hosts whose process has not exited.
func (sy *system) running() []*entryHost {
	var ehs []*entryHost
	for _, eh := range sy.hosts {
		select {
		case <-eh.done:
		default:
			ehs = append(ehs, eh)
		}
	}
	return ehs
}

// hostNamed returns the running host with the given name, or nil.
func (sy *system) hostNamed(name string) *entryHost {
	for _, eh := range sy.running() {
		if eh.host == name {
			return eh
		}
	}
	return nil
}

// scheduler returns the host that schedules a zone and another host of the zone.
func (sy *system) scheduler(t *testing.T, zn string) (leader, other *entryHost) {
	t.Helper()
	eventually(t, "scheduler of "+zn, func() error {
		leader, other = nil, nil
		for _, eh := range sy.running() {
			if eh.zone != zn {
				continue
			}
			zs, err := eh.zoneStatus(zn)
			if err != nil {
				return err
			}
			if zs.Scheduler == eh.host && zs.Workers == workersPerZone {
				leader = eh
			} else {
				other = eh
			}
		}
		if leader == nil || other == nil {
			return fmt.Errorf("scheduler %v, other host %v", leader, other)
		}
		return nil
	})
	return leader, other
}

// hostsIn returns the running hosts in a zone.
func (sy *system) hostsIn(zn string) []*entryHost {
	var ehs []*entryHost
	for _, eh := range sy.running() {
		if eh.zone == zn {
			ehs = append(ehs, eh)
		}
	}
	return ehs
}

// client returns a client that calls only this host.
func (eh *entryHost) client() *client.Client {
	return client.New(client.Config{Addresses: []string{eh.http}, Workspace: workspace, Timeout: waitTimeout})
}

// zoneStatus returns the status of a zone according to the host.
func (eh *entryHost) zoneStatus(zn string) (client.ZoneStatus, error) {
	cl := eh.client()
	defer cl.Close()
	st, err := cl.Status(context.Background())
	if err != nil {
		return client.ZoneStatus{}, err
	}
	for _, zs := range st.Zones {
		if zs.Name == zn {
			return zs, nil
		}
	}
	return client.ZoneStatus{}, fmt.Errorf("status of %s does not contain zone %s", eh.host, zn)
}

// report returns a host's report of the current day.
func (eh *entryHost) report() (report.Daily, error) {
	cl := eh.client()
	defer cl.Close()
	var da report.Daily
	content, err := cl.Report(context.Background(), "", false)
	if err != nil {
		return da, err
	}
	if err := json.Unmarshal(content, &da); err != nil {
		return da, err
	}
	return da, da.Check()
}

// row returns the row of the test workspace for a service.
func row(da report.Daily, service string) report.Row {
	for _, rw := range da.Rows {
		if rw.Workspace == workspace && rw.Service == service {
			return rw
		}
	}
	return report.Row{}
}

// taskRuns returns the task runs of a job recorded by the workers, or of all jobs
// if job is empty.
func (sy *system) taskRuns(t *testing.T, job string) []wksim.Run {
	t.Helper()
	var runs []wksim.Run
	for _, rn := range fetch[wksim.Run](t, sy.workers, wksim.RunsPath) {
		if job == "" || rn.Task.Job == job {
			runs = append(runs, rn)
		}
	}
	return runs
}

// requestRuns returns the request runs recorded by the endpoints.
func (sy *system) requestRuns(t *testing.T) []epsim.Run {
	t.Helper()
	return fetch[epsim.Run](t, sy.endpoints, epsim.RunsPath)
}

// setStoreDown takes the store down or up.
func (sy *system) setStoreDown(t *testing.T, down bool) {
	t.Helper()
	body := fmt.Sprintf(`{"down":%t}`, down)
	rs, err := http.Post("http://"+sy.store+"/standin/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		t.Fatalf("setting the faults of the store: %s", rs.Status)
	}
}

// fetch gets a JSON list from each address and returns all elements.
func fetch[T any](t *testing.T, addresses []string, path string) []T {
	t.Helper()
	var all []T
	for _, ad := range addresses {
		content, err := get(ad, path)
		if err != nil {
			t.Fatal(err)
		}
		var some []T
		if err := json.NewDecoder(bytes.NewReader(content)).Decode(&some); err != nil {
			t.Fatal(err)
		}
		all = append(all, some...)
	}
	return all
}

// get returns the body of a response. Any status but 200 is an error.
func get(address, path string) ([]byte, error) {
	hc := http.Client{Timeout: 10 * time.Second}
	rs, err := hc.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()
	content, err := io.ReadAll(rs.Body)
	if err == nil && rs.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s%s: %s", address, path, rs.Status)
	}
	return content, err
}
