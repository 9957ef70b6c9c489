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
	// callers makes the calls to workers under one epoch: for each worker one
	// that waits for a change and renews the leases, and beside it the commands.
	callers struct {
		ctx   context.Context
		zone  *Zone
		epoch int64
		mu    sync.Mutex
		loops map[target]context.CancelFunc
		seen  map[target]sight
	}

	// sight is the last answer of a worker, from which its clock is told.
	sight struct {
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
	commandTime  = time.Second
	renewalSlack = 1500 * time.Millisecond
	renewalPause = 500 * time.Millisecond // after a call that failed
)

func newCallers(ctx context.Context, zo *Zone, epoch int64) *callers {
	return &callers{ctx: ctx, zone: zo, epoch: epoch, loops: map[target]context.CancelFunc{}, seen: map[target]sight{}}
}

// follow keeps one renewing loop for every worker. A worker that has moved to
// another address is not called at the old one any more, and one that has gone
// from the list only as long as it answers or its leases may last.
func (ca *callers) follow(workers []plat.Host) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	current := map[string]target{}
	for _, ho := range workers {
		tg := target{name: ho.Name, address: ho.Address}
		current[tg.name] = tg
		if _, ok := ca.loops[tg]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(ca.ctx)
		ca.loops[tg] = cancel
		go ca.renew(ctx, tg)
	}
	for tg, cancel := range ca.loops {
		if current[tg.name] != tg {
			cancel()
			delete(ca.loops, tg)
			delete(ca.seen, tg)
		}
	}
}

// count returns how many workers are called.
func (ca *callers) count() int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return len(ca.loops)
}

func (ca *callers) stop() {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, cancel := range ca.loops {
		cancel()
	}
}

// renew keeps the leases of one worker and reports every change of its table.
func (ca *callers) renew(ctx context.Context, tg target) {
	version := int64(-1)
	boot := ""
	for ctx.Err() == nil {
		rq := worker.Request{
			Epoch: ca.epoch, Holder: ca.zone.cfg.Host, Version: version,
			Wait: sched.RenewEvery, Lease: sched.TaskLease,
		}
		if version < 0 {
			rq.Wait = 0
		}
		call, cancel := context.WithTimeout(ctx, rq.Wait+renewalSlack)
		reply, err := ca.call(call, tg, rq)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if !ca.report(tg, reply, err, nil, version == reply.Version && boot == reply.Boot) {
			version = -1
			pause.For(ctx, renewalPause)
			continue
		}
		version = reply.Version
		boot = reply.Boot
	}
}

// send makes one call with commands in the background.
func (ca *callers) send(ef sched.Send) {
	go func() {
		ctx, cancel := context.WithTimeout(ca.ctx, commandTime)
		defer cancel()
		rq := worker.Request{
			Epoch: ca.epoch, Holder: ca.zone.cfg.Host, Version: -1,
			Lease: sched.TaskLease, Commands: ef.Commands,
		}
		tg := target{name: ef.Worker, address: ef.Address}
		reply, err := ca.call(ctx, tg, rq)
		if ca.ctx.Err() != nil {
			return
		}
		ca.report(tg, reply, err, ef.Commands, false)
	}()
}

// call makes one call that states the worker's clock as of its last answer. A
// worker that has not answered for a while is granted no leases, so that the
// moment is known at which all of them are over.
func (ca *callers) call(ctx context.Context, tg target, rq worker.Request) (worker.Reply, error) {
	now := time.Now()
	ca.mu.Lock()
	si := ca.seen[tg]
	ca.mu.Unlock()
	rq.Boot = si.boot
	rq.Sent = si.clock + now.Sub(si.at)
	if si.boot == "" || now.Sub(si.at) > sched.RenewGrace {
		rq.Lease = 0
	}
	reply, err := ca.zone.cfg.Workers.Call(ctx, tg.address, rq)
	if err != nil {
		return reply, err
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if last := ca.seen[tg]; reply.Boot != last.boot || reply.Clock > last.clock {
		ca.seen[tg] = sight{boot: reply.Boot, clock: reply.Clock, at: time.Now()}
	}
	return reply, nil
}

// report tells the core how a call went.
func (ca *callers) report(tg target, reply worker.Reply, err error, cms []worker.Command, same bool) bool {
	if errors.Is(err, worker.ErrStaleEpoch) {
		ca.zone.heard(reply.Epoch)
		ca.zone.handle(sched.WorkerReplied{Worker: tg.name, Reply: reply, Commands: cms})
		return false
	}
	if err != nil {
		ca.zone.handle(sched.WorkerCallFailed{Worker: tg.name, Commands: cms})
		return false
	}
	ca.zone.handle(sched.WorkerReplied{Worker: tg.name, Reply: reply, Commands: cms, Unchanged: same})
	return true
}
