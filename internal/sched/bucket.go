package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// bucket is one value in the store, which holds the records of several jobs. At
// most one write of it is in flight; changes made meanwhile are combined into
// the next one, so that the number of calls to the store is bounded by time and
// does not grow with the number of jobs.
type bucket struct {
	writeDue  bool                // a record has changed since the last write was sent, or that write failed
	inFlight  bool                // a write is unanswered
	writeSeq  int64               // sequence number of the last write
	sent      map[string]snapshot // content of the write in flight
	notBefore time.Time           // earliest time of the next write
	failing   bool                // the last write failed, was too large, or has an unknown outcome
}

// snapshot is a record as contained in a write.
type snapshot struct {
	rec     jobs.Record
	version int // of the job when the write was sent
}

// retryAfter is the retry delay given to callers whose request may succeed later.
const retryAfter = 2 * time.Second

// bucketOf returns the index of the bucket that holds a job's record.
func (co *Core) bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(co.buckets)))
}

// markUnsaved notes that the job's record has changed and has to be written.
func (co *Core) markUnsaved(jb *job) {
	jb.version++
	co.buckets[jb.bucket].writeDue = true
}

// storeUnavailable reports whether the last write of any bucket failed, for
// whatever reason.
func (co *Core) storeUnavailable() bool {
	return slices.ContainsFunc(co.buckets, func(bu bucket) bool { return bu.failing })
}

// isSaved reports whether the store has the current record. A change of only the
// detail of why a job waits is ignored, as it doesn't justify a write.
func (jb *job) isSaved() bool { return jb.saved.ID != "" && jb.savedVersion == jb.version }

// HasUnsaved reports whether any change may not be in the store yet.
func (co *Core) HasUnsaved() bool {
	return slices.ContainsFunc(co.buckets, func(bu bucket) bool { return bu.writeDue || bu.inFlight })
}

// flushBuckets writes the buckets that are due and have no write in flight.
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
				bu.sent[id] = snapshot{jb.rec, jb.version}
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

// handleWrite handles the result of a write, unless it isn't the last one sent.
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
		co.resign("another scheduler has written the bucket")
	case WriteFailed:
		co.writeFailed(now, bu)
		co.rejectUnsaved(bu.sent, codes.StoreUnavailable, "the store does not respond")
	case WriteTooLarge:
		co.writeFailed(now, bu)
		co.rejectUnsaved(bu.sent, codes.QueueFull, "the records of the job's bucket exceed the size limit of the store")
	case WriteUnknown:
		co.writeFailed(now, bu)
		co.answerAllUnknown(bu.sent)
	}
	bu.sent = nil
}

// writeFailed has a bucket written again after writeRetryDelay.
func (co *Core) writeFailed(now time.Time, bu *bucket) {
	bu.failing = true
	bu.writeDue = true
	bu.notBefore = now.Add(writeRetryDelay)
}

// recordSaved updates the jobs whose records a write has put into the store.
func (co *Core) recordSaved(sent map[string]snapshot) {
	for id, sn := range sent {
		jb, ok := co.jobs[id]
		if !ok {
			continue
		}
		rc := sn.rec
		ended := rc.State == jobs.Ended && jb.saved.State != jobs.Ended
		jb.saved = rc
		jb.savedVersion = sn.version
		co.markChanged(id)
		co.answerSaved(jb)
		if ended {
			co.emit(JobEnded{Record: rc})
			co.releaseEnded(jb)
		}
		if jb.rec.State == jobs.Queued {
			co.placementDue = true
		}
	}
	co.releaseAllUnowned()
}

// rejectUnsaved removes the jobs whose first record was in a write that had no
// effect, and answers their callers with an error. These jobs were not accepted
// and have not started.
func (co *Core) rejectUnsaved(sent map[string]snapshot, cd codes.Code, detail string) {
	for id := range sent {
		jb, ok := co.jobs[id]
		if !ok || jb.saved.ID != "" || jb.indeterminate {
			continue
		}
		er := codes.New(cd, "%s", detail).WithRetryAfter(retryAfter)
		for _, pr := range jb.pendingRequests {
			co.emit(Answer{RequestID: pr.id, Err: er})
		}
		delete(co.jobs, id)
	}
}

// answerAllUnknown tells the callers whose requests are in a write that its
// outcome is unknown. The jobs are kept and written again.
func (co *Core) answerAllUnknown(sent map[string]snapshot) {
	for id := range sent {
		jb, ok := co.jobs[id]
		if !ok {
			continue
		}
		if jb.saved.ID == "" {
			jb.indeterminate = true
		}
		for _, pr := range jb.pendingRequests {
			co.answerUnknown(jb, pr)
		}
		jb.pendingRequests = nil
	}
}

// answerUnknown tells a caller that the outcome of its request is unknown.
func (co *Core) answerUnknown(jb *job, pr pendingRequest) {
	cd := codes.SubmitUnknown
	if pr.cancel {
		cd = codes.CancelUnknown
	}
	co.emit(Answer{RequestID: pr.id, Record: jb.rec, Err: codes.New(cd, "it is unknown whether the request for job %s was recorded", jb.rec.ID).WithRetryAfter(retryAfter)})
}

// answerSaved answers the callers whose request is in the store now.
func (co *Core) answerSaved(jb *job) {
	jb.pendingRequests = slices.DeleteFunc(jb.pendingRequests, func(pr pendingRequest) bool {
		if pr.cancel && !jb.saved.Cancelled && jb.saved.State != jobs.Ended {
			return false
		}
		co.emit(Answer{RequestID: pr.id, Record: jb.visible()})
		return true
	})
}

// expirePendingRequests answers the callers that have waited for the store for
// longer than storeTimeout. A new job that no write can have stored is rejected;
// otherwise the answer is that the outcome is unknown.
func (co *Core) expirePendingRequests(now time.Time, jb *job) {
	expired := func(pr pendingRequest) bool { return now.After(pr.until) }
	if !slices.ContainsFunc(jb.pendingRequests, expired) {
		return
	}
	bu := co.buckets[jb.bucket]
	_, inFlight := bu.sent[jb.rec.ID]
	if jb.saved.ID == "" && !jb.indeterminate && !inFlight {
		co.rejectUnsaved(map[string]snapshot{jb.rec.ID: {}}, codes.StoreUnavailable, "the store does not respond")
		return
	}
	for _, pr := range jb.pendingRequests {
		if expired(pr) {
			co.answerUnknown(jb, pr)
		}
	}
	if jb.saved.ID == "" {
		jb.indeterminate = true
	}
	jb.pendingRequests = slices.DeleteFunc(jb.pendingRequests, expired)
}
