package report

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/wire"
)

type (
	// AccountStore holds copies of the accounts of this host and of others. The
	// copies outlive the hosts. It is safe for concurrent use.
	//
	// Its rows are immutable; an update replaces them.
	AccountStore struct {
		mu       sync.Mutex
		version  int64 // incremented by every change of a row or sequence
		accounts map[accountKey]*accountCopy
	}

	// accountKey identifies one incarnation of a host.
	accountKey struct {
		host        string
		incarnation uint64
	}

	// accountCopy is the copy of one account.
	accountCopy struct {
		zone     string
		sequence int64
		atNanos  int64 // time of the last snapshot, since 1970
		version  int64 // of the store at the last change except of atNanos
		rows     map[rowKey]rowCopy
	}

	// rowCopy is the copy of one row of an account.
	rowCopy struct {
		row     *wire.AccountRow
		version int64 // of the store at the last change of the row
	}
)

// NewAccountStore returns an empty AccountStore.
func NewAccountStore() *AccountStore {
	return &AccountStore{accounts: make(map[accountKey]*accountCopy)}
}

// Merge merges an account or a part of one into the store. Each row must be
// complete; rows that are left out stay unchanged. Of each counter the larger
// value is kept, so older copies change nothing.
func (acs *AccountStore) Merge(ac *wire.Account) {
	key := accountKey{host: ac.GetHost(), incarnation: ac.GetIncarnation()}
	acs.mu.Lock()
	defer acs.mu.Unlock()
	cp := acs.accounts[key]
	if cp == nil {
		cp = &accountCopy{zone: ac.GetZone(), rows: make(map[rowKey]rowCopy)}
		acs.accounts[key] = cp
	}
	if ac.GetSequence() > cp.sequence {
		cp.sequence = ac.GetSequence()
		acs.version++
		cp.version = acs.version
	}
	cp.atNanos = max(cp.atNanos, ac.GetAtNanos())
	for _, wr := range ac.GetRows() {
		acs.mergeRow(cp, wr)
	}
}

func (acs *AccountStore) mergeRow(cp *accountCopy, wr *wire.AccountRow) {
	key := rowKey{day: wr.GetDay(), workspace: wr.GetWorkspace(), service: wr.GetService()}
	old, ok := cp.rows[key]
	merged, changed := maxCounters(old.row, wr)
	if ok && !changed {
		return
	}
	acs.version++
	cp.version = acs.version
	cp.rows[key] = rowCopy{row: merged, version: acs.version}
}

// Accounts returns the accounts of every host with their rows of a day, sorted by
// host and incarnation. An account without rows of that day is included.
func (acs *AccountStore) Accounts(day string) []*wire.Account {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	var as []*wire.Account
	for key, cp := range acs.accounts {
		as = append(as, cp.toWire(key, func(rk rowKey, _ rowCopy) bool { return rk.day == day }))
	}
	sortAccounts(as)
	return as
}

// Forget deletes the rows of days that are no longer reported, and accounts
// without rows whose last snapshot is of such a day.
func (acs *AccountStore) Forget(now time.Time, loc *time.Location) {
	oldest := oldestRetainedDay(now, loc)
	acs.mu.Lock()
	defer acs.mu.Unlock()
	for key, cp := range acs.accounts {
		maps.DeleteFunc(cp.rows, func(rk rowKey, _ rowCopy) bool { return rk.day < oldest })
		if len(cp.rows) == 0 && DayOf(time.Unix(0, cp.atNanos), loc) < oldest {
			delete(acs.accounts, key)
		}
	}
}

// changes returns the rows of one account that changed after a version of the
// store, the current version, and whether the account has changed. The account
// is nil if it is not in the store.
func (acs *AccountStore) changes(key accountKey, after int64) (ac *wire.Account, version int64, changed bool) {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	cp := acs.accounts[key]
	if cp == nil {
		return nil, acs.version, false
	}
	ac = cp.toWire(key, func(_ rowKey, rc rowCopy) bool { return rc.version > after })
	return ac, acs.version, cp.version > after
}

func (acs *AccountStore) has(key accountKey) bool {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	return acs.accounts[key] != nil
}

func (acs *AccountStore) keys() []accountKey {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	return slices.Collect(maps.Keys(acs.accounts))
}

func (cp *accountCopy) toWire(key accountKey, include func(rowKey, rowCopy) bool) *wire.Account {
	wa := &wire.Account{
		Host: key.host, Incarnation: key.incarnation, Zone: cp.zone,
		Sequence: cp.sequence, AtNanos: cp.atNanos,
	}
	for rk, rc := range cp.rows {
		if include(rk, rc) {
			wa.Rows = append(wa.Rows, rc.row)
		}
	}
	sortRows(wa.Rows)
	return wa
}

// maxCounters returns a row with the larger value of each counter, and whether
// it differs from old, which may be nil.
func maxCounters(old, wr *wire.AccountRow) (*wire.AccountRow, bool) {
	out := &wire.AccountRow{
		Day: wr.GetDay(), Workspace: wr.GetWorkspace(), Service: wr.GetService(),
		Offered:     max(old.GetOffered(), wr.GetOffered()),
		SlotNanos:   max(old.GetSlotNanos(), wr.GetSlotNanos()),
		RegionBytes: max(old.GetRegionBytes(), wr.GetRegionBytes()),
		Repeats:     max(old.GetRepeats(), wr.GetRepeats()),
		Ended:       make(map[int32]int64, len(wr.GetEnded())),
	}
	maps.Copy(out.Ended, old.GetEnded())
	changed := out.Offered != old.GetOffered() || out.SlotNanos != old.GetSlotNanos() ||
		out.RegionBytes != old.GetRegionBytes() || out.Repeats != old.GetRepeats()
	for cd, n := range wr.GetEnded() {
		if n > out.Ended[cd] {
			out.Ended[cd] = n
			changed = true
		}
	}
	return out, changed
}

func sortRows(rows []*wire.AccountRow) {
	slices.SortFunc(rows, func(a, b *wire.AccountRow) int {
		return cmp.Or(
			cmp.Compare(a.GetDay(), b.GetDay()),
			cmp.Compare(a.GetWorkspace(), b.GetWorkspace()),
			cmp.Compare(a.GetService(), b.GetService()),
		)
	})
}

func sortAccounts(as []*wire.Account) {
	slices.SortFunc(as, func(a, b *wire.Account) int {
		return cmp.Or(cmp.Compare(a.GetHost(), b.GetHost()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
}
