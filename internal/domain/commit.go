package domain

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// commitQueue holds the changed jobs that have to be written to the store, and
// the commits in flight.
type commitQueue struct {
	seq            int64                  // of the last commit
	inFlight       map[int64][]jobVersion // by sequence number
	inFlightJobs   map[*job]bool          // jobs in these commits
	lastCommit     time.Time
	dirty          []*job // in the order of their first change
	dirtySet       map[*job]bool
	refused        map[*job]time.Time // jobs whose records the store has refused, with the times of the next attempts
	urgent         bool               // a start waits for the next commit
	jobEnded       bool               // a job has ended, and its caller may be waiting for the next commit
	waitingJobs    map[string]int     // as last written, by queue; see countWaitingJobs
	evacuatedTasks map[string]int     // as last written, by evacuated availability zone
	held           int64              // as last written; see reportedState
	countedAt      time.Time          // when countWaitingJobs last counted
}

// refusedRecordDelay is the pause before a record that the store has refused is
// written again.
const refusedRecordDelay = 10 * time.Second

// jobVersion is the version of a job that a commit writes.
type jobVersion struct {
	job     *job
	version int
}

func newCommitQueue() commitQueue {
	return commitQueue{
		inFlight: map[int64][]jobVersion{}, inFlightJobs: map[*job]bool{}, dirtySet: map[*job]bool{}, refused: map[*job]time.Time{}, waitingJobs: map[string]int{},
	}
}

// markDirty marks a job whose state has changed and has to be stored.
func (co *Core) markDirty(jb *job) {
	jb.version++
	if _, refused := co.commits.refused[jb]; !refused {
		co.commits.add(jb)
	}
}

// add adds a job to those that have to be written.
func (cq *commitQueue) add(jb *job) {
	if !cq.dirtySet[jb] {
		cq.dirtySet[jb] = true
		cq.dirty = append(cq.dirty, jb)
	}
}

// retryRefused adds the jobs whose refused records are to be written again.
func (cq *commitQueue) retryRefused(now time.Time) {
	for _, jb := range slices.SortedFunc(maps.Keys(cq.refused), compareJobs) {
		if !now.Before(cq.refused[jb]) {
			delete(cq.refused, jb)
			cq.add(jb)
		}
	}
}

// canCommit reports whether another commit may be emitted. While others are in
// flight it has to be full, so that a lightly loaded domain makes few calls to
// the store.
func (cq *commitQueue) canCommit() bool {
	return len(cq.inFlight) == 0 || (len(cq.inFlight) < maxCommitsInFlight && len(cq.dirty) >= maxCommitRecords)
}

// flush emits a commit if one is due. A job is in at most one commit at a
// time, so that its versions are written in order.
func (co *Core) flush(now time.Time) {
	cq := &co.commits
	cq.retryRefused(now)
	if !cq.canCommit() || now.Sub(cq.lastCommit) < co.commitInterval() {
		return
	}
	cm := Commit{Backlog: co.countWaitingJobs(now)}
	co.examine(len(cq.dirty))
	next := cq.nextBatch()
	versions := make([]jobVersion, len(next))
	for i, jb := range next {
		cm.Records = append(cm.Records, co.recordOf(now, jb))
		versions[i] = jobVersion{jb, jb.version}
		cq.inFlightJobs[jb] = true
		delete(cq.dirtySet, jb)
	}
	if len(versions) == 0 && cm.Backlog == nil {
		if !co.tokens.wanted {
			return
		}
		cm.Backlog = co.takeBacklog(now) // only for the revision, which is a token
	}
	cq.dirty = slices.DeleteFunc(cq.dirty, func(jb *job) bool { return !cq.dirtySet[jb] })
	cq.urgent = cq.urgent && len(cq.dirty) > 0
	cq.jobEnded = cq.jobEnded && len(cq.dirty) > 0
	cq.seq++
	cm.Seq = cq.seq
	cq.inFlight[cq.seq] = versions
	cq.lastCommit = now
	co.emit(cm)
}

// nextBatch returns the jobs of the next commit. Half of the places go to those
// that changed first and the other half to those of the most urgent queues, so
// that neither kind starves.
func (cq *commitQueue) nextBatch() []*job {
	ready := slices.DeleteFunc(slices.Clone(cq.dirty), func(jb *job) bool { return cq.inFlightJobs[jb] })
	if len(ready) <= maxCommitRecords {
		return ready
	}
	later := ready[maxCommitRecords/2:]
	slices.SortStableFunc(later, func(a, b *job) int { return a.Queue.Priority - b.Queue.Priority })
	return ready[:maxCommitRecords]
}

