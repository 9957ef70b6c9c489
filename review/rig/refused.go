package main

import (
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused loses the answer to the first order of a wave and turns the second
// call away.
func playRefused(pl *plant) error {
	for range 4 {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	var calls atomic.Int64
	if pl.trouble {
		pl.cloud.fault = func(order) cloudFault {
			switch calls.Add(1) {
			case 1:
				return loseAnswer
			case 2:
				return unavailable
			}
			return noFault
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	pl.cloud.order(1, []string{pl.workers[0].machine, pl.workers[1].machine, pl.workers[2].machine}, 20*time.Second, 1)
	time.Sleep(15 * time.Second)
	return nil
}
