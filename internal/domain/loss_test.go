package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// TestLostRunsTellTheirCause ends a worker in each way that loses its runs. It
// guards against a crash that the log does not tell from a departure, or from a
// worker that is only silent.
func TestLostRunsTellTheirCause(t *testing.T) {
	const lag = 50 * time.Millisecond
	for _, tt := range []struct {
		cause domain.LossCause
		lose  func(sim *simulation)
	}{
		{domain.Restarted, func(sim *simulation) { sim.addWorker("w00", 8) }},
		{domain.Replaced, func(sim *simulation) { sim.replaceWorker("w00", "n00", lag) }},
		{domain.Departed, func(sim *simulation) {
			sim.announceDeparture("w00")
			sim.run(2 * lag)
			sim.replaceWorker("w00", "n00", lag)
		}},
		{domain.ShutDown, func(sim *simulation) {
			sim.fleet.Remove(sim.now, "w00")
			sim.notify(domain.WorkerDown{Worker: "w00"})
		}},
		{domain.LeaseExpired, func(sim *simulation) { sim.unreachable["w00"] = true }},
	} {
		t.Run(tt.cause.String(), func(t *testing.T) {
			is := is.New(t)
			sim := startSimulation(1)
			jb, pl := oneStepJob("j", 1, 2, time.Minute)
			sim.submit(jb, pl)
			sim.run(time.Second)
			tt.lose(sim)
			sim.run(10 * time.Second)
			var causes []domain.LossCause
			for _, ld := range sim.decisions {
				if ld.Decision == "lost" && ld.Attempt == 1 {
					causes = append(causes, ld.Cause)
					is.Equal(ld.Beside, 1)
					is.True(ld.MaxAge >= ld.MinAge && ld.MaxAge > 0)
				}
			}
			is.Equal(causes, []domain.LossCause{tt.cause, tt.cause})
		})
	}
}

// announceDeparture makes the platform list a worker as draining, without a time
// by which it goes away.
func (sim *simulation) announceDeparture(id string) {
	wk := sim.workers[id]
	wk.Draining = true
	sim.workers[id] = wk
	sim.notify(domain.Listed{Worker: wk})
}
