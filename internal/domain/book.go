package domain

import (
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// book keeps what has to be written to the store.
type book struct {
	seq       int64
	open      bool // a commit is under way
	last      time.Time
	dirty     []*job // in the order in which they changed
	queued    map[*job]bool
	urgent    bool         // a start waits for the next commit
	versions  map[*job]int // of the jobs in the open commit
	waiting   map[string]int
	waitingAt time.Time
}

func newBook() book {
	return book{queued: map[*job]bool{}, versions: map[*job]int{}, waiting: map[string]int{}}
}

// dirty notes that what must last of a job has changed.
func (co *Core) dirty(jb *job) {
	jb.version++
	if !co.book.queued[jb] {
		co.book.queued[jb] = true
		co.book.dirty = append(co.book.dirty, jb)
	}
}

// flush begins a commit if one is due.
func (co *Core) flush(now time.Time) {
	bo := &co.book
	if bo.open || now.Sub(bo.last) < co.gap() {
		return
	}
	count := co.countWaiting(now)
	if len(bo.dirty) == 0 && count == nil {
		return
	}
	slices.SortStableFunc(bo.dirty, func(a, b *job) int { return a.Queue.Priority - b.Queue.Priority })
	n := min(commitRecords, len(bo.dirty))
	cm := Commit{Waiting: count}
	clear(bo.versions)
	for _, jb := range bo.dirty[:n] {
		cm.Records = append(cm.Records, jb.record())
		bo.versions[jb] = jb.version
		delete(bo.queued, jb)
	}
	bo.dirty = slices.Clone(bo.dirty[n:])
	bo.urgent = bo.urgent && len(bo.dirty) > 0
	bo.seq++
	cm.Seq = bo.seq
	bo.open = true
	bo.last = now
	co.emit(cm)
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
	if !co.book.open || ev.Seq != co.book.seq {
		return
	}
	co.book.open = false
	for jb, version := range co.book.versions {
		jb.savedVersion = version
		for _, un := range jb.units {
			if un.phase == placed {
				co.touch(un)
			}
		}
	}
	for _, nd := range co.nodes {
		if len(nd.ends) == 0 {
			continue
		}
		co.acknowledge(nd)
		if len(nd.ends) == 0 {
			nd.nextLook = now
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
	counts := map[string]int{}
	for _, jb := range co.jobs {
		if !jb.begun && !jb.state.Final() && jb.Schedule == nil && now.Sub(jb.known) >= waitingGap {
			counts[jb.Queue.Name]++
		}
	}
	if equalCounts(counts, co.book.waiting) {
		return nil
	}
	co.book.waiting = counts
	return &batch.Waiting{At: now, Queues: counts}
}

func equalCounts(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for key, n := range a {
		if b[key] != n {
			return false
		}
	}
	return true
}
