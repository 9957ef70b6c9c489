package drive_test

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// refusingStore refuses every write of one key.
type refusingStore struct {
	store.TxnStore
	key string
}

// maxHold is the longest time in calm for which an accepted job may have nothing
// running although a task of it could run.
const maxHold = 3 * time.Second

// Commit implements store.TxnStore.
func (rs refusingStore) Commit(ctx context.Context, tx store.Txn) (store.Revision, []store.Entry, error) {
	if slices.ContainsFunc(tx.Puts, func(pu store.Put) bool { return pu.Key == rs.key }) {
		return 0, nil, store.ErrTooLarge
	}
	return rs.TxnStore.Commit(ctx, tx)
}

// TestRefusedRecordHoldsNoOtherJob makes the store refuse the record of one job. It
// guards against the records of all other jobs, and so their starts, waiting for a
// commit that never succeeds.
func TestRefusedRecordHoldsNoOtherJob(t *testing.T) {
	is := is.New(t)
	si := newSite(t, 1)
	sc := drive.New(time.Now(), drive.Config{
		Host: "h", Cores: 1, Store: refusingStore{si.store.Client(t, time.Second), batch.ProgressKey("refused")}, Workers: si.workers,
		Log: slog.New(slog.DiscardHandler), Layout: runsim.Layout(),
	})
	kvsim.Background(t, func(ctx context.Context) error {
		sc.Run(ctx)
		return nil
	})
	kvsim.Eventually(t, sc.IsLeader)
	si.submit("refused", 1)
	time.Sleep(500 * time.Millisecond)
	si.submit("other", 1)
	for until := time.Now().Add(maxHold); si.state("other") != batch.Done && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(si.state("other"), batch.Done)
	si.checkInvariants()
}
