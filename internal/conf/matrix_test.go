package conf_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// faultyStore injects a fault at one of the calls that an apply makes, number
// faultAt, counted from zero.
type faultyStore struct {
	store.Store
	calls           int
	faultAt         int
	fault           callFault
	concurrentApply func()
	down            bool // all further calls fail
}

// callFault is the fault injected at a call.
type callFault string

const (
	storeRefusesOnce callFault = "store down for one call"
	storeDown        callFault = "store down permanently"
	replyLost        callFault = "reply lost after the effect"
	requestLost      callFault = "call lost before the effect"
	hostKilled       callFault = "host killed before the call"
	hostKilledAfter  callFault = "host killed after the call"
	operatorRaces    callFault = "another operator applies first"
)

var callFaults = []callFault{storeRefusesOnce, storeDown, replyLost, requestLost, hostKilled, hostKilledAfter, operatorRaces}

// intercept makes one call, with the fault if it is call number fs.faultAt.
func (fs *faultyStore) intercept(call func() error) error {
	at := fs.calls
	fs.calls++
	if fs.down {
		return store.ErrUnavailable
	}
	if at != fs.faultAt {
		return call()
	}
	switch fs.fault {
	case storeRefusesOnce:
		return store.ErrUnavailable
	case storeDown, hostKilled:
		fs.down = true
		return store.ErrUnavailable
	case replyLost, hostKilledAfter:
		fs.down = fs.fault == hostKilledAfter
		if err := call(); err != nil {
			return err
		}
		return store.ErrOutcomeUnknown
	case requestLost:
		return store.ErrOutcomeUnknown
	default:
		fs.concurrentApply()
		return call()
	}
}

// Get implements store.Store.
func (fs *faultyStore) Get(ctx context.Context, key string) (ent store.Entry, rev store.Revision, err error) {
	err = fs.intercept(func() error { ent, rev, err = fs.Store.Get(ctx, key); return err })
	return ent, rev, err
}

// List implements store.Store.
func (fs *faultyStore) List(ctx context.Context, prefix string) (ents []store.Entry, rev store.Revision, err error) {
	err = fs.intercept(func() error { ents, rev, err = fs.Store.List(ctx, prefix); return err })
	return ents, rev, err
}

// Swap implements store.Store.
func (fs *faultyStore) Swap(ctx context.Context, req store.SwapRequest) (ent store.Entry, err error) {
	err = fs.intercept(func() error { ent, err = fs.Store.Swap(ctx, req); return err })
	return ent, err
}

// TestApplyUnderEveryFaultAtEveryCall applies small and large files and injects
// each fault at each call to the store.
func TestApplyUnderEveryFaultAtEveryCall(t *testing.T) {
	for size, content := range map[string][]byte{"small": variant("next"), "large": large("next")} {
		for _, fault := range callFaults {
			t.Run(fmt.Sprintf("%s/%s", size, fault), func(t *testing.T) {
				t.Parallel()
				at := 0
				for faultAtCall(t, content, fault, at) {
					at++
				}
				is.New(t).True(at >= 2) // at least the read and the swap of the manifest
			})
		}
	}
}

// faultAtCall replaces a file by another with a fault at call number at, counted
// from zero, and reports whether the apply made that call.
func faultAtCall(t *testing.T, content []byte, fault callFault, at int) bool {
	t.Helper()
	is := is.New(t)
	_, clean := start(t)
	first, _, err := apply(t.Context(), clean, "ana", variant("first"))
	is.NoErr(err)
	rival := variant("rival")
	fs := &faultyStore{Store: clean, faultAt: at, fault: fault}
	fs.concurrentApply = func() {
		_, _, err := apply(t.Context(), clean, "eva", rival)
		is.NoErr(err)
	}
	reported, _, err := apply(t.Context(), fs, "ana", content)
	cur := inForce(t, clean)
	t.Logf("call %d: error %v, revision %d in force", at, err, cur.Revision)

	isNew := bytes.Equal(cur.Content, content)
	isRival := bytes.Equal(cur.Content, rival)
	is.True(isNew || isRival || bytes.Equal(cur.Content, first.Content)) // one whole file, never a part
	is.True(cur.Revision >= first.Revision)
	// Success means that the file is in force or was replaced; NotRun means that it isn't.
	if er := codes.Of(err); er == nil {
		is.True(isNew || (isRival && cur.Revision > reported.Revision))
	} else if er.Code.Class() == codes.NotRun {
		is.True(!isNew)
	}
	again, _, err := apply(t.Context(), clean, "ana", content)
	is.NoErr(err) // leftover chunks don't interfere
	is.True(again.Revision >= cur.Revision)
	is.True(bytes.Equal(inForce(t, clean).Content, content))
	return fs.calls > at
}

// inForce returns the declarations that a newly started host adopts.
func inForce(t *testing.T, st store.Store) conf.AcceptedFile {
	t.Helper()
	fo := follow(t, conf.FollowerConfig{Store: st})
	kvsim.Eventually(t, func() bool { return fo.Current() != nil })
	return *fo.Current()
}
