//go:build linux

package size_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// system is an entry host with a store and a fleet, each in its own
	// process.
	system struct {
		host, fleet, store *process
		client             *client.Client
	}

	// sample is a snapshot of all counters.
	sample struct {
		at          time.Time
		host, fleet usage
		store       usage
		calls       kvsim.Calls
	}
)

const (
	zoneName              = "zone-1"
	gangTasks             = 16
	tasksPerWorker        = 21
	workersPerRack        = 8
	acceleratorsPerWorker = 8
	settleTime            = 8 * time.Second
)

// declarations returns the content of a declarations file with one zone, and
// guarantees in the proportion of 220 to 470 workers. If serves is set, all
// workspaces use one service.
func declarations(workers, workspaces int, serves bool) string {
	var sb strings.Builder
	sb.WriteString("timeZone: America/Lima\nzones:\n")
	fmt.Fprintf(&sb, "  - name: %s\n    region: region\n    racks:\n", zoneName)
	for rack, remaining := 0, workers; remaining > 0; rack, remaining = rack+1, remaining-workersPerRack {
		fmt.Fprintf(&sb, "      - {name: rack-%d, workers: %d, accelerators: %d, cores: 64, memoryGiB: 128}\n",
			rack, min(remaining, workersPerRack), acceleratorsPerWorker)
	}
	if serves {
		sb.WriteString("services:\n  - {name: orders, slots: 8, connections: 60, repeatable: true, spill: none, timeout: 5s, maxBody: 1048576}\n")
	}
	sb.WriteString("workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&sb, "  - name: team-%d\n    weight: 1\n    quota: 2048\n", i)
		if serves {
			sb.WriteString("    services:\n      - {name: orders, slots: 0}\n")
		}
		if i < workers*220/470 {
			fmt.Fprintf(&sb, "    guarantees:\n      - zone: %s\n        shape: {tasks: 4, accelerators: 1, adjacency: rack}\n        count: 1\n", zoneName)
		}
	}
	return sb.String()
}

// start runs a system until the benchmark ends. It returns once the host is the
// scheduler of the zone.
func start(b *testing.B, workers, workspaces, endpoints int) *system {
	b.Helper()
	content := declarations(workers, workspaces, endpoints > 0)
	sy := &system{store: spawn(b, childConfig{Role: roleStore})}
	sy.fleet = spawn(b, childConfig{Role: roleFleet, Store: sy.store.address, Declarations: content, Endpoints: endpoints})
	sy.host = spawn(b, childConfig{Role: roleHost, Store: sy.store.address, Name: "host-1"})
	sy.client = client.New(client.Config{
		Addresses: []string{sy.host.address}, Workspace: "team-0", Caller: "caller", Operator: "operator",
	})
	b.Cleanup(sy.client.Close)
	ctx, cancel := context.WithTimeout(b.Context(), startTime)
	defer cancel()
	if _, err := sy.client.Apply(ctx, []byte(content), 0, startTime); err != nil {
		b.Fatal(err)
	}
	for {
		st, err := sy.client.Status(ctx)
		if err == nil && len(st.Zones) == 1 && st.Zones[0].Scheduler != "" {
			return sy
		}
		if ctx.Err() != nil {
			b.Fatalf("the zone has no scheduler: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// submit submits one gang.
func (sy *system) submit(b *testing.B, key, runTime string, accelerators int) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), startTime)
	defer cancel()
	repeatable := true
	_, err := sy.client.Submit(ctx, client.SubmitRequest{
		Zone:    zoneName,
		Shape:   spec.Shape{Tasks: gangTasks, Accelerators: accelerators, Adjacency: spec.SameZone},
		RunTime: runTime, Repeatable: &repeatable, Command: []string{"sleep", runTime},
	}, key)
	if err != nil {
		b.Fatal(err)
	}
}

// fill starts tasks in the proportion of 10,000 to 470 workers.
func (sy *system) fill(b *testing.B, workers int) {
	b.Helper()
	onAccelerators := workers * (acceleratorsPerWorker - 1) / gangTasks
	all := workers * tasksPerWorker / gangTasks
	for i := range all {
		accelerators := 0
		if i < onAccelerators {
			accelerators = 1
		}
		sy.submit(b, fmt.Sprint("fill-", i), "10h", accelerators)
	}
	sy.await(b, "running", all)
}

// await waits until the given number of jobs is in a state.
func (sy *system) await(b *testing.B, state string, want int) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), 2*startTime)
	defer cancel()
	for {
		li, err := sy.client.Jobs(ctx, client.JobFilter{})
		found := 0
		for _, jb := range li.Jobs {
			if jb.State == state {
				found++
			}
		}
		if found == want {
			return
		}
		if ctx.Err() != nil {
			b.Fatalf("%d of %d jobs are %s: %v", found, want, state, err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// sample reads all counters.
func (sy *system) sample(b *testing.B) sample {
	b.Helper()
	return sample{
		at: time.Now(), host: sy.host.usage(b), fleet: sy.fleet.usage(b), store: sy.store.usage(b), calls: sy.store.calls(b),
	}
}

// report reports the usage per second between two samples.
func report(b *testing.B, label string, from, to sample) {
	b.Helper()
	span := to.at.Sub(from.at).Seconds()
	rate := func(metric string, delta float64) { b.ReportMetric(delta/span, label+metric) }
	rate("%core", (to.host.processor-from.host.processor).Seconds()*100)
	rate("workerB/s", to.fleet.bytes-from.fleet.bytes)
	rate("storeB/s", to.store.bytes-from.store.bytes)
	rate("reads/s", float64(to.calls.Range-from.calls.Range))
	rate("swaps/s", float64(to.calls.Txn-from.calls.Txn))
	rate("renewals/s", float64(to.calls.KeepAlive-from.calls.KeepAlive))
	rate("watches/s", float64(to.calls.Watch-from.calls.Watch))
	b.ReportMetric(to.host.resident/1e6, label+"MB")
}
