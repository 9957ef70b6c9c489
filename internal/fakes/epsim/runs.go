package epsim

import (
	"slices"
	"sync"
	"time"
)

type (
	// Run is one request that truly ran.
	Run struct {
		Endpoint  string    `json:"endpoint"`
		Request   string    `json:"request"` // identifier that the entry host gave
		Workspace string    `json:"workspace"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		Key       string    `json:"key,omitempty"` // idempotency key
		Started   time.Time `json:"started"`
		Count     int       `json:"count"` // how often the identifier has run here, this time included
	}

	// runLog keeps the latest runs.
	runLog struct {
		mu     sync.Mutex
		runs   []Run
		counts map[string]int
	}
)

// maxRuns bounds what an endpoint remembers; the oldest half is forgotten
// when it is reached.
const maxRuns = 1 << 18

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
