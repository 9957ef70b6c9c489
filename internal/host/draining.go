package host

import (
	"sync"
	"time"
)

// drainingSet holds the endpoints that peers report as draining in their
// heartbeats. A name expires drainingTTL after the last report.
type drainingSet struct {
	mu       sync.Mutex
	lastSeen map[string]time.Time
}

// drainingTTL is longer than many heartbeat intervals, since one heartbeat carries
// only a part of the names if there are many.
const drainingTTL = 10 * time.Second

// add records that a peer has just reported the names.
func (ds *drainingSet) add(names []string) {
	now := time.Now()
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.lastSeen == nil {
		ds.lastSeen = map[string]time.Time{}
	}
	for _, nm := range names {
		ds.lastSeen[nm] = now
	}
}

// names returns the names that haven't expired and deletes the others.
func (ds *drainingSet) names() []string {
	now := time.Now()
	ds.mu.Lock()
	defer ds.mu.Unlock()
	var names []string
	for nm, at := range ds.lastSeen {
		if now.Sub(at) > drainingTTL {
			delete(ds.lastSeen, nm)
			continue
		}
		names = append(names, nm)
	}
	return names
}
