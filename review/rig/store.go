package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store stands in for the platform's metadata store.
	store struct {
		mu       sync.Mutex
		items    map[string]item
		revision int64
		events   []item
		leases   map[int64]*lease
		beats    map[string]time.Time // of the last write of each worker's entry
		changed  chan struct{}        // closed at the next change
		silent   chan struct{}        // closed when the store responds again; nil while it does
		closed   chan struct{}
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
		Created  int64  `json:"created,omitempty"`
		Lease    int64  `json:"lease,omitempty"`
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

	itemsBody struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		Current int64  `json:"current_rev"`
	}

	eventsBody struct {
		Events  []item `json:"events"`
		Current int64  `json:"current_rev"`
	}
)

const (
	answerTime     = 4 * time.Millisecond
	expiryInterval = 10 * time.Millisecond
	pageItems      = 500
	maxTxnEntries  = 32
	workerPrefix   = "servers/"
	// beatInterval is heartbeat_ms of the users' sites. An entry is removed after
	// maxBeatsMissed intervals of silence.
	beatInterval   = 1500 * time.Millisecond
	maxBeatsMissed = 3
)

func newStore() *store {
	st := &store{
		items: map[string]item{}, revision: 1, leases: map[int64]*lease{}, beats: map[string]time.Time{},
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
	go st.expireAll()
	return st
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(answerTime)
	st.waitWhileSilent(rq)
	status, body := st.dispatch(rq)
	st.waitWhileSilent(rq)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(wr).Encode(body)
	}
}

