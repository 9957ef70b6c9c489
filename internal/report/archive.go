package report

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

type (
	// ArchiveConfig configures an Archive.
	ArchiveConfig struct {
		Store      store.Store
		Zone       string
		Replicator *Replicator
		IsLeader   func() bool           // whether this host is the zone's leader
		Location   func() *time.Location // time zone of the days
		Every      time.Duration         // interval of writes; ArchiveEvery if zero
		Log        *slog.Logger
	}

	// Archive saves the accounts of a zone's hosts in the platform's store, one
	// value per day, so that losing all hosts of the zone loses at most one
	// interval of counters. Only the host that is the zone's leader writes,
	// so the number of calls doesn't grow with hosts or work. Two hosts that
	// both consider themselves the leader do no harm, since a value is only
	// replaced by a merge of itself with other accounts.
	Archive struct {
		cfg ArchiveConfig
	}
)

// ArchiveEvery is the default interval between two writes of a zone.
const ArchiveEvery = time.Minute

const archivePrefix = "accounts/"

// NewArchive returns an archive that writes nothing until Run or Save.
func NewArchive(cfg ArchiveConfig) *Archive {
	if cfg.Every <= 0 {
		cfg.Every = ArchiveEvery
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Archive{cfg: cfg}
}

// Run saves the accounts at every interval until ctx ends.
func (ar *Archive) Run(ctx context.Context) error {
	ticker := time.NewTicker(ar.cfg.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if !ar.cfg.IsLeader() {
				continue
			}
			if err := ar.Save(ctx, now); err != nil {
				ar.cfg.Log.Warn("archiving the accounts failed", "event", "archive", "zone", ar.cfg.Zone, "error", err)
			}
		}
	}
}

// Save writes the counters of the zone's hosts for the current day and for the
// one before, whose last counters may have arrived late. It deletes days that
// are no longer reported. It stops at the first error of the store; the next call
// writes what is missing.
func (ar *Archive) Save(ctx context.Context, now time.Time) error {
	loc := ar.cfg.Location()
	for _, at := range []time.Time{now.In(loc).AddDate(0, 0, -1), now} {
		if err := ar.saveDay(ctx, now, DayOf(at, loc)); err != nil {
			return err
		}
	}
	return ar.deleteOldDays(ctx, oldestRetainedDay(now, loc))
}

// saveDay merges the accounts of the zone's hosts into the value of a day.
func (ar *Archive) saveDay(ctx context.Context, now time.Time, day string) error {
	inZone := func(me peers.Member) bool { return me.Zone == ar.cfg.Zone }
	accounts, _ := ar.cfg.Replicator.collect(ctx, now, day, inZone)
	key := archiveKey(day, ar.cfg.Zone)
	ent, _, err := ar.cfg.Store.Get(ctx, key)
	if err != nil {
		return merry.Prepend(err, key)
	}
	merged, err := mergeAccounts(ent.Value, accounts, day)
	if err != nil {
		return merry.Prepend(err, key)
	}
	if len(merged) == 0 || string(merged) == string(ent.Value) {
		return nil
	}
	// An unknown outcome needs no handling: the next write merges again.
	_, err = ar.cfg.Store.Swap(ctx, store.SwapRequest{Key: key, Value: merged, Expect: ent.Revision})
	return merry.Prepend(err, key)
}

// Read returns the archived accounts of a day, of every zone. The error is one of
// the store or reports a value that can't be decoded.
func (ar *Archive) Read(ctx context.Context, day string) ([]*wire.Account, error) {
	ents, _, err := ar.cfg.Store.List(ctx, archivePrefix+day+"/")
	if err != nil {
		return nil, merry.Prepend(err, "archived accounts")
	}
	var accounts []*wire.Account
	for _, ent := range ents {
		var li wire.AccountList
		if err := proto.Unmarshal(ent.Value, &li); err != nil {
			return nil, merry.Prepend(err, ent.Key)
		}
		accounts = append(accounts, li.GetAccounts()...)
	}
	return accounts, nil
}

// deleteOldDays deletes the zone's values of days before the oldest retained
// day.
func (ar *Archive) deleteOldDays(ctx context.Context, oldest string) error {
	ents, _, err := ar.cfg.Store.List(ctx, archivePrefix)
	if err != nil {
		return merry.Prepend(err, "archived accounts")
	}
	for _, ent := range ents {
		day, zone, ok := strings.Cut(strings.TrimPrefix(ent.Key, archivePrefix), "/")
		if !ok || zone != ar.cfg.Zone || day >= oldest {
			continue
		}
		if _, err := ar.cfg.Store.Swap(ctx, store.SwapRequest{Key: ent.Key, Expect: ent.Revision}); err != nil {
			return merry.Prepend(err, ent.Key)
		}
	}
	return nil
}

// mergeAccounts merges the accounts of a stored value with others, for one day,
// and encodes the result. It is empty if nothing was counted.
func mergeAccounts(value []byte, accounts []*wire.Account, day string) ([]byte, error) {
	var li wire.AccountList
	if err := proto.Unmarshal(value, &li); err != nil {
		return nil, err
	}
	acs := NewAccountStore()
	counted := false
	for _, ac := range append(li.GetAccounts(), accounts...) {
		acs.Merge(ac)
		counted = counted || len(ac.GetRows()) > 0
	}
	if !counted {
		return nil, nil
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.AccountList{Accounts: acs.Accounts(day)})
}

func archiveKey(day, zone string) string { return archivePrefix + day + "/" + zone }
