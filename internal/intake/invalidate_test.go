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

// fakeStore stores the version of a policy. It is unavailable while down is
// set.
type fakeStore struct {
	store.TxnStore
	version int
	down    bool
}

func (fs *fakeStore) Get(context.Context, string) (store.Entry, store.Revision, error) {
	if fs.down {
		return store.Entry{}, 0, store.ErrUnavailable
	}
	return store.Entry{Key: "policy", Value: []byte(strconv.Itoa(fs.version)), Revision: store.Revision(fs.version)}, 1, nil
}

// TestPolicyIsInvalidatedByForwardedDecision guards against a host that decides
// a call by its own, older policy after it has passed on the decision that
// another host made by a newer policy.
func TestPolicyIsInvalidatedByForwardedDecision(t *testing.T) {
	is := is.New(t)
	fs := &fakeStore{version: 1}
	in := intake.New(intake.Config{
		Store: fs, Decode: decodePolicy, MaxPolicyAge: 3 * time.Second, Log: slog.New(slog.DiscardHandler),
	})
	authorize := func(up time.Duration) error {
		_, err := in.Authorize(t.Context(), up, "h", "/job", "")
		return err
	}
	is.NoErr(authorize(time.Second))
	fs.down = true
	is.NoErr(authorize(3 * time.Second)) // within MaxPolicyAge
	in.InvalidatePolicy(3 * time.Second)
	cause, ok := intake.CauseOf(authorize(3100 * time.Millisecond))
	is.True(ok)
	is.Equal(cause, intake.PolicyUnconfirmed)
	fs.version, fs.down = 2, false
	err := authorize(10 * time.Second)
	is.True(err != nil)
	is.Equal(codes.Of(err).Code, codes.PathNotFound) // by the policy in force
	is.Equal(in.Ready(10*time.Second), true)
}
