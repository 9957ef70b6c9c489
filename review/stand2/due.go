package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The due case: large jobs of one tenant and then a small one of another are accepted, and
// all are due at the same moment. The rule is LOST: with nothing disturbed, no job may have
// nothing running for three seconds while there is room. With TROUBLE=0 there are no
// large jobs.

const (
	dueIn      = 15 * time.Second
	largeJobs  = 8
	largeStep  = 4096 // work units
	dueWork    = 60 * time.Second
	dueWatch   = 20 * time.Second
	dueRoom    = dueWorkers * 64000 // work units, by their cores
	dueWorkers = 16
)

// dueJob returns the body of a job that is due once, at a time, with a number of steps.
func dueJob(steps, count int, due time.Time) []byte {
	step := fmt.Sprintf(`{"count":%d,"cpu":1,"mem_mb":1,"estimate_ms":%d}`, count, dueWork.Milliseconds())
	return fmt.Appendf(nil, `{"spec":%q,"steps":[%s],"repeat_count":1,"first_ms":%d,"interval_ms":1000}`,
		specOf(dueWork), strings.Join(slices.Repeat([]string{step}, steps), ","), due.UnixMilli())
}

func dueCase(trouble bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wks := startWorkers(de.store, dueWorkers)
	time.Sleep(5 * time.Second) // the store is stable for contact_ms
	due := time.Now().Add(dueIn)
	accepted := 0
	for i := 0; trouble && i < largeJobs; i++ {
		status, _ := de.hosts[i%len(de.hosts)].call(call{
			method: http.MethodPost, path: queuePrefix + jobID(100+i), key: "key-of-tenant-2", body: dueJob(5, largeStep, due),
		})
		logf("large job %d: %d", i, status)
		if status/100 == 2 {
			accepted++
		}
	}
	logf("%d large jobs of %d work units each were accepted", accepted, 5*largeStep)
	id := jobID(7)
	status := de.hosts[0].submit(id, dueJob(1, 1, due))
	logf("small job %s: %d", id, status)
	if status/100 != 2 {
		return couldNot, fmt.Errorf("the small job was not accepted")
	}
	time.Sleep(time.Until(due))
	wa := &watcher{workers: wks}
	wa.begin([]string{id}, dueWatch)
	total := 0
	for _, wk := range wks {
		total += len(wk.all())
	}
	logf("%d work units were started in all, of room for %d", total, dueRoom)
	logf("the small job had nothing running for %.1f s on end", wa.longest[id].Seconds())
	status, state := de.hosts[1].state(id)
	logf("client: GET of the small job to h2: %d %q", status, state)
	if total*2 >= dueRoom {
		return couldNot, fmt.Errorf("half of the room or more was in use")
	}
	if wa.longest[id] >= maxStandstill {
		return broken, nil
	}
	return held, nil
}
