package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The reborn case: a worker leaves a start and its repetition without an answer, and
// carries them out seconds later. Meanwhile it is cut off, crashes behind the cut and
// starts again under its ID. The rule is TWICE: no two runs of one work unit at the same
// time, on workers that are up.

const (
	startLate   = 5500 * time.Millisecond // within the 2 to 12 s of applied_late
	cutAfter    = 3 * time.Second
	backAfter   = 2 * time.Second // of the cut
	cutTime     = 5 * time.Second
	rebornWork  = 20 * time.Second
	rebornWatch = 10 * time.Second
	smallJobs   = 100
)

// reached returns when the present life of a worker began, or zero while nobody reaches it.
func (wk *worker) reached() time.Time {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.cut {
		return time.Time{}
	}
	return wk.born
}

// delay holds a start that is to be late: it gets no answer and is carried out later,
// by whichever life of the worker is up then.
func (wk *worker) delay(rq *http.Request, ca workerCall) {
	if wk.late == nil {
		return
	}
	late := wk.late(ca)
	if late == 0 {
		return
	}
	time.AfterFunc(late, func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		if wk.down {
			return
		}
		logf("worker %s: a late start of run %d of %s arrives: %q", wk.id, ca.Run, ca.Task, wk.start(ca))
	})
	select { // the channel returns nothing further
	case <-rq.Context().Done():
	case <-time.After(silentTime):
	}
	panic(http.ErrAbortHandler)
}

// crashBehindCut partitions a worker from all hosts. It crashes, and begins a new life
// under the same ID and at the same address, which knows nothing of before and reports itself
// to the store at once.
func (wk *worker) crashBehindCut(st *metaStore) {
	wk.mu.Lock()
	wk.cut, wk.down = true, true
	for _, ru := range wk.running {
		ru.over = time.Now()
	}
	close(wk.changed)
	wk.changed = make(chan struct{})
	wk.mu.Unlock()
	logf("worker %s is cut off and crashes", wk.id)
	time.Sleep(backAfter)
	wk.mu.Lock()
	wk.down, wk.born = false, time.Now()
	wk.token, wk.deadline, wk.nextEnd, wk.sequence = 0, 0, 0, 0
	wk.running, wk.highest, wk.ended = map[string]*run{}, map[string]int{}, nil
	wk.mu.Unlock()
	wk.register(st)
	logf("worker %s has started again, still cut off", wk.id)
	time.Sleep(cutTime - backAfter)
	wk.mu.Lock()
	wk.cut = false
	wk.mu.Unlock()
	logf("the cut of worker %s ends", wk.id)
}

// holdStarts makes the first worker that is told to start a work unit late with all
// starts of it, and sends that worker on the channel that it returns.
func holdStarts(wks []*worker, task string) <-chan *worker {
	found := make(chan *worker, 1)
	var mu sync.Mutex
	var first *worker
	for _, wk := range wks {
		wk.late = func(ca workerCall) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if ca.Task != task || first != nil && first != wk {
				return 0
			}
			logf("worker %s: a start of run %d of %s gets no answer", wk.id, ca.Run, ca.Task)
			if first == nil {
				first = wk
				found <- wk
			}
			return startLate
		}
	}
	return found
}

// twice counts the pairs of runs of one work unit that were at work at the same time.
func twice(wks []*worker, task string) int {
	var runs []*run
	for _, wk := range wks {
		for _, ru := range wk.all() {
			if ru.task == task {
				runs = append(runs, ru)
				logf("worker %s began run %d of %s at %.3f, and it ended at %s", wk.id, ru.number, task, ru.began.Sub(began).Seconds(), wk.overText(ru))
			}
		}
	}
	count := 0
	for i, ru := range runs {
		for _, other := range runs[:i] {
			if (ru.over.IsZero() || other.began.Before(ru.over)) && (other.over.IsZero() || ru.began.Before(other.over)) {
				count++
			}
		}
	}
	return count
}

func (wk *worker) overText(ru *run) string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if ru.over.IsZero() {
		return "no time yet"
	}
	return fmt.Sprintf("%.3f", ru.over.Sub(began).Seconds())
}

func rebornCase(trouble bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wks := startWorkers(de.store, 8)
	id := jobID(7)
	task := id + ".0.0.0"
	var found <-chan *worker
	if trouble {
		found = holdStarts(wks, task)
	}
	time.Sleep(5 * time.Second) // the store is stable for contact_ms
	for i := range smallJobs {
		if status := de.hosts[i%len(de.hosts)].submit(jobID(1000+i), job(300*time.Millisecond, "")); status/100 != 2 {
			logf("small job %d: %d", i, status)
		}
	}
	status := de.hosts[0].submit(id, job(rebornWork, ""))
	logf("client: POST of job %s to h1: %d", id, status)
	if status/100 != 2 {
		return couldNot, fmt.Errorf("the job was not accepted")
	}
	if trouble {
		select {
		case wk := <-found:
			time.Sleep(cutAfter)
			wk.crashBehindCut(de.store)
		case <-time.After(rebornWatch):
			return couldNot, fmt.Errorf("no start of the job arrived")
		}
	}
	time.Sleep(rebornWatch)
	if n := twice(wks, task); n > 0 {
		logf("%d pairs of runs of %s were at work at the same time: TWICE", n, task)
		return broken, nil
	}
	return held, nil
}
