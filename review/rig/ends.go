package main

import (
	"errors"
	"time"
)

func init() { cases["ends"] = playEnds }

// playEnds has many small work units end while the store is silent. No end can be
// taken note of meanwhile, and more than 500 of them are listed by each worker.
func playEnds(pl *plant) error {
	const (
		workers = 2
		jobs    = 3
		tasks   = 440 // of each job
		outage  = 4500 * time.Millisecond
	)
	for range workers {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	for n := range jobs {
		sm := submission{Spec: "work 6000 step 9 saves false", Steps: []step{{Count: tasks, CPU: 90, MemMB: 300, EstimateMS: 8000}}}
		if err := pl.submit(jobID(n), sm); err != nil {
			return err
		}
	}
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, working, _ := pl.ledger.count(); working == jobs*tasks {
			break
		}
		if time.Now().After(until) {
			return errors.New("the work units haven't all started")
		}
	}
	time.Sleep(5 * time.Second)
	if pl.trouble {
		pl.rec.write("the store is silent")
		pl.store.setSilent(true)
		time.Sleep(outage)
		pl.store.setSilent(false)
		pl.rec.write("the store responds again")
	} else {
		time.Sleep(outage)
	}
	time.Sleep(15 * time.Second)
	for n := range jobs {
		pl.call(pl.hosts[0], "GET", jobID(n), nil)
	}
	pl.ledger.judgeEnds()
	started, _, done := pl.ledger.count()
	pl.rec.write("%d work units, %d starts, %d ended done", jobs*tasks, started, done)
	return nil
}
