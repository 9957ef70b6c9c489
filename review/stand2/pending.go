package main

import (
	"fmt"
	"time"
)

// The pending case: the store leaves one write of the leader unanswered and carries it
// out seconds later. The rule is MIXED: no host in touch may give as pending under half
// of the jobs that were accepted over visible_ms and 2 s before and have not begun.

const (
	backlogKey    = "waiting"
	lateBy        = 6 * time.Second
	contactTime   = 4 * time.Second // contact_ms
	visibleTime   = 5 * time.Second // visible_ms and 2 s
	fullWork      = 100 * time.Second
	firstWaiting  = 4
	waitingJobs   = 20
	pendingChecks = 20
	checkPause    = 500 * time.Millisecond
)

// fill submits jobs that keep all workers busy, and waits until they run.
func fill(de *deployment, wks []*worker) error {
	for i := range wks {
		if status := de.hosts[i%len(de.hosts)].submit(jobID(1+i), wideJob(fullWork)); status/100 != 2 {
			return fmt.Errorf("a job that fills a worker gets status %d", status)
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(checkPause) {
		n := 0
		for _, wk := range wks {
			wk.mu.Lock()
			n += len(wk.running)
			wk.mu.Unlock()
		}
		if n == len(wks) {
			return nil
		}
	}
	return fmt.Errorf("the workers are not filled in time")
}

// wideJob returns the body of a job of one work unit that needs a whole worker.
func wideJob(work time.Duration) []byte {
	return fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":1,"cpu":500,"mem_mb":256,"gpu":8,"estimate_ms":%d}]}`, specOf(work), work.Milliseconds())
}

// loseOne makes the store carry the next write of a key alone out late.
func loseOne(st *metaStore, key string) {
	lost := false
	st.setLate(func(tx txn) time.Duration {
		if lost || len(tx.Puts) != 1 || tx.Puts[0].Key != key {
			return 0
		}
		lost = true
		logf("store: a write of %s gets no answer: %s", key, tx.Puts[0].Value)
		return lateBy
	})
}

func pendingCase(trouble bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wks := startWorkers(de.store, 4)
	time.Sleep(2 * time.Second) // the hosts learn of the workers
	if err := fill(de, wks); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		loseOne(de.store, backlogKey)
	}
	accepted := 0
	for i := range waitingJobs {
		if i == firstWaiting {
			time.Sleep(2500 * time.Millisecond)
		}
		ho := de.hosts[i%len(de.hosts)]
		status := ho.submit(jobID(100+i), wideJob(time.Second))
		logf("job %s to %s: %d", jobID(100+i), ho.name, status)
		if status/100 == 2 {
			accepted++
		}
	}
	time.Sleep(max(lateBy+contactTime, visibleTime))
	return checkPending(de, accepted), nil
}

// checkPending asks all hosts for the number of pending jobs, and checks it.
func checkPending(de *deployment, accepted int) int {
	code := held
	for range pendingChecks {
		for _, ho := range de.hosts {
			status, pending := ho.pending()
			verdict := "held"
			if status == 200 && 2*pending < accepted {
				verdict, code = "MIXED", broken
			}
			logf("%s gives as pending: %d, status %d; %d accepted jobs wait: %s", ho.name, pending, status, accepted, verdict)
		}
		time.Sleep(checkPause)
	}
	return code
}
