package domain_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

type (
	// transit carries calls to workers that restart under their IDs while calls are on
	// their way. The incarnation that is there when a call arrives carries it out, as
	// the call names the worker alike.
	transit struct {
		sim       *simulation
		dark      map[string]bool // workers that are down; calls to them wait for their return
		crashedAt map[string][]time.Time
		heldUntil map[string]time.Time // calls that are sent to a worker now are carried out then
		lateStart map[string]time.Time // the next start that is sent to a worker is carried out then, without a reply
		crashLoss crashLoss
		dropped   float64                    // fraction of calls that never arrive
		held      float64                    // fraction of calls that arrive up to maxCallAge after they were sent
		lost      float64                    // fraction of replies that are lost
		withdraws map[domain.Withdraw]func() // give up the starts that were made, by the effects that ask for it
		repeats   map[domain.Repeat]func()   // send them a second time
		counts    map[string]int             // of calls that another incarnation has carried out, by kind
	}

	// crashLoss says which calls are lost in a crash and don't reach the next incarnation.
	crashLoss uint8

	// delivery is a call on its way.
	delivery struct {
		id       string
		born     int64     // of the worker when the call was sent, zero if it was down
		crashes  int       // of the worker until then
		givenUp  time.Time // when the caller no longer waited for a reply; zero if it does
		sent     time.Time
		received bool // the machine of the worker has the call, so that no cut stops it
		call     domain.Effect
		do       func() error
	}
)

const (
	nothingLost    crashLoss = iota
	givenUpLost              // calls that their caller had given up before
	sentBeforeLost           // all calls that were sent before
)

const (
	// maxCallAge is the time after which a call is no longer carried out.
	maxCallAge = 12 * time.Second
	// maxArrivalDelay is the longest time until a call arrives at a worker that is back.
	maxArrivalDelay = 200 * time.Millisecond
	// repeatDelay is how long a start or a stop may be without a reply before it is sent
	// a second time.
	repeatDelay = 300 * time.Millisecond
	// unansweredDelay is how long a start may be without a reply before the core is asked to
	// permit its second copy.
	unansweredDelay = repeatDelay / 2
)

// carryCallsOver makes calls that are on their way to a worker reach its next
// incarnation.
func (sim *simulation) carryCallsOver() *transit {
	sim.transit = &transit{sim: sim, dark: map[string]bool{}, crashedAt: map[string][]time.Time{}, heldUntil: map[string]time.Time{}, lateStart: map[string]time.Time{}, counts: map[string]int{}, withdraws: map[domain.Withdraw]func(){}, repeats: map[domain.Repeat]func(){}}
	return sim.transit
}

// crash ends a worker, so that calls to it get no reply, and starts it again under its
// ID after the downtime. Its entry shows that after a lag.
func (tr *transit) crash(id string, downtime, lag time.Duration) {
	sim := tr.sim
	wk := sim.workers[id]
	sim.fleet.Remove(sim.now, id)
	tr.dark[id] = true
	tr.crashedAt[id] = append(tr.crashedAt[id], sim.now)
	tr.log("", id+" crashes")
	sim.after(downtime, func() {
		delete(tr.dark, id)
		tr.log("", id+" is back")
		wk.Born = sim.fleet.Add(sim.now, id, wk.Capacity, 1-0.02*sim.rng.Float64())
		sim.after(lag, func() {
			if sim.fleet.Born(id) != wk.Born {
				return // it has crashed again
			}
			tr.log("", id+" is listed as restarted")
			sim.workers[id] = wk
			sim.notify(domain.Listed{Worker: wk})
		})
	})
}

// send carries a call to a worker, which may happen late or never.
func (tr *transit) send(id string, call domain.Effect, do func() error) *delivery {
	sim := tr.sim
	de := &delivery{id: id, born: sim.fleet.Born(id), crashes: len(tr.crashedAt[id]), sent: sim.now, call: call, do: do}
	delay := networkDelay
	draw := sim.rng.Float64()
	_, isStart := call.(domain.Start)
	switch {
	case isStart && tr.lateStart[id].After(sim.now):
		de.received = true
		delay = tr.lateStart[id].Sub(sim.now)
		delete(tr.lateStart, id)
	case tr.heldUntil[id].After(sim.now):
		de.received = true
		delay = tr.heldUntil[id].Sub(sim.now)
	case draw < tr.dropped:
		return de
	case draw < tr.dropped+tr.held:
		de.received = sim.rng.IntN(2) == 0
		delay = sim.upTo(maxCallAge)
	}
	sim.after(delay, func() { tr.arrive(de) })
	return de
}

// isLost reports whether a call was lost in a crash since it was sent.
func (tr *transit) isLost(de *delivery) bool {
	crashes := tr.crashedAt[de.id]
	if de.crashes == len(crashes) {
		return false
	}
	switch tr.crashLoss {
	case givenUpLost:
		return !de.givenUp.IsZero() && de.givenUp.Before(crashes[len(crashes)-1])
	case sentBeforeLost:
		return true
	default:
		return false
	}
}

// arrive has a call carried out. It waits while the worker is down or can't be reached.
func (tr *transit) arrive(de *delivery) {
	sim := tr.sim
	switch {
	case sim.now.Sub(de.sent) > maxCallAge, tr.isLost(de):
	case tr.dark[de.id], sim.unreachable[de.id] && !de.received:
		sim.after(sim.upTo(maxArrivalDelay), func() { tr.arrive(de) })
	default:
		tr.note(de, de.do())
	}
}

