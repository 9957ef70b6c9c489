package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// TestWaitsTellWhatWaitsAndWhatRoomIsKept fills a fleet with work of two queues
// and lets a gang of whole workers of one and a single task of the other wait.
func TestWaitsTellWhatWaitsAndWhatRoomIsKept(t *testing.T) {
	is := is.New(t)
	wo := calm(2)
	for priority, tasks := range map[int]int{1: 8, 2: 4} {
		fill, pl := single(fmt.Sprintf("fill%d", priority), priority, tasks, 10*time.Second)
		wo.submit(fill, pl)
	}
	wo.run(time.Second)
	gang, pl := single("gang", 1, 2, time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	wo.submit(gang, pl)
	small, pl := single("small", 2, 1, time.Second)
	wo.submit(small, pl)
	wo.waits = nil
	wo.run(900 * time.Millisecond)
	is.Equal(len(wo.waits), 1) // no more than one a second
	wa := wo.waits[0]
	is.Equal(wa.Accelerators, domain.Accelerators{Total: 16, Free: 4, Kept: 4})
	is.Equal(len(wa.Backlogs), 2)
	is.True(wa.Backlogs[0].Oldest > 0)
	wa.Backlogs[0].Oldest, wa.Backlogs[1].Oldest = 0, 0
	is.Equal(wa.Backlogs, []domain.Backlog{
		{Queue: "q1", Rank: "timely", Units: 1, Accelerators: 16},
		{Queue: "q2", Rank: "timely", Units: 1, Accelerators: 1},
	})
	wo.run(20 * time.Second)
	is.Equal(wo.waits[len(wo.waits)-1].Backlogs, []domain.Backlog{}) // told once that nothing waits
}

// TestJobsThatEndTellTheirWait ends a job that has begun at once, one that a
// former scheduler has begun, and one that never began.
func TestJobsThatEndTellTheirWait(t *testing.T) {
	is := is.New(t)
	wo := calm(1)
	for _, id := range []string{"first", "second", "third"} {
		jb, pl := single(id, 1, 8, 3*time.Second)
		wo.submit(jb, pl)
	}
	wo.run(5 * time.Second)
	wo.cancel("third")
	wo.elect()
	wo.run(5 * time.Second)
	waited := map[string]time.Duration{}
	for _, no := range wo.notes {
		if no.Decision == "jobEnds" {
			waited[no.Job] = no.Waited.Round(time.Second)
		}
	}
	is.Equal(waited, map[string]time.Duration{"first": 0, "second": 0, "third": 5 * time.Second})
}
