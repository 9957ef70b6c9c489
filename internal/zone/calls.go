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
		ctx    context.Context // ends with the term
		zone   *Zone
		epoch  int64
		mu     sync.Mutex                           // guards loops and clocks
		loops  map[workerAddress]context.CancelFunc // end the renewal loops
		clocks map[workerAddress]clockSample
	}

	// clockSample is the worker's clock in its last reply, and the time at which
	// that was received. The present time of the worker's clock is estimated from
	// it.
	clockSample struct {
		incarnation string
		clock       time.Duration
		at          time.Time
	}

	// workerAddress is the name and address of a worker.
	workerAddress struct {
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
	return &workerCalls{ctx: ctx, zone: zo, epoch: epoch, loops: map[workerAddress]context.CancelFunc{}, clocks: map[workerAddress]clockSample{}}
}

// setWorkers starts a renewal loop for each new worker, and ends those of workers
// that aren't in the list or have another address in it.
func (wc *workerCalls) setWorkers(workers []plat.Host) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	current := map[string]workerAddress{}
	for _, ho := range workers {
		wa := workerAddress{name: ho.Name, address: ho.Address}
		current[wa.name] = wa
		if _, ok := wc.loops[wa]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(wc.ctx)
		wc.loops[wa] = cancel
		go wc.renew(ctx, wa)
	}
	for wa, cancel := range wc.loops {
		if current[wa.name] != wa {
			cancel()
			delete(wc.loops, wa)
			delete(wc.clocks, wa)
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
func (wc *workerCalls) renew(ctx context.Context, wa workerAddress) {
	version := int64(-1)
	incarnation := ""
	for ctx.Err() == nil {
		rq := worker.Request{
			Epoch: wc.epoch, Leader: wc.zone.cfg.Host, Version: version,
			Wait: sched.MaxRenewInterval, Lease: sched.TaskLeaseTime,
		}
		if version < 0 {
			rq.Wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, rq.Wait+renewalMargin)
		reply, err := wc.call(callCtx, wa, rq)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if !wc.report(wa, reply, err, nil, version == reply.Version && incarnation == reply.Incarnation) {
			version = -1
			pause.For(ctx, renewalRetryDelay)
			continue
		}
		version = reply.Version
		incarnation = reply.Incarnation
	}
}

// send makes a call with commands in the background.
func (wc *workerCalls) send(ef sched.Send) {
	go func() {
		ctx, cancel := context.WithTimeout(wc.ctx, commandTimeout)
		defer cancel()
		rq := worker.Request{
			Epoch: wc.epoch, Leader: wc.zone.cfg.Host, Version: -1,
			Lease: sched.TaskLeaseTime, Commands: ef.Commands,
		}
		wa := workerAddress{name: ef.Worker, address: ef.Address}
		reply, err := wc.call(ctx, wa, rq)
		if wc.ctx.Err() != nil {
			return
		}
		wc.report(wa, reply, err, ef.Commands, false)
	}()
}

// call makes a call that states the present time of the worker's clock, estimated
// from its last reply; a lease granted by the call begins at that time. A worker
// that has not replied for MaxReplyAge is granted no leases, so that the time is
// known by which all its leases have expired.
func (wc *workerCalls) call(ctx context.Context, wa workerAddress, rq worker.Request) (worker.Reply, error) {
	now := time.Now()
	wc.mu.Lock()
	cs := wc.clocks[wa]
	wc.mu.Unlock()
	rq.Incarnation = cs.incarnation
	rq.Sent = cs.clock + now.Sub(cs.at)
	if cs.incarnation == "" || now.Sub(cs.at) > sched.MaxReplyAge {
		rq.Lease = 0
	}
	reply, err := wc.zone.cfg.Workers.Call(ctx, wa.address, rq)
	if err != nil {
		return reply, err
	}
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if last := wc.clocks[wa]; reply.Incarnation != last.incarnation || reply.Clock > last.clock {
		wc.clocks[wa] = clockSample{incarnation: reply.Incarnation, clock: reply.Clock, at: time.Now()}
	}
	return reply, nil
}

// report passes the result of a call to the core, and returns whether the call
// succeeded. unchanged says that the reply has the same lease table as the one
// before.
func (wc *workerCalls) report(wa workerAddress, reply worker.Reply, err error, cms []worker.Command, unchanged bool) bool {
	if errors.Is(err, worker.ErrStaleEpoch) {
		wc.zone.observeEpoch(reply.Epoch)
		wc.zone.handle(sched.WorkerReplied{Worker: wa.name, Reply: reply, Commands: cms})
		return false
	}
	if err != nil {
		wc.zone.handle(sched.WorkerCallFailed{Worker: wa.name, Commands: cms})
		return false
	}
	wc.zone.handle(sched.WorkerReplied{Worker: wa.name, Reply: reply, Commands: cms, Unchanged: unchanged})
	return true
}
