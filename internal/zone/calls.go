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
	// workerCalls makes the calls to workers under one epoch. For each worker a
	// loop of long polls renews the leases and waits for changes of the lease
	// table; commands are sent in separate calls.
	workerCalls struct {
		ctx    context.Context
		zone   *Zone
		epoch  int64
		mu     sync.Mutex
		loops  map[target]context.CancelFunc
		clocks map[target]clockSample
	}

	// clockSample is the worker's clock in its last reply, and when that came.
	// The present time of the worker's clock is estimated from it.
	clockSample struct {
		incarnation string
		clock       time.Duration
		at          time.Time
	}

	// target is the name and address of a worker.
	target struct {
		name    string
		address string
	}
)

const (
	commandTimeout    = time.Second
	renewalMargin     = 1500 * time.Millisecond // timeout of a renewal beyond the time that the worker may wait
	renewalRetryDelay = 500 * time.Millisecond  // after a failed call
)

func newWorkerCalls(ctx context.Context, zo *Zone, epoch int64) *workerCalls {
	return &workerCalls{ctx: ctx, zone: zo, epoch: epoch, loops: map[target]context.CancelFunc{}, clocks: map[target]clockSample{}}
}

// setTargets starts a renewal loop for each new worker, and ends those of workers
// that aren't in the list or have another address in it.
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

// count returns the number of workers that are called.
func (wc *workerCalls) count() int {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	return len(wc.loops)
}

// stop ends all renewal loops.
func (wc *workerCalls) stop() {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	for _, cancel := range wc.loops {
		cancel()
	}
}

// renew renews the leases on one worker in a loop of long polls, and reports each
// reply to the core.
func (wc *workerCalls) renew(ctx context.Context, tg target) {
	version := int64(-1)
	incarnation := ""
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
		if !wc.report(tg, reply, err, nil, version == reply.Version && incarnation == reply.Boot) {
			version = -1
			pause.For(ctx, renewalRetryDelay)
			continue
		}
		version = reply.Version
		incarnation = reply.Boot
	}
}

// send makes a call with commands in the background.
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

// call makes a call that states the present time of the worker's clock, estimated
// from its last reply; a lease granted by the call begins at that time. A worker
// that has not replied for MaxReplyAge is granted no leases, so that the time is
// known by which all its leases have expired.
func (wc *workerCalls) call(ctx context.Context, tg target, rq worker.Request) (worker.Reply, error) {
	now := time.Now()
	wc.mu.Lock()
	cs := wc.clocks[tg]
	wc.mu.Unlock()
	rq.Boot = cs.incarnation
	rq.Sent = cs.clock + now.Sub(cs.at)
	if cs.incarnation == "" || now.Sub(cs.at) > sched.MaxReplyAge {
		rq.Lease = 0
	}
	reply, err := wc.zone.cfg.Workers.Call(ctx, tg.address, rq)
	if err != nil {
		return reply, err
	}
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if last := wc.clocks[tg]; reply.Boot != last.incarnation || reply.Clock > last.clock {
		wc.clocks[tg] = clockSample{incarnation: reply.Boot, clock: reply.Clock, at: time.Now()}
	}
	return reply, nil
}

// report passes the result of a call to the core, and reports whether the call
// succeeded.
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
