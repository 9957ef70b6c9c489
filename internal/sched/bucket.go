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
	due     bool
	flying  bool
	write   int64
	sent    map[string]snapshot // the content of the write on its way
	after   time.Time           // no write before
	failing bool                // the last write failed
}

// snapshot is a record as a write carries it.
type snapshot struct {
	rec    jobs.Record
	change int
}

// storeWait is what callers are told to wait for while the store is away.
const storeWait = 2 * time.Second

func (co *Core) bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(co.buckets)))
}

// dirty asks for the job's record to be written.
func (co *Core) dirty(jb *job) {
	jb.change++
	co.buckets[jb.bucket].due = true
}

// storeAway tells whether the last write of any bucket failed.
func (co *Core) storeAway() bool {
	return slices.ContainsFunc(co.buckets, func(bu bucket) bool { return bu.failing })
}

// clean tells whether the store holds the record as it is, but for the note on
// why a job waits, which is not worth a write.
func (jb *job) clean() bool { return jb.saved.ID != "" && jb.savedChange == jb.change }

// Unsaved tells whether anything is still to be written.
func (co *Core) Unsaved() bool {
	return slices.ContainsFunc(co.buckets, func(bu bucket) bool { return bu.due || bu.flying })
}

func (co *Core) flushBuckets(now time.Time) {
	for i := range co.buckets {
		bu := &co.buckets[i]
		if !bu.due || bu.flying || now.Before(bu.after) || co.resigned {
			continue
		}
		bu.due = false
		bu.flying = true
		bu.write++
		bu.sent = map[string]snapshot{}
		for id, jb := range co.jobs {
			if jb.bucket == i {
				bu.sent[id] = snapshot{jb.rec, jb.change}
			}
		}
		rcs := make([]jobs.Record, 0, len(bu.sent))
		for _, sn := range bu.sent {
			rcs = append(rcs, sn.rec)
		}
		slices.SortFunc(rcs, func(a, b jobs.Record) int { return cmp.Compare(a.ID, b.ID) })
		co.emit(Write{Bucket: i, Write: bu.write, Jobs: rcs})
	}
}

func (co *Core) written(now time.Time, ev Written) {
	bu := &co.buckets[ev.Bucket]
	if !bu.flying || ev.Write != bu.write {
		return
	}
	bu.flying = false
	bu.after = now.Add(writeGap)
	switch ev.Result {
	case WriteStands:
		bu.failing = false
		co.stands(bu.sent)
	case WriteConflict:
		co.resign("another scheduler has written bucket")
	case WriteFailed:
		co.writeFailed(now, bu)
		co.dropUnsaved(bu.sent, codes.StoreUnavailable, "the store does not answer")
	case WriteTooLarge:
		co.writeFailed(now, bu)
		co.dropUnsaved(bu.sent, codes.QueueFull, "the records of the zone are full")
	case WriteUnknown:
		co.writeFailed(now, bu)
		co.answerDoubtful(bu.sent)
	}
	bu.sent = nil
}

func (co *Core) writeFailed(now time.Time, bu *bucket) {
	bu.failing = true
	bu.due = true
	bu.after = now.Add(writeRetry)
}

// stands takes note of what a write has put into the store.
func (co *Core) stands(sent map[string]snapshot) {
	for id, sn := range sent {
		jb, ok := co.jobs[id]
		if !ok {
			continue
		}
		rc := sn.rec
		ended := rc.State == jobs.Ended && jb.saved.State != jobs.Ended
		jb.saved = rc
		jb.savedChange = sn.change
		co.touch(id)
		co.answerSaved(jb)
		if ended {
			co.emit(Finished{Record: rc})
			co.forgetRows(jb)
		}
		if jb.rec.State == jobs.Queued {
			co.pass = true
		}
	}
	co.touchStrays()
}

// dropUnsaved removes the jobs that were to be recorded for the first time by
// a write that had no effect. They were not accepted and have not started.
func (co *Core) dropUnsaved(sent map[string]snapshot, cd codes.Code, detail string) {
	for id := range sent {
		jb, ok := co.jobs[id]
		if !ok || jb.saved.ID != "" || jb.doubtful {
			continue
		}
		er := codes.New(cd, "%s", detail).WithRetryAfter(storeWait)
		for _, tk := range jb.tickets {
			co.emit(Answer{Ticket: tk.id, Err: er})
		}
		delete(co.jobs, id)
	}
}

// answerDoubtful tells the callers whose write may stand. The jobs stay and
// are written again.
func (co *Core) answerDoubtful(sent map[string]snapshot) {
	for id := range sent {
		jb, ok := co.jobs[id]
		if !ok {
			continue
		}
		if jb.saved.ID == "" {
			jb.doubtful = true
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
	co.emit(Answer{Ticket: tk.id, Record: jb.rec, Err: codes.New(cd, "job %s", jb.rec.ID).WithRetryAfter(storeWait)})
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
	_, onItsWay := bu.sent[jb.rec.ID]
	if jb.saved.ID == "" && !jb.doubtful && !onItsWay {
		co.dropUnsaved(map[string]snapshot{jb.rec.ID: {}}, codes.StoreUnavailable, "the store does not answer")
		return
	}
	for _, tk := range jb.tickets {
		if late(tk) {
			co.answerUnknown(jb, tk)
		}
	}
	if jb.saved.ID == "" {
		jb.doubtful = true
	}
	jb.tickets = slices.DeleteFunc(jb.tickets, late)
}
