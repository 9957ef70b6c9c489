// Package wksim simulates a worker of the platform.
//
// Table is the lease table as a state machine without I/O: it takes calls and the
// current time, and returns replies. Server exposes it through the HTTP
// interface of internal/worker and injects faults on demand.
//
// Invariants: the tasks that have not ended hold no more accelerators than the
// worker has; a call with an epoch smaller than the largest seen changes
// nothing; only a task whose reservation has not expired can be started; an
// ended task is kept until it is acknowledged, and its Run permanently.
package wksim

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// TableConfig configures a Table.
	TableConfig struct {
		Worker       string
		Incarnation  string
		Accelerators int
		RunScale     float64       // factor on the run times of commands; 1 if zero
		UsageLag     time.Duration // delay with which usage is reported
		Version      int64         // initial version
	}

	// Table is the lease table of a worker. It is not safe for concurrent use.
	Table struct {
		cfg        TableConfig
		now        time.Time
		origin     time.Time // start of the clock that replies report
		epoch      int64
		version    int64
		draining   bool
		failStarts bool
		tasks      []*task // in order of reservation
		runs       []Run
		runOf      map[worker.TaskID]int // index into runs of the started tasks in the table
	}
)

const (
	failStartsError = "worker fails every task"
	restartError    = "worker restarted"
)

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	if cfg.RunScale <= 0 {
		cfg.RunScale = 1
	}
	return &Table{cfg: cfg, version: cfg.Version + 1, runOf: map[worker.TaskID]int{}}
}

// Apply performs one call. The error is worker.ErrStaleEpoch or wraps
// worker.ErrRefused; in both cases the call has no effect.
func (tb *Table) Apply(now time.Time, req worker.Request) (worker.Reply, error) {
	now = tb.Advance(now)
	if err := validate(req); err != nil {
		return worker.Reply{}, err
	}
	if req.Epoch < tb.epoch {
		return tb.header(), worker.ErrStaleEpoch
	}
	tb.epoch = req.Epoch
	age, valid := tb.requestAge(now, req)
	if valid {
		tb.renew(now, req.Lease-age)
	}
	results := make([]worker.Result, 0, len(req.Commands))
	for _, cm := range req.Commands {
		if cm.Lease > 0 && (!valid || cm.Lease <= age) {
			results = append(results, worker.Result{Reason: worker.ReasonLate})
			continue
		}
		cm.Lease = max(0, cm.Lease-age)
		results = append(results, tb.execute(now, cm))
		tb.Advance(now)
	}
	reply := tb.header()
	reply.Results = results
	if reply.Version != req.Version {
		reply.Tasks = tb.Tasks(now)
	}
	return reply, nil
}

// requestAge returns how long ago a call was sent, by the clock reading that it
// carries, since its leases count from that time. A call for another incarnation
// grants no leases: valid is false.
func (tb *Table) requestAge(now time.Time, req worker.Request) (age time.Duration, valid bool) {
	if req.Incarnation == "" {
		return 0, true
	}
	return max(0, now.Sub(tb.origin)-req.Sent), req.Incarnation == tb.cfg.Incarnation
}

// Advance moves the table's time forward: leases expire, tasks finish and
// checkpoints end, each at its due time. It returns the table's time, which
// never decreases.
func (tb *Table) Advance(now time.Time) time.Time {
	if now.Before(tb.now) {
		now = tb.now
	}
	tb.now = now
	if tb.origin.IsZero() {
		tb.origin = now
	}
	for _, ta := range tb.tasks {
		at, phase, changes := ta.nextTransition()
		if changes && !at.After(now) {
			tb.end(ta, at, phase)
		}
	}
	return now
}

