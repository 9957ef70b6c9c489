package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// metaStore is the platform's metadata store, as PROTOCOL.md describes it.
	metaStore struct {
		mu       sync.Mutex
		items    map[string]item
		keys     []string // sorted
		revision int64
		events   []item
		leases   map[int64]*lease
		changed  chan struct{} // closed at the next event
		late     func(tx txn) time.Duration
		delay    time.Duration // of each response
	}

	// gate is the path of one host to the store. While it is cut, nothing passes.
	gate struct {
		store *metaStore
		cut   atomic.Bool
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created,omitempty"`
		Lease    int64  `json:"lease"`
		Deleted  bool   `json:"deleted,omitempty"`
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	txn struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Deletes  []string `json:"deletes"`
	}
)

const (
	pageItems   = 500
	pageBytes   = 1 << 20
	storeTime   = 4 * time.Millisecond // of an answer
	expiryPause = 10 * time.Millisecond
	silentTime  = 20 * time.Second // until a channel without an answer is cut
)

// ServeHTTP implements http.Handler. What is cut off gets no answer.
func (ga *gate) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if ga.cut.Load() {
		select {
		case <-rq.Context().Done():
		case <-time.After(silentTime):
		}
		panic(http.ErrAbortHandler)
	}
	ga.store.ServeHTTP(wr, rq)
	if ga.cut.Load() {
		panic(http.ErrAbortHandler)
	}
}

func newStore() *metaStore {
	st := &metaStore{items: map[string]item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{}), delay: storeTime}
	go func() {
		for {
			time.Sleep(expiryPause)
			st.expire()
		}
	}()
	return st
}

// ServeHTTP implements http.Handler.
func (st *metaStore) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(st.delay)
	if rq.URL.Path == "/kv-txn" {
		st.serveTxn(wr, rq)
		return
	}
	status, body := st.dispatch(rq)
	respond(wr, status, body)
}

// serveTxn carries out a transaction. One that is late gets no answer on its channel,
// and is carried out some seconds later if its condition still holds.
func (st *metaStore) serveTxn(wr http.ResponseWriter, rq *http.Request) {
	var tx txn
	if err := json.NewDecoder(rq.Body).Decode(&tx); err != nil {
		respond(wr, http.StatusBadRequest, nil)
		return
	}
	st.mu.Lock()
	late := st.late
	st.mu.Unlock()
	if late != nil {
		if by := late(tx); by > 0 {
			time.AfterFunc(by, func() {
				status, _ := st.commit(tx)
				logf("store: a late transaction is carried out, status %d, puts %s", status, putKeys(tx))
			})
			select { // the channel returns nothing further
			case <-rq.Context().Done():
			case <-time.After(silentTime):
			}
			panic(http.ErrAbortHandler)
		}
	}
	status, body := st.commit(tx)
	respond(wr, status, body)
}

func putKeys(tx txn) string {
	var keys []string
	for _, it := range tx.Puts {
		keys = append(keys, it.Key)
	}
	return strings.Join(keys, " ")
}

// setLate sets the function that decides by how much a transaction is late.
func (st *metaStore) setLate(late func(tx txn) time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.late = late
}

func respond(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(wr).Encode(body)
	}
}

