package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// bucket is one value of the store. At most one write of it is on its way; all
// that changes meanwhile goes into the next one, so that the calls to the
// store grow with time and not with the number of jobs.
type bucket struct {
	writeDue  bool
	inFlight  bool
	writeSeq  int64
	sent      map[string]snapshot // the content of the write on its way
	notBefore time.Time           // no write before
	failing   bool                // the last write failed
}

// snapshot is a record as a write carries it.
type snapshot struct {
	rec      jobs.Record
	revision int
}

// storeRetryAfter is what callers are told to wait for while the store is away.
const storeRetryAfter = 2 * time.Second

func (co *Core) bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(co.buckets)))
}

// markUnsaved asks for the job's record to be written.
func (co *Core) markUnsaved(jb *job) {
	jb.revision++
	co.buckets[jb.bucket].writeDue = true
}

// storeUnavailable tells whether the last write of any bucket failed.
func (co *Core) storeUnavailable() bool {
	return slices.ContainsFunc(co.buckets, func(bu bucket) bool { return bu.failing })
}

// persisted tells whether the store holds the record as it is, but for the note on
// why a job waits, which is not worth a write.
func (jb *job) persisted() bool { return jb.saved.ID != "" && jb.savedRevision == jb.revision }

// Unsaved tells whether anything is still to be written.
func (co *Core) Unsaved() bool {
	return slices.ContainsFunc(co.buckets, func(bu bucket) bool { return bu.writeDue || bu.inFlight })
}

func (co *Core) flushBuckets(now time.Time) {
	for i := range co.buckets {
		bu := &co.buckets[i]
		if !bu.writeDue || bu.inFlight || now.Before(bu.notBefore) || co.resigned {
			continue
		}
		bu.writeDue = false
		bu.inFlight = true
		bu.writeSeq++
		bu.sent = map[string]snapshot{}
		for id, jb := range co.jobs {
			if jb.bucket == i {
				bu.sent[id] = snapshot{jb.rec, jb.revision}
			}
		}
		rcs := make([]jobs.Record, 0, len(bu.sent))
		for _, sn := range bu.sent {
			rcs = append(rcs, sn.rec)
		}
		slices.SortFunc(rcs, func(a, b jobs.Record) int { return cmp.Compare(a.ID, b.ID) })
		co.emit(Write{Bucket: i, Seq: bu.writeSeq, Jobs: rcs})
	}
}

func (co *Core) handleWrite(now time.Time, ev WriteDone) {
	bu := &co.buckets[ev.Bucket]
	if !bu.inFlight || ev.Seq != bu.writeSeq {
		return
	}
	bu.inFlight = false
	bu.notBefore = now.Add(writeInterval)
	switch ev.Result {
	case WriteSucceeded:
		bu.failing = false
		co.recordSaved(bu.sent)
	case WriteConflict:
		co.resign("another scheduler has written bucket")
	case WriteFailed:
		co.writeFailed(now, bu)
		co.rejectUnsaved(bu.sent, codes.StoreUnavailable, "the store does not answer")
	case WriteTooLarge:
		co.writeFailed(now, bu)
		co.rejectUnsaved(bu.sent, codes.QueueFull, "the records of the zone are full")
	case WriteUnknown:
		co.writeFailed(now, bu)
		co.answerIndeterminate(bu.sent)
	}
	bu.sent = nil
}

func (co *Core) writeFailed(now time.Time, bu *bucket) {
	bu.failing = true
	bu.writeDue = true
	bu.notBefore = now.Add(writeRetryDelay)
}

// recordSaved takes note of what a write has put into the store.
func (co *Core) recordSaved(sent map[string]snapshot) {
	for id, sn := range sent {
		jb, ok := co.jobs[id]
		if !ok {
			continue
		}
		rc := sn.rec
		ended := rc.State == jobs.Ended && jb.saved.State != jobs.Ended
		jb.saved = rc
		jb.savedRevision = sn.revision
		co.markChanged(id)
		co.answerSaved(jb)
		if ended {
			co.emit(Finished{Record: rc})
			co.ackRows(jb)
		}
		if jb.rec.State == jobs.Queued {
			co.placementDue = true
		}
	}
	co.clearAllStrays()
}

// rejectUnsaved removes the jobs that were to be recorded for the first time by
// a write that had no effect. They were not accepted and have not started.
func (co *Core) rejectUnsaved(sent map[string]snapshot, cd codes.Code, detail string) {
	for id := range sent {
		jb, ok := co.jobs[id]
		if !ok || jb.saved.ID != "" || jb.indeterminate {
			continue
		}
		er := codes.New(cd, "%s", detail).WithRetryAfter(storeRetryAfter)
		for _, tk := range jb.tickets {
			co.emit(Answer{Ticket: tk.id, Err: er})
		}
		delete(co.jobs, id)
	}
}

// answerIndeterminate tells the callers whose write may stand. The jobs stay and
// are written again.
func (co *Core) answerIndeterminate(sent map[string]snapshot) {
	for id := range sent {
		jb, ok := co.jobs[id]
		if !ok {
			continue
		}
		if jb.saved.ID == "" {
			jb.indeterminate = true
		}
		for _, tk := range jb.tickets {
			co.answerUnknown(jb, tk)
		}
		jb.tickets = nil
	}
}

func (co *Core) answerUnknown(jb *job, tk ticket) {
	cd := codes.SubmitUnknown
	if tk.cancel {
		cd = codes.CancelUnknown
	}
	co.emit(Answer{Ticket: tk.id, Record: jb.rec, Err: codes.New(cd, "job %s", jb.rec.ID).WithRetryAfter(storeRetryAfter)})
}

// answerSaved answers the callers whose wish is in the store now.
func (co *Core) answerSaved(jb *job) {
	jb.tickets = slices.DeleteFunc(jb.tickets, func(tk ticket) bool {
		if tk.cancel && !jb.saved.Cancelled && jb.saved.State != jobs.Ended {
			return false
		}
		co.emit(Answer{Ticket: tk.id, Record: jb.visible()})
		return true
	})
}

// expireTickets ends the wait of callers whom the store has kept too long.
func (co *Core) expireTickets(now time.Time, jb *job) {
	late := func(tk ticket) bool { return now.After(tk.until) }
	if !slices.ContainsFunc(jb.tickets, late) {
		return
	}
	bu := co.buckets[jb.bucket]
	_, inFlight := bu.sent[jb.rec.ID]
	if jb.saved.ID == "" && !jb.indeterminate && !inFlight {
		co.rejectUnsaved(map[string]snapshot{jb.rec.ID: {}}, codes.StoreUnavailable, "the store does not answer")
		return
	}
	for _, tk := range jb.tickets {
		if late(tk) {
			co.answerUnknown(jb, tk)
		}
	}
	if jb.saved.ID == "" {
		jb.indeterminate = true
	}
	jb.tickets = slices.DeleteFunc(jb.tickets, late)
}
