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
	// ArchiveConfig describes an Archive.
	ArchiveConfig struct {
		Store    store.Store
		Zone     string
		Exchange *Exchange
		Writes   func() bool           // whether this host writes for its zone now
		Location func() *time.Location // in which days are cut
		Every    time.Duration         // ArchiveEvery if zero
		Log      *slog.Logger
	}

	// Archive keeps the accounts of a zone's hosts in the platform's store, one
	// value a day, so that the loss of every host of the zone costs one interval
	// at most. Only the host that schedules the zone writes, so that the calls
	// do not grow with hosts or work. Two that both take themselves for it do
	// no harm: a value is only replaced by its union with what is known.
	Archive struct {
		cfg ArchiveConfig
	}
)

// ArchiveEvery is the time between two writes of a zone.
const ArchiveEvery = time.Minute

const archivePrefix = "accounts/"

// NewArchive returns an archive that writes nothing until Run.
func NewArchive(cfg ArchiveConfig) *Archive {
	if cfg.Every <= 0 {
		cfg.Every = ArchiveEvery
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Archive{cfg: cfg}
}

// Run writes at every interval until ctx ends.
func (ar *Archive) Run(ctx context.Context) error {
	ticker := time.NewTicker(ar.cfg.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if !ar.cfg.Writes() {
				continue
			}
			if err := ar.Save(ctx, now); err != nil {
				ar.cfg.Log.Warn("accounts were not archived", "event", "archive", "zone", ar.cfg.Zone, "error", err)
			}
		}
	}
}

// Save writes what the zone's hosts have counted of the running day and of the
// one before, whose last counters may have come late, and drops days that are
// not reported any more.
func (ar *Archive) Save(ctx context.Context, now time.Time) error {
	loc := ar.cfg.Location()
	for _, at := range []time.Time{now.In(loc).AddDate(0, 0, -1), now} {
		if err := ar.saveDay(ctx, now, DayOf(at, loc)); err != nil {
			return err
		}
	}
	return ar.deleteOldDays(ctx, oldestRetainedDay(now, loc))
}

func (ar *Archive) saveDay(ctx context.Context, now time.Time, day string) error {
	inZone := func(me peers.Member) bool { return me.Zone == ar.cfg.Zone }
	accounts, _ := ar.cfg.Exchange.collect(ctx, now, day, inZone)
	key := archiveKey(day, ar.cfg.Zone)
	en, _, err := ar.cfg.Store.Get(ctx, key)
	if err != nil {
		return merry.Prepend(err, key)
	}
	merged, err := mergeAccounts(en.Value, accounts, day)
	if err != nil {
		return merry.Prepend(err, key)
	}
	if len(merged) == 0 || string(merged) == string(en.Value) {
		return nil
	}
	// A lost answer needs no settling: the next write unites again.
	_, err = ar.cfg.Store.Swap(ctx, store.SwapRequest{Key: key, Value: merged, Expect: en.Revision})
	return merry.Prepend(err, key)
}

// Read returns the archived accounts of a day, of every zone.
func (ar *Archive) Read(ctx context.Context, day string) ([]*wire.Account, error) {
	ens, _, err := ar.cfg.Store.List(ctx, archivePrefix+day+"/")
	if err != nil {
		return nil, merry.Prepend(err, "archived accounts")
	}
	var accounts []*wire.Account
	for _, en := range ens {
		var li wire.AccountList
		if err := proto.Unmarshal(en.Value, &li); err != nil {
			return nil, merry.Prepend(err, en.Key)
		}
		accounts = append(accounts, li.GetAccounts()...)
	}
	return accounts, nil
}

// deleteOldDays deletes the zone's values of days before the oldest.
func (ar *Archive) deleteOldDays(ctx context.Context, oldest string) error {
	ens, _, err := ar.cfg.Store.List(ctx, archivePrefix)
	if err != nil {
		return merry.Prepend(err, "archived accounts")
	}
	for _, en := range ens {
		day, zone, ok := strings.Cut(strings.TrimPrefix(en.Key, archivePrefix), "/")
		if !ok || zone != ar.cfg.Zone || day >= oldest {
			continue
		}
		if _, err := ar.cfg.Store.Swap(ctx, store.SwapRequest{Key: en.Key, Expect: en.Revision}); err != nil {
			return merry.Prepend(err, en.Key)
		}
	}
	return nil
}

// mergeAccounts encodes the accounts of a value together with others, of one day. It
// is empty if nothing was counted.
func mergeAccounts(value []byte, accounts []*wire.Account, day string) ([]byte, error) {
	var li wire.AccountList
	if err := proto.Unmarshal(value, &li); err != nil {
		return nil, err
	}
	le := NewLedger()
	counted := false
	for _, ac := range append(li.GetAccounts(), accounts...) {
		le.Merge(ac)
		counted = counted || len(ac.GetRows()) > 0
	}
	if !counted {
		return nil, nil
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.AccountList{Accounts: le.Accounts(day)})
}

func archiveKey(day, zone string) string { return archivePrefix + day + "/" + zone }
