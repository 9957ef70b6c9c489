package report_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// memStore is an in-memory store. Swaps take effect and return fault.
type memStore struct {
	store.Store
	entries map[string]store.Entry
	last    store.Revision
	fault   error
}

// Get implements store.Store.
func (ms *memStore) Get(_ context.Context, key string) (store.Entry, store.Revision, error) {
	return ms.entries[key], ms.last, nil
}

// List implements store.Store.
func (ms *memStore) List(_ context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	var ents []store.Entry
	for key, ent := range ms.entries {
		if strings.HasPrefix(key, prefix) {
			ents = append(ents, ent)
		}
	}
	slices.SortFunc(ents, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return ents, ms.last, nil
}

// Swap implements store.Store.
func (ms *memStore) Swap(_ context.Context, rq store.SwapRequest) (store.Entry, error) {
	if ms.entries[rq.Key].Revision != rq.Expect {
		return ms.entries[rq.Key], store.ErrConflict
	}
	ms.last++
	if rq.Value == nil {
		delete(ms.entries, rq.Key)
	} else {
		ms.entries[rq.Key] = store.Entry{Key: rq.Key, Value: rq.Value, Revision: ms.last}
	}
	return ms.entries[rq.Key], ms.fault
}

// TestArchiveSurvivesTheLossOfEveryHost kills all hosts of a zone and reads the
// archived accounts in another zone.
func TestArchiveSurvivesTheLossOfEveryHost(t *testing.T) {
	for name, fault := range map[string]error{"no fault": nil, "reply lost": store.ErrOutcomeUnknown} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cl *cluster) {
				is := is.New(t)
				ms := &memStore{entries: map[string]store.Entry{}, fault: fault}
				archive := func(ch *clusterHost, zone string) *report.Archive {
					return report.NewArchive(report.ArchiveConfig{
						Store: ms, Zone: zone, Replicator: ch.replicator, Location: func() *time.Location { return time.UTC },
					})
				}
				a, b := cl.start("a", "lima"), cl.start("b", "lima")
				day := report.DayOf(time.Now(), time.UTC)
				a.account.Offer(time.Now(), "w", "orders").End(report.Outcome{Code: codes.RequestDone})
				b.account.Offer(time.Now(), "w", "orders").End(report.Outcome{Code: codes.RequestDone})
				b.account.Offer(time.Now(), "w", "orders")
				is.True(errors.Is(archive(a, "lima").Save(t.Context(), time.Now()), fault))
				cl.killAll()

				// A new host of the zone has no counters and must not reset the archive.
				c := cl.start("c", "lima")
				c.account.Offer(time.Now(), "w", "orders").End(report.Outcome{Code: codes.RequestDone})
				is.True(errors.Is(archive(c, "lima").Save(t.Context(), time.Now()), fault))
				accounts, err := archive(cl.start("d", "cusco"), "cusco").Read(t.Context(), day)
				is.NoErr(err)
				offered := int64(0)
				for _, ac := range accounts {
					for _, row := range ac.GetRows() {
						offered += row.GetOffered()
					}
				}
				is.Equal(offered, int64(4))
				is.Equal(len(accounts), 3)

				is.True(errors.Is(archive(c, "lima").Save(t.Context(), time.Now().AddDate(0, 0, 9)), fault))
				accounts, err = archive(c, "lima").Read(t.Context(), day)
				is.NoErr(err)
				is.Equal(len(accounts), 0) // old days are deleted
			})
		})
	}
}
