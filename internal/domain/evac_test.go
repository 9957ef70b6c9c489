package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// inZones returns a world of four workers, two in each of the availability zones
// z0 and z1.
func inZones() *world {
	wo := calm(4)
	for id, wk := range wo.workers {
		wk.Zone = "z" + id[1:2]
		wo.workers[id] = wk
		wo.tell(domain.Listed{Worker: wk})
	}
	wo.run(100 * time.Millisecond)
	return wo
}

func (wo *world) evacuate(zones ...string) {
	wo.evacuated = zones
	wo.tell(domain.Evacuated{Zones: zones})
}

// runningIn counts the tasks that the workers of a zone run.
func (wo *world) runningIn(zone string) int {
	n := 0
	for id, wk := range wo.workers {
		if wk.Zone == zone {
			n += wo.fleet.RunningOn(id)
		}
	}
	return n
}

// TestNothingStartsInAnEvacuatedZone guards against starts there, also after a
// change of the scheduler, and against a zone that is not used once it is back.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	wo := inZones()
	wo.evacuate("z1")
	wo.run(10 * time.Millisecond)
	jb, pl := single("j", 1, 32, 2*time.Second)
	wo.submit(jb, pl)
	wo.run(time.Second)
	is.Equal(wo.runningIn("z0"), 16)
	is.Equal(wo.runningIn("z1"), 0)
	wo.elect()
	wo.run(2 * time.Second)
	is.Equal(wo.runningIn("z1"), 0)
	wo.evacuate()
	jb, pl = single("k", 1, 32, 2*time.Second)
	wo.submit(jb, pl)
	wo.run(time.Second)
	is.True(wo.runningIn("z1") > 0)
	wo.run(10 * time.Second)
	is.Equal(wo.state("j"), batch.Done)
	is.Equal(wo.state("k"), batch.Done)
	is.Equal(wo.check(), nil)
}

// TestEvacuationWithdrawsWhatHasNotStarted asks to empty both zones while the
// record of a gang over both of them is written, so that no start may be sent.
func TestEvacuationWithdrawsWhatHasNotStarted(t *testing.T) {
	for _, zones := range [][]string{{"z1"}, {"z0", "z1"}} {
		is := is.New(t)
		wo := inZones()
		gang, pl := single("gang", 1, 20, time.Second)
		gang.Steps[0].Gang = true
		wo.submit(gang, pl)
		for !wo.noted("placed", "gang") { // until its record is being written
			wo.run(time.Millisecond)
		}
		wo.holder.core.Handle(wo.now, domain.Evacuated{Zones: zones})
		wo.evacuate(zones...)
		wo.run(time.Second)
		is.Equal(wo.fleet.Starts, 0)
		wo.evacuate()
		wo.run(5 * time.Second)
		is.Equal(wo.state("gang"), batch.Done)
		is.Equal(wo.check(), nil)
	}
}
