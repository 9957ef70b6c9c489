package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// processor is the processor of a scheduler's host, of which a simulation with one has
	// only a part. Goroutines take it in turn: the loop that passes events to the core, for
	// a time slice, and each call to a worker or to the store.
	processor struct {
		sim       *simulation
		cores     float64
		ready     []work // goroutines that wait for the processor
		isBusy    bool
		loopReady bool // the loop is running or waits for the processor
		slice     time.Duration
		events    []lateEvent
		urgent    []lateEvent // handled before events, as in package drive
		ticks     []lateEvent // one Ticked and one Prompted at most
		withdraws map[domain.Withdraw]func()
		repeats   map[domain.Repeat]func()
		confirmed time.Time     // when the last confirmed renewal of the scheduler's lease was sent
		waits     []eventWait   // of all events
		longest   time.Duration // that the core has taken for an event
		spent     time.Duration // by the core
		passCost  time.Duration // by its passes
	}

	// work does something and returns its cost on one core and what follows it.
	work func() (time.Duration, func())

	// lateEvent is an event in the queue of a leader.
	lateEvent struct {
		at time.Time
		le *leader
		ev domain.Event
	}

	eventWait struct {
		at     time.Time
		waited time.Duration
	}
)

// Costs on one core.
const (
	stepCost   = 150 * time.Nanosecond // see domain.Core.Steps
	eventCost  = 5 * time.Microsecond
	sendCost   = 60 * time.Microsecond
	replyCost  = 40 * time.Microsecond
	recordCost = 25 * time.Microsecond // of a commit
	// timeSlice is how long a goroutine keeps the processor while others wait.
	timeSlice = 10 * time.Millisecond
	// renewInterval is the time between two renewals of the scheduler's lease.
	renewInterval = 250 * time.Millisecond
)

// slowDown gives the host of the scheduler a part of a processor.
func (sim *simulation) slowDown(cores float64) *processor {
	pr := &processor{sim: sim, cores: cores, withdraws: map[domain.Withdraw]func(){}, repeats: map[domain.Repeat]func(){}, confirmed: sim.now}
	sim.processor = pr
	pr.renew()
	return pr
}

// add adds work at the end of the queue for the processor.
func (pr *processor) add(wo work) {
	pr.ready = append(pr.ready, wo)
	if !pr.isBusy {
		pr.isBusy = true
		pr.runNext()
	}
}

// runNext takes the work that has waited for the longest time.
func (pr *processor) runNext() {
	if len(pr.ready) == 0 {
		pr.isBusy = false
		return
	}
	wo := pr.ready[0]
	pr.ready = pr.ready[1:]
	cost, then := wo()
	pr.sim.after(pr.scale(cost), func() {
		then()
		pr.runNext()
	})
}

// scale returns the time that work of some cost takes.
func (pr *processor) scale(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) / pr.cores)
}

// queue queues an event for the loop of a leader.
func (pr *processor) queue(le *leader, ev domain.Event) {
	late := lateEvent{pr.sim.now, le, ev}
	switch ev.(type) {
	case domain.Ticked, domain.Prompted:
		for _, tk := range pr.ticks {
			if fmt.Sprintf("%T", tk.ev) == fmt.Sprintf("%T", ev) {
				return
			}
		}
		pr.ticks = append(pr.ticks, late)
	case domain.Accepted, domain.CancelRequested, domain.Committed, domain.EvacuationSet:
		pr.urgent = append(pr.urgent, late)
	default:
		pr.events = append(pr.events, late)
	}
	if !pr.loopReady {
		pr.loopReady, pr.slice = true, 0
		pr.add(pr.loop)
	}
}

// loop handles one event, and goes on with the next one until its time slice is over.
func (pr *processor) loop() (time.Duration, func()) {
	late, queued := pr.next()
	cost, perform := pr.handle(late, queued)
	pr.slice += pr.scale(cost)
	return cost, func() {
		perform()
		switch {
		case len(pr.events)+len(pr.urgent)+len(pr.ticks) == 0:
			pr.loopReady = false
		case pr.slice < timeSlice:
			pr.ready = append([]work{pr.loop}, pr.ready...)
		default:
			pr.slice = 0
			pr.ready = append(pr.ready, pr.loop)
		}
	}
}

