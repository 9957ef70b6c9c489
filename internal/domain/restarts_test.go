package domain_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

var (
	restarts        = flag.Int("domain.restarts", 60, "number of seeds of the tests of restarted workers")
	firstRestart    = flag.Uint64("domain.firstrestart", 0, "first seed of the tests of restarted workers")
	restartsBounded = flag.Bool("domain.restartsbounded", false, "play restarted workers with the shorter wait of a successor, which hosts don't use")
)

// restartWorld is a simulation in which workers restart under their IDs while calls to
// them are on their way.
type restartWorld struct {
	*simulation
	ids       []string
	takeovers bool           // leaders are killed or cut off
	holdUps   bool           // workers hold up calls, and a few calls and replies are lost or late
	counts    map[string]int // of each kind of trouble
}

const (
	restartSteps = 60
	// maxDowntime is the longest time until a worker that has crashed is back.
	maxDowntime = 3 * time.Second
	// maxEntryLag is the longest time until its entry shows that.
	maxEntryLag = 2 * time.Second
	// maxCut is the longest time for which a worker is cut off.
	maxCut = 15 * time.Second
	// maxHeldSpan is the longest time in which a worker holds up what it is sent.
	maxHeldSpan = time.Second
	// calmAfterRestarts is the time in which everything has to end without trouble.
	calmAfterRestarts = 2 * time.Minute
)

// TestRestartedWorkersRunNothingTwice has workers crash and return under their IDs, with
// calls on their way that the next incarnation carries out, cuts them off before or after
// its first reply, loses replies, and kills leaders or cuts them off. It guards against
// leases, starts and acknowledgements that mean something else to another incarnation. A
// single seed N is run by -domain.restarts 1 -domain.firstrestart N.
func TestRestartedWorkersRunNothingTwice(t *testing.T) { eachRestart(t, nothingLost) }

// TestOpenCallsOfRestartedWorkersRunNothingTwice does the same with calls that are lost in
// a crash if their caller had given them up before.
func TestOpenCallsOfRestartedWorkersRunNothingTwice(t *testing.T) { eachRestart(t, givenUpLost) }

// TestCallsToDownWorkersRunNothingTwice does the same with calls that are lost in a crash
// if they were sent before it, so that only those to a worker that is down are carried
// out by its next incarnation.
func TestCallsToDownWorkersRunNothingTwice(t *testing.T) { eachRestart(t, sentBeforeLost) }

func eachRestart(t *testing.T, loss crashLoss) {
	for i := range *restarts {
		seed := *firstRestart + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rw := newRestartWorld(seed)
			rw.transit.crashLoss = loss
			rw.play(t)
		})
	}
}

// newRestartWorld returns a world with six workers and a scheduler.
func newRestartWorld(seed uint64) *restartWorld {
	rw := &restartWorld{simulation: newSimulation(seed), counts: map[string]int{}}
	rw.formerUnbounded = !*restartsBounded
	for i := range 6 {
		id := fmt.Sprintf("w%d%d", i%2, i)
		rw.ids = append(rw.ids, id)
		rw.addWorker(id, 8)
	}
	rw.elect()
	tr := rw.carryCallsOver()
	rw.takeovers, rw.holdUps = rw.rng.IntN(2) == 0, rw.rng.IntN(2) == 0
	if !rw.holdUps {
		return rw
	}
	tr.dropped, tr.held, tr.lost = 0.03*rw.rng.Float64(), 0.1*rw.rng.Float64(), 0.05*rw.rng.Float64()
	return rw
}

// play plays the world to its end and reports what broke a rule, and what has not ended.
func (rw *restartWorld) play(t *testing.T) {
	for range restartSteps {
		rw.run(rw.upTo(800 * time.Millisecond))
		rw.inject()
		rw.report(t)
	}
	rw.endTroubles()
	rw.report(t)
	for end := rw.now.Add(calmAfterRestarts); rw.now.Before(end) && !rw.allEnded(); {
		rw.run(time.Second)
	}
	rw.report(t)
	for _, id := range rw.accepted {
		if !rw.state(id).Final() || rw.fleet.Running(id) > 0 {
			t.Errorf("job %s is %v at the end, %d of its tasks run\n%s", id, rw.state(id), rw.fleet.Running(id), rw.logTail())
		}
	}
	maps.Copy(rw.counts, rw.transit.counts)
	for _, kind := range slices.Sorted(maps.Keys(rw.counts)) {
		t.Logf("%s: %d", kind, rw.counts[kind])
	}
}

// report ends the test if a rule is broken.
func (rw *restartWorld) report(t *testing.T) {
	if violations := rw.check(); len(violations) > 0 {
		t.Fatalf("violations: %v\n%s", violations, rw.storyOf(violations[0]))
	}
}

func (rw *restartWorld) allEnded() bool {
	return !slices.ContainsFunc(rw.accepted, func(id string) bool {
		return !rw.state(id).Final() || rw.fleet.Running(id) > 0
	})
}

// endTroubles ends all troubles, and elects a scheduler if there is none.
func (rw *restartWorld) endTroubles() {
	tr := rw.transit
	tr.dropped, tr.held, tr.lost = 0, 0, 0
	clear(tr.heldUntil)
	rw.run(maxDowntime + maxEntryLag)
	for _, id := range rw.ids {
		rw.reconnect(id)
	}
	if rw.leader.dead || rw.leader.partitioned {
		rw.elect()
	}
}

