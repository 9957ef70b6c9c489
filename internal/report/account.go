package report

import (
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// AccountConfig describes the host whose work an Account counts.
	AccountConfig struct {
		Host        string
		Zone        string
		Incarnation uint64                // start time of the process, nanoseconds
		Location    func() *time.Location // of the declarations in force; UTC if nil
	}

	// Account counts the work of one incarnation of a host. It implements
	// Recorder and is safe for concurrent use.
	Account struct {
		cfg          AccountConfig
		rows         sync.Map // rowKey to *rowCounters
		rowCount     atomic.Int64
		rejectedEnds atomic.Int64

		mu       sync.Mutex // guards sequence
		sequence int64
	}

	// Work is one offered piece of work: a request or a submission of a job. It
	// counts as in progress until End.
	Work struct {
		account *Account
		row     *rowCounters
		ended   atomic.Bool
	}

	// rowKey identifies a row of counters.
	rowKey struct {
		day       string
		workspace string
		service   string
	}

	// rowCounters holds the counters of one rowKey.
	rowCounters struct {
		offered     atomic.Int64
		slotNanos   atomic.Int64
		regionBytes atomic.Int64
		repeats     atomic.Int64
		ended       []atomic.Int64 // by index in codeList
	}
)

const (
	// OtherWorkspace is the workspace to which work of further workspaces is
	// attributed once an account has maxRows rows.
	OtherWorkspace = "(other)"

	maxRows = 8192

	// closedSequence is the sequence of the last snapshot of an incarnation.
	closedSequence = math.MaxInt64
)

var (
	codeIndex, codeList = indexCodes()

	_ Recorder = (*Account)(nil)
)

// NewAccount returns an empty account.
func NewAccount(cfg AccountConfig) *Account {
	return &Account{cfg: cfg}
}

// Offer counts a piece of work as offered on the day of now.
func (ac *Account) Offer(now time.Time, workspace, service string) *Work {
	rw := ac.row(rowKey{day: ac.day(now), workspace: workspace, service: service})
	rw.offered.Add(1)
	return &Work{account: ac, row: rw}
}

// RejectedEnds returns how many calls of End were rejected.
func (ac *Account) RejectedEnds() int64 { return ac.rejectedEnds.Load() }

// End records the outcome. A second call, or a code of class InProgress, is
// rejected and counted by RejectedEnds. An undefined code counts as
// InternalFailure.
func (wo *Work) End(out Outcome) {
	idx, ok := codeIndex[out.Code]
	if !ok {
		idx = codeIndex[codes.InternalFailure]
	}
	if codeList[idx].Class() == codes.InProgress || !wo.ended.CompareAndSwap(false, true) {
		wo.account.rejectedEnds.Add(1)
		return
	}
	wo.row.slotNanos.Add(int64(max(out.SlotTime, 0)))
	wo.row.regionBytes.Add(max(out.RegionBytes, 0))
	wo.row.repeats.Add(int64(max(out.Repeats, 0)))
	wo.row.ended[idx].Add(1)
}

// Snapshot returns the current values of all counters. In each row, outcomes
// are read before offers, so a row never has more outcomes than offers.
func (ac *Account) Snapshot(now time.Time) *wire.Account {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.sequence != closedSequence {
		ac.sequence++
	}
	return ac.snapshot(now)
}

// Close returns the last snapshot. Its sequence shows that the host has shut down
// gracefully and that no counters are missing.
func (ac *Account) Close(now time.Time) *wire.Account {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.sequence = closedSequence
	return ac.snapshot(now)
}

// Forget deletes the rows of days that are no longer reported.
func (ac *Account) Forget(now time.Time) {
	oldest := oldestRetainedDay(now, ac.location())
	ac.rows.Range(func(key, _ any) bool {
		if key.(rowKey).day < oldest {
			ac.rows.Delete(key)
			ac.rowCount.Add(-1)
		}
		return true
	})
}

// snapshot returns the current values. The caller holds ac.mu, so that
// sequences and counters increase together.
func (ac *Account) snapshot(now time.Time) *wire.Account {
	wa := &wire.Account{
		Host: ac.cfg.Host, Zone: ac.cfg.Zone, Incarnation: ac.cfg.Incarnation,
		Sequence: ac.sequence, AtNanos: now.UnixNano(),
	}
	ac.rows.Range(func(key, value any) bool {
		wa.Rows = append(wa.Rows, value.(*rowCounters).toWire(key.(rowKey)))
		return true
	})
	sortRows(wa.Rows)
	return wa
}

func (rw *rowCounters) toWire(key rowKey) *wire.AccountRow {
	wr := &wire.AccountRow{Day: key.day, Workspace: key.workspace, Service: key.service, Ended: make(map[int32]int64)}
	for i := range rw.ended {
		if n := rw.ended[i].Load(); n > 0 {
			wr.Ended[int32(codeList[i])] = n
		}
	}
	wr.SlotNanos = rw.slotNanos.Load()
	wr.RegionBytes = rw.regionBytes.Load()
	wr.Repeats = rw.repeats.Load()
	wr.Offered = rw.offered.Load()
	return wr
}

func (ac *Account) day(now time.Time) string {
	return DayOf(now, ac.location())
}

func (ac *Account) location() *time.Location {
	if ac.cfg.Location == nil {
		return time.UTC
	}
	if loc := ac.cfg.Location(); loc != nil {
		return loc
	}
	return time.UTC
}

// row returns the row of a key, creating it if needed. Once there are maxRows
// rows, new workspaces share one row for each day.
func (ac *Account) row(key rowKey) *rowCounters {
	if rw, ok := ac.rows.Load(key); ok {
		return rw.(*rowCounters)
	}
	if ac.rowCount.Load() >= maxRows && key.workspace != OtherWorkspace {
		return ac.row(rowKey{day: key.day, workspace: OtherWorkspace})
	}
	key.workspace = strings.Clone(key.workspace)
	key.service = strings.Clone(key.service)
	rw, loaded := ac.rows.LoadOrStore(key, &rowCounters{ended: make([]atomic.Int64, len(codeList))})
	if !loaded {
		ac.rowCount.Add(1)
	}
	return rw.(*rowCounters)
}

// indexCodes returns all defined codes and the index of each.
func indexCodes() (map[codes.Code]int, []codes.Code) {
	all := codes.All()
	idx := make(map[codes.Code]int, len(all))
	list := make([]codes.Code, len(all))
	for i, inf := range all {
		idx[inf.Code] = i
		list[i] = inf.Code
	}
	return idx, list
}