// commitInterval is the minimum time between two commits. It is shorter if a
// start waits, and zero if a job has ended: callers often ask for the state of a
// job just after its last task has ended, and ask again only some time later.
func (co *Core) commitInterval() time.Duration {
	switch {
	case co.commits.jobEnded:
		return 0
	case co.commits.urgent:
		return urgentCommitInterval
	default:
		return routineCommitInterval
	}
}

// handleCommit processes the outcome of a commit. Attempts that it has recorded
// can be started, and ends that it accounts for can be acknowledged.
func (co *Core) handleCommit(now time.Time, ev Committed) {
	versions, ok := co.commits.inFlight[ev.Seq]
	if !ok {
		return
	}
	delete(co.commits.inFlight, ev.Seq)
	co.addToken(now, ev.Revision)
	for _, jv := range versions {
		delete(co.commits.inFlightJobs, jv.job)
		if slices.Contains(ev.Refused, jv.job.ID) {
			co.handleRefusedRecord(now, jv.job)
			continue
		}
		jv.job.savedVersion = jv.version
		co.examine(len(jv.job.units))
		for _, un := range jv.job.units {
			if un.phase == placed {
				co.markChanged(un)
			}
		}
		jv.job.closeFinished()
		jv.job.releaseEnded()
	}
	co.sendRepeats(now)
	for _, nd := range slices.SortedFunc(maps.Keys(co.unsavedEnds), compareNodes) {
		co.advanceSavedEnd(now, nd)
		if len(nd.pendingEnds) == 0 {
			delete(co.unsavedEnds, nd)
			nd.nextPoll = now
			co.considerPoll(nd)
		}
	}
}

// handleRefusedRecord withdraws the attempts of a job that can't be recorded, so that
// they occupy no workers, and has the record written again after refusedRecordDelay.
// No further attempt begins before that.
func (co *Core) handleRefusedRecord(now time.Time, jb *job) {
	cq := &co.commits
	at := now.Add(refusedRecordDelay)
	cq.refused[jb] = at
	if cq.dirtySet[jb] {
		delete(cq.dirtySet, jb)
		cq.dirty = slices.DeleteFunc(cq.dirty, func(other *job) bool { return other == jb })
	}
	for _, un := range jb.units {
		switch un.phase {
		case placed:
			co.stopUnit(now, un, "the store refuses the record of the job")
			co.markChanged(un)
		case waiting:
			co.releaseClaim(un)
		default:
			continue
		}
		un.notBefore = latest(un.notBefore, at)
	}
}

// countWaitingJobs returns the number of jobs of each queue that have not begun,
// the tasks left in evacuated zones and the memory in use. It returns nil if none of
// them has changed, or if waitingCountInterval has not passed since the last count. Jobs with a
// schedule, and those accepted less than waitingCountInterval ago, don't count.
func (co *Core) countWaitingJobs(now time.Time) *batch.Backlog {
	if now.Sub(co.commits.countedAt) < waitingCountInterval {
		return nil
	}
	former := co.commits
	bl := co.takeBacklog(now)
	if maps.Equal(bl.Queues, former.waitingJobs) && maps.Equal(bl.Evacuating, former.evacuatedTasks) && bl.Held == former.held {
		return nil
	}
	return bl
}

// takeBacklog counts what countWaitingJobs returns, and notes it as written.
func (co *Core) takeBacklog(now time.Time) *batch.Backlog {
	co.commits.countedAt = now
	counts := map[string]int{}
	co.examine(len(co.jobs) + len(co.nodes))
	for _, jb := range co.jobs {
		if !jb.begun && !jb.state.Final() && jb.Schedule == nil && now.Sub(jb.acceptedAt) >= waitingCountInterval {
			counts[jb.Queue.Name]++
		}
	}
	left, held := co.tasksByZone(), co.reportedState()
	co.commits.waitingJobs, co.commits.evacuatedTasks, co.commits.held = counts, left, held
	return &batch.Backlog{At: now, Queues: counts, Evacuating: left, Held: held}
}
