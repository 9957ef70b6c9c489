package host

import (
	"sync"
	"time"
)

// leavingSet holds the endpoints that peers report as leaving in their
// heartbeats. A name expires leavingTTL after the last report.
type leavingSet struct {
	mu       sync.Mutex
	lastSeen map[string]time.Time
}

// leavingTTL is longer than many heartbeat intervals, since one heartbeat carries
// only a part of the names if there are many.
const leavingTTL = 10 * time.Second

// add records that a peer has just reported the names.
func (ls *leavingSet) add(names []string) {
	now := time.Now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.lastSeen == nil {
		ls.lastSeen = map[string]time.Time{}
	}
	for _, nm := range names {
		ls.lastSeen[nm] = now
	}
}

// names returns the names that haven't expired and deletes the others.
func (ls *leavingSet) names() []string {
	now := time.Now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var names []string
	for nm, at := range ls.lastSeen {
		if now.Sub(at) > leavingTTL {
			delete(ls.lastSeen, nm)
			continue
		}
		names = append(names, nm)
	}
	return names
}
