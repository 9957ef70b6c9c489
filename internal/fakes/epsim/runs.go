package epsim

import (
	"slices"
	"sync"
	"time"
)

type (
	// Run is the record of a request that was executed.
	Run struct {
		Endpoint  string    `json:"endpoint"`
		Request   string    `json:"request"` // identifier assigned by the entry host
		Workspace string    `json:"workspace"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		Key       string    `json:"key,omitempty"` // idempotency key
		Started   time.Time `json:"started"`
		Count     int       `json:"count"` // executions of this identifier here so far, including this one
	}

	// runLog records the most recent runs.
	runLog struct {
		mu     sync.Mutex
		runs   []Run
		counts map[string]int
	}
)

// maxRuns limits the recorded runs of an endpoint; when it is reached, the
// oldest half is discarded.
const maxRuns = 1 << 18

// add sets the count of a run and records it.
func (rl *runLog) add(rn Run) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if len(rl.runs) == maxRuns {
		rl.evictOldest(maxRuns / 2)
	}
	if rl.counts == nil {
		rl.counts = map[string]int{}
	}
	rl.counts[rn.Request]++
	rn.Count = rl.counts[rn.Request]
	rl.runs = append(rl.runs, rn)
}

// evictOldest discards the oldest runs, and the counts of requests that have no
// other run.
func (rl *runLog) evictOldest(count int) {
	rl.runs = slices.Clone(rl.runs[count:])
	kept := map[string]int{}
	for _, rn := range rl.runs {
		kept[rn.Request] = rl.counts[rn.Request]
	}
	rl.counts = kept
}

func (rl *runLog) all() []Run {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return slices.Clone(rl.runs)
}
