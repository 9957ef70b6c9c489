package procs_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	puno       = "puno" // an availability zone of lima's region that has no endpoints
	spillCalls = 20
)

// declarationsWithSpill returns declarations that include puno and set the spill
// rule of the service.
func declarationsWithSpill(rule string) string {
	content := strings.Replace(declarations(1), "spill: none", "spill: "+rule, 1)
	zn := fmt.Sprintf("  - name: %s\n    region: %s\n    racks:\n      - {name: rack-1, workers: 4, accelerators: 8, cores: 64, memoryGiB: 128}\n", puno, lima)
	return strings.Replace(content, "services:\n", zn+"services:\n", 1)
}

// apply applies declarations and waits until all hosts use them.
func (sy *system) apply(t *testing.T, name, content string) {
	t.Helper()
	cr := command(t, "apply", "--wait", "30s", sy.write(t, name, content), "--address", sy.hosts[0].http)
	if cr.code != 0 {
		t.Fatalf("apply: %+v", cr)
	}
}

// servePuno starts the entry host of puno and waits until it has discovered the
// others.
func (sy *system) servePuno(t *testing.T) *entryHost {
	t.Helper()
	eh := &entryHost{host: "entry-puno-1", zone: puno, http: freeAddress(t), peers: freeAddress(t)}
	file := sy.write(t, "puno.yaml", fmt.Sprintf("host:\n  name: %s\n  zone: %s\n  region: %s\n  httpAddress: %s\n  peerAddress: %s\n"+
		"seeds:\n  - %s\nstore:\n  addresses: [%s]\nlimits:\n  queueTime: 5s\nstop:\n  delay: 1s\n  bound: 30s\n",
		eh.host, puno, lima, eh.http, eh.peers, sy.hosts[0].peers, sy.store))
	eh.process = spawn(t, sy.dir, eh.host, "serve", file)
	eventually(t, "the host of puno has discovered the others and is ready", func() error {
		if _, err := get(eh.http, "/readyz"); err != nil {
			return err
		}
		st, err := eh.client().Status(context.Background())
		if err != nil {
			return err
		}
		up := 0
		for _, hs := range st.Hosts {
			if hs.Reachable && hs.Ready && hs.Revision == st.Revision {
				up++
			}
		}
		if up < len(sy.hosts) {
			return fmt.Errorf("%+v", st.Hosts)
		}
		return nil
	})
	return eh
}

// checkSpill makes requests at a host and checks that each runs once, at
// endpoints of the given zone.
func checkSpill(t *testing.T, sy *system, eh *entryHost, path, zn string) {
	t.Helper()
	is := is.New(t)
	for range spillCalls {
		an, err := eh.call(path, client.CallOptions{})
		is.NoErr(err)
		is.Equal(an.Code, codes.RequestDone)
		is.Equal(string(an.Body), "wax")
		is.True(strings.HasPrefix(an.Header.Get(epsim.HeaderEndpoint), "endpoint-"+zn))
	}
	is.Equal(sy.runsOfPath(t, path), spillCalls)
}

// awaitSpill makes requests until one succeeds, and returns how many were
// refused: a service uses a new rule slightly later than the host receives it.
func awaitSpill(t *testing.T, eh *entryHost) int64 {
	t.Helper()
	count := int64(0)
	eventually(t, "a request is forwarded", func() error {
		_, err := eh.call("/first", client.CallOptions{})
		if err == nil {
			return nil
		}
		count++
		_, err = refusalCode(err)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Errorf("%d requests refused", count)
	})
	return count
}

// checkSpillRefused checks that a request is refused and does not run.
func checkSpillRefused(t *testing.T, sy *system, eh *entryHost, path string) {
	t.Helper()
	is := is.New(t)
	_, err := eh.call(path, client.CallOptions{})
	cd, err := refusalCode(err)
	is.NoErr(err)
	is.Equal(cd, codes.NoEndpoint)
	is.Equal(sy.runsOfPath(t, path), 0)
}

// awaitReport waits until the report counts the given numbers of requests as done
// and not run, and returns the bytes transferred between regions.
func awaitReport(t *testing.T, eh *entryHost, done, notRun int64) int64 {
	t.Helper()
	bytes := int64(0)
	eventually(t, "the report counts all requests", func() error {
		da, err := eh.report()
		if err != nil {
			return err
		}
		rw := row(da, orders)
		bytes = rw.RegionBytes
		if rw.Done != done || rw.NotRun != notRun {
			return fmt.Errorf("row is %+v", rw)
		}
		return nil
	})
	return bytes
}

// TestSpill checks that the requests of a zone without endpoints run only where the
// spill rule of the service allows, and that the report counts the bytes that they
// transfer between regions.
func TestSpill(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	sy.apply(t, "none.yaml", declarationsWithSpill("none"))
	eh := sy.servePuno(t)
	checkSpillRefused(t, sy, eh, "/none")

	sy.apply(t, "any.yaml", declarationsWithSpill("any"))
	notRun := 1 + awaitSpill(t, eh)
	checkSpill(t, sy, eh, "/any", lima)
	sy.apply(t, "region.yaml", declarationsWithSpill("region"))
	checkSpill(t, sy, eh, "/region", lima)
	is.Equal(awaitReport(t, eh, 1+2*spillCalls, notRun), int64(0))

	nearby := sy.hostsIn(lima)
	for _, near := range nearby {
		near.kill()
	}
	for _, near := range nearby {
		awaitReachable(t, eh, near.host, false)
	}
	checkSpillRefused(t, sy, eh, "/nowhere")
	far := sy.hostsIn(cusco)[0]
	cr := command(t, "apply", sy.write(t, "far.yaml", declarationsWithSpill("any")), "--address", far.http)
	is.Equal(cr.code, 0)
	notRun += 1 + awaitSpill(t, eh)
	checkSpill(t, sy, eh, "/far", cusco)
	bytes := awaitReport(t, eh, 2+3*spillCalls, notRun)
	t.Logf("%d bytes between regions", bytes)
	is.True(bytes >= spillCalls*int64(2*len("wax"))) // request and response
}
