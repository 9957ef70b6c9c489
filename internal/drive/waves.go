package drive

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/maint"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// WaveLayout gives the keys under which the platform keeps maintenance waves
	// and their status, and encodes and decodes the values.
	WaveLayout struct {
		Prefix         string // of the requested waves
		StatusPrefix   string // followed by the number of a wave
		DecodeWave     func(value []byte) (maint.Wave, error)
		EncodeProgress func(pr maint.Progress) []byte
		DecodeProgress func(value []byte) (maint.Progress, error)
	}

	// waveDriver carries out maintenance waves during a term, with the core of
	// package maint.
	waveDriver struct {
		*term
		layout    WaveLayout
		core      *maint.Core
		events    chan maint.Event
		numbers   map[string]int // wave numbers by key
		watchFrom store.Revision
		writes    chan store.Txn // pending writes, in order
	}
)

const (
	machineTimeout  = 2 * time.Second // of a call to the platform's machines
	writeRetryDelay = 200 * time.Millisecond
	writeQueueSize  = 256
)

// loadWaves reads the requested waves and their stored progress. It returns nil
// if machines need no maintenance.
func (te *term) loadWaves(now time.Time) (*waveDriver, error) {
	la := te.cfg.Layout.Waves
	if te.cfg.Machines == nil || la.Prefix == "" {
		return nil, nil
	}
	wd := &waveDriver{term: te, layout: la, events: make(chan maint.Event, eventQueueSize), numbers: map[string]int{}, writes: make(chan store.Txn, writeQueueSize)}
	statuses, _, err := te.cfg.Store.List(te.ctx, la.StatusPrefix)
	if err != nil {
		return nil, merry.Prepend(err, "list "+la.StatusPrefix)
	}
	records, _, err := te.cfg.Store.List(te.ctx, batch.MaintenancePrefix)
	if err != nil {
		return nil, merry.Prepend(err, "list "+batch.MaintenancePrefix)
	}
	waves, rev, err := te.cfg.Store.List(te.ctx, la.Prefix)
	if err != nil {
		return nil, merry.Prepend(err, "list "+la.Prefix)
	}
	wd.watchFrom = rev
	cf := maint.Config{WorkerState: te.workerState, Completed: wd.completedWaves(statuses)}
	for _, en := range records {
		rc, err := decodeMaintenanceRecord(en.Value)
		if err != nil {
			te.logInvalidEntry(en.Key, err)
			continue
		}
		cf.Records = append(cf.Records, rc)
	}
	for _, en := range waves {
		if wa, ok := wd.decodeWave(en); ok {
			cf.Waves = append(cf.Waves, wa)
		}
	}
	wd.core = maint.New(now, cf)
	return wd, nil
}

