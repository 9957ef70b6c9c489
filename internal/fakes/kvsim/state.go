package kvsim

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

type (
	// state is the content of the service. It does no locking and reads no
	// clock.
	state struct {
		revision  int64
		nextLease int64
		keys      map[string]kvapi.KeyValue
		leases    map[int64]lease
		history   []change
		compacted int64 // the largest revision whose changes have been discarded
		bytes     int   // size of the values in history
	}

	lease struct {
		ttl     time.Duration
		expires time.Time // unless renewed
	}

	// change is one event in the history.
	change struct {
		revision int64
		event    kvapi.Event
	}

	// Snapshot is a copy of the content at one point in time.
	Snapshot struct {
		st state
	}
)

// The limits on the history that watches can start from.
const (
	maxHistoryChanges = 4096
	maxHistoryBytes   = 64 << 20
)

func newState() state {
	return state{revision: 1, nextLease: 1, keys: map[string]kvapi.KeyValue{}, leases: map[int64]lease{}}
}

func (st *state) clone() state {
	cp := *st
	cp.keys = maps.Clone(st.keys)
	cp.leases = maps.Clone(st.leases)
	cp.history = slices.Clone(st.history)
	return cp
}

// expire ends the leases that are due and reports whether there were any.
func (st *state) expire(now time.Time) bool {
	var ended []int64
	for id, le := range st.leases {
		if !now.Before(le.expires) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		st.endLease(id)
	}
	return len(ended) > 0
}

// endLease deletes a lease and the keys attached to it under one revision, as
// etcd does.
func (st *state) endLease(id int64) {
	delete(st.leases, id)
	var keys []string
	for key, kv := range st.keys {
		if kv.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	st.revision++
	for _, key := range keys {
		st.remove(key)
	}
}

func (st *state) put(req kvapi.PutRequest) {
	st.revision++
	key := string(req.Key)
	kv := kvapi.KeyValue{
		Key: req.Key, Value: req.Value, Lease: req.Lease,
		CreateRevision: st.revision, ModRevision: st.revision, Version: 1,
	}
	if old, ok := st.keys[key]; ok {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
	}
	st.keys[key] = kv
	st.record(kvapi.Event{Type: kvapi.EventPut, KV: kv})
}

func (st *state) delete(key string) {
	if _, ok := st.keys[key]; !ok {
		return
	}
	st.revision++
	st.remove(key)
}

// remove deletes a key under the current revision.
func (st *state) remove(key string) {
	delete(st.keys, key)
	tombstone := kvapi.KeyValue{Key: []byte(key), ModRevision: st.revision}
	st.record(kvapi.Event{Type: kvapi.EventDelete, KV: tombstone})
}

// record appends an event to the history, and discards the oldest events beyond
// its limits.
func (st *state) record(ev kvapi.Event) {
	st.history = append(st.history, change{st.revision, ev})
	st.bytes += len(ev.KV.Value)
	for len(st.history) > maxHistoryChanges || st.bytes > maxHistoryBytes {
		st.compacted = st.history[0].revision
		st.bytes -= len(st.history[0].event.KV.Value)
		st.history = st.history[1:]
	}
}

func (st *state) rangeKeys(req kvapi.RangeRequest) kvapi.RangeResponse {
	rep := kvapi.RangeResponse{Header: kvapi.Header{Revision: st.revision}}
	if len(req.RangeEnd) == 0 {
		if kv, ok := st.keys[string(req.Key)]; ok {
			rep.KVs = append(rep.KVs, kv)
		}
	} else {
		for key, kv := range st.keys {
			if inRange(key, req.Key, req.RangeEnd) {
				rep.KVs = append(rep.KVs, kv)
			}
		}
		slices.SortFunc(rep.KVs, func(a, b kvapi.KeyValue) int { return slices.Compare(a.Key, b.Key) })
	}
	rep.Count = int64(len(rep.KVs))
	return rep
}

// txn performs a transaction that validate has accepted.
func (st *state) txn(req kvapi.TxnRequest) kvapi.TxnResponse {
	rep := kvapi.TxnResponse{Succeeded: true}
	for _, cp := range req.Compare {
		if st.keys[string(cp.Key)].ModRevision != cp.ModRevision {
			rep.Succeeded = false
		}
	}
	ops := req.Success
	if !rep.Succeeded {
		ops = req.Failure
	}
	for _, op := range ops {
		rep.Responses = append(rep.Responses, st.applyOp(op))
	}
	rep.Header.Revision = st.revision
	return rep
}

func (st *state) applyOp(op kvapi.RequestOp) kvapi.ResponseOp {
	switch {
	case op.Put != nil:
		st.put(*op.Put)
		return kvapi.ResponseOp{Put: &kvapi.WriteResponse{Header: kvapi.Header{Revision: st.revision}}}
	case op.Delete != nil:
		st.delete(string(op.Delete.Key))
		return kvapi.ResponseOp{Delete: &kvapi.WriteResponse{Header: kvapi.Header{Revision: st.revision}}}
	default:
		rr := st.rangeKeys(*op.Range)
		return kvapi.ResponseOp{Range: &rr}
	}
}

// validate returns the error of an invalid transaction, or nil. An invalid
// transaction has no effect.
func (st *state) validate(req kvapi.TxnRequest) *kvapi.Error {
	for _, cp := range req.Compare {
		if cp.Target != kvapi.TargetMod || cp.Result != kvapi.ResultEqual {
			return &kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: "only the comparison MOD EQUAL is supported"}
		}
	}
	for _, op := range append(slices.Clone(req.Success), req.Failure...) {
		if op.Put == nil && op.Delete == nil && op.Range == nil {
			return &kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: "operation is empty"}
		}
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > maxValueBytes {
			return &kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: kvapi.MessageTooLarge}
		}
		if _, ok := st.leases[op.Put.Lease]; op.Put.Lease != 0 && !ok {
			return &kvapi.Error{Code: kvapi.CodeNotFound, Message: kvapi.MessageLeaseNotFound}
		}
	}
	return nil
}

// changesSince returns the events after a revision for a range of keys.
func (st *state) changesSince(after int64, start, end []byte) []kvapi.Event {
	var evs []kvapi.Event
	at, _ := slices.BinarySearchFunc(st.history, after+1, func(ch change, rev int64) int {
		return int(ch.revision - rev)
	})
	for _, ch := range st.history[at:] {
		if inRange(string(ch.event.KV.Key), start, end) {
			evs = append(evs, ch.event)
		}
	}
	return evs
}

// inRange reports whether a key is in a range as etcd defines it: without an end,
// the range is the start key alone; the end "\x00" means no upper bound.
func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	if key < string(start) {
		return false
	}
	return string(end) == "\x00" || key < string(end)
}
