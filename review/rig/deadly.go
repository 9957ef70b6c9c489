package main

import "time"

func init() { cases["deadly"] = playDeadly }

// playDeadly hands in a job whose work unit crashes each worker that starts it, in
// turn one second and three seconds after its start. Without trouble, it does so
// after one second each time.
func playDeadly(pl *plant) error {
	for range 8 {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	spec := "deadly after 1000 or 3000"
	if !pl.trouble {
		spec = "deadly after 1000 or 1000"
	}
	sm := submission{Spec: spec, Steps: []step{{Count: 1, CPU: 26000, MemMB: 75000, GPU: 1, EstimateMS: 8500}}}
	if err := pl.submit(jobID(0), sm); err != nil {
		return err
	}
	time.Sleep(60 * time.Second)
	pl.call(pl.hosts[0], "GET", jobID(0), nil)
	return nil
}
