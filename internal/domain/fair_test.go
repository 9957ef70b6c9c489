package domain_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// startFairSimulation returns a simulation with fair shares among workspaces.
func startFairSimulation(workers int) *simulation {
	sim := newSimulation(1)
	sim.fairShares = true
	return sim.start(workers)
}

// TestBurstDoesNotDelayOtherWorkspaces makes one workspace submit far more than
// the workers can do, and another one submit a little a second later. Without
// fair shares, the latter would wait behind all work of the first one.
func TestBurstDoesNotDelayOtherWorkspaces(t *testing.T) {
	for name, gang := range map[string]bool{"small tasks": false, "a gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := startFairSimulation(4)
			for i := range 24 {
				jb, pl := oneStepJob(fmt.Sprintf("burst%02d", i), 1, 16, 4*time.Second)
				sim.submit(jb, pl)
			}
			sim.run(time.Second)
			small, pl := oneStepJob("small", 1, 8, 2*time.Second)
			small.Workspace = "b"
			small.Steps[0].Gang = gang
			small.Steps[0].Needs.Accelerators = 2
			sim.submit(small, pl)
			sim.run(20 * time.Second)
			is.Equal(sim.state("small"), batch.Done)
			is.True(sim.turnaround("small") <= small.Queue.Objective(small.CriticalPath()))
			is.Equal(sim.check(), nil)
		})
	}
}

// TestRecentUsageCounts fills all workers by one workspace. Then that one and
// another one, which has used nothing, wait for the same capacity. The other
// one begins first, although it came later.
func TestRecentUsageCounts(t *testing.T) {
	is := is.New(t)
	sim := startFairSimulation(1)
	submit := func(id, workspace string) {
		jb, pl := oneStepJob(id, 1, 8, 3*time.Second)
		jb.Workspace = workspace
		jb.Steps[0].Gang = true
		sim.submit(jb, pl)
		sim.run(100 * time.Millisecond)
	}
	submit("fill", "a")
	submit("again", "a")
	submit("other", "b")
	sim.run(12 * time.Second)
	is.True(sim.endOf("other").Before(sim.endOf("again")))
	is.Equal(sim.check(), nil)
}

// TestTakeoverKeepsUsage elects a new scheduler while one workspace uses all
// workers. Another one that has used nothing still begins before it.
func TestTakeoverKeepsUsage(t *testing.T) {
	is := is.New(t)
	sim := startFairSimulation(1)
	for i, id := range []string{"fill", "again", "other"} {
		jb, pl := oneStepJob(id, 1, 8, 3*time.Second)
		jb.Workspace = []string{"a", "a", "b"}[i]
		jb.Steps[0].Gang = true
		sim.submit(jb, pl)
		sim.run(300 * time.Millisecond)
	}
	sim.elect()
	sim.run(12 * time.Second)
	is.True(sim.endOf("other").Before(sim.endOf("again")))
	is.Equal(sim.check(), nil)
}

// TestJobsOfOneWorkspaceKeepOrder makes jobs of one workspace wait while
// another workspace runs and has no waiting work. They begin in the order of
// their submission.
func TestJobsOfOneWorkspaceKeepOrder(t *testing.T) {
	is := is.New(t)
	sim := startFairSimulation(1)
	for i, id := range []string{"other", "c", "b", "a"} {
		jb, pl := oneStepJob(id, 1, 8, 2*time.Second)
		if i == 0 {
			jb.Workspace = "b"
		}
		sim.submit(jb, pl)
		sim.run(100 * time.Millisecond)
	}
	sim.run(15 * time.Second)
	is.True(sim.endOf("c").Before(sim.endOf("b")))
	is.True(sim.endOf("b").Before(sim.endOf("a")))
}

// TestWorkspaceShareReport makes two workspaces wait while one of them uses all
// workers, and checks the usage that is reported for both.
func TestWorkspaceShareReport(t *testing.T) {
	is := is.New(t)
	sim := startFairSimulation(1)
	for _, id := range []string{"a", "b"} {
		jb, pl := oneStepJob(id, 1, 12, 10*time.Second)
		jb.Workspace = id
		sim.submit(jb, pl)
		sim.run(200 * time.Millisecond)
	}
	sim.run(2 * time.Second)
	wus := sim.backlogReports[len(sim.backlogReports)-1].Usage
	is.Equal(len(wus), 2)
	is.Equal(wus[0].Workspace, "a")
	is.Equal(wus[0].Entitled, 0.5)
	is.Equal(wus[0].Used, 1.0)
	is.Equal(wus[0].Borrowed, 0.5)
	is.Equal(wus[0].Accelerators, 4)
	is.Equal(wus[1].Used, 0.0)
	is.Equal(wus[1].Units, 12)
	is.True(wus[0].RelativeUsage > 1)
	is.True(wus[1].Oldest > time.Second)
}