// next takes an event from the queues, as the loop of package drive does, and reports
// whether it comes from the queue of events that are not urgent.
func (pr *processor) next() (late lateEvent, queued bool) {
	queue := &pr.events
	switch {
	case len(pr.urgent) > 0:
		queue = &pr.urgent
	case len(pr.ticks) > 0 && (len(pr.events) == 0 || pr.sim.rng.IntN(1+len(pr.ticks)) > 0):
		queue = &pr.ticks
	}
	late = (*queue)[0]
	*queue = (*queue)[1:]
	return late, queue == &pr.events
}

// handle passes an event to the core, and returns what it costs and what carries out its
// effects.
func (pr *processor) handle(late lateEvent, queued bool) (time.Duration, func()) {
	if late.le.dead {
		return 0, func() {}
	}
	sim, co := pr.sim, late.le.core
	pr.waits = append(pr.waits, eventWait{sim.now, sim.now.Sub(late.at)})
	co.ConfirmLease(sim.now, pr.confirmed)
	if queued {
		co.ObserveWait(sim.now, sim.now.Sub(late.at))
	}
	former, passes := co.Steps(), co.Passes()
	effects := co.Handle(sim.now, late.ev)
	cost := eventCost + time.Duration(co.Steps()-former)*stepCost
	if co.Passes() > passes {
		co.ObservePass(pr.scale(cost))
		pr.passCost += cost
	}
	pr.spent += cost
	pr.longest = max(pr.longest, cost)
	return cost, func() {
		for _, ef := range effects {
			sim.perform(late.le, ef)
		}
		if co.NeedsPrompt() {
			sim.promptLater(late.le)
		}
	}
}

// renew renews the lease of the scheduler again and again.
func (pr *processor) renew() {
	sent := pr.sim.now
	pr.cost(sendCost, func() {
		pr.sim.after(storeDelay, func() {
			pr.cost(replyCost, func() { pr.confirmed = later(pr.confirmed, sent) })
		})
	})
	pr.sim.after(renewInterval, pr.renew)
}

// cost does something after work of a given cost.
func (pr *processor) cost(cost time.Duration, then func()) {
	pr.add(func() (time.Duration, func()) { return cost, then })
}

// call makes a start or a stop, and makes it again if there is no reply for repeatDelay.
// Its times begin at once, though it may wait for the processor.
func (pr *processor) call(le *leader, ef domain.Effect, do func() reply, outcome func(reply) domain.Event) {
	sim := pr.sim
	settled, repeated := false, false
	settle := func(rp reply) {
		if !settled {
			settled = true
			rp.repeated = repeated
			pr.queue(le, outcome(rp))
		}
	}
	answer := func(rp reply) {
		if st, ok := ef.(domain.Start); ok && settled && repeated {
			pr.queue(le, domain.Answered{Call: st})
		}
		settle(rp)
	}
	send := func() {
		pr.cost(sendCost, func() {
			if settled {
				return
			}
			sim.after(networkDelay, func() {
				rp := do()
				sim.after(networkDelay, func() { pr.cost(replyCost, func() { answer(rp) }) })
			})
		})
	}
	giveUp := func() { settle(reply{err: runner.ErrOutcomeUnknown}) }
	resend := func() {
		if !settled {
			repeated = true
			send()
		}
	}
	late, lateAfter := resend, repeatDelay
	if st, ok := ef.(domain.Start); ok {
		pr.withdraws[domain.Withdraw{Worker: st.Worker.ID, Task: st.Request.Task, Attempt: st.Request.Attempt}] = func() {
			if !repeated {
				giveUp()
			}
		}
		due := sim.now.Add(repeatDelay)
		pr.repeats[domain.Repeat{Worker: st.Worker.ID, Task: st.Request.Task, Attempt: st.Request.Attempt}] = func() {
			sim.after(max(0, due.Sub(sim.now)), resend)
		}
		late, lateAfter = func() { pr.queue(le, domain.Unanswered{Call: st}) }, unansweredDelay
	}
	send()
	sim.after(lateAfter, func() {
		if !settled {
			late()
		}
	})
	sim.after(callTimeout, giveUp)
}

