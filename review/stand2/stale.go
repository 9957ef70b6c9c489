package main

import (
	"fmt"
	"time"
)

// The stale case: the operator asks for a wave, answers of the platform's machines are
// slow for a second, and the host that leads is cut off from the store. Another host
// follows. The rule is ONE.

const (
	storeCutAfter = 50 * time.Millisecond // after the first order
	storeCutTime  = 4 * time.Second
)

func staleCase(trouble bool) (int, error) {
	cl := newCloud()
	de, err := deploy(3, serve(cl))
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	for _, ma := range cl.machines {
		startWorker(de.store, ma.worker, "r1", capacity{64000, 262144, 8})
	}
	time.Sleep(3 * time.Second)
	leader := de.awaitLeader(nil, 5*time.Second)
	if leader == nil {
		return couldNot, fmt.Errorf("no host leads")
	}
	var ids []string
	for _, ma := range cl.machines {
		ids = append(ids, ma.id)
	}
	de.store.put(fmt.Sprintf("op/wave/%d", waveNumber), map[string]any{"wave": waveNumber, "machines": ids, "duration_s": 20, "max_count": waveMachines})
	logf("the operator asks for wave %d of %d machines; host %s leads", waveNumber, waveMachines, leader.name)
	select {
	case <-cl.first:
	case <-time.After(20 * time.Second):
		return couldNot, fmt.Errorf("no order has come")
	}
	time.Sleep(storeCutAfter)
	if trouble {
		logf("host %s is cut off from the store", leader.name)
		leader.gate.cut.Store(true)
		time.Sleep(storeCutTime)
		leader.gate.cut.Store(false)
		logf("the cut of host %s ends", leader.name)
	}
	time.Sleep(8 * time.Second)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	logf("%d orders, %d of them with a lower number after a higher one; the wave is %s", cl.orders, cl.stale, de.store.value(fmt.Sprintf("status/wave/%d", waveNumber)))
	if cl.stale > 0 {
		return broken, nil
	}
	return held, nil
}