// inject submits a job, or injects one trouble.
func (rw *restartWorld) inject() {
	id := rw.ids[rw.rng.IntN(len(rw.ids))]
	kind := "job"
	switch n := rw.rng.IntN(100); {
	case n < 38:
		rw.submitAny()
	case n < 41 && len(rw.accepted) > 0:
		kind = "cancelled"
		rw.cancel(rw.accepted[rw.rng.IntN(len(rw.accepted))])
	case n < 62:
		kind = "worker restarts"
		rw.restart(id)
	case n < 72:
		kind = "zone restarts"
		for _, other := range rw.ids {
			if rw.workers[other].Zone == rw.workers[id].Zone {
				rw.restart(other)
			}
		}
	case n < 78:
		kind = "worker cut off"
		rw.cutOff(id)
	case n < 86 && rw.holdUps:
		kind = "calls held up"
		rw.holdUp(id)
	case n >= 86 && n < 92 && rw.takeovers:
		kind = "leader killed"
		rw.killLeader()
	case n >= 92 && n < 95 && rw.takeovers:
		kind = "leader cut off"
		if !rw.leader.dead && !rw.leader.partitioned {
			rw.partitionLeader()
			rw.transit.log("", "the leader is cut off from the store")
		}
	default:
		return
	}
	rw.counts[kind]++
}

// submitAny submits a job of a few long tasks, of many short ones, or of another shape.
func (rw *restartWorld) submitAny() {
	id := rw.nextJob()
	switch rw.rng.IntN(4) {
	case 0, 1:
		rw.submitLong(id, "")
	case 2:
		jb, pl := oneStepJob(id, rw.rng.IntN(3), 5+rw.rng.IntN(15), rw.upTo(1500*time.Millisecond))
		jb.Steps[0].Needs = batch.Resources{MilliCPU: 500}
		rw.submit(jb, pl)
	default:
		rw.submitRandom(id)
	}
}

// submitLong submits a job of a few long tasks with data on a rack, if one is named.
func (rw *restartWorld) submitLong(id, rack string) {
	jb, pl := oneStepJob(id, rw.rng.IntN(3), 1+rw.rng.IntN(6), 2*time.Second+rw.upTo(13*time.Second))
	jb.Steps[0].Needs.Accelerators = 1 + rw.rng.IntN(2)
	jb.Steps[0].DataRack = rack
	rw.submit(jb, pl)
}

func (rw *restartWorld) nextJob() string { return fmt.Sprintf("j%03d", len(rw.accepted)) }

// restart crashes a worker, which returns under its ID and may be cut off some time after
// that, possibly before its first reply.
func (rw *restartWorld) restart(id string) {
	if rw.transit.dark[id] {
		return
	}
	downtime := rw.upTo(time.Second)
	if rw.rng.IntN(4) == 0 {
		downtime = rw.upTo(maxDowntime)
	}
	lag := rw.upTo(50 * time.Millisecond)
	if rw.rng.IntN(2) == 0 {
		lag = rw.upTo(maxEntryLag)
	}
	rw.transit.crash(id, downtime, lag)
	if rw.rng.IntN(3) == 0 { // a start to a worker that is down
		rw.after(rw.upTo(downtime), func() { rw.submitLong(rw.nextJob(), rw.workers[id].Rack) })
	}
	if rw.rng.IntN(3) > 0 {
		rw.after(downtime+rw.upTo(3*time.Second), func() { rw.cutOff(id) })
	}
}

// cutOff makes a worker unreachable for some time. Its entry may lapse meanwhile.
func (rw *restartWorld) cutOff(id string) {
	if rw.unreachable[id] {
		return
	}
	rw.unreachable[id] = true
	rw.transit.log("", id+" is cut off")
	span := rw.upTo(maxCut)
	if span > entryTimeout && rw.rng.IntN(2) == 0 {
		rw.after(entryTimeout, func() {
			if rw.unreachable[id] {
				rw.lapsed[id] = true
				rw.transit.log("", "the entry of "+id+" lapses")
				rw.notify(domain.Unlisted{ID: id})
			}
		})
	}
	rw.after(span, func() { rw.reconnect(id) })
}

// reconnect ends a cut. The entry of the worker is back, and names its incarnation.
func (rw *restartWorld) reconnect(id string) {
	delete(rw.unreachable, id)
	rw.transit.log("", id+" is connected again")
	if !rw.lapsed[id] {
		return
	}
	delete(rw.lapsed, id)
	wk := rw.workers[id]
	if born := rw.fleet.Born(id); born != 0 {
		wk.Born = born
	}
	rw.workers[id] = wk
	rw.notify(domain.Listed{Worker: wk})
}

// holdUp has a worker carry out the calls of a short time together, up to maxCallAge
// later.
func (rw *restartWorld) holdUp(id string) {
	rw.transit.heldUntil[id] = rw.now.Add(rw.upTo(maxCallAge))
	rw.after(rw.upTo(maxHeldSpan), func() { delete(rw.transit.heldUntil, id) })
}

// killLeader ends the leader, which has a successor once its lease has expired.
func (rw *restartWorld) killLeader() {
	former := rw.leader
	if former.dead || former.partitioned {
		return
	}
	former.dead = true
	rw.transit.log("", "the leader is killed")
	rw.after(domain.LeaderLeaseTime+rw.upTo(time.Second), func() {
		if rw.leader == former {
			rw.elect()
		}
	})
}

// storyOf returns what is logged of the job that a violation names, and of the workers and
// leaders.
func (rw *restartWorld) storyOf(violation string) string {
	for _, id := range rw.accepted {
		if strings.Contains(violation, id) {
			return rw.story(standstill{task: batch.TaskID{Job: id}, since: rw.now.Add(-maxCallAge), at: rw.now})
		}
	}
	return rw.logTail()
}
