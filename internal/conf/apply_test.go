package conf_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const file = `timeZone: America/Lima
zones:
  - name: a-1
    region: a
    racks:
      - {name: r1, workers: 2, accelerators: 8, cores: 64, memoryGiB: 128}
`

var noon = time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)

func start(t *testing.T) (*kvsim.Server, *store.Client) {
	t.Helper()
	sv := kvsim.Start(t, kvsim.Config{})
	return sv, sv.Client(t, kvsim.Timeout)
}

// variant returns a valid file that differs from other variants.
func variant(name string) []byte { return []byte(file + "# " + name + "\n") }

// large returns a valid file that is larger than store.MaxValue.
func large(name string) []byte {
	return []byte(file + "# " + name + strings.Repeat("\n# "+strings.Repeat("filler ", 1000), store.MaxValue/7000) + "\n")
}

func apply(ctx context.Context, st store.Store, by string, content []byte) (conf.AcceptedFile, bool, error) {
	return conf.Apply(ctx, noon, st, conf.ApplyRequest{File: "f.yaml", Content: content, By: by})
}

func TestApplyIncrementsTheRevision(t *testing.T) {
	is := is.New(t)
	_, st := start(t)
	one, unchanged, err := apply(t.Context(), st, "ana", variant("1"))
	is.NoErr(err)
	is.True(!unchanged)
	is.Equal(one.Revision, int64(1))
	is.Equal(one.Declarations.Zones[0].Name, "a-1")

	same, unchanged, err := apply(t.Context(), st, "eva", variant("1"))
	is.NoErr(err)
	is.True(unchanged)
	is.Equal(same.Revision, int64(1))
	is.Equal(same.AppliedBy, "ana")

	two, _, err := apply(t.Context(), st, "eva", variant("2"))
	is.NoErr(err)
	is.Equal(two.Revision, int64(2))
	is.True(one.Since.Equal(noon))
	is.True(two.Since.Equal(noon)) // the time of the first file
}

func TestApplyRejectsInvalidFiles(t *testing.T) {
	is := is.New(t)
	sv, st := start(t)
	_, _, err := apply(t.Context(), st, "ana", []byte("zones: 7\n"))
	var faults spec.Faults
	is.Equal(codes.Of(err).Code, codes.InvalidDeclaration)
	is.True(errors.As(err, &faults))

	_, _, err = conf.Apply(t.Context(), noon, st, conf.ApplyRequest{
		File: "f.yaml", Content: variant("1"),
		Check: func(doc *spec.Document) spec.Faults { return spec.Faults{doc.Fault("$.zones", "too few")} },
	})
	is.Equal(codes.Of(err).Code, codes.InvalidDeclaration)
	is.True(strings.Contains(err.Error(), "too few"))
	is.Equal(sv.Calls().Total(), int64(0))
}

func TestApplyComparesTheExpectedRevision(t *testing.T) {
	is := is.New(t)
	_, st := start(t)
	_, _, err := apply(t.Context(), st, "ana", variant("1"))
	is.NoErr(err)
	seen := int64(0)
	cur, _, err := conf.Apply(t.Context(), noon, st, conf.ApplyRequest{
		File: "f.yaml", Content: variant("2"), Expect: &seen, By: "eva",
	})
	is.Equal(codes.Of(err).Code, codes.RevisionConflict)
	is.Equal(cur.Revision, int64(1))
	is.Equal(cur.AppliedBy, "ana")
	is.True(strings.Contains(err.Error(), "revision 1 by ana"))
}

func TestApplyStoresLargeFilesInChunks(t *testing.T) {
	is := is.New(t)
	_, st := start(t)
	ctx := t.Context()
	for i := range 3 {
		content := large(fmt.Sprint(i))
		_, _, err := apply(ctx, st, "ana", content)
		is.NoErr(err)
		fo := follow(t, conf.FollowerConfig{Store: st})
		kvsim.Eventually(t, func() bool { return fo.Current() != nil })
		is.Equal(string(fo.Current().Content), string(content))
		ents, _, err := st.List(ctx, "config/chunk/")
		is.NoErr(err)
		is.Equal(len(ents), len(content)/(store.MaxValue/2)+1) // none of earlier files
	}
}