// waitWhileSilent aborts a call that arrives or waits while the store is silent,
// after that has ended.
func (st *store) waitWhileSilent(rq *http.Request) {
	st.mu.Lock()
	silent := st.silent
	st.mu.Unlock()
	if silent == nil {
		return
	}
	select {
	case <-silent:
	case <-rq.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// setSilent makes the store stop responding, or respond again. Lease time stands
// still meanwhile.
func (st *store) setSilent(silent bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if silent {
		st.silent = make(chan struct{})
		st.wake()
		return
	}
	close(st.silent)
	st.silent = nil
	for key := range st.beats {
		st.beats[key] = time.Now() // the workers that live write again soon
	}
}

func (st *store) dispatch(rq *http.Request) (int, any) {
	id, _ := strconv.ParseInt(rq.URL.Path[strings.LastIndexByte(rq.URL.Path, '/')+1:], 10, 64)
	path := rq.Method + " " + rq.URL.Path
	switch {
	case path == "GET /kv-key":
		return st.get(rq.FormValue("key"))
	case path == "GET /kv-range":
		return st.list(rq.FormValue("prefix"), rq.FormValue("after"))
	case path == "GET /kv-watch":
		after, _ := strconv.ParseInt(rq.FormValue("after"), 10, 64)
		wait, _ := strconv.Atoi(rq.FormValue("wait_ms"))
		return st.watch(rq, rq.FormValue("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "POST /kv-txn":
		var tx txn
		if json.NewDecoder(rq.Body).Decode(&tx) != nil || len(tx.Expected)+len(tx.Puts)+len(tx.Deletes) > maxTxnEntries {
			return http.StatusBadRequest, nil
		}
		return st.commit(tx)
	case path == "POST /kv-lease":
		var body struct {
			Millis int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(rq.Body).Decode(&body) != nil {
			return http.StatusBadRequest, nil
		}
		return st.grant(max(time.Second, time.Duration(body.Millis)*time.Millisecond))
	case strings.HasPrefix(path, "POST /kv-keep/"):
		return st.renew(id)
	case strings.HasPrefix(path, "DELETE /kv-lease-end/"):
		return st.revoke(id), nil
	}
	return http.StatusNotFound, nil
}

func (st *store) get(key string) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, struct {
		item
		Current int64 `json:"current_rev"`
	}{it, st.revision}
}

func (st *store) list(prefix, after string) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	body := itemsBody{Items: []item{}, Current: st.revision}
	for _, key := range slices.Sorted(maps.Keys(st.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(body.Items) == pageItems {
			body.HasMore = true
			break
		}
		body.Items = append(body.Items, st.items[key])
	}
	return http.StatusOK, body
}

func (st *store) watch(rq *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	end := time.After(wait)
	for {
		st.mu.Lock()
		body := eventsBody{Events: []item{}, Current: st.revision}
		for _, it := range st.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				body.Events = append(body.Events, it)
			}
		}
		changed := st.changed
		st.mu.Unlock()
		if len(body.Events) > 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
			st.waitWhileSilent(rq)
		case <-end:
			return http.StatusOK, body
		case <-rq.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (st *store) commit(tx txn) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	current := itemsBody{Items: []item{}, Current: st.revision}
	matched := true
	for _, ex := range tx.Expected {
		it := st.items[ex.Key]
		it.Key = ex.Key
		current.Items = append(current.Items, it)
		matched = matched && it.Revision == ex.Revision
	}
	if !matched {
		return http.StatusPreconditionFailed, current
	}
	for _, pu := range tx.Puts {
		if pu.Lease != 0 && st.leases[pu.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	st.revision++
	for _, pu := range tx.Puts {
		st.apply(item{Key: pu.Key, Value: pu.Value, Lease: pu.Lease})
	}
	for _, key := range tx.Deletes {
		st.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": st.revision}
}

// apply writes an item at the present revision. The caller holds mu.
func (st *store) apply(it item) {
	it.Revision, it.Created = st.revision, st.revision
	if old, ok := st.items[it.Key]; ok {
		it.Created = old.Created
	}
	st.items[it.Key] = it
	st.events = append(st.events, it)
	st.wake()
}

// remove deletes a key at the present revision. The caller holds mu.
func (st *store) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	st.events = append(st.events, item{Key: key, Revision: st.revision, Deleted: true})
	st.wake()
}

// wake wakes the watches. The caller holds mu.
func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) grant(ttl time.Duration) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.leases[st.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": st.revision, "ttl_ms": ttl.Milliseconds()}
}

func (st *store) renew(id int64) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	le, ok := st.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	le.expires = time.Now().Add(le.ttl)
	return http.StatusOK, map[string]int64{"ttl_ms": le.ttl.Milliseconds()}
}

func (st *store) revoke(id int64) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.leases[id]; !ok {
		return http.StatusNotFound
	}
	st.endLease(id)
	return http.StatusOK
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (st *store) endLease(id int64) {
	delete(st.leases, id)
	st.revision++
	for _, key := range slices.Sorted(maps.Keys(st.items)) {
		if st.items[key].Lease == id {
			st.remove(key)
		}
	}
}

// expireAll ends leases and removes entries of silent workers as they are due.
func (st *store) expireAll() {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-st.closed:
			return
		case now := <-tick.C:
			st.expire(now)
		}
	}
}

func (st *store) expire(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, le := range st.leases {
		if st.silent != nil {
			le.expires = le.expires.Add(expiryInterval)
		} else if now.After(le.expires) {
			st.endLease(id)
		}
	}
	for key, at := range st.beats {
		if st.silent == nil && now.Sub(at) > maxBeatsMissed*beatInterval {
			delete(st.beats, key)
			st.revision++
			st.remove(key)
		}
	}
}

// put writes a key for the platform, its operator or another writer.
func (st *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.apply(item{Key: key, Value: data})
}

// beat writes the entry of a worker, unless the store is silent.
func (st *store) beat(id string, entry any) {
	st.mu.Lock()
	silent := st.silent != nil
	st.mu.Unlock()
	if silent {
		return
	}
	st.put(workerPrefix+id, entry)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.beats[workerPrefix+id] = time.Now()
}

// value returns the value of a key, or nil.
func (st *store) value(key string) []byte {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.items[key].Value
}

func (st *store) close() { close(st.closed) }
