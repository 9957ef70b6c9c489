package drive

import (
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// watchMonitor detects that the watch of accepted jobs is behind: a host has
// announced a write that the watch does not report. A store that loses its
// history may leave its watches without a response for seconds.
type watchMonitor struct {
	mu        sync.Mutex
	delivered store.Revision // up to which the watch has reported writes
	missing   store.Revision // of an announced write that it has not reported; zero if there is none
	since     time.Time      // when that write was announced
}

// maxWatchLag is how long after its announcement the watch may report a write.
const maxWatchLag = 500 * time.Millisecond

// Announce tells the leader, without waiting for it, of a job or a cancellation
// that this host has written to the store. A notice that is lost does no harm:
// the leader's watch reports the write, too.
func (sc *Scheduler) Announce(no batch.Notice) {
	if sc.Deliver(no) {
		return
	}
	if le := sc.leader.Load(); le != nil && le.address != "" && sc.cfg.Notify != nil {
		sc.cfg.Notify(le.address, no)
	}
}

// Deliver passes a notice to the core if this host is the leader, and reports
// whether it is.
func (sc *Scheduler) Deliver(no batch.Notice) bool {
	te := sc.current.Load()
	if te == nil {
		return false
	}
	te.monitor.announced(time.Now(), store.Revision(no.Revision))
	if no.Job != nil {
		te.offer(domain.Accepted{Job: *no.Job})
	} else {
		te.offer(domain.CancelRequested{ID: no.Cancelled})
	}
	return true
}

// offer queues an event of a notice. It drops the event if the queue is full,
// since the watch reports the same.
func (te *term) offer(ev domain.Event) {
	select {
	case te.priorityEvents <- queuedEvent{ev, time.Now()}:
	default:
	}
}

// announced records that a host has announced a write.
func (wm *watchMonitor) announced(now time.Time, rev store.Revision) {
	wm.mu.Lock()
	defer wm.mu.Unlock()
	if rev > wm.delivered && wm.missing == 0 {
		wm.missing, wm.since = rev, now
	}
}

// reported records that the watch has reported all writes up to a revision.
func (wm *watchMonitor) reported(rev store.Revision) {
	wm.mu.Lock()
	defer wm.mu.Unlock()
	wm.delivered = max(wm.delivered, rev)
	if wm.missing <= wm.delivered {
		wm.missing = 0
	}
}

// lagging reports whether the watch is behind. It reports so once for a missing
// write.
func (wm *watchMonitor) lagging(now time.Time) bool {
	wm.mu.Lock()
	defer wm.mu.Unlock()
	if wm.missing == 0 || now.Sub(wm.since) <= maxWatchLag {
		return false
	}
	wm.missing = 0
	return true
}