func TestApplyUnderFaults(t *testing.T) {
	tests := []struct {
		name     string
		content  []byte
		faults   kvsim.Faults
		want     codes.Code
		accepted bool
	}{
		{"store down", variant("2"), kvsim.Faults{Down: true}, codes.StoreUnavailable, false},
		{"reply lost", variant("2"), kvsim.Faults{LoseAnswers: 1}, codes.Applied, true},
		{"every reply lost", variant("2"), kvsim.Faults{LoseAnswers: 1000}, codes.Applied, true},
		{"replies to chunk writes lost", large("2"), kvsim.Faults{LoseAnswers: 3}, codes.Applied, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sv, st := start(t)
			_, _, err := apply(t.Context(), st, "ana", variant("1"))
			is.NoErr(err)
			sv.SetFaults(tt.faults)
			_, _, err = apply(t.Context(), st, "eva", tt.content)
			if tt.want == codes.Applied {
				is.NoErr(err)
			} else {
				is.Equal(codes.Of(err).Code, tt.want)
			}
			sv.SetFaults(kvsim.Faults{})
			_, unchanged, err := apply(t.Context(), st, "eva", tt.content)
			is.NoErr(err)
			is.Equal(unchanged, tt.accepted)
		})
	}
}

func TestApplyIsUnknownIfTheStoreGoesDownDuringTheSwap(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		t.Run(fmt.Sprintf("accepted=%t", accepted), func(t *testing.T) {
			is := is.New(t)
			sv, cl := start(t)
			st := kvsim.HookedStore{Store: cl, OnSwap: func(ctx context.Context, _ store.Store, req store.SwapRequest) (store.Entry, error) {
				if accepted {
					_, err := cl.Swap(ctx, req)
					is.NoErr(err)
				}
				sv.SetFaults(kvsim.Faults{Down: true})
				return store.Entry{}, store.ErrOutcomeUnknown
			}}
			_, _, err := apply(t.Context(), st, "ana", variant("1"))
			is.Equal(codes.Of(err).Code, codes.ApplyUnknown)
		})
	}
}

func TestApplyRecognizesItsReplacedManifest(t *testing.T) {
	is := is.New(t)
	_, cl := start(t)
	st := kvsim.HookedStore{Store: cl, OnSwap: func(ctx context.Context, _ store.Store, req store.SwapRequest) (store.Entry, error) {
		_, err := cl.Swap(ctx, req)
		is.NoErr(err)
		_, _, err = apply(ctx, cl, "eva", variant("2"))
		is.NoErr(err)
		return store.Entry{}, store.ErrOutcomeUnknown
	}}
	cur, unchanged, err := apply(t.Context(), st, "ana", variant("1"))
	is.NoErr(err)
	is.True(!unchanged)
	is.Equal(cur.Revision, int64(1))
	is.Equal(cur.AppliedBy, "ana")
}

func TestChunksOfARejectedApplyAreDeleted(t *testing.T) {
	is := is.New(t)
	_, cl := start(t)
	st := kvsim.HookedStore{Store: cl, OnSwap: func(ctx context.Context, _ store.Store, req store.SwapRequest) (store.Entry, error) {
		if req.Key == conf.ManifestKey {
			_, _, err := apply(ctx, cl, "eva", large("1")) // shares some chunks with the rejected file
			is.NoErr(err)
		}
		return cl.Swap(ctx, req)
	}}
	_, _, err := apply(t.Context(), st, "ana", large("2"))
	is.Equal(codes.Of(err).Code, codes.RevisionConflict)
	ents, _, err := cl.List(t.Context(), "config/chunk/")
	is.NoErr(err)
	is.Equal(len(ents), len(large("1"))/(store.MaxValue/2)+1)
	fo := follow(t, conf.FollowerConfig{Store: cl})
	kvsim.Eventually(t, func() bool { return fo.Current() != nil }) // all chunks of the accepted file exist
}
