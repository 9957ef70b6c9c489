package host

import (
	"sync"
	"time"
)

// leavingSet holds the endpoints of which peers have heard that they are
// leaving. A name that is not repeated for a while is dropped.
type leavingSet struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

const leavingKept = 10 * time.Second

func (ls *leavingSet) add(names []string) {
	now := time.Now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.seen == nil {
		ls.seen = map[string]time.Time{}
	}
	for _, nm := range names {
		ls.seen[nm] = now
	}
}

func (ls *leavingSet) names() []string {
	now := time.Now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var names []string
	for nm, at := range ls.seen {
		if now.Sub(at) > leavingKept {
			delete(ls.seen, nm)
			continue
		}
		names = append(names, nm)
	}
	return names
}