// note logs that a call was carried out or refused, and counts it if that was by another
// incarnation than the one that was there when it was sent.
func (tr *transit) note(de *delivery, err error) {
	sim := tr.sim
	over := sim.fleet.Born(de.id) != de.born
	job, text := "", ""
	switch ef := de.call.(type) {
	case domain.Poll:
		if !over {
			return
		}
		text = fmt.Sprintf("poll acked %d deadline %v token %d", ef.Request.Acked, ef.Request.Deadline, ef.Request.Token)
	case domain.Start:
		job, text = ef.Request.Task.Job, fmt.Sprintf("start %s#%d token %d", ef.Request.Task, ef.Request.Attempt, ef.Request.Token)
	case domain.Stop:
		job, text = ef.Request.Task.Job, fmt.Sprintf("stop %s#%d token %d", ef.Request.Task, ef.Request.Attempt, ef.Request.Token)
	}
	if over {
		text += " by another incarnation"
		tr.counts[fmt.Sprintf("%T carried over", de.call)]++
	}
	if err != nil {
		text += ", and refuses it: " + err.Error()
	}
	tr.log(job, fmt.Sprintf("%s carries out %s, sent at %s", de.id, text, de.sent.Format("05.000")))
}

// log adds a line to the log of the simulation; its job is empty if it is about none.
func (tr *transit) log(job, text string) {
	line := tr.sim.now.Format("05.000") + " " + text
	tr.sim.log = append(tr.sim.log, line)
	tr.sim.logged = append(tr.sim.logged, logLine{tr.sim.now, job, line})
}

// answer delivers a worker's reply, unless it is lost or the worker can't be reached.
func (tr *transit) answer(id string, receive func()) {
	sim := tr.sim
	if sim.rng.Float64() < tr.lost {
		return
	}
	sim.after(networkDelay, func() {
		if !sim.unreachable[id] {
			receive()
		}
	})
}

// call makes a start or a stop, and makes it again if there is no reply for
// repeatDelay.
func (tr *transit) call(le *leader, id string, ef domain.Effect, do func() reply, outcome func(reply) domain.Event) {
	sim := tr.sim
	var sent []*delivery
	received, settled, givenUp := 0, false, false
	settle := func(rp reply) {
		if settled {
			if st, ok := ef.(domain.Start); ok && !givenUp && len(sent) > 1 && received == len(sent) {
				sim.handle(le, domain.Answered{Call: st})
			}
			return
		}
		settled = true
		for _, de := range sent {
			de.givenUp = sim.now
		}
		rp.repeated = len(sent) > 1
		sim.handle(le, outcome(rp))
	}
	send := func() {
		sent = append(sent, tr.send(id, ef, func() error {
			rp := do()
			tr.answer(id, func() {
				received++
				if received == len(sent) || isDecided(rp.err) {
					settle(rp)
				}
			})
			return rp.err
		}))
	}
	giveUp := func() {
		settle(reply{err: runner.ErrOutcomeUnknown})
		givenUp = true
	}
	resend := func() {
		if !settled && !le.dead {
			send()
		}
	}
	late, lateAfter := resend, repeatDelay
	if st, ok := ef.(domain.Start); ok {
		late, lateAfter = func() { sim.handle(le, domain.Unanswered{Call: st}) }, unansweredDelay
		due := sim.now.Add(repeatDelay)
		tr.repeats[domain.Repeat{Worker: id, Task: st.Request.Task, Attempt: st.Request.Attempt}] = func() {
			sim.after(max(0, due.Sub(sim.now)), resend)
		}
		tr.withdraws[domain.Withdraw{Worker: id, Task: st.Request.Task, Attempt: st.Request.Attempt}] = func() {
			sim.after(0, func() {
				if len(sent) == 1 {
					giveUp()
				}
			})
		}
	}
	send()
	sim.after(lateAfter, func() {
		if !settled {
			late()
		}
	})
	sim.after(callTimeout, giveUp)
}

// isDecided reports whether the error of one call holds although another one may still
// arrive.
func isDecided(err error) bool {
	return err == nil || errors.Is(err, runner.ErrFenced) || errors.Is(err, runner.ErrRestarted)
}

// poll polls a worker.
func (tr *transit) poll(le *leader, ef domain.Poll) {
	sim := tr.sim
	id := ef.Worker.ID
	settled := false
	var de *delivery
	settle := func(st runner.Status, err error) {
		if !settled {
			settled, de.givenUp = true, sim.now
			sim.handle(le, domain.Polled{Call: ef, Status: st, Err: err})
		}
	}
	de = tr.send(id, ef, func() error {
		return tr.wait(id, ef.Request, func(st runner.Status, err error) {
			tr.answer(id, func() { settle(st, err) })
		})
	})
	sim.after(callTimeout+ef.Request.Wait, func() { settle(runner.Status{}, runner.ErrOutcomeUnknown) })
}

// wait has a worker carry out a poll, and returns its error. A poll that waits for an end
// is lost in a crash.
func (tr *transit) wait(id string, rq runner.PollRequest, answer func(runner.Status, error)) error {
	sim := tr.sim
	born, until := sim.fleet.Born(id), sim.now.Add(rq.Wait)
	st, err := sim.fleet.Poll(sim.now, id, rq)
	rq.Acked, rq.Deadline = 0, 0 // applied once, when the call arrives
	var look func()
	look = func() {
		if err != nil || len(st.Ended.Ends) > 0 || !sim.now.Before(until) {
			answer(st, err)
			return
		}
		sim.after(pollStep, func() {
			if sim.fleet.Born(id) == born {
				st, err = sim.fleet.Poll(sim.now, id, rq)
				look()
			}
		})
	}
	look()
	return err
}
