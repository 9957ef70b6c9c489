package main

import (
	"fmt"
	"slices"
	"time"
)

// The vanish play: one of eight idle workers is lost for good, and 24 jobs are
// submitted three seconds later. The rule is LOST: from four seconds after the loss on, with
// nothing else disturbed, no job may have nothing running for three seconds.

const (
	vanishJobs  = 24
	vanishWork  = 30 * time.Second
	submitAfter = 3 * time.Second
	calmAfter   = 4 * time.Second // of the loss
	vanishWatch = 12 * time.Second
)

func vanishCase(trouble bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wks := startWorkers(de.store, 8)
	time.Sleep(5 * time.Second) // the store is stable for contact_ms
	lost := time.Now()
	if trouble {
		wks[0].vanish(de.store)
	}
	time.Sleep(submitAfter)
	ids := submitSome(de)
	if len(ids) == 0 {
		return couldNot, fmt.Errorf("no job was accepted")
	}
	time.Sleep(time.Until(lost.Add(calmAfter)))
	wa := &watcher{workers: wks}
	wa.begin(ids, vanishWatch)
	code := held
	for _, id := range slices.Sorted(slices.Values(ids)) {
		verdict := "held"
		if wa.longest[id] >= maxStandstill {
			verdict, code = "LOST", broken
		}
		logf("job %s: %s, had nothing running for %.1f s on end, from 4 s after the loss on", id, verdict, wa.longest[id].Seconds())
	}
	return code, nil
}

// vanish loses a worker for good. Its entry leaves the store after three intervals of
// silence.
func (wk *worker) vanish(st *metaStore) {
	wk.mu.Lock()
	wk.cut, wk.down = true, true
	wk.mu.Unlock()
	logf("worker %s is lost for good", wk.id)
	time.AfterFunc(3*heartbeat, func() {
		st.mu.Lock()
		st.revision++
		st.remove("servers/" + wk.id)
		st.mu.Unlock()
		logf("the entry of worker %s is removed", wk.id)
	})
}

// submitSome submits jobs that use little of the workers' room, and returns the IDs of those
// that were accepted.
func submitSome(de *deployment) []string {
	var ids []string
	for i := range vanishJobs {
		id := jobID(10 + i)
		status := de.hosts[i%len(de.hosts)].submit(id, job(vanishWork, ""))
		logf("job %s: %d", id, status)
		if status/100 == 2 {
			ids = append(ids, id)
		}
	}
	return ids
}
