package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// worker stands in for a worker of the platform, over all of its lifetimes.
	worker struct {
		pl       *plant
		id       string
		machine  string
		address  string
		rack     string
		capacity capacity

		mu       sync.Mutex
		kind     string
		server   *http.Server // nil while the worker is down
		born     time.Time
		sequence int
		token    int64
		deadline time.Duration   // of all leases, on the worker's clock
		lapsedAt time.Time       // when its leases lapsed last
		runs     map[string]*job // by work unit
		highest  map[string]int  // highest run that has been stopped or has ended, by work unit
		ends     []ended         // not taken note of yet
		lastEnd  int64           // number of the last end
		changed  chan struct{}   // closed at the next end
	}

	// capacity is the room of a worker.
	capacity struct {
		CPU   int `json:"cpu"`
		MemMB int `json:"mem_mb"`
		GPU   int `json:"gpu"`
	}

	// job is a work unit that runs.
	job struct {
		entry  *runEntry
		run    int
		began  time.Time
		work   time.Duration // that is left at its start
		saved  time.Duration // done in earlier runs
		saves  bool          // whether it saves checkpoints
		deadly bool          // whether it crashes its worker when its work is done
		stopAt time.Time     // zero unless it is being stopped
	}

	ended struct {
		number int64
		task   string
		run    int
		how    string
		saved  string
		entry  *runEntry
		at     time.Time
	}

	// workerCall holds the fields of all calls to a worker.
	workerCall struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Saved    string `json:"checkpoint"`
		Deadline int64  `json:"deadline_ms"`
		Token    int64  `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
	}

	workerEntry struct {
		Service  string   `json:"service"`
		Address  string   `json:"address"`
		Zone     string   `json:"zone"`
		Version  string   `json:"version"`
		Slots    int      `json:"slots"`
		State    string   `json:"state"`
		Cold     int64    `json:"cold_remaining_ms"`
		Capacity capacity `json:"capacity"`
		Labels   []string `json:"labels"`
		Clock    int64    `json:"clock_ms"`
		Sequence int      `json:"sequence"`
		Born     int64    `json:"born"`
	}
)

const (
	maxHold      = 10 * time.Second // max_hold_ms
	stopTime     = 50 * time.Millisecond
	maxEnds      = 500 // returned by one call
	advanceEvery = 2 * time.Millisecond
	// registerTime is the time from when a worker listens until it writes its
	// first entry: it registers once it serves.
	registerTime = 500 * time.Millisecond
	crashTime    = 3 * time.Second // that a worker is down after a work unit has crashed it
	maxWait      = 2 * time.Second
	saveEvery    = 2 * time.Second // checkpoint_s
	zone         = "centro-a"
	service      = "pricing-svc"
)

// start begins a lifetime: the worker listens, registers itself and writes its
// entry every beatInterval until it is down.
func (wo *worker) start() error {
	ln, err := net.Listen("tcp", wo.address)
	if err != nil {
		return err
	}
	sv := &http.Server{Handler: wo}
	wo.mu.Lock()
	wo.server, wo.born, wo.sequence = sv, time.Now(), 0
	wo.token, wo.deadline, wo.lapsedAt, wo.lastEnd, wo.ends = 0, 0, time.Time{}, 0, nil
	wo.runs, wo.highest, wo.changed = map[string]*job{}, map[string]int{}, make(chan struct{})
	wo.pl.rec.write("worker %s of kind %s starts, born %d", wo.id, wo.kind, wo.born.UnixMilli())
	wo.mu.Unlock()
	go func() { _ = sv.Serve(ln) }()
	go wo.advanceAll(sv)
	go wo.beatAll(sv)
	return nil
}

// crash ends a lifetime and all that runs.
func (wo *worker) crash() {
	wo.mu.Lock()
	sv := wo.server
	wo.server = nil
	for task, jo := range wo.runs {
		wo.pl.ledger.end(jo.entry, "lost")
		delete(wo.runs, task)
		wo.pl.rec.write("%s run %d is lost with %s", task, jo.run, wo.id)
	}
	wo.runs = map[string]*job{}
	wo.pl.rec.write("worker %s is down", wo.id)
	wo.mu.Unlock()
	if sv != nil {
		_ = sv.Close()
	}
}

// crashUnder crashes the worker because of a work unit, and has it return after
// crashTime. It does nothing if the lifetime of the server has ended.
func (wo *worker) crashUnder(task string, sv *http.Server) {
	if !wo.isUp(sv) {
		return
	}
	wo.crash()
	wo.pl.ledger.crash(task)
	time.Sleep(crashTime)
	if err := wo.start(); err != nil {
		wo.pl.rec.write("worker %s doesn't start: %v", wo.id, err)
	}
}

// isUp reports whether the lifetime of a server goes on.
func (wo *worker) isUp(sv *http.Server) bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.server == sv
}

// beatAll writes the worker's entry until its lifetime ends.
func (wo *worker) beatAll(sv *http.Server) {
	time.Sleep(registerTime)
	for wo.isUp(sv) {
		wo.pl.store.beat(wo.id, wo.entry())
		time.Sleep(beatInterval)
	}
}

// entry returns the worker's next entry in the store.
func (wo *worker) entry() workerEntry {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.sequence++
	return workerEntry{
		Service: service, Address: wo.address, Zone: zone, Version: "v1", Slots: 8, State: "ready", Capacity: wo.capacity,
		Labels: []string{wo.kind, wo.rack}, Clock: wo.clock().Milliseconds(), Sequence: wo.sequence, Born: wo.born.UnixMilli(),
	}
}

// clock returns the reading of the worker's clock. The caller holds mu.
func (wo *worker) clock() time.Duration { return time.Since(wo.born) }

// advanceAll ends runs and leases as they are due until the lifetime ends.
func (wo *worker) advanceAll(sv *http.Server) {
	for wo.isUp(sv) {
		time.Sleep(advanceEvery)
		wo.mu.Lock()
		wo.advance()
		wo.mu.Unlock()
	}
}

// advance ends what is due. The caller holds mu.
func (wo *worker) advance() {
	now := time.Now()
	if wo.deadline > 0 && wo.clock() > wo.deadline {
		wo.lapsedAt = wo.born.Add(wo.deadline)
	}
	lapsed := wo.clock() > wo.deadline
	for task, jo := range wo.runs {
		switch {
		case lapsed:
			wo.end(task, jo, "lapsed")
		case !jo.stopAt.IsZero() && now.After(jo.stopAt):
			wo.end(task, jo, "stopped")
		case now.Sub(jo.began) >= jo.work && jo.deadly:
			go wo.crashUnder(task, wo.server)
			return
		case now.Sub(jo.began) >= jo.work:
			wo.end(task, jo, "done")
		}
	}
}

// end ends a run. The caller holds mu.
func (wo *worker) end(task string, jo *job, how string) {
	delete(wo.runs, task)
	wo.highest[task] = max(wo.highest[task], jo.run)
	wo.lastEnd++
	wo.ends = append(wo.ends, ended{wo.lastEnd, task, jo.run, how, jo.checkpoint(how == "stopped"), jo.entry, time.Now()})
	wo.pl.ledger.end(jo.entry, how)
	wo.pl.rec.write("%s run %d ends %s on %s as number %d", task, jo.run, how, wo.id, wo.lastEnd)
	close(wo.changed)
	wo.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (wo *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var ca workerCall
	if rq.Method != http.MethodPost || json.NewDecoder(rq.Body).Decode(&ca) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if ex := rq.Header.Get("Cicadawharf-Expect-Instance"); ex != "" && ex != wo.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := wo.dispatch(rq, ca)
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}

func (wo *worker) dispatch(rq *http.Request, ca workerCall) (int, map[string]any) {
	wo.mu.Lock()
	if ca.Token < wo.token {
		defer wo.mu.Unlock()
		return wo.refuse("fence")
	}
	wo.token = ca.Token
	wo.advance()
	if rq.URL.Path != "/hold" {
		defer wo.mu.Unlock()
		if rq.URL.Path == "/run-stop" {
			return wo.stopRun(ca)
		}
		return wo.startRun(ca)
	}
	wo.extend(ca.Deadline)
	wo.takeNote(ca.LastSeen)
	wait := time.After(min(maxWait, time.Duration(ca.Wait)*time.Millisecond))
	for waiting := ca.Wait > 0; waiting && len(wo.ends) == 0; {
		changed := wo.changed
		wo.mu.Unlock()
		select {
		case <-changed:
		case <-wait:
			waiting = false
		case <-rq.Context().Done():
			waiting = false
		}
		wo.mu.Lock()
	}
	defer wo.mu.Unlock()
	return http.StatusOK, wo.lists()
}

// refuse returns the response of a rejected call. The caller holds mu.
func (wo *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": wo.clock().Milliseconds(), "reason": reason}
}

// extend moves the end of the leases, which is never shortened. The caller holds
// mu.
func (wo *worker) extend(deadlineMS int64) {
	at := min(time.Duration(deadlineMS)*time.Millisecond, wo.clock()+maxHold)
	wo.deadline = max(wo.deadline, at)
}

// takeNote forgets the ends up to a number. The caller holds mu.
func (wo *worker) takeNote(lastSeen int64) {
	for len(wo.ends) > 0 && wo.ends[0].number <= lastSeen {
		en := wo.ends[0]
		wo.ends = wo.ends[1:]
		wo.pl.ledger.note(en.entry, wo.lapsedAt.After(en.at))
		wo.pl.rec.write("end %d on %s, %s run %d %s, is taken note of", en.number, wo.id, en.task, en.run, en.how)
	}
}

// lists returns both lists. The caller holds mu.
func (wo *worker) lists() map[string]any {
	running, ends := [][]any{}, [][]any{}
	for task, jo := range wo.runs {
		percent := int(100 * (jo.saved + time.Since(jo.began)) / (jo.saved + jo.work))
		running = append(running, []any{task, jo.run, jo.checkpoint(false), min(percent, 99), 100})
	}
	for _, en := range wo.ends[:min(maxEnds, len(wo.ends))] {
		ends = append(ends, []any{en.number, en.task, en.run, en.how, en.saved})
	}
	return map[string]any{"clock_ms": wo.clock().Milliseconds(), "born": wo.born.UnixMilli(), "running": running, "ended": ends}
}

// startRun performs POST /run-start. The caller holds mu.
func (wo *worker) startRun(ca workerCall) (int, map[string]any) {
	ok := map[string]any{"clock_ms": wo.clock().Milliseconds()}
	jo := wo.runs[ca.Task]
	switch {
	case jo != nil && jo.run == ca.Run:
		return http.StatusOK, ok
	case ca.Run <= wo.highest[ca.Task] || jo != nil && ca.Run < jo.run:
		wo.extend(ca.Deadline)
		return wo.refuse("old")
	case time.Duration(ca.Deadline)*time.Millisecond <= wo.clock():
		return wo.refuse("late")
	}
	wo.extend(ca.Deadline)
	next, err := newJob(ca)
	if err != nil {
		return http.StatusBadRequest, ok
	}
	if label := wo.pl.labelOf(ca.Task); label != "" && !slices.Contains([]string{wo.kind, wo.rack}, label) {
		wo.pl.ledger.breaks("ROUTE: %s run %d started on %s, born %d, whose labels are %s and %s, without %s",
			ca.Task, ca.Run, wo.id, wo.born.UnixMilli(), wo.kind, wo.rack, label)
	}
	next.entry = wo.pl.ledger.start(ca.Task, ca.Run, wo.id)
	wo.runs[ca.Task] = next
	wo.pl.rec.write("%s run %d starts on %s by token %d", ca.Task, ca.Run, wo.id, ca.Token)
	return http.StatusOK, ok
}

// stopRun performs POST /run-stop. The caller holds mu.
func (wo *worker) stopRun(ca workerCall) (int, map[string]any) {
	if jo := wo.runs[ca.Task]; jo != nil && jo.run <= ca.Run && jo.stopAt.IsZero() {
		jo.stopAt = time.Now().Add(stopTime)
		wo.pl.rec.write("%s run %d is being stopped on %s", ca.Task, jo.run, wo.id)
	}
	wo.highest[ca.Task] = max(wo.highest[ca.Task], ca.Run)
	return http.StatusOK, map[string]any{"clock_ms": wo.clock().Milliseconds()}
}

// newJob returns the run that a start asks for. The spec that the case has
// submitted says how long it works: milliseconds, how many more for each index,
// and whether it saves checkpoints. A deadly work unit crashes its worker after
// the first of two times in its odd runs, and after the second in the others.
func newJob(ca workerCall) (*job, error) {
	var odd, even int
	if _, err := fmt.Sscanf(ca.Spec, "deadly after %d or %d", &odd, &even); err == nil {
		jo := &job{run: ca.Run, began: time.Now(), deadly: true, work: time.Duration(even) * time.Millisecond}
		if ca.Run%2 == 1 {
			jo.work = time.Duration(odd) * time.Millisecond
		}
		return jo, nil
	}
	var base, step, index int
	var saves bool
	if _, err := fmt.Sscanf(ca.Spec, "work %d step %d saves %t", &base, &step, &saves); err != nil {
		return nil, err
	}
	if _, err := fmt.Sscanf(ca.Task[strings.LastIndexByte(ca.Task, '.')+1:], "%d", &index); err != nil {
		return nil, err
	}
	jo := &job{run: ca.Run, began: time.Now(), saves: saves, work: time.Duration(base+step*index) * time.Millisecond}
	if ca.Saved != "" {
		var done int64
		if _, err := fmt.Sscanf(ca.Saved, "%016x", &done); err != nil {
			return nil, err
		}
		jo.saved = time.Duration(done) * time.Millisecond
		jo.work -= jo.saved
	}
	return jo, nil
}

// checkpoint returns the last checkpoint of a run, or an empty string. A run that
// is stopped saves all of its work.
func (jo *job) checkpoint(stopped bool) string {
	if !jo.saves {
		return ""
	}
	done := time.Since(jo.began)
	if !stopped {
		done = done.Truncate(saveEvery)
	}
	if done+jo.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", (done + jo.saved).Milliseconds())
}
