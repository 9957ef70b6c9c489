package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The cancel case: the store leaves the write of a submitted job unanswered and carries
// it out seconds later. The client leaves before its deadline and cancels the job. The
// rule is UNASKED: no host in touch may start a work unit of the job later than
// cancel_ms after the cancelling was acknowledged with 2xx or 410.

const (
	clientLeaves = 500 * time.Millisecond
	cancelPause  = 100 * time.Millisecond
	cancelTime   = 3 * time.Second // cancel_ms
	cancelWork   = 8500 * time.Millisecond
	cancelWatch  = 14 * time.Second
)

func cancelCase(trouble bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wks := startWorkers(de.store, 4)
	time.Sleep(5 * time.Second) // the store is stable for contact_ms
	id := jobID(7)
	if trouble {
		loseJob(de.store, id)
	}
	submit := call{method: http.MethodPost, path: queuePrefix + id, key: tenantKey, body: job(cancelWork, "")}
	if trouble {
		submit.timeout = clientLeaves
	}
	status, _ := de.hosts[0].call(submit)
	logf("client: POST of job %s to h1: %d (0: no answer, the client has left)", id, status)
	time.Sleep(cancelPause)
	status, _ = de.hosts[1].call(call{method: http.MethodDelete, path: queuePrefix + id, key: tenantKey})
	acked := time.Now()
	logf("client: DELETE of job %s to h2: %d", id, status)
	if status/100 != 2 && status != http.StatusGone {
		return couldNot, fmt.Errorf("the cancelling was not acknowledged")
	}
	time.Sleep(cancelWatch)
	code := held
	for _, wk := range wks {
		for _, ru := range wk.all() {
			late := ru.began.Sub(acked)
			verdict := "held"
			if late > cancelTime {
				verdict, code = "UNASKED", broken
			}
			logf("worker %s began run %d of %s %.1f s after the cancelling was acknowledged: %s", wk.id, ru.number, ru.task, late.Seconds(), verdict)
		}
	}
	status, state := de.hosts[2].state(id)
	logf("client: GET of job %s to h3: %d %q", id, status, state)
	return code, nil
}

// loseJob makes the store leave the write of a job without an answer and carry it out
// late. Its channel stays silent.
func loseJob(st *metaStore, id string) {
	lost := false
	st.setLate(func(tx txn) time.Duration {
		if lost || len(tx.Puts) != 1 || !strings.Contains(tx.Puts[0].Key, id) {
			return 0
		}
		lost = true
		logf("store: a write of %s gets no answer", tx.Puts[0].Key)
		return lateBy
	})
}
