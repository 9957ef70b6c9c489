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

// stepStore causes a fault at one of the calls that an apply makes.
type stepStore struct {
	store.Store
	calls int
	at    int
	fault stepFault
	rival func()
	ended bool // the host was killed: nothing more gets through
}

// stepFault is what happens at the call.
type stepFault string

const (
	storeRefuses    stepFault = "store down for a moment"
	storeGone       stepFault = "store down for good"
	answerLost      stepFault = "answer lost after the effect"
	requestLost     stepFault = "call lost before the effect"
	hostKilled      stepFault = "host killed before the call"
	hostKilledLater stepFault = "host killed after the call"
	operatorRaces   stepFault = "another operator applies first"
)

var stepFaults = []stepFault{storeRefuses, storeGone, answerLost, requestLost, hostKilled, hostKilledLater, operatorRaces}

// around makes one call with the fault if it is its turn.
func (ss *stepStore) around(call func() error) error {
	at := ss.calls
	ss.calls++
	if ss.ended {
		return store.ErrUnavailable
	}
	if at != ss.at {
		return call()
	}
	switch ss.fault {
	case storeRefuses:
		return store.ErrUnavailable
	case storeGone, hostKilled:
		ss.ended = true
		return store.ErrUnavailable
	case answerLost, hostKilledLater:
		ss.ended = ss.fault == hostKilledLater
		if err := call(); err != nil {
			return err
		}
		return store.ErrLost
	case requestLost:
		return store.ErrLost
	default:
		ss.rival()
		return call()
	}
}

// Get implements store.Store.
func (ss *stepStore) Get(ctx context.Context, key string) (en store.Entry, rev store.Revision, err error) {
	err = ss.around(func() error { en, rev, err = ss.Store.Get(ctx, key); return err })
	return en, rev, err
}

// List implements store.Store.
func (ss *stepStore) List(ctx context.Context, prefix string) (ens []store.Entry, rev store.Revision, err error) {
	err = ss.around(func() error { ens, rev, err = ss.Store.List(ctx, prefix); return err })
	return ens, rev, err
}

// Swap implements store.Store.
func (ss *stepStore) Swap(ctx context.Context, req store.SwapRequest) (en store.Entry, err error) {
	err = ss.around(func() error { en, err = ss.Store.Swap(ctx, req); return err })
	return en, err
}

// TestApplyUnderEveryFaultAtEveryCall applies small and large files, with each
// fault at each call to the store in turn.
func TestApplyUnderEveryFaultAtEveryCall(t *testing.T) {
	for size, content := range map[string][]byte{"small": variant("next"), "large": large("next")} {
		for _, fault := range stepFaults {
			t.Run(fmt.Sprintf("%s/%s", size, fault), func(t *testing.T) {
				t.Parallel()
				at := 0
				for faultAtCall(t, content, fault, at) {
					at++
				}
				is.New(t).True(at >= 2) // at the read and the swap of the manifest at least
			})
		}
	}
}

// faultAtCall applies a file over another with a fault at one call. False means
// that there was no such call.
func faultAtCall(t *testing.T, content []byte, fault stepFault, at int) bool {
	t.Helper()
	is := is.New(t)
	_, clean := start(t)
	first, _, err := apply(t.Context(), clean, "ana", variant("first"))
	is.NoErr(err)
	rival := variant("rival")
	ss := &stepStore{Store: clean, at: at, fault: fault}
	ss.rival = func() {
		_, _, err := apply(t.Context(), clean, "eva", rival)
		is.NoErr(err)
	}
	told, _, err := apply(t.Context(), ss, "ana", content)
	now := inForce(t, clean)
	t.Logf("call %d: told %v, revision %d in force", at, err, now.Revision)

	isNew := bytes.Equal(now.Content, content)
	isRival := bytes.Equal(now.Content, rival)
	is.True(isNew || isRival || bytes.Equal(now.Content, first.Content)) // whole, never a part
	is.True(now.Revision >= first.Revision)
	if er := codes.Of(err); er == nil {
		is.True(isNew || (isRival && now.Revision > told.Revision))
	} else if er.Code.Class() == codes.NotRun {
		is.True(!isNew)
	}
	again, _, err := apply(t.Context(), clean, "ana", content)
	is.NoErr(err) // whatever was left behind does no harm
	is.True(again.Revision >= now.Revision)
	is.True(bytes.Equal(inForce(t, clean).Content, content))
	return ss.calls > at
}

// inForce returns what a host that starts now adopts.
func inForce(t *testing.T, st store.Store) conf.Current {
	t.Helper()
	fo := follow(t, conf.FollowerConfig{Store: st})
	kvsim.Eventually(t, func() bool { return fo.Current() != nil })
	return *fo.Current()
}
