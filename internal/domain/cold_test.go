package domain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// chill has the workers of a zone be slow for a while.
func (wo *world) chill(zone string, d time.Duration) {
	for id, wk := range wo.workers {
		if wk.Zone == zone {
			wk.Cold = d
			wo.workers[id] = wk
			wo.tell(domain.Listed{Worker: wk})
		}
	}
	wo.run(10 * time.Millisecond)
}

// TestColdWorkersComeLast guards against work that goes to workers which are slow
// yet while others have room, and against such workers that are never used.
func TestColdWorkersComeLast(t *testing.T) {
	for _, kind := range []string{"tasks", "gang", "rack"} {
		for _, tasks := range []int{4, 16, 20} {
			is := is.New(t)
			wo := calm(4)
			wo.chill("z0", 10*time.Second) // its workers come first by their names
			jb, pl := single("j", 1, tasks, time.Second)
			jb.Steps[0].Gang = kind != "tasks"
			jb.Steps[0].OneRack = kind == "rack" // a zone is a rack here
			wo.submit(jb, pl)
			wo.run(500 * time.Millisecond)
			if kind == "rack" && tasks > 16 {
				continue // waits for a rack
			}
			is.Equal(wo.runningIn("z1"), min(tasks, 16))
			is.Equal(wo.runningIn("z0"), max(0, tasks-16))
			wo.run(2 * time.Second)
		}
	}
}

// TestWarmWorkersAreAlike guards against a worker that is still avoided when the
// time is over for which it was slow.
func TestWarmWorkersAreAlike(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	wo.chill("z0", time.Second)
	wo.run(1200 * time.Millisecond)
	jb, pl := single("j", 1, 4, time.Second)
	wo.submit(jb, pl)
	wo.run(500 * time.Millisecond)
	is.Equal(wo.runningIn("z0"), 4) // first by name, as ever
}
