package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

type (
	// ledger holds what has run on all workers, and the rules that were broken.
	ledger struct {
		rec    *record
		mu     sync.Mutex
		runs   map[string][]*runEntry // by work unit
		broken []string
		// crashes and late count the workers that have crashed under a work unit,
		// and its starts after maxCrashes of them.
		crashes, late map[string]int
	}

	// runEntry is one run of a work unit.
	runEntry struct {
		task    string
		run     int
		worker  string
		started time.Time
		ended   time.Time // zero while it runs
		how     string    // how it ended; lost with a worker that crashed
		noted   time.Time // when last_seen reached its end
		lapsed  bool      // the lease of its worker has lapsed between its end and noted
	}
)

const (
	maxCrashes = 3 // workers that may crash under a work unit
	maxLate    = 3 // starts after that which break the rule BUDGET
)

func newLedger(rec *record) *ledger {
	return &ledger{rec: rec, runs: map[string][]*runEntry{}, crashes: map[string]int{}, late: map[string]int{}}
}

// start records that a worker has begun a work unit. Two runs at the same time
// break the rule TWICE.
func (le *ledger) start(task string, run int, worker string) *runEntry {
	le.mu.Lock()
	defer le.mu.Unlock()
	en := &runEntry{task: task, run: run, worker: worker, started: time.Now()}
	for _, other := range le.runs[task] {
		if other.ended.IsZero() {
			le.report("TWICE: %s run %d started on %s while run %d, started at %s, works on %s",
				task, run, worker, other.run, le.rec.at(other.started), other.worker)
		}
	}
	le.runs[task] = append(le.runs[task], en)
	if le.crashes[task] >= maxCrashes {
		le.late[task]++
		if le.late[task] == maxLate {
			le.report("BUDGET: %s run %d on %s is the third start after three workers had crashed under it; now it is %d", task, run, worker, le.crashes[task])
		}
	}
	return en
}

// crash records that a worker has crashed under a work unit.
func (le *ledger) crash(task string) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.crashes[task]++
	le.rec.write("%d workers have crashed under %s", le.crashes[task], task)
}

// end records the end of a run.
func (le *ledger) end(en *runEntry, how string) {
	le.mu.Lock()
	defer le.mu.Unlock()
	en.ended, en.how = time.Now(), how
}

// note records that last_seen has reached the end of a run. lapsed says that the
// worker's lease lapsed in between.
func (le *ledger) note(en *runEntry, lapsed bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	if en.noted.IsZero() {
		en.noted, en.lapsed = time.Now(), lapsed
	}
}

// report records a broken rule. The caller holds mu.
func (le *ledger) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	le.broken = append(le.broken, text)
	le.rec.write("broken: %s", text)
}

// breaks records a broken rule.
func (le *ledger) breaks(format string, args ...any) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.report(format, args...)
}

// judgeEnds reports each start of a work unit after a run of it has ended done,
// if that end was taken note of then or later.
func (le *ledger) judgeEnds() {
	le.mu.Lock()
	defer le.mu.Unlock()
	for _, ens := range le.runs {
		for i, en := range ens {
			if en.how != "done" || en.noted.IsZero() || en.lapsed {
				continue
			}
			for _, later := range ens[i+1:] {
				if later.started.After(en.ended) {
					le.report("TWICE: %s run %d started on %s at %s, after run %d had ended done on %s at %s; that end was taken note of at %s",
						en.task, later.run, later.worker, le.rec.at(later.started), en.run, en.worker, le.rec.at(en.ended), le.rec.at(en.noted))
				}
			}
		}
	}
}

// count returns the number of runs that have started, of those that work, and of
// those that have ended done.
func (le *ledger) count() (started, working, done int) {
	le.mu.Lock()
	defer le.mu.Unlock()
	for _, ens := range le.runs {
		for _, en := range ens {
			started++
			switch {
			case en.ended.IsZero():
				working++
			case en.how == "done":
				done++
			}
		}
	}
	return started, working, done
}

// unfinished returns those jobs of which no run works or has ended done.
func (le *ledger) unfinished(jobs map[string]bool) []string {
	le.mu.Lock()
	defer le.mu.Unlock()
	begun := map[string]bool{}
	for task, ens := range le.runs {
		id, _, _ := strings.Cut(task, ".")
		for _, en := range ens {
			if en.ended.IsZero() || en.how == "done" {
				begun[id] = true
			}
		}
	}
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if !begun[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (le *ledger) violations() []string {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.broken
}
