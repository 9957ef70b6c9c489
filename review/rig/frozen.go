package main

import (
	"errors"
	"syscall"
	"time"
)

func init() { cases["frozen"] = playFrozen }

// playFrozen stops the process of the leader for 5 s while a machine of a wave
// waits for its turn, and continues it after its successor has ordered the
// machine's upkeep. It does so three times.
func playFrozen(pl *plant) error {
	const rounds = 3
	for range 4 {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	for n := range rounds {
		sm := submission{
			Spec: "work 11000 step 0 saves true", Steps: []step{{Count: 4, CPU: 26000, MemMB: 75000, GPU: 8, EstimateMS: 11000, Checkpoints: true}},
		}
		if err := pl.submit(jobID(n), sm); err != nil {
			return err
		}
		if !pl.awaitWorking(4) {
			return errors.New("the work units haven't started")
		}
		if err := pl.playWave(n + 1); err != nil {
			return err
		}
		if !pl.awaitWorking(0) {
			return errors.New("the work units haven't ended")
		}
	}
	return nil
}

// playWave requests a wave of two machines and stops the leader meanwhile.
func (pl *plant) playWave(wave int) error {
	const (
		duration = 20 * time.Second // of the wave
		freezeAt = 2 * time.Second  // after the request
		freeze   = 5 * time.Second
		rest     = 12 * time.Second // until the wave is over
	)
	pl.cloud.order(wave, []string{pl.workers[0].machine, pl.workers[1].machine}, duration, 1)
	time.Sleep(freezeAt)
	leader := pl.leader()
	if leader == nil {
		return errors.New("no host is the leader")
	}
	if !pl.trouble {
		time.Sleep(freeze + rest)
		return nil
	}
	pl.rec.write("%s, the leader, stands still", leader.name)
	if err := leader.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(freeze)
	pl.rec.write("%s goes on", leader.name)
	if err := leader.signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(rest)
	return nil
}
