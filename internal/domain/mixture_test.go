package domain_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

var (
	mixtures     = flag.Int("domain.mixtures", 40, "number of seeds of TestRandomMixtures")
	firstMixture = flag.Uint64("domain.firstmixture", 0, "first seed of TestRandomMixtures")
)

// mixture is a random mixture of troubles of workers, replies, the store and hosts.
type mixture struct {
	*simulation
	ids    []string
	counts map[string]int // of each kind of trouble
	next   int            // number of the next new worker
}

// TestRandomMixtures lets replies arrive late and out of order, lists of ends be cut
// off, the store be away and drop the entries of workers, other writers put entries,
// workers crash, return as others or be cut off, and leaders be killed or cut off, in
// any order. It guards against taking for evidence what isn't, and against
// acknowledging what no record holds. A single seed N is run by -domain.mixtures 1
// -domain.firstmixture N.
func TestRandomMixtures(t *testing.T) {
	for i := range *mixtures {
		seed := *firstMixture + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runMixture(t, newMixture(seed))
		})
	}
}

// newMixture returns a mixture with six workers and a scheduler, in which a few calls
// are lost or late.
func newMixture(seed uint64) *mixture {
	mx := &mixture{simulation: newSimulation(seed), counts: map[string]int{}}
	for i := range 6 {
		id := fmt.Sprintf("w%d%d", i%2, i)
		mx.ids = append(mx.ids, id)
		mx.addWorker(id, 8)
	}
	mx.elect()
	mx.faults = faults{
		lost: 0.03 * mx.rng.Float64(), late: 0.02 * mx.rng.Float64(), drop: 0.03 * mx.rng.Float64(), slow: 0.2 * mx.rng.Float64(),
	}
	return mx
}

// endTroubles ends all troubles, and elects a scheduler if there is none.
func (mx *mixture) endTroubles() {
	mx.clearFaults()
	for _, id := range mx.ids {
		mx.fleet.Fail(id, false)
	}
	mx.run(3 * time.Second) // until entries are back
	if mx.leader.dead || mx.leader.partitioned {
		mx.elect()
	}
}

