package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// farStore plays a core with one large worker against a store that answers every
// commit after the same time. No task ends.
type farStore struct {
	core    *domain.Core
	now     time.Time
	answers map[time.Time][]domain.Committed
	known   bool                 // the worker was looked at
	starts  int                  // tasks that were started
	written map[string]time.Time // jobs, by their first commit
}

const (
	far     = 90 * time.Millisecond
	farStep = 5 * time.Millisecond
)

func newFarStore(accelerators int) *farStore {
	fs := &farStore{now: start, answers: map[time.Time][]domain.Committed{}, written: map[string]time.Time{}}
	fs.core = domain.New(start, domain.Config{Token: 1, Policy: newWorld(1).policy, Workers: []runner.Worker{
		{ID: "w1", Address: "w1:1", Service: "svc", Born: 1, Capacity: batch.Resources{Accelerators: accelerators}},
	}})
	fs.take(domain.Ticked{})
	return fs
}

func (fs *farStore) submit(id string, priority int) {
	fs.take(domain.Accepted{Job: batch.Job{ID: id, Queue: queueOf(priority), Steps: []batch.Step{oneAccelerator(1)}}})
}

func (fs *farStore) take(ev domain.Event) {
	for _, ef := range fs.core.Handle(fs.now, ev) {
		switch ef := ef.(type) {
		case domain.Look:
			if !fs.known { // later looks wait for an end
				fs.known = true
				fs.take(domain.Looked{Call: ef, Look: runner.Look{Born: 1}})
			}
		case domain.Start:
			fs.starts++
		case domain.Commit:
			fs.commit(ef)
		}
	}
}

func (fs *farStore) commit(cm domain.Commit) {
	due := fs.now.Add(far)
	fs.answers[due] = append(fs.answers[due], domain.Committed{Seq: cm.Seq})
	for _, rc := range cm.Records {
		if _, ok := fs.written[rc.ID]; !ok {
			fs.written[rc.ID] = fs.now
		}
	}
}

// step lets a little time pass.
func (fs *farStore) step() {
	fs.now = fs.now.Add(farStep)
	for _, an := range fs.answers[fs.now] {
		fs.take(an)
	}
	fs.take(domain.Prompted{})
}

// TestManyJobsBeginBehindAFarStore places a hundred and forty jobs at once,
// whose attempts have to be in a store that answers after 90 ms. Commits that
// waited for each other would take ten times that.
func TestManyJobsBeginBehindAFarStore(t *testing.T) {
	const (
		count    = 140
		allBegun = 600 * time.Millisecond
	)
	is := is.New(t)
	fs := newFarStore(count)
	for i := range count {
		fs.submit(fmt.Sprintf("j%03d", i), 1)
	}
	for fs.now.Before(start.Add(allBegun)) {
		fs.step()
	}
	is.Equal(fs.starts, count)
	is.Equal(len(fs.written), count)
}

// TestUrgentRecordsStarveTheOthers lets more urgent jobs begin than the store
// takes records of. That of another job is written in between.
func TestUrgentRecordsStarveTheOthers(t *testing.T) {
	const (
		steps   = 300
		perStep = 5
	)
	is := is.New(t)
	fs := newFarStore(2 * steps * perStep)
	var handedIn time.Time
	for i := range steps {
		for j := range perStep {
			fs.submit(fmt.Sprintf("u%03d.%d", i, j), 0)
		}
		if i == steps/3 {
			handedIn = fs.now
			fs.submit("other", 2)
		}
		fs.step()
	}
	at, ok := fs.written["other"]
	is.True(ok)                              // it has its turn while urgent ones come
	is.True(at.Sub(handedIn) <= time.Second) // and soon
}
