package zone

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// workerCalls makes the calls to workers under one epoch: for each worker one
	// that waits for a change and renews the leases, and beside it the commands.
	workerCalls struct {
		ctx    context.Context
		zone   *Zone
		epoch  int64
		mu     sync.Mutex
		loops  map[target]context.CancelFunc
		clocks map[target]clockSample
	}

	// clockSample is the last answer of a worker, from which its clock is told.
	clockSample struct {
		boot  string
		clock time.Duration
		at    time.Time
	}

	// target is a worker as the list names it.
	target struct {
		name    string
		address string
	}
)

const (
	commandTimeout    = time.Second
	renewalMargin     = 1500 * time.Millisecond
	renewalRetryDelay = 500 * time.Millisecond // after a call that failed
)

func newWorkerCalls(ctx context.Context, zo *Zone, epoch int64) *workerCalls {
	return &workerCalls{ctx: ctx, zone: zo, epoch: epoch, loops: map[target]context.CancelFunc{}, clocks: map[target]clockSample{}}
}

// setTargets keeps one renewing loop for every worker. A worker that has moved to
// another address is not called at the old one any more, and one that has gone
// from the list only as long as it answers or its leases may last.
func (wc *workerCalls) setTargets(workers []plat.Host) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	targets := map[string]target{}
	for _, ho := range workers {
		tg := target{name: ho.Name, address: ho.Address}
		targets[tg.name] = tg
		if _, ok := wc.loops[tg]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(wc.ctx)
		wc.loops[tg] = cancel
		go wc.renew(ctx, tg)
	}
	for tg, cancel := range wc.loops {
		if targets[tg.name] != tg {
			cancel()
			delete(wc.loops, tg)
			delete(wc.clocks, tg)
		}
	}
}

// count returns how many workers are called.
func (wc *workerCalls) count() int {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	return len(wc.loops)
}

func (wc *workerCalls) stop() {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for _, cancel := range wc.loops {
		cancel()
	}
}

// renew keeps the leases of one worker and reports every change of its table.
func (wc *workerCalls) renew(ctx context.Context, tg target) {
	version := int64(-1)
	boot := ""
	for ctx.Err() == nil {
		rq := worker.Request{
			Epoch: wc.epoch, Holder: wc.zone.cfg.Host, Version: version,
			Wait: sched.RenewEvery, Lease: sched.TaskLease,
		}
		if version < 0 {
			rq.Wait = 0
		}
		call, cancel := context.WithTimeout(ctx, rq.Wait+renewalMargin)
		reply, err := wc.call(call, tg, rq)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if !wc.report(tg, reply, err, nil, version == reply.Version && boot == reply.Boot) {
			version = -1
			pause.For(ctx, renewalRetryDelay)
			continue
		}
		version = reply.Version
		boot = reply.Boot
	}
}

// send makes one call with commands in the background.
func (wc *workerCalls) send(ef sched.Send) {
	go func() {
		ctx, cancel := context.WithTimeout(wc.ctx, commandTimeout)
		defer cancel()
		rq := worker.Request{
			Epoch: wc.epoch, Holder: wc.zone.cfg.Host, Version: -1,
			Lease: sched.TaskLease, Commands: ef.Commands,
		}
		tg := target{name: ef.Worker, address: ef.Address}
		reply, err := wc.call(ctx, tg, rq)
		if wc.ctx.Err() != nil {
			return
		}
		wc.report(tg, reply, err, ef.Commands, false)
	}()
}

// call makes one call that states the worker's clock as of its last answer. A
// worker that has not answered for a while is granted no leases, so that the
// moment is known at which all of them are over.
func (wc *workerCalls) call(ctx context.Context, tg target, rq worker.Request) (worker.Reply, error) {
	now := time.Now()
	wc.mu.Lock()
	cs := wc.clocks[tg]
	wc.mu.Unlock()
	rq.Boot = cs.boot
	rq.Sent = cs.clock + now.Sub(cs.at)
	if cs.boot == "" || now.Sub(cs.at) > sched.RenewGrace {
		rq.Lease = 0
	}
	reply, err := wc.zone.cfg.Workers.Call(ctx, tg.address, rq)
	if err != nil {
		return reply, err
	}
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if last := wc.clocks[tg]; reply.Boot != last.boot || reply.Clock > last.clock {
		wc.clocks[tg] = clockSample{boot: reply.Boot, clock: reply.Clock, at: time.Now()}
	}
	return reply, nil
}

// report tells the core how a call went.
func (wc *workerCalls) report(tg target, reply worker.Reply, err error, cms []worker.Command, unchanged bool) bool {
	if errors.Is(err, worker.ErrStaleEpoch) {
		wc.zone.observeEpoch(reply.Epoch)
		wc.zone.handle(sched.WorkerReplied{Worker: tg.name, Reply: reply, Commands: cms})
		return false
	}
	if err != nil {
		wc.zone.handle(sched.WorkerCallFailed{Worker: tg.name, Commands: cms})
		return false
	}
	wc.zone.handle(sched.WorkerReplied{Worker: tg.name, Reply: reply, Commands: cms, Unchanged: unchanged})
	return true
}