func (st *metaStore) dispatch(rq *http.Request) (int, any) {
	path := rq.URL.Path
	id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	after, _ := strconv.ParseInt(rq.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(rq.FormValue("wait_ms"))
	switch {
	case path == "/kv-key":
		return st.get(rq.FormValue("key"))
	case path == "/kv-range":
		return st.list(rq.FormValue("prefix"), rq.FormValue("after"))
	case path == "/kv-watch":
		return st.watch(rq, rq.FormValue("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-lease":
		return st.grant(rq)
	case strings.HasPrefix(path, "/kv-keep/"):
		return st.renew(id), nil
	case strings.HasPrefix(path, "/kv-lease-end/"):
		return st.revoke(id), nil
	}
	return http.StatusNotFound, nil
}

func (st *metaStore) get(key string) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[key]
	if !ok {
		return http.StatusNotFound, map[string]int64{"current_rev": st.revision}
	}
	return http.StatusOK, struct {
		item
		Current int64 `json:"current_rev"`
	}{it, st.revision}
}

// list returns a page of at most pageItems items or pageBytes of values.
func (st *metaStore) list(prefix, after string) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	items, more := []item{}, false
	at, _ := slices.BinarySearch(st.keys, max(prefix, after))
	for size := 0; at < len(st.keys) && (strings.HasPrefix(st.keys[at], prefix) || st.keys[at] < prefix); at++ {
		it := st.items[st.keys[at]]
		if it.Key <= after || !strings.HasPrefix(it.Key, prefix) {
			continue
		}
		size += len(it.Value)
		if more = len(items) == pageItems || len(items) > 0 && size > pageBytes; more {
			break
		}
		items = append(items, it)
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": st.revision}
}

func (st *metaStore) commit(tx txn) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	current, matched := []item{}, true
	for _, ex := range tx.Expected {
		it := st.items[ex.Key]
		it.Key = ex.Key
		current = append(current, it)
		matched = matched && it.Revision == ex.Revision
	}
	if !matched {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, pu := range tx.Puts {
		if pu.Lease != 0 && st.leases[pu.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	st.revision++
	for _, pu := range tx.Puts {
		st.apply(item{Key: pu.Key, Value: pu.Value, Lease: pu.Lease, Revision: st.revision})
	}
	for _, key := range tx.Deletes {
		st.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": st.revision}
}

// apply writes a key, records the event and wakes the watches.
func (st *metaStore) apply(it item) {
	it.Created = it.Revision
	if old, ok := st.items[it.Key]; ok {
		it.Created = old.Created
	} else {
		at, _ := slices.BinarySearch(st.keys, it.Key)
		st.keys = slices.Insert(st.keys, at, it.Key)
	}
	st.items[it.Key] = it
	st.record(it)
}

// remove deletes a key if it exists.
func (st *metaStore) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	if at, ok := slices.BinarySearch(st.keys, key); ok {
		st.keys = slices.Delete(st.keys, at, at+1)
	}
	st.record(item{Key: key, Deleted: true, Revision: st.revision})
}

func (st *metaStore) record(it item) {
	st.events = append(st.events, it)
	close(st.changed)
	st.changed = make(chan struct{})
}

// watch returns events up to about pageBytes, never only a part of a revision.
func (st *metaStore) watch(rq *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	end := time.After(wait)
	for {
		st.mu.Lock()
		changed, current := st.changed, st.revision
		found, size := []item{}, 0
		next, _ := slices.BinarySearchFunc(st.events, after+1, func(it item, rev int64) int { return int(it.Revision - rev) })
		for _, it := range st.events[next:] {
			if !strings.HasPrefix(it.Key, prefix) {
				continue
			}
			if size > pageBytes && it.Revision != found[len(found)-1].Revision {
				current = found[len(found)-1].Revision
				break
			}
			found, size = append(found, it), size+len(it.Value)
		}
		st.mu.Unlock()
		if len(found) > 0 {
			return http.StatusOK, map[string]any{"events": found, "current_rev": current}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": found, "current_rev": current}
		case <-rq.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (st *metaStore) grant(rq *http.Request) (int, any) {
	var body struct {
		Millis int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	ttl := time.Duration(max(body.Millis, 1000)) * time.Millisecond
	st.leases[st.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": st.revision, "ttl_ms": ttl.Milliseconds()}
}

func (st *metaStore) renew(id int64) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	le, ok := st.leases[id]
	if !ok {
		return http.StatusNotFound
	}
	le.expires = time.Now().Add(le.ttl)
	return http.StatusOK
}

func (st *metaStore) revoke(id int64) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.leases[id]; !ok {
		return http.StatusNotFound
	}
	st.endLease(id)
	return http.StatusOK
}

// endLease removes a lease and its keys.
func (st *metaStore) endLease(id int64) {
	delete(st.leases, id)
	st.revision++
	for _, key := range slices.Clone(st.keys) {
		if st.items[key].Lease == id {
			st.remove(key)
		}
	}
}

func (st *metaStore) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, le := range st.leases {
		if time.Now().After(le.expires) {
			st.endLease(id)
		}
	}
}

// put writes a key as the platform or the operator does, and returns the revision.
func (st *metaStore) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.apply(item{Key: key, Value: data, Revision: st.revision})
	return st.revision
}

// value returns the value of a key, or nil if there is none.
func (st *metaStore) value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.items[key].Value
}

// size returns the number of bytes of all values.
func (st *metaStore) size() (bytes int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, it := range st.items {
		bytes += len(it.Value)
	}
	return bytes
}