// runMixture plays a mixture, and returns what stood still once its troubles were over.
func runMixture(t *testing.T, mx *mixture) *calmWatch {
	for step := range 80 {
		mx.run(time.Duration(mx.rng.IntN(600)) * time.Millisecond)
		mx.inject(step)
		if violations := mx.check(); len(violations) > 0 {
			t.Fatalf("violations: %v\n%s", violations, mx.logTail())
		}
	}
	mx.endTroubles()
	watch := mx.watchCalm()
	mx.run(2 * time.Minute)
	if violations := mx.check(); len(violations) > 0 {
		t.Fatalf("violations: %v\n%s", violations, mx.logTail())
	}
	for _, id := range mx.accepted {
		if !mx.state(id).Final() || mx.fleet.Running(id) > 0 {
			t.Errorf("job %s is %v at the end, %d of its tasks run\n%s", id, mx.state(id), mx.fleet.Running(id), mx.logTail())
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(mx.counts)) {
		t.Logf("%s: %d", kind, mx.counts[kind])
	}
	return watch
}

// inject submits a job, or injects or ends one trouble.
func (mx *mixture) inject(step int) {
	at := mx.rng.IntN(len(mx.ids))
	id := mx.ids[at]
	kind := "job"
	switch n := mx.rng.IntN(100); {
	case n < 30:
		mx.submitRandom(fmt.Sprintf("j%03d", step))
	case n < 42:
		kind = "many small tasks"
		mx.submitSmall(fmt.Sprintf("j%03d", step))
	case n < 46 && len(mx.accepted) > 0:
		kind = "cancelled"
		mx.cancel(mx.accepted[mx.rng.IntN(len(mx.accepted))])
	case n < 51:
		kind = "worker restarts"
		mx.addWorker(id, 8)
	case n < 56:
		kind = "worker is replaced"
		mx.next++
		mx.ids[at] = fmt.Sprintf("n%s%d", id[1:2], mx.next)
		mx.replaceWorker(id, mx.ids[at], time.Duration(mx.rng.IntN(1500))*time.Millisecond)
	case n < 60:
		kind = "worker fails its tasks"
		mx.fleet.Fail(id, mx.rng.IntN(3) == 0)
	case n < 65:
		kind = "worker cut off"
		mx.unreachable[id] = true
	case n < 74:
		delete(mx.unreachable, id)
		return
	case n < 80:
		kind = "foreign entry"
		mx.putForeignEntry(id)
	case n < 86:
		kind = "store away"
		mx.takeStoreAway(time.Duration(500+mx.rng.IntN(5500)) * time.Millisecond)
	case n < 91:
		kind = "leader killed"
		mx.electUnlessAway()
	case n < 95:
		kind = "leader cut off"
		mx.partitionLeader()
	default:
		kind = "entry lapses"
		mx.lapse(id)
	}
	mx.counts[kind]++
}

// submitSmall submits more small tasks than the workers list ends of at a time.
func (mx *mixture) submitSmall(id string) {
	work := time.Duration(100+mx.rng.IntN(1500)) * time.Millisecond
	jb, pl := oneStepJob(id, mx.rng.IntN(3), 10+mx.rng.IntN(50), work)
	jb.Steps[0].Needs = batch.Resources{MilliCPU: 200}
	mx.submit(jb, pl)
}

// putForeignEntry has another writer put an entry with the address of a worker.
func (mx *mixture) putForeignEntry(id string) {
	wk := mx.workers[id]
	wk.ID, wk.Service = "x"+id, "other"
	wk.Born += int64(mx.rng.IntN(20_000)) - 5000
	mx.fleet.Misdirect(wk.ID)
	mx.notify(domain.Listed{Worker: wk})
}

// lapse drops the entry of a worker, which is back within two seconds.
func (mx *mixture) lapse(id string) {
	wk, ok := mx.workers[id]
	if !ok || mx.lapsed[id] {
		return
	}
	mx.lapsed[id] = true
	mx.notify(domain.StoreReturned{})
	mx.storeReturnedAt = mx.now
	mx.notify(domain.Unlisted{ID: id})
	mx.after(time.Duration(100+mx.rng.IntN(1800))*time.Millisecond, func() {
		delete(mx.lapsed, id)
		if _, listed := mx.workers[id]; listed {
			mx.notify(domain.Listed{Worker: mx.workers[wk.ID]})
		}
	})
}

// takeStoreAway makes the store silent for some time. Leases and entries expire
// meanwhile, or they pause.
func (mx *mixture) takeStoreAway(d time.Duration) {
	if mx.now.Before(mx.awayUntil) {
		return
	}
	mx.awayUntil = mx.now.Add(d)
	expires := d > domain.LeaderLeaseTime && mx.rng.IntN(2) == 0
	if expires {
		former := mx.leader
		former.partitioned = true
		mx.after(domain.MaxRenewalAge, func() { former.dead = true })
	}
	mx.after(d, func() {
		mx.storeReturnedAt = mx.now
		mx.notify(domain.StoreReturned{})
		if !expires {
			return
		}
		for _, id := range slices.Sorted(maps.Keys(mx.workers)) {
			if mx.rng.IntN(3) == 0 {
				mx.lapse(id)
			}
		}
		mx.elect()
	})
}

func (mx *mixture) electUnlessAway() {
	if mx.now.Before(mx.awayUntil) {
		return
	}
	mx.elect()
}

// checkAcknowledged records a violation if the record of a job does not account for
// an end that a scheduler acknowledges.
func (sim *simulation) checkAcknowledged(en runner.End) {
	if en.Reason != runner.Succeeded && en.Reason != runner.Failed {
		return
	}
	jb, rc := sim.jobs[en.Task.Job], sim.records[en.Task.Job]
	step := jb.Steps[en.Task.Step]
	if rc.State.Final() || step.LongRunning || en.Task.Occurrence < rc.Finished {
		return
	}
	if _, cancelled := sim.cancelled[jb.ID]; cancelled {
		return
	}
	index := en.Task.Index
	if step.Gang {
		index = 0
	}
	for _, tr := range rc.Succeeded {
		if tr.Occurrence == en.Task.Occurrence && tr.Step == en.Task.Step && index >= tr.First && index < tr.First+tr.Count {
			return
		}
	}
	for _, ur := range rc.Units {
		if ur.Occurrence == en.Task.Occurrence && ur.Step == en.Task.Step && ur.Index == index {
			if ur.Done || en.Reason == runner.Failed && slices.Contains(ur.FailedAttempts, en.Attempt) {
				return
			}
		}
	}
	sim.violations = append(sim.violations, fmt.Sprintf("the end %v of %s attempt %d is acknowledged, but on no record", en.Reason, en.Task, en.Attempt))
}