// completedWaves returns the numbers of the waves whose status says that they
// are completed. Invalid entries are logged and skipped.
func (wd *waveDriver) completedWaves(statuses []store.Entry) []int {
	var numbers []int
	for _, en := range statuses {
		number, err := strconv.Atoi(strings.TrimPrefix(en.Key, wd.layout.StatusPrefix))
		if err != nil {
			wd.logInvalidEntry(en.Key, err)
			continue
		}
		progress, err := wd.layout.DecodeProgress(en.Value)
		if err != nil {
			wd.logInvalidEntry(en.Key, err)
			continue
		}
		if progress == maint.Completed {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// start begins to perform queued writes and to watch the requested waves.
func (wd *waveDriver) start() {
	go wd.runWrites()
	go wd.watch(wd.layout.Prefix, wd.watchFrom, 0, wd.applyWave, wd.relist)
}

// decodeWave decodes a wave and remembers its number. It reports whether the
// entry is valid.
func (wd *waveDriver) decodeWave(en store.Entry) (maint.Wave, bool) {
	wa, err := wd.layout.DecodeWave(en.Value)
	if err != nil {
		wd.logInvalidEntry(en.Key, err)
		return maint.Wave{}, false
	}
	wd.numbers[en.Key] = wa.Number
	return wa, true
}

func (wd *waveDriver) applyWave(en store.Entry) {
	if en.Value == nil {
		if number, ok := wd.numbers[en.Key]; ok {
			wd.send(maint.WaveWithdrawn{Number: number})
		}
		return
	}
	if wa, ok := wd.decodeWave(en); ok {
		wd.send(maint.WaveRequested{Wave: wa})
	}
}

func (wd *waveDriver) relist() (store.Revision, error) {
	ents, rev, err := wd.cfg.Store.List(wd.ctx, wd.layout.Prefix)
	if err != nil {
		return 0, err
	}
	for _, en := range ents {
		wd.applyWave(en)
	}
	return rev, nil
}

func (wd *waveDriver) send(ev maint.Event) {
	select {
	case wd.events <- ev:
	case <-wd.ctx.Done():
	}
}

// workerState converts a worker's domain.Occupancy for package maint. Only the
// loop's goroutine may call it.
func (te *term) workerState(worker string) maint.WorkerState {
	oc := te.core.Occupancy(worker)
	return maint.WorkerState{Idle: oc.Idle, Uninterruptible: oc.Uninterruptible, Draining: oc.Draining, Born: oc.Born}
}

func (wd *waveDriver) handle(ev maint.Event) {
	for _, ef := range wd.core.Handle(time.Now(), ev) {
		wd.perform(ef)
	}
}

// perform starts the action that an effect requests, without waiting for it.
func (wd *waveDriver) perform(ef maint.Effect) {
	switch ef := ef.(type) {
	case maint.ListMachines:
		go wd.listMachines(ef)
	case maint.Order:
		go wd.sendOrder(ef)
	case maint.ReportProgress:
		wd.reportProgress(ef)
	case maint.SaveRecord:
		wd.saveRecord(ef.Record)
	case maint.Drain:
		wd.term.handle(domain.DrainRequested{By: ef.By})
	case maint.WorkerDown:
		wd.term.handle(domain.WorkerDown{Worker: ef.Worker})
	case maint.LogDecision:
		wd.log.Info("decision", "event", ef.Decision, "wave", ef.Wave, "machine", ef.Machine, "worker", ef.Worker, "reason", ef.Reason)
	}
}

func (wd *waveDriver) listMachines(ef maint.ListMachines) {
	ctx, cancel := context.WithTimeout(wd.ctx, machineTimeout)
	defer cancel()
	mas, err := wd.cfg.Machines.Machines(ctx)
	wd.send(maint.MachinesListed{Sent: ef.Sent, Machines: mas, Err: err})
}

// sendOrder sends an order if this host still leads. The platform need not check
// the fencing token of an order, so nothing else would hold a former leader back.
func (wd *waveDriver) sendOrder(ef maint.Order) {
	if err := wd.confirmLease(); err != nil {
		wd.send(maint.OrderCompleted{Order: ef, Err: merry.Prepend(maint.ErrNotSent, err.Error())})
		return
	}
	ctx, cancel := context.WithTimeout(wd.ctx, machineTimeout)
	defer cancel()
	wd.send(maint.OrderCompleted{Order: ef, Err: wd.cfg.Machines.SendOrder(ctx, ef, wd.cfg.Host, int64(wd.token))})
}

// reportProgress queues a write of a wave's status. If the wave is completed, the write
// also deletes its record.
func (wd *waveDriver) reportProgress(ef maint.ReportProgress) {
	number := strconv.Itoa(ef.Wave)
	tx := store.Txn{Puts: []store.Put{{Key: wd.layout.StatusPrefix + number, Value: wd.layout.EncodeProgress(ef.Progress)}}}
	if ef.Progress == maint.Completed {
		tx.Deletes = []string{batch.MaintenancePrefix + number}
	}
	wd.enqueueWrite(tx)
}

func (wd *waveDriver) saveRecord(rc maint.Record) {
	data, err := json.Marshal(rc)
	if err != nil {
		wd.log.Error("can't encode maintenance record", "event", "reportFails", "wave", rc.Number, "reason", err)
		return
	}
	wd.enqueueWrite(store.Txn{Puts: []store.Put{{Key: batch.MaintenancePrefix + strconv.Itoa(rc.Number), Value: data}}})
}

// enqueueWrite queues a transaction and makes it require this term's leader
// key. If the queue is full, the transaction is dropped and logged.
func (wd *waveDriver) enqueueWrite(tx store.Txn) {
	tx.Expect = []store.Expectation{{Key: batch.LeaderKey, Revision: wd.token}}
	select {
	case wd.writes <- tx:
	default:
		wd.log.Warn("write of maintenance state dropped", "event", "reportFails", "key", tx.Puts[0].Key, "reason", "write queue is full")
	}
}

// runWrites performs queued transactions in order, retrying each until it
// succeeds or the term ends.
func (wd *waveDriver) runWrites() {
	for {
		select {
		case <-wd.ctx.Done():
			return
		case tx := <-wd.writes:
			wd.retryWrite(tx)
		}
	}
}

func (wd *waveDriver) retryWrite(tx store.Txn) {
	for {
		_, _, err := wd.cfg.Store.Commit(wd.ctx, tx)
		if err == nil {
			return
		}
		wd.log.Warn("write of maintenance state failed, retrying", "event", "reportFails", "key", tx.Puts[0].Key, "reason", err)
		if !wd.pauseFor(writeRetryDelay) {
			return
		}
	}
}

func decodeMaintenanceRecord(data []byte) (rc maint.Record, err error) {
	err = json.Unmarshal(data, &rc)
	return rc, err
}
