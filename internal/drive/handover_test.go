package drive_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/runsim"
)

// slowLog is a log handler that takes so long for each line that the leader
// falls behind.
type slowLog struct{ slog.Handler }

func (sl slowLog) Handle(context.Context, slog.Record) error {
	time.Sleep(25 * time.Millisecond)
	return nil
}

func (sl slowLog) WithAttrs([]slog.Attr) slog.Handler { return sl }

// slowHost runs a scheduler that makes at most 40 decisions a second, since it
// logs each.
func (si *site) slowHost(name string, cores float64) {
	sc := drive.New(time.Now(), drive.Config{
		Host: name, Cores: cores, Store: si.store.Client(si.t, time.Second), Workers: si.workers,
		Log: slog.New(slowLog{slog.NewTextHandler(&bytes.Buffer{}, nil)}), Layout: runsim.Layout(),
	})
	kvsim.Background(si.t, func(ctx context.Context) error {
		sc.Run(ctx)
		return nil
	})
}

// TestOverloadedLeaderHandsOver overloads a weak leader. A strong host that
// starts later must take over; one of equal strength must not.
func TestOverloadedLeaderHandsOver(t *testing.T) {
	for _, tt := range []struct {
		name  string
		cores float64 // of the host that starts later
		want  string
	}{
		{name: "strong", cores: 0.8, want: "later"},
		{name: "equal", cores: 0.2, want: "weak"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			si := newSite(t, 4)
			si.slowHost("weak", 0.2)
			kvsim.Eventually(t, func() bool { return si.leader() == "weak" })
			si.hostWithCores("later", tt.cores)
			deadline := time.Now().Add(9 * time.Second)
			for i := 0; time.Now().Before(deadline) && si.leader() == "weak"; i++ {
				si.submit("j"+time.Now().Format("05.000000"), 4)
				time.Sleep(100 * time.Millisecond)
			}
			kvsim.Eventually(t, func() bool { return si.leader() != "" })
			is.Equal(si.leader(), tt.want)
			si.checkInvariants()
		})
	}
}