// poll makes a poll.
func (pr *processor) poll(le *leader, ef domain.Poll) {
	sim, rq := pr.sim, ef.Request
	settled := false
	settle := func(ev domain.Polled) {
		if !settled {
			settled = true
			pr.queue(le, ev)
		}
	}
	var until time.Time
	var try func()
	try = func() {
		st, err := sim.fleet.Poll(sim.now, ef.Worker.ID, rq)
		rq.Acked, rq.Deadline = 0, 0 // applied once, when the call arrives
		if err == nil && len(st.Ended.Ends) == 0 && sim.now.Before(until) {
			sim.after(pollStep, try)
			return
		}
		sim.after(networkDelay, func() {
			pr.cost(replyCost, func() { settle(domain.Polled{Call: ef, Status: st, Err: err}) })
		})
	}
	pr.cost(sendCost, func() {
		sim.after(networkDelay, func() {
			until = sim.now.Add(rq.Wait)
			try()
		})
	})
	sim.after(callTimeout+rq.Wait, func() { settle(domain.Polled{Call: ef, Err: runner.ErrOutcomeUnknown}) })
}

// longestWait returns the longest wait of an event that was handled in a part of the
// simulation, or that is still queued.
func (pr *processor) longestWait(from, to time.Time) time.Duration {
	longest := time.Duration(0)
	for _, ew := range pr.waits {
		if !ew.at.Before(from) && ew.at.Before(to) {
			longest = max(longest, ew.waited)
		}
	}
	if len(pr.events) > 0 && !to.Before(pr.sim.now) {
		longest = max(longest, pr.sim.now.Sub(pr.events[0].at))
	}
	return longest
}

// burst is a simulation in which the jobs of a full service come within a short time to
// a scheduler whose workers are all idle.
type burst struct {
	*simulation
	processor *processor
}

const (
	burstTime = 2 * time.Second
	// catchUpTime is how long after a burst events may be late.
	catchUpTime = 6 * time.Second
	// weakestCores is half of what the weakest hosts of a large fleet have.
	weakestCores = 0.1
	// maxCalmWait is how late events may be after that.
	maxCalmWait = 500 * time.Millisecond
)

func newBurst(workers int, cores float64) *burst {
	sim := newSimulation(uint64(workers))
	iw := &instantWorkers{}
	sim.policy.Workspaces = []batch.Workspace{{Name: "a", Guaranteed: workers}}
	for _, wk := range manyWorkers(workers) {
		wk.Born = sim.fleet.Add(sim.now, wk.ID, wk.Capacity, 1)
		sim.workers[wk.ID] = wk
	}
	bu := &burst{simulation: sim, processor: sim.slowDown(cores)}
	sim.electOn(cores)
	sim.run(2 * time.Second)
	jobs := iw.jobs(workers)
	for i, jb := range jobs {
		sim.after(burstTime*time.Duration(i)/time.Duration(len(jobs)), func() { sim.submit(jb, taskPlan{work: jb.Steps[0].RunTime}) })
	}
	sim.run(burstTime)
	return bu
}

// expiredLeases counts the runs that were given up since the leases of their workers had
// expired.
func (sim *simulation) expiredLeases() int {
	n := 0
	for _, ld := range sim.decisions {
		if ld.Decision == "lost" && ld.Cause == domain.LeaseExpired {
			n++
		}
	}
	return n
}

