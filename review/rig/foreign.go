package main

import (
	"errors"
	"time"
)

func init() { cases["foreign"] = playForeign }

// playForeign has another writer put an entry of a service that no configuration
// names beside the workers' entries, with the address of one of them.
func playForeign(pl *plant) error {
	const tasks = 8
	for range 4 {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	// The work units of lot-appraisal: 8.5 s on 26 cores, so two to a worker.
	sm := submission{Spec: "work 8500 step 0 saves false", Steps: []step{{Count: tasks / 2, CPU: 26000, MemMB: 75000, GPU: 1, EstimateMS: 8500}}}
	if err := pl.submit(jobID(0), sm); err != nil {
		return err
	}
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, working, _ := pl.ledger.count(); working == tasks/2 {
			break
		}
		if time.Now().After(until) {
			return errors.New("the work units haven't all started")
		}
	}
	time.Sleep(2 * time.Second)
	if pl.trouble {
		wo := pl.busyWorker()
		entry := wo.entry()
		entry.Service, entry.Version, entry.Born = "jute-archive", "v9", time.Now().UnixMilli()
		pl.rec.write("another writer puts an entry of service %s with the address of %s", entry.Service, wo.id)
		pl.store.put(workerPrefix+"i-archive01", entry)
	}
	time.Sleep(15 * time.Second)
	pl.call(pl.hosts[0], "GET", jobID(0), nil)
	pl.ledger.judgeEnds()
	started, _, done := pl.ledger.count()
	pl.rec.write("%d work units, %d starts, %d ended done", tasks/2, started, done)
	return nil
}

// busyWorker returns the first worker that runs something.
func (pl *plant) busyWorker() *worker {
	for _, wo := range pl.workers {
		wo.mu.Lock()
		n := len(wo.runs)
		wo.mu.Unlock()
		if n > 0 {
			return wo
		}
	}
	return pl.workers[0]
}
