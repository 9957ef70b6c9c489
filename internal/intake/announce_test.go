package intake_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/intake"
)

// TestOnlyOwnWritesAreAnnounced guards against an announced job that differs from
// the stored one. A submission under the ID of a stored job has accepted nothing.
func TestOnlyOwnWritesAreAnnounced(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	sv.Put("policy", []byte("1"))
	var notices []batch.Notice
	in := intake.New(intake.Config{
		Store: sv.Client(t, time.Second), PolicyKey: "policy", Decode: decodePolicy, MaxPolicyAge: 3 * time.Second,
		Log: slog.New(slog.DiscardHandler), Announce: func(no batch.Notice) { notices = append(notices, no) },
	})
	ctx := context.Background()
	submit := func(payload string) {
		ac, err := in.Authorize(ctx, 0, "h", "/j", "")
		is.NoErr(err)
		is.NoErr(in.Submit(ctx, 0, ac, batch.Job{ID: "j", Queue: ac.Queue, Payload: payload, Steps: []batch.Step{{Tasks: 1}}}))
	}
	submit("first")
	submit("second")
	is.Equal(len(notices), 1)
	is.Equal(notices[0].Job.Payload, "first")
	en, _, err := sv.Client(t, time.Second).Get(ctx, batch.JobKey("j"))
	is.NoErr(err)
	is.Equal(notices[0].Revision, int64(en.Revision))

	is.NoErr(in.Cancel(ctx, 0, intake.Access{}, "j"))
	is.Equal(len(notices), 2)
	is.Equal(notices[1].Cancelled, "j")
}