// TestCatchesUpAfterBurst fills a fleet within two seconds from hosts with more and less
// of a processor. It guards against a scheduler that falls behind and stays there, since
// what is late makes more work: calls that are repeated and given up, workers that are
// judged anew, leases that expire although their workers reply.
func TestCatchesUpAfterBurst(t *testing.T) {
	for _, workers := range []int{48, 350, 1100} {
		for _, cores := range []float64{0.4, 0.2} {
			t.Run(fmt.Sprintf("%d workers, %v cores", workers, cores), func(t *testing.T) {
				t.Parallel()
				bu := newBurst(workers, cores)
				pr := bu.processor
				end := bu.now
				bu.run(catchUpTime)
				calm := bu.now
				bu.run(4 * time.Second)
				late, later := pr.longestWait(end.Add(-burstTime), calm), pr.longestWait(calm, bu.now)
				share := pr.spent.Seconds() / cores / bu.now.Sub(startTime).Seconds()
				t.Logf("longest wait %v, then %v; core %.2f of the processor, an event %v at most; %d leases expired", late, later, share, pr.scale(pr.longest), bu.expiredLeases())
				if later > maxCalmWait {
					t.Errorf("an event waited for %v, %v after the burst; at most %v are permitted", later, catchUpTime, maxCalmWait)
				}
				if n := bu.expiredLeases(); n > 0 {
					t.Errorf("%d runs were given up since leases had expired, although every worker replies", n)
				}
				if violations := bu.check(); len(violations) > 0 {
					t.Errorf("violations: %v", violations[:min(5, len(violations))])
				}
			})
		}
	}
}

// TestCatchesUpAfterTakeover replaces the scheduler of a full fleet by one on a host with
// more or less of a processor, which has to learn what runs where while jobs go on to come.
// It guards against a takeover that falls behind: all workers respond at once. The weakest
// host may be late for longer, but no lease of a worker that replies may expire.
func TestCatchesUpAfterTakeover(t *testing.T) {
	for _, workers := range []int{48, 1100} {
		for _, cores := range []float64{0.2, weakestCores} {
			t.Run(fmt.Sprintf("%d workers, %v cores", workers, cores), func(t *testing.T) {
				t.Parallel()
				bu := newBurst(workers, 0.8)
				bu.run(3 * time.Second)
				bu.leader.dead = true
				bu.run(domain.LeaderLeaseTime)
				bu.processor.cores = cores
				for i, jb := range (&instantWorkers{}).jobs(workers / 2) {
					jb.ID = "later" + jb.ID
					bu.after(time.Duration(i)*20*time.Millisecond, func() { bu.submit(jb, taskPlan{work: jb.Steps[0].RunTime}) })
				}
				bu.elect()
				began := bu.now
				bu.run(catchUpTime)
				calm := bu.now
				bu.run(3 * time.Second)
				pr := bu.processor
				late, later := pr.longestWait(began, calm), pr.longestWait(calm, bu.now)
				t.Logf("longest wait %v, then %v; an event takes %v at most; %d leases expired", late, later, pr.scale(pr.longest), bu.expiredLeases())
				if later > maxCalmWait && cores > weakestCores {
					t.Errorf("an event waited for %v, %v after the takeover; at most %v are permitted", later, catchUpTime, maxCalmWait)
				}
				if n := bu.expiredLeases(); n > 0 {
					t.Errorf("%d runs were given up since leases had expired, although every worker replies", n)
				}
				if violations := bu.check(); len(violations) > 0 {
					t.Errorf("violations: %v", violations[:min(5, len(violations))])
				}
			})
		}
	}
}

// recovers reports whether a host with some cores handles all events in time again soon
// after a burst, without having taken a lease for expired.
func recovers(workers int, cores float64) bool {
	bu := newBurst(workers, cores)
	bu.run(catchUpTime)
	calm := bu.now
	bu.run(2 * time.Second)
	return bu.processor.longestWait(calm, bu.now) <= maxCalmWait && bu.expiredLeases() == 0
}

// BenchmarkLeastCores finds the part of a processor below which a scheduler does not recover
// from a burst, and what it schedules for each core there.
func BenchmarkLeastCores(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 5000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for range b.N {
				fails, least := 0.0, 2.0
				for least-fails > least/10 {
					cores := (fails + least) / 2
					if recovers(workers, cores) {
						least = cores
					} else {
						fails = cores
					}
				}
				b.ReportMetric(least, "cores")
				b.ReportMetric(float64(workers)/least, "workers/core")
			}
		})
	}
}
