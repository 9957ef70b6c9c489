package domain

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// book keeps what has to be written to the store.
type book struct {
	seq       int64
	open      map[int64][]savedJob // the commits under way
	away      map[*job]bool        // jobs in these
	last      time.Time
	dirty     []*job // in the order in which they changed
	queued    map[*job]bool
	urgent    bool // a start waits for the next commit
	waiting   map[string]int
	left      map[string]int // tasks in availability zones that are to be emptied
	waitingAt time.Time
}

// savedJob is a version of a job that a commit writes.
type savedJob struct {
	job     *job
	version int
}

func newBook() book {
	return book{
		open: map[int64][]savedJob{}, away: map[*job]bool{}, queued: map[*job]bool{}, waiting: map[string]int{},
	}
}

// dirty notes that what must last of a job has changed.
func (co *Core) dirty(jb *job) {
	jb.version++
	if !co.book.queued[jb] {
		co.book.queued[jb] = true
		co.book.dirty = append(co.book.dirty, jb)
	}
}

// takes tells whether another commit may begin. One beside others has to be
// full, so that a calm domain makes few calls to the store.
func (bo *book) takes() bool {
	return len(bo.open) == 0 || (len(bo.open) < maxCommits && len(bo.dirty) >= commitRecords)
}

// flush begins a commit if one is due. A job is in one commit at a time, so that
// its versions are written in order.
func (co *Core) flush(now time.Time) {
	bo := &co.book
	if !bo.takes() || now.Sub(bo.last) < co.gap() {
		return
	}
	cm := Commit{Waiting: co.countWaiting(now)}
	next := bo.next()
	saved := make([]savedJob, len(next))
	for i, jb := range next {
		cm.Records = append(cm.Records, jb.record())
		saved[i] = savedJob{jb, jb.version}
		bo.away[jb] = true
		delete(bo.queued, jb)
	}
	if len(saved) == 0 && cm.Waiting == nil {
		return
	}
	bo.dirty = slices.DeleteFunc(bo.dirty, func(jb *job) bool { return !bo.queued[jb] })
	bo.urgent = bo.urgent && len(bo.dirty) > 0
	bo.seq++
	cm.Seq = bo.seq
	bo.open[bo.seq] = saved
	bo.last = now
	co.emit(cm)
}

// next returns the jobs whose records the next commit writes: those that changed
// first, and for the other half of the places the most urgent, so that neither
// wait for ever for the others.
func (bo *book) next() []*job {
	ready := slices.DeleteFunc(slices.Clone(bo.dirty), func(jb *job) bool { return bo.away[jb] })
	if len(ready) <= commitRecords {
		return ready
	}
	later := ready[commitRecords/2:]
	slices.SortStableFunc(later, func(a, b *job) int { return a.Queue.Priority - b.Queue.Priority })
	return ready[:commitRecords]
}

// gap is the least time between two commits: short if a start waits.
func (co *Core) gap() time.Duration {
	if co.book.urgent {
		return commitGap
	}
	return idleGap
}

// committed takes the success of a commit.
func (co *Core) committed(now time.Time, ev Committed) {
	saved, ok := co.book.open[ev.Seq]
	if !ok {
		return
	}
	delete(co.book.open, ev.Seq)
	for _, sj := range saved {
		sj.job.savedVersion = sj.version
		delete(co.book.away, sj.job)
		for _, un := range sj.job.units {
			if un.phase == placed {
				co.touch(un)
			}
		}
	}
	for _, nd := range slices.SortedFunc(maps.Keys(co.holding), compareNodes) {
		co.acknowledge(nd)
		if len(nd.ends) == 0 {
			delete(co.holding, nd)
			nd.nextLook = now
			co.wake(nd)
		}
	}
}

// countWaiting returns how many jobs of each queue have not begun, or nil if
// that has not changed.
func (co *Core) countWaiting(now time.Time) *batch.Waiting {
	if now.Sub(co.book.waitingAt) < waitingGap {
		return nil
	}
	co.book.waitingAt = now
	left := co.leftByZone()
	counts := map[string]int{}
	for _, jb := range co.jobs {
		if !jb.begun && !jb.state.Final() && jb.Schedule == nil && now.Sub(jb.known) >= waitingGap {
			counts[jb.Queue.Name]++
		}
	}
	if maps.Equal(counts, co.book.waiting) && maps.Equal(left, co.book.left) {
		return nil
	}
	co.book.waiting, co.book.left = counts, left
	return &batch.Waiting{At: now, Queues: counts, Left: left}
}
