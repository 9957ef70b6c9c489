package intake_test

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/intake"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// downStore holds the version of a policy, and answers nothing while it is down.
type downStore struct {
	store.Committer
	version int
	down    bool
}

func (ds *downStore) Get(context.Context, string) (store.Entry, store.Revision, error) {
	if ds.down {
		return store.Entry{}, 0, store.ErrUnavailable
	}
	return store.Entry{Key: "policy", Value: []byte(strconv.Itoa(ds.version)), Revision: store.Revision(ds.version)}, 1, nil
}

// TestPolicyIsDoubtedAfterAnotherHostHasJudged guards against a host that answers
// by its own, older policy after it has passed on an answer by a newer one.
func TestPolicyIsDoubtedAfterAnotherHostHasJudged(t *testing.T) {
	is := is.New(t)
	ds := &downStore{version: 1}
	in := intake.New(intake.Config{
		Store: ds, Decode: decodePolicy, TrustFor: 3 * time.Second, Log: slog.New(slog.DiscardHandler),
	})
	open := func(up time.Duration) error {
		_, err := in.Open(t.Context(), up, "h", "/job", "")
		return err
	}
	is.NoErr(open(time.Second))
	ds.down = true
	is.NoErr(open(3 * time.Second)) // the policy may still be relied on
	in.Doubt(3 * time.Second)
	cause, ok := intake.CauseOf(open(3100 * time.Millisecond))
	is.True(ok)
	is.Equal(cause, intake.PolicyUnconfirmed)
	ds.version, ds.down = 2, false
	err := open(10 * time.Second)
	is.True(err != nil)
	is.Equal(codes.Of(err).Code, codes.PathNotFound) // by the policy in force
	is.Equal(in.Ready(10*time.Second), true)
}