// TestZoneLossDuringOverload removes a third of the workers at the end of a
// burst. The five workspaces with the least demand still earn at least 85
// percent of their entitlements together, and no invariant is violated.
func TestZoneLossDuringOverload(t *testing.T) {
	is := is.New(t)
	re := replay{
		seed: 3, workers: 48, load: 1.5, burst: 20 * time.Second, pause: 8 * time.Second, length: 40 * time.Second, demand: skewed,
		during: func(sim *simulation, elapsed time.Duration) {
			if elapsed != 19*time.Second {
				return
			}
			for i := range 16 {
				id := fmt.Sprintf("w%d%03d", i/8%10, i)
				sim.fleet.Remove(sim.now, id)
				delete(sim.workers, id)
				sim.notify(domain.Unlisted{ID: id})
			}
		},
	}
	su := re.run(re.start())
	t.Log("\n" + su.String())
	is.Equal(su.violations, nil)
	earned, entitled := 0.0, 0.0
	for _, ws := range []string{"f", "g", "h", "i", "j"} {
		earned += su.byWorkspace[ws].earned
		entitled += su.entitled[ws]
	}
	is.True(earned >= 0.85*entitled)
}

// TestGuaranteeDespiteBorrowedCapacity makes workspaces borrow all workers, and
// uses the guarantee of another one. All of its work is running 1.5 s after its
// submission.
func TestGuaranteeDespiteBorrowedCapacity(t *testing.T) {
	is := is.New(t)
	sim := startFairSimulation(6)
	for i := range 12 {
		jb, pl := oneStepJob(fmt.Sprintf("fill%02d", i), 2, 12, 20*time.Second)
		jb.Workspace = []string{"a", "c", "d"}[i%3]
		sim.submit(jb, pl)
	}
	sim.run(3 * time.Second)
	is.True(sim.fleet.Running("fill00") > 0)
	jb, pl := oneStepJob("now", 0, 16, 2*time.Second)
	jb.Workspace = "b"
	sim.submit(jb, pl)
	sim.run(1500 * time.Millisecond)
	is.Equal(sim.fleet.Running("now"), 16)
	is.Equal(sim.check(), nil)
}

// TestUnderservedWaitIsBounded generates loads of one queue, including gangs,
// with distant objectives, since work of another class has an order of its own.
// A workspace with less than half of its share does not wait beside one above
// its share for longer than the longest run time multiplied by the number of
// workspaces: each of the others may have a gang before it that needs more than
// a share. The factor of one half allows for units that can't be divided. Every
// job ends, and no worker is overcommitted.
func TestUnderservedWaitIsBounded(t *testing.T) {
	const longest = 4 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		sim := startFairSimulation(rapid.IntRange(2, 4).Draw(rt, "workers"))
		tenants := rapid.IntRange(2, 5).Draw(rt, "workspaces")
		for i := range rapid.IntRange(10, 40).Draw(rt, "jobs") {
			work := time.Duration(rapid.IntRange(1, int(longest/time.Second)).Draw(rt, "work")) * time.Second
			jb, pl := oneStepJob(fmt.Sprintf("j%02d", i), 1, rapid.IntRange(1, 8).Draw(rt, "tasks"), work)
			jb.Workspace = workspaces[:tenants][rapid.IntRange(0, tenants-1).Draw(rt, "workspace"):][:1]
			jb.Steps[0].Gang = rapid.Bool().Draw(rt, "gang")
			jb.Steps[0].Needs.Accelerators = rapid.SampledFrom([]int{1, 1, 2}).Draw(rt, "accelerators")
			jb.Queue.Stretch = 100
			sim.submit(jb, pl)
			sim.run(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond)
		}
		for waited := time.Duration(0); waited < time.Minute && len(sim.endTimes) < len(sim.accepted); waited += time.Second {
			sim.run(time.Second)
		}
		for _, id := range sim.accepted {
			if sim.state(id) != batch.Done {
				rt.Fatalf("%s starved", id)
			}
		}
		if violations := sim.check(); violations != nil {
			rt.Fatal(violations)
		}
		if waited := sim.longestUnderservedWait(); waited > time.Duration(tenants)*longest {
			rt.Fatalf("a workspace below its share waited for %v", waited)
		}
	})
}

// longestUnderservedWait returns the longest time for which a workspace with
// less than half of its share waited while another one was above its share, by
// the reports of each second.
func (sim *simulation) longestUnderservedWait() time.Duration {
	lengths := map[string]time.Duration{}
	var longest time.Duration
	for _, br := range sim.backlogReports {
		above := ""
		for _, wu := range br.Usage {
			if wu.Borrowed > 0 {
				above = wu.Workspace
			}
		}
		for _, name := range workspaces {
			at := slices.IndexFunc(br.Usage, func(wu domain.WorkspaceUsage) bool { return wu.Workspace == string(name) })
			if at < 0 || above == "" || br.Usage[at].Units == 0 || br.Usage[at].Used >= br.Usage[at].Entitled/2 {
				lengths[string(name)] = 0
				continue
			}
			lengths[string(name)] += time.Second
			longest = max(longest, lengths[string(name)])
		}
	}
	return longest
}
