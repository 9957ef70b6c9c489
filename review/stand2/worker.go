package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// worker is a worker of the platform, as PROTOCOL.md describes it. A work unit
	// whose spec is "work=N ..." works N milliseconds and ends as done.
	worker struct {
		mu       sync.Mutex
		id       string
		rack     string
		address  string
		capacity capacity
		born     time.Time
		token    int64
		deadline time.Duration
		running  map[string]*run
		highest  map[string]int // number of the last run by work unit that was stopped or has ended
		ended    []end
		done     map[string]bool
		begun    []*run // all, in order
		nextEnd  int64
		changed  chan struct{} // closed at the next end
		sequence int
		down     bool // it has crashed
		cut      bool // no host reaches it
		late     func(ca workerCall) time.Duration
	}

	capacity struct {
		CPU   int `json:"cpu"`
		MemMB int `json:"mem_mb"`
		GPU   int `json:"gpu"`
	}

	run struct {
		task   string
		number int
		began  time.Time
		over   time.Time // zero while it runs
		work   time.Duration
	}

	end struct {
		number int64
		task   string
		run    int
		how    string
	}

	workerCall struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Token    int64  `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
	}
)

const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	workTick  = 5 * time.Millisecond
)

// startWorker starts a worker that registers itself in the store.
func startWorker(st *metaStore, id, rack string, ca capacity) *worker {
	wk := &worker{
		id: id, rack: rack, capacity: ca, born: time.Now(), running: map[string]*run{}, highest: map[string]int{}, done: map[string]bool{},
		changed: make(chan struct{}),
	}
	wk.address = serve(wk)
	go func() {
		for {
			wk.register(st)
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			time.Sleep(workTick)
			wk.advance()
		}
	}()
	return wk
}

// register writes the worker's report about itself.
func (wk *worker) register(st *metaStore) {
	wk.mu.Lock()
	if wk.down {
		wk.mu.Unlock()
		return
	}
	wk.sequence++
	entry := map[string]any{
		"service": serviceName, "address": wk.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": wk.sequence, "capacity": wk.capacity, "labels": []string{"a", wk.rack},
		"born": wk.born.UnixMilli(),
	}
	wk.mu.Unlock()
	st.put("servers/"+wk.id, entry)
}

// all returns all runs that have begun.
func (wk *worker) all() []*run {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return slices.Clone(wk.begun)
}

func (wk *worker) clock() time.Duration { return time.Since(wk.born) }

// advance ends what has done its work or has lost its lease.
func (wk *worker) advance() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for _, ru := range wk.running {
		switch {
		case wk.clock() > wk.deadline:
			wk.finish(ru, "lapsed")
		case ru.work > 0 && time.Since(ru.began) >= ru.work:
			wk.finish(ru, "done")
		}
	}
}

func (wk *worker) finish(ru *run, how string) {
	delete(wk.running, ru.task)
	ru.over = time.Now()
	wk.highest[ru.task] = max(wk.highest[ru.task], ru.number)
	wk.done[ru.task] = wk.done[ru.task] || how == "done"
	wk.nextEnd++
	wk.ended = append(wk.ended, end{wk.nextEnd, ru.task, ru.number, how})
	logf("worker %s: run %d of %s has ended as %s", wk.id, ru.number, ru.task, how)
	close(wk.changed)
	wk.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	born := wk.reached()
	if born.IsZero() {
		panic(http.ErrAbortHandler)
	}
	defer func() {
		if wk.reached() != born { // it was cut off meanwhile
			panic(http.ErrAbortHandler)
		}
	}()
	var ca workerCall
	if err := json.NewDecoder(rq.Body).Decode(&ca); err != nil {
		respond(wr, http.StatusBadRequest, nil)
		return
	}
	if rq.Header.Get("Cicadawharf-Expect-Instance") != wk.id {
		respond(wr, http.StatusMisdirectedRequest, nil)
		return
	}
	switch rq.URL.Path {
	case "/run-start":
		wk.delay(rq, ca)
		wk.mu.Lock()
		reason := wk.start(ca)
		wk.answer(wr, reason)
		wk.mu.Unlock()
	case "/run-stop":
		wk.mu.Lock()
		reason := wk.stop(ca)
		wk.answer(wr, reason)
		wk.mu.Unlock()
	case "/hold":
		wk.hold(wr, ca)
	default:
		respond(wr, http.StatusNotFound, nil)
	}
}

func (wk *worker) answer(wr http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": wk.clock().Milliseconds()}
	if reason == "" {
		respond(wr, http.StatusOK, body)
		return
	}
	body["reason"] = reason
	respond(wr, http.StatusConflict, body)
}

// fenced notes the token of a call, and reports whether a larger one was seen.
func (wk *worker) fenced(ca workerCall) bool {
	if ca.Token < wk.token {
		return true
	}
	wk.token = ca.Token
	return false
}

// extend sets the time until which all that runs holds its lease.
func (wk *worker) extend(ca workerCall) {
	until := min(time.Duration(ca.Deadline)*time.Millisecond, wk.clock()+maxHold)
	wk.deadline = max(wk.deadline, until)
}

func (wk *worker) start(ca workerCall) string {
	if wk.fenced(ca) {
		return "fence"
	}
	wk.extend(ca)
	if ru, ok := wk.running[ca.Task]; ok && ru.number == ca.Run {
		return ""
	}
	if wk.highest[ca.Task] >= ca.Run {
		return "old"
	}
	if wk.deadline <= wk.clock() {
		return "late"
	}
	if former, ok := wk.running[ca.Task]; ok {
		wk.finish(former, "stopped")
	}
	ru := &run{task: ca.Task, number: ca.Run, began: time.Now(), work: workOf(ca.Spec)}
	wk.running[ca.Task] = ru
	wk.begun = append(wk.begun, ru)
	logf("worker %s: starts run %d of %s by token %d", wk.id, ca.Run, ca.Task, ca.Token)
	return ""
}

func (wk *worker) stop(ca workerCall) string {
	if wk.fenced(ca) {
		return "fence"
	}
	wk.highest[ca.Task] = max(wk.highest[ca.Task], ca.Run)
	if ru, ok := wk.running[ca.Task]; ok && ru.number <= ca.Run {
		wk.finish(ru, "stopped")
	}
	return ""
}

func (wk *worker) hold(wr http.ResponseWriter, ca workerCall) {
	limit := time.After(time.Duration(min(ca.Wait, 2000)) * time.Millisecond)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.fenced(ca) {
		wk.answer(wr, "fence")
		return
	}
	wk.extend(ca)
	for len(wk.ended) > 0 && wk.ended[0].number <= ca.LastSeen {
		wk.ended = wk.ended[1:]
	}
	if ca.Wait > 0 && len(wk.ended) == 0 {
		changed := wk.changed
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
		}
		wk.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, ru := range wk.running {
		percent := 0
		if ru.work > 0 {
			percent = int(100 * time.Since(ru.began) / ru.work)
		}
		running = append(running, []any{ru.task, ru.number, "", min(percent, 99), 0})
	}
	for _, en := range wk.ended[:min(len(wk.ended), 500)] {
		ended = append(ended, []any{en.number, en.task, en.run, en.how, ""})
	}
	respond(wr, http.StatusOK, map[string]any{
		"clock_ms": wk.clock().Milliseconds(), "running": running, "ended": ended, "born": wk.born.UnixMilli(),
	})
}

// workOf returns the work that a spec asks for.
func workOf(spec string) time.Duration {
	text, _, _ := strings.Cut(strings.TrimPrefix(spec, "work="), " ")
	n, err := strconv.Atoi(text)
	if err != nil {
		return time.Second
	}
	return time.Duration(n) * time.Millisecond
}

func specOf(work time.Duration) string { return fmt.Sprintf("work=%d", work.Milliseconds()) }