// Next returns the earliest time at which Advance will change a row, if any.
func (tb *Table) Next() (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, ta := range tb.tasks {
		at, _, changes := ta.nextTransition()
		if changes && (!found || at.Before(earliest)) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// Tasks returns the rows as reported at the given time.
func (tb *Table) Tasks(now time.Time) []worker.Task {
	rows := make([]worker.Task, 0, len(tb.tasks))
	for _, ta := range tb.tasks {
		rows = append(rows, ta.report(now, tb.cfg.UsageLag))
	}
	return rows
}

// Free returns the number of accelerators that no task holds.
func (tb *Table) Free() int {
	free := tb.cfg.Accelerators
	for _, ta := range tb.tasks {
		free -= ta.heldAccelerators()
	}
	return free
}

// SetDraining sets whether new reservations are refused.
func (tb *Table) SetDraining(draining bool) {
	if tb.draining != draining {
		tb.draining = draining
		tb.version++
	}
}

// SetFailStarts sets whether every task fails as soon as it is started.
func (tb *Table) SetFailStarts(fail bool) { tb.failStarts = fail }

// Restart ends every task as failed and empties the table under a new incarnation.
// The largest epoch seen is kept unless forgetEpoch is set.
func (tb *Table) Restart(now time.Time, inc string, forgetEpoch bool) {
	now = tb.Advance(now)
	for _, ta := range tb.tasks {
		if !ta.row.Phase.Ended() {
			ta.plan.failure = restartError
			tb.end(ta, now, worker.PhaseFailed)
		}
	}
	tb.cfg.Incarnation = inc
	tb.tasks = nil
	tb.runOf = map[worker.TaskID]int{}
	tb.version++
	if forgetEpoch {
		tb.epoch = 0
	}
}

// Runs returns the record of every task started, in order of start.
func (tb *Table) Runs() []Run { return slices.Clone(tb.runs) }

// header returns a reply without results and rows.
func (tb *Table) header() worker.Reply {
	return worker.Reply{
		Worker: tb.cfg.Worker, Incarnation: tb.cfg.Incarnation, Clock: tb.now.Sub(tb.origin), Epoch: tb.epoch, Version: tb.version,
		Accelerators: tb.cfg.Accelerators, Draining: tb.draining,
	}
}

// renew extends the leases of all tasks.
func (tb *Table) renew(now time.Time, lease time.Duration) {
	if lease <= 0 {
		return
	}
	for _, ta := range tb.tasks {
		ta.renew(now, lease)
	}
}

func (tb *Table) find(id worker.TaskID) *task {
	for _, ta := range tb.tasks {
		if ta.row.ID == id {
			return ta
		}
	}
	return nil
}

func (tb *Table) remove(ta *task) {
	tb.tasks = slices.DeleteFunc(tb.tasks, func(other *task) bool { return other == ta })
	delete(tb.runOf, ta.row.ID)
	tb.version++
}

// end ends a task and completes its Run.
func (tb *Table) end(ta *task, at time.Time, phase worker.Phase) {
	ta.end(at, phase)
	tb.version++
	if i, ran := tb.runOf[ta.row.ID]; ran {
		tb.runs[i].Ended = at
		tb.runs[i].Phase = phase
	}
}

// validate checks that a call is well-formed.
func validate(req worker.Request) error {
	if req.Epoch <= 0 {
		return fmt.Errorf("%w: epoch %d is not positive", worker.ErrRefused, req.Epoch)
	}
	if req.Wait < 0 || req.Lease < 0 {
		return fmt.Errorf("%w: negative wait or lease", worker.ErrRefused)
	}
	for _, cm := range req.Commands {
		if err := validateCommand(cm); err != nil {
			return err
		}
	}
	return nil
}

func validateCommand(cm worker.Command) error {
	if cm.Task.Job == "" || cm.Accelerators < 0 || cm.Lease < 0 || cm.CheckpointTimeout < 0 {
		return fmt.Errorf("%w: command %s without a job or with a negative value", worker.ErrRefused, cm.Op)
	}
	switch cm.Op {
	case worker.OpReserve:
		if cm.Lease == 0 {
			return fmt.Errorf("%w: reservation without a lease", worker.ErrRefused)
		}
	case worker.OpThrottle:
		if !(cm.Rate >= 0 && cm.Rate <= 1) {
			return fmt.Errorf("%w: rate %v is not between 0 and 1", worker.ErrRefused, cm.Rate)
		}
	case worker.OpStart, worker.OpRelease, worker.OpStop, worker.OpAck:
	default:
		return fmt.Errorf("%w: unknown operation %q", worker.ErrRefused, cm.Op)
	}
	return nil
}
