package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// worker is a stand-in of a worker, by the page on running work units, for work units
	// that outlive the case: they end only by a stop, with their lease or with the worker.
	// It reports itself in the store every heartbeat.
	worker struct {
		rg      *rig
		id      string
		address string
		labels  []string
		born    time.Time

		mu       sync.Mutex
		gone     bool
		cutUntil time.Time
		token    int64
		deadline time.Duration // of its leases, on its clock
		runs     map[string]*unitRun
		last     map[string]int // highest run that was stopped or has ended, by work unit
		ends     [][]any
		number   int
		sequence int

		lapses    int         // how often its leases have lapsed
		endLapses map[int]int // the same as of each end, by its number
	}

	// unitRun is a run of a work unit.
	unitRun struct {
		number int
		began  time.Time
		pace   int // percent
	}

	workerCall struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Deadline int64  `json:"deadline_ms"`
		Token    int64  `json:"fencing_token"`
		LastSeen int    `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
		Percent  int    `json:"percent"`
	}
)

const (
	workerCPU  = 64000 // thousandths of a core
	workerMem  = 262144
	workerGPU  = 8
	heartbeat  = 1500 * time.Millisecond
	maxHold    = 10 * time.Second
	tickTime   = 10 * time.Millisecond
	endPage    = 500
	fullPace   = 100
	fenceError = "fence"
)

// addWorker starts a worker.
func (rg *rig) addWorker(id string, labels ...string) (*worker, error) {
	wo := &worker{rg: rg, id: id, labels: labels, born: time.Now(), runs: map[string]*unitRun{}, last: map[string]int{}, endLapses: map[int]int{}}
	var err error
	if wo.address, err = rg.serve(wo); err != nil {
		return nil, err
	}
	rg.mu.Lock()
	rg.workers[id] = wo
	rg.mu.Unlock()
	go wo.live()
	return wo, nil
}

// live reports the worker and lets its leases lapse, until it is gone.
func (wo *worker) live() {
	var reported time.Time
	for rg := wo.rg; rg.ctx.Err() == nil; time.Sleep(tickTime) {
		wo.mu.Lock()
		if wo.gone {
			wo.mu.Unlock()
			return
		}
		wo.expire()
		report := time.Since(reported) >= heartbeat
		if report {
			wo.sequence++
			reported = time.Now()
			rg.store.Put("servers/"+wo.id, object{
				"service": serviceName, "address": wo.address, "zone": "centro-a", "version": "v1", "slots": 8, "state": "ready",
				"cold_remaining_ms": 0, "capacity": object{"cpu": workerCPU, "mem_mb": workerMem, "gpu": workerGPU},
				"labels": wo.labels, "clock_ms": wo.clock().Milliseconds(), "sequence": wo.sequence, "born": wo.born.UnixMilli(),
			})
		}
		wo.mu.Unlock()
	}
}

func (wo *worker) clock() time.Duration { return time.Since(wo.born) }

// expire ends what is done or has lapsed. The caller holds wo.mu.
func (wo *worker) expire() {
	for task, ru := range wo.runs {
		switch {
		case wo.clock() > wo.deadline:
			wo.end(task, "lapsed")
		case wo.rg.work > 0 && !strings.HasPrefix(task, wo.rg.endless) && time.Since(ru.began) >= wo.rg.work:
			wo.end(task, "done")
		}
	}
}

// end ends a run. The caller holds wo.mu.
func (wo *worker) end(task, how string) {
	ru := wo.runs[task]
	delete(wo.runs, task)
	wo.last[task] = max(wo.last[task], ru.number)
	wo.number++
	wo.ends = append(wo.ends, []any{wo.number, task, ru.number, how, ""})
	wo.endLapses[wo.number] = wo.lapses
	wo.rg.note("%s run %d on %s has ended: %s", task, ru.number, wo.id, how)
	wo.rg.unitEnds(wo, task, how)
}

// leave ends the worker and all that runs on it.
func (wo *worker) leave() {
	wo.mu.Lock()
	wo.gone = true
	tasks := make([]string, 0, len(wo.runs))
	for task := range wo.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	wo.runs = map[string]*unitRun{}
	wo.mu.Unlock()
	wo.rg.note("worker %s is gone, with %v", wo.id, tasks)
	for _, task := range tasks {
		wo.rg.unitEnds(wo, task, "gone")
	}
	wo.rg.store.Remove("servers/" + wo.id)
}

// cutOff cuts the worker off from all hosts for some time, but not from the store.
func (wo *worker) cutOff(span time.Duration) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.cutUntil = time.Now().Add(span)
	wo.rg.note("worker %s is cut off for %v", wo.id, span)
}

// restart crashes the worker and starts it again after some time, under its id and at its
// address. It holds and knows nothing then, and reports itself at once.
func (wo *worker) restart(down time.Duration) {
	wo.mu.Lock()
	wo.gone = true
	wo.runs, wo.ends, wo.last = map[string]*unitRun{}, nil, map[string]int{}
	wo.mu.Unlock()
	wo.rg.note("worker %s has crashed", wo.id)
	time.Sleep(down)
	wo.mu.Lock()
	wo.gone, wo.born, wo.token, wo.deadline, wo.number, wo.sequence = false, time.Now(), 0, 0, 0, 0
	wo.mu.Unlock()
	wo.rg.note("worker %s has started again", wo.id)
	go wo.live()
}

// isSilent reports whether the worker is cut off.
func (wo *worker) isSilent() bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return time.Now().Before(wo.cutUntil)
}

// silence leaves a call without an answer if the worker is cut off.
func (wo *worker) silence(rq *http.Request) {
	if wo.isSilent() {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// delay leaves a call unanswered and has it carried out late, by whatever life the worker
// has then.
func (wo *worker) delay(path string, ca workerCall, by time.Duration) {
	wo.rg.note("%s of %s run %d to %s is left unanswered and carried out %v later", path, ca.Task, ca.Run, wo.id, by)
	go func() {
		time.Sleep(by)
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if wo.gone {
			return
		}
		reason, _ := wo.dispatch(path, ca)
		wo.rg.note("late %s of %s run %d at %s: refused because of %q", path, ca.Task, ca.Run, wo.id, reason)
	}()
}

// ServeHTTP implements http.Handler.
func (wo *worker) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var ca workerCall
	if err := json.NewDecoder(rq.Body).Decode(&ca); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wo.silence(rq)
	wo.mu.Lock()
	if wo.gone {
		wo.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if rq.Header.Get("Cicadawharf-Expect-Instance") != wo.id {
		wo.mu.Unlock()
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wo.expire()
	if by := wo.rg.lateness(rq.URL.Path, ca); by > 0 {
		wo.mu.Unlock()
		wo.delay(rq.URL.Path, ca, by)
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reason, body := wo.dispatch(rq.URL.Path, ca)
	wo.mu.Unlock()
	if reason == "" && rq.URL.Path == "/hold" && ca.Wait > 0 {
		body = wo.waitForEnd(rq, ca, body)
	}
	if reason != "" {
		wr.WriteHeader(http.StatusConflict)
		body["reason"] = reason
	}
	_ = json.NewEncoder(wr).Encode(body)
}

// dispatch carries out a call, and returns the reason if it is refused. The caller holds
// wo.mu.
func (wo *worker) dispatch(path string, ca workerCall) (reason string, body object) {
	body = object{"clock_ms": wo.clock().Milliseconds(), "born": wo.born.UnixMilli()}
	if ca.Token < wo.token {
		return fenceError, body
	}
	wo.token = ca.Token
	wo.extendLease(time.Duration(ca.Deadline) * time.Millisecond)
	switch path {
	case "/run-start":
		return wo.start(ca), body
	case "/run-stop":
		wo.stop(ca)
	case "/pace":
		if ru, ok := wo.runs[ca.Task]; ok && ru.number == ca.Run {
			ru.pace = ca.Percent
			wo.rg.note("%s run %d on %s is paced to %d percent", ca.Task, ca.Run, wo.id, ca.Percent)
		}
	case "/hold":
		wo.acknowledge(ca.LastSeen)
		wo.list(body)
	}
	return "", body
}

// acknowledge forgets the ends up to a number. They are taken note of, unless the lease
// has lapsed since.
func (wo *worker) acknowledge(number int) {
	wo.ends = slices.DeleteFunc(wo.ends, func(en []any) bool {
		acked := en[0].(int) <= number
		if acked && en[3] == "done" && wo.lapses == wo.endLapses[en[0].(int)] {
			wo.rg.noteDone(en[1].(string))
		}
		return acked
	})
}

// extendLease moves the end of the leases on, but never back. The caller holds wo.mu.
func (wo *worker) extendLease(deadline time.Duration) {
	if wo.deadline > 0 && wo.clock() > wo.deadline {
		wo.lapses++
	}
	wo.deadline = max(wo.deadline, min(deadline, wo.clock()+maxHold))
}

// taken returns what the runs on the worker count against its capacity.
func (wo *worker) taken() step {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var sum step
	for task := range wo.runs {
		st := wo.rg.stepOf(task)
		sum.CPU, sum.MemMB, sum.GPU = sum.CPU+st.cores(), sum.MemMB+st.MemMB, sum.GPU+st.GPU
	}
	return sum
}

func (wo *worker) start(ca workerCall) string {
	if ru, ok := wo.runs[ca.Task]; ok && ru.number == ca.Run {
		return ""
	}
	if ca.Run <= wo.last[ca.Task] {
		return "old"
	}
	if time.Duration(ca.Deadline)*time.Millisecond <= wo.clock() {
		return "late"
	}
	wo.runs[ca.Task] = &unitRun{number: ca.Run, began: time.Now(), pace: fullPace}
	wo.rg.note("%s run %d begins on %s", ca.Task, ca.Run, wo.id)
	wo.rg.unitBegins(wo, ca.Task)
	return ""
}

func (wo *worker) stop(ca workerCall) {
	wo.last[ca.Task] = max(wo.last[ca.Task], ca.Run)
	if ru, ok := wo.runs[ca.Task]; ok && ru.number <= ca.Run {
		wo.rg.unitStopped(wo, ca.Task)
		wo.end(ca.Task, "stopped")
	}
}

// list adds the lists of runs and of ends to a reply. The caller holds wo.mu.
func (wo *worker) list(body object) {
	running := [][]any{}
	for task, ru := range wo.runs {
		latency := 0
		if wo.rg.latencyOf != nil {
			latency = wo.rg.latencyOf(wo, task)
		}
		running = append(running, []any{task, ru.number, "", wo.rg.progress(ru), latency})
	}
	body["clock_ms"], body["running"], body["ended"] = wo.clock().Milliseconds(), running, wo.ends[:min(len(wo.ends), endPage)]
	if wo.ends == nil {
		body["ended"] = [][]any{}
	}
}

// progress returns the percent that a run reports. Work units that last are at work at
// once.
func (rg *rig) progress(ru *unitRun) int {
	if rg.work == 0 {
		return fullPace
	}
	return min(fullPace, int(fullPace*time.Since(ru.began)/rg.work))
}

// countOf returns the number of runs of a job on the worker. The caller holds wo.mu.
func (wo *worker) countOf(job string) int {
	count := 0
	for task := range wo.runs {
		if strings.HasPrefix(task, job) {
			count++
		}
	}
	return count
}

// waitForEnd waits for an end as a call asks for.
func (wo *worker) waitForEnd(rq *http.Request, ca workerCall, body object) object {
	for end := time.Now().Add(time.Duration(ca.Wait) * time.Millisecond); time.Now().Before(end) && rq.Context().Err() == nil; time.Sleep(tickTime) {
		wo.mu.Lock()
		found := len(wo.ends) > 0 || wo.gone || ca.Token < wo.token || time.Now().Before(wo.cutUntil)
		wo.mu.Unlock()
		if found {
			break
		}
	}
	wo.silence(rq)
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.gone {
		panic(http.ErrAbortHandler)
	}
	wo.list(body)
	return body
}

// paceOf returns the pace of the first work unit of a job if it runs on the worker, and
// -1 otherwise. The caller holds wo.mu.
func (wo *worker) paceOf(job string) int {
	if ru, ok := wo.runs[taskOf(job, 0)]; ok {
		return ru.pace
	}
	return -1
}

// runningOn returns the worker on which a work unit runs, or nil.
func (rg *rig) runningOn(task string) *worker {
	rg.mu.Lock()
	workers := make([]*worker, 0, len(rg.workers))
	for _, wo := range rg.workers {
		workers = append(workers, wo)
	}
	rg.mu.Unlock()
	for _, wo := range workers {
		wo.mu.Lock()
		_, ok := wo.runs[task]
		ok = ok && !wo.gone
		wo.mu.Unlock()
		if ok {
			return wo
		}
	}
	return nil
}

// runsAll reports whether all work units of the first step of a job run.
func (rg *rig) runsAll(job string, count int) bool {
	for i := range count {
		if rg.runningOn(taskOf(job, i)) == nil {
			return false
		}
	}
	return true
}

func taskOf(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }
