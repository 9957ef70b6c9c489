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

// revisionTable holds the known revision of each job record, by key.
type revisionTable struct {
	mu        sync.Mutex
	revisions map[string]store.Revision
}

// commitRetryDelay is the pause after a failed commit.
const commitRetryDelay = 100 * time.Millisecond

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

// written is the outcome of a commit.
type written struct {
	revision store.Revision // zero if unknown
	refused  []string       // IDs of the jobs whose records the store refuses for good
}

// commit writes records until they are stored or refused, or the term ends, and
// tells the core.
func (te *term) commit(cm domain.Commit) {
	if wr, ok := te.write(cm); ok {
		te.send(domain.Committed{Seq: cm.Seq, Revision: int64(wr.revision), Refused: wr.refused})
	}
}

// write writes records until they are stored or the term ends, which it reports
// by ok. Each write requires the leader key and every record to be at their known
// revisions, so a write whose response was lost can't overwrite a later one.
func (te *term) write(cm domain.Commit) (wr written, ok bool) {
	puts, err := encodeCommit(cm)
	if err != nil {
		te.log.Error("can't encode commit", "event", "commitFails", "reason", err)
		te.end()
		return written{}, false
	}
	for {
		rev, ents, err := te.cfg.Store.Commit(te.ctx, te.txn(cm, puts))
		switch {
		case err == nil:
			te.setRevisions(cm, rev)
			return written{revision: rev}, true
		case errors.Is(err, store.ErrConflict):
			if te.leadershipLost(ents) {
				te.log.Warn("the leader key has changed", "event", "leadershipLost")
				te.end()
				return written{}, false
			}
			if te.updateRevisions(puts, ents) {
				return written{}, true
			}
			// A record had another revision: retry with the revisions just read.
		case errors.Is(err, store.ErrTooLarge):
			te.log.Error("the store refuses a commit", "event", "commitFails", "seq", cm.Seq, "records", len(cm.Records), "reason", err)
			return te.writeEach(cm)
		default:
			te.log.Warn("commit failed, retrying", "event", "commitFails", "seq", cm.Seq, "reason", err)
			if !te.pauseFor(commitRetryDelay) {
				return written{}, false
			}
		}
	}
}

// writeEach writes the parts of a commit that the store has refused one by one, so
// that one of them does not keep the others from the store. A part that can't be
// divided is refused.
func (te *term) writeEach(cm domain.Commit) (wr written, ok bool) {
	if len(cm.Records) == 0 {
		return written{}, true
	}
	if len(cm.Records) == 1 && cm.Backlog == nil {
		return written{refused: []string{cm.Records[0].ID}}, true
	}
	parts := make([]domain.Commit, 0, len(cm.Records)+1)
	for _, rc := range cm.Records {
		parts = append(parts, domain.Commit{Seq: cm.Seq, Records: []batch.Record{rc}})
	}
	if cm.Backlog != nil {
		parts = append(parts, domain.Commit{Seq: cm.Seq, Backlog: cm.Backlog})
	}
	for _, part := range parts {
		one, ok := te.write(part)
		if !ok {
			return written{}, false
		}
		wr.revision = max(wr.revision, one.revision)
		wr.refused = append(wr.refused, one.refused...)
	}
	return wr, true
}

// txn returns the transaction that writes puts, the encoded records of a
// commit.
func (te *term) txn(cm domain.Commit, puts []store.Put) store.Txn {
	tx := store.Txn{Expect: []store.Expectation{{Key: batch.LeaderKey, Revision: te.token}}, Puts: puts}
	for _, rc := range cm.Records {
		key := batch.ProgressKey(rc.ID)
		tx.Expect = append(tx.Expect, store.Expectation{Key: key, Revision: te.revisions.get(key)})
	}
	return tx
}

// setRevisions sets the known revision of the written records.
func (te *term) setRevisions(cm domain.Commit, rev store.Revision) {
	for _, rc := range cm.Records {
		te.revisions.set(batch.ProgressKey(rc.ID), rev)
	}
}

// leadershipLost reports whether the leader key is no longer at this term's
// revision or is missing from ents.
func (te *term) leadershipLost(ents []store.Entry) bool {
	for _, en := range ents {
		if en.Key == batch.LeaderKey {
			return en.Revision != te.token
		}
	}
	return true
}

// updateRevisions sets the known revisions to those of ents, the entries that
// a conflict returned. It reports whether every record has the value of this
// commit, which means that an earlier attempt took effect and its response was
// lost.
func (te *term) updateRevisions(puts []store.Put, ents []store.Entry) bool {
	all := true
	for _, en := range ents {
		if en.Key == batch.LeaderKey {
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

// encodeCommit returns the writes of a commit: its records and, if it has one,
// its backlog.
func encodeCommit(cm domain.Commit) ([]store.Put, error) {
	var puts []store.Put
	for _, rc := range cm.Records {
		data, err := batch.EncodeRecord(rc)
		if err != nil {
			return nil, err
		}
		puts = append(puts, store.Put{Key: batch.ProgressKey(rc.ID), Value: data})
	}
	if cm.Backlog != nil {
		data, err := batch.Encode(*cm.Backlog)
		if err != nil {
			return nil, err
		}
		puts = append(puts, store.Put{Key: batch.BacklogKey, Value: data})
	}
	return puts, nil
}

// deleteJob deletes everything stored about an ended job. If that fails, the
// next leader retries.
func (te *term) deleteJob(id string) {
	tx := store.Txn{
		Expect:  []store.Expectation{{Key: batch.LeaderKey, Revision: te.token}},
		Deletes: []string{batch.JobKey(id), batch.CancelKey(id), batch.ProgressKey(id)},
	}
	if _, _, err := te.cfg.Store.Commit(te.ctx, tx); err != nil {
		te.log.Warn("can't delete ended job", "event", "deleteFails", "job", id, "reason", err)
	}
}
