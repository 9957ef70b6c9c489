package drive

import (
	"bytes"
	"errors"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// revisionTable knows the revisions at which the records of jobs stand.
type revisionTable struct {
	mu        sync.Mutex
	revisions map[string]store.Revision
}

// commitRetry is the pause after a commit that has not taken effect.
const commitRetry = 100 * time.Millisecond

func newRevisionTable() *revisionTable { return &revisionTable{revisions: map[string]store.Revision{}} }

func (rt *revisionTable) set(key string, rev store.Revision) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.revisions[key] = rev
}

func (rt *revisionTable) get(key string) store.Revision {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.revisions[key]
}

// commit writes records until they stand or the term ends. Each write expects
// the holder's key and every record at the revisions that are known, so that a
// write whose answer was lost can't undo a later one.
func (te *term) commit(cm domain.Commit) {
	puts, err := encodeRecords(cm)
	if err != nil {
		te.log.Error("record can't be encoded", "event", "commitFails", "reason", err)
		te.end()
		return
	}
	for {
		rev, ents, err := te.cfg.Store.Commit(te.ctx, te.txn(cm, puts))
		switch {
		case err == nil:
			te.committed(cm, rev)
			return
		case errors.Is(err, store.ErrConflict):
			if te.leadershipLost(ents) {
				te.log.Warn("another host holds", "event", "deposed")
				te.end()
				return
			}
			if te.alreadyCommitted(puts, ents) {
				te.send(domain.Committed{Seq: cm.Seq})
				return
			}
		default:
			te.log.Warn("commit is repeated", "event", "commitFails", "seq", cm.Seq, "reason", err)
			if !te.pauseFor(commitRetry) {
				return
			}
		}
	}
}

func (te *term) txn(cm domain.Commit, puts []store.Put) store.Txn {
	tx := store.Txn{Expect: []store.Expectation{{Key: batch.HolderKey, Revision: te.token}}, Puts: puts}
	for _, rc := range cm.Records {
		key := batch.ProgressKey(rc.ID)
		tx.Expect = append(tx.Expect, store.Expectation{Key: key, Revision: te.revisions.get(key)})
	}
	return tx
}

func (te *term) committed(cm domain.Commit, rev store.Revision) {
	for _, rc := range cm.Records {
		te.revisions.set(batch.ProgressKey(rc.ID), rev)
	}
	te.send(domain.Committed{Seq: cm.Seq})
}

// leadershipLost tells whether the holder's key is no longer this term's.
func (te *term) leadershipLost(ents []store.Entry) bool {
	for _, en := range ents {
		if en.Key == batch.HolderKey {
			return en.Revision != te.token
		}
	}
	return true
}

// alreadyCommitted takes over the revisions at which records stand, and tells whether
// all of them are as this commit writes them: it took effect and its answer was
// lost.
func (te *term) alreadyCommitted(puts []store.Put, ents []store.Entry) bool {
	all := true
	for _, en := range ents {
		if en.Key == batch.HolderKey {
			continue
		}
		te.revisions.set(en.Key, en.Revision)
		for _, pu := range puts {
			if pu.Key == en.Key && !bytes.Equal(pu.Value, en.Value) {
				all = false
			}
		}
	}
	return all
}

func encodeRecords(cm domain.Commit) ([]store.Put, error) {
	var puts []store.Put
	for _, rc := range cm.Records {
		data, err := batch.EncodeRecord(rc)
		if err != nil {
			return nil, err
		}
		puts = append(puts, store.Put{Key: batch.ProgressKey(rc.ID), Value: data})
	}
	if cm.Waiting != nil {
		data, err := batch.Encode(*cm.Waiting)
		if err != nil {
			return nil, err
		}
		puts = append(puts, store.Put{Key: batch.WaitingKey, Value: data})
	}
	return puts, nil
}

// deleteJob deletes what is kept of a job. If that fails the next holder does it.
func (te *term) deleteJob(id string) {
	tx := store.Txn{
		Expect:  []store.Expectation{{Key: batch.HolderKey, Revision: te.token}},
		Deletes: []string{batch.JobKey(id), batch.CancelKey(id), batch.ProgressKey(id)},
	}
	if _, _, err := te.cfg.Store.Commit(te.ctx, tx); err != nil {
		te.log.Warn("ended job is not deleted", "event", "forgetFails", "job", id, "reason", err)
	}
}
