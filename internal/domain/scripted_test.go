package domain_test

import (
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// scriptedCore passes hand-written events to a core and keeps its effects. It
// carries out nothing.
type scriptedCore struct {
	core    *domain.Core
	now     time.Time
	commits int64 // confirmed
	effects []domain.Effect
}

// newScriptedCore returns a core with workers of eight accelerators, each of
// which has replied to a first poll.
func newScriptedCore(cf domain.Config, ids ...string) *scriptedCore {
	sc := &scriptedCore{now: startTime}
	cf.Token, cf.Policy = 1, newSimulation(1).policy
	for _, id := range ids {
		cf.Workers = append(cf.Workers, scriptedWorker(id))
	}
	sc.core = domain.New(sc.now, cf)
	sc.handle(domain.Ticked{})
	for _, id := range ids {
		sc.reply(id, runner.Status{})
	}
	return sc
}

func scriptedWorker(id string) runner.Worker {
	return runner.Worker{ID: id, Address: id + ":1", Service: "svc", Born: 1, Capacity: batch.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}}
}

func (sc *scriptedCore) handle(ev domain.Event) {
	sc.effects = append(sc.effects, sc.core.Handle(sc.now, ev)...)
}

// pass advances the time in steps of a tick.
func (sc *scriptedCore) pass(d time.Duration) {
	for until := sc.now.Add(d); sc.now.Before(until); {
		sc.now = sc.now.Add(tickInterval)
		sc.handle(domain.Ticked{})
	}
}

// reply replies to a poll of a worker that was sent at the present time.
func (sc *scriptedCore) reply(id string, st runner.Status) { sc.replyOf(scriptedWorker(id), st) }

func (sc *scriptedCore) replyOf(wk runner.Worker, st runner.Status) {
	st.Clock = sc.now.Sub(startTime) + time.Second
	st.Born = max(1, st.Born)
	sc.handle(domain.Polled{Call: domain.Poll{Worker: wk, Sent: sc.now, Request: runner.PollRequest{Token: sc.lastToken(wk.ID)}}, Status: st})
}

// lastToken returns the token of the last poll of a worker.
func (sc *scriptedCore) lastToken(id string) int64 {
	token := int64(1)
	for _, po := range effectsOf[domain.Poll](sc) {
		if po.Worker.ID == id {
			token = po.Request.Token
		}
	}
	return token
}

// fail lets a poll of a worker fail.
func (sc *scriptedCore) fail(id string, err error) {
	sc.handle(domain.Polled{Call: domain.Poll{Worker: scriptedWorker(id), Sent: sc.now}, Err: err})
}

// commitAll confirms every commit.
func (sc *scriptedCore) commitAll() {
	for i := 0; i < len(sc.effects); i++ {
		if cm, ok := sc.effects[i].(domain.Commit); ok {
			sc.effects[i] = nil
			sc.commits++
			sc.handle(domain.Committed{Seq: cm.Seq, Revision: 1 + sc.commits})
		}
	}
}

// lastUnit returns the last record of a job's only unit that was to be written.
func (sc *scriptedCore) lastUnit(job string) batch.UnitRecord {
	var ur batch.UnitRecord
	for _, ef := range sc.effects {
		cm, ok := ef.(domain.Commit)
		if !ok {
			continue
		}
		for _, rc := range cm.Records {
			if rc.ID == job {
				ur = rc.Units[0]
			}
		}
	}
	return ur
}

// effectsOf returns the effects of a kind in order.
func effectsOf[T domain.Effect](sc *scriptedCore) []T {
	var efs []T
	for _, ef := range sc.effects {
		if ef, ok := ef.(T); ok {
			efs = append(efs, ef)
		}
	}
	return efs
}
