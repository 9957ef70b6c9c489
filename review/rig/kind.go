package main

import (
	"errors"
	"time"
)

func init() { cases["kind"] = playKind }

// playKind crashes the workers of a kind that a job requires, and has them return
// under the same ids and addresses, some of them of another kind.
func playKind(pl *plant) error {
	ca := capacity{CPU: 64000, MemMB: 262144, GPU: 8}
	kinds := []string{"a", "a", "a", "a", "a", "a", "a", "b"}
	for _, kind := range kinds {
		if _, err := pl.addWorker(kind, ca); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	wo := pl.workers[len(kinds)-1]
	const rounds = 3
	for n := range rounds {
		sm := submission{Spec: "work 60000 step 0 saves false", Steps: []step{{Count: 2, CPU: 26000, MemMB: 75000, GPU: 4, EstimateMS: 8500, Requires: "b"}}}
		if err := pl.submit(jobID(n), sm); err != nil {
			return err
		}
		if !pl.awaitWorking(2) {
			return errors.New("the work units haven't started")
		}
		time.Sleep(time.Second)
		wo.crash()
		time.Sleep(4 * time.Second)
		if pl.trouble {
			wo.setKind("a")
		}
		if err := wo.start(); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
		if status, _ := pl.call(pl.hosts[0], "DELETE", jobID(n), nil); status != 200 {
			return errors.New("the job wasn't cancelled")
		}
		time.Sleep(time.Second)
		wo.crash()
		time.Sleep(time.Second)
		wo.setKind("b")
		if err := wo.start(); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
	}
	return nil
}

func (wo *worker) setKind(kind string) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.kind = kind
}

// awaitWorking waits until so many work units work, and reports whether they do.
func (pl *plant) awaitWorking(n int) bool {
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if _, working, _ := pl.ledger.count(); working == n {
			return true
		}
	}
	return false
}
