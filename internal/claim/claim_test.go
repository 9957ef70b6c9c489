package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/claim"
	"github.com/cicadawharf/cicadawharf/internal/fakes/kvsim"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// host is the Table of one entry host, which runs until the test ends.
type host struct {
	*claim.Table
	stop func()
}

func start(t *testing.T, sv *kvsim.Server, cf claim.Config) host {
	t.Helper()
	return startWith(t, sv, kvsim.Timeout, cf)
}

func startWith(t *testing.T, sv *kvsim.Server, timeout time.Duration, cf claim.Config) host {
	t.Helper()
	cf.Store = sv.Client(t, timeout)
	return run(t, cf)
}

func run(t *testing.T, cf claim.Config) host {
	t.Helper()
	if cf.WritesPerSecond == 0 {
		cf.WritesPerSecond = 10_000
	}
	if cf.MaxBatchWait == 0 {
		cf.MaxBatchWait = time.Millisecond
	}
	cf.MaxOutcomeWait = 20 * cf.MaxBatchWait
	tb := claim.New(cf)
	return host{tb, kvsim.Background(t, tb.Run)}
}

func newClaim(key, request string) claim.Claim {
	return claim.Claim{Workspace: "w", Key: key, Digest: "d", Request: request}
}

func TestEveryHostSeesAPriorClaim(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	one, two := start(t, sv, claim.Config{Host: "h1"}), start(t, sv, claim.Config{Host: "h2"})
	ctx := t.Context()
	first := newClaim("k", "r1")

	prior, err := one.Acquire(ctx, first)
	is.NoErr(err)
	is.True(prior == nil)
	for i, ho := range []host{one, two} {
		prior, err = ho.Acquire(ctx, newClaim("k", fmt.Sprint("again", i)))
		is.NoErr(err)
		is.Equal(*prior, first)
	}
	other := newClaim("k", "r4")
	other.Digest = "another"
	prior, err = two.Acquire(ctx, other)
	is.NoErr(err)
	is.True(prior.Digest != other.Digest)

	other.Workspace = "w2"
	prior, err = two.Acquire(ctx, other)
	is.NoErr(err)
	is.True(prior == nil) // keys are scoped to a workspace

	first.Code = codes.RequestDone
	is.NoErr(one.SetOutcome(ctx, first))
	kvsim.Eventually(t, func() bool {
		prior, err := two.Acquire(ctx, newClaim("k", "r5"))
		return err == nil && prior.Code == codes.RequestDone
	})
}

func TestOutcomeNotRunReleasesTheClaim(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	one, two := start(t, sv, claim.Config{Host: "h1"}), start(t, sv, claim.Config{Host: "h2"})
	first := newClaim("k", "r1")
	_, err := one.Acquire(t.Context(), first)
	is.NoErr(err)
	notHolder := newClaim("k", "r2")
	notHolder.Code = codes.EndpointBusy
	is.NoErr(two.SetOutcome(t.Context(), notHolder)) // ignored: not the holder
	prior, err := two.Acquire(t.Context(), newClaim("k", "r3"))
	is.NoErr(err)
	is.True(prior != nil)
	first.Code = codes.EndpointBusy
	is.NoErr(one.SetOutcome(t.Context(), first))
	kvsim.Eventually(t, func() bool {
		prior, err := two.Acquire(t.Context(), newClaim("k", "r4"))
		return err == nil && prior == nil
	})
}

func TestExpiredClaimsAreDeleted(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	acquire := func(at time.Duration, key string) *claim.Claim {
		ho := start(t, sv, claim.Config{
			Host: "h1", TTL: time.Hour, Buckets: 1,
			Clock: func() time.Time { return time.Now().Add(at) },
		})
		defer ho.stop()
		prior, err := ho.Acquire(t.Context(), newClaim(key, "r1"))
		is.NoErr(err)
		return prior
	}
	is.True(acquire(0, "a") == nil)
	is.True(acquire(30*time.Minute, "a") != nil)
	size := func() int { value, _ := sv.Value("claims/0000"); return len(value) }
	before := size()
	is.True(acquire(2*time.Hour, "b") == nil)
	is.Equal(size(), before) // the claim of key a was dropped
	is.True(acquire(2*time.Hour, "a") == nil)
}

func TestStoreCallsGrowWithBatches(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	ho := start(t, sv, claim.Config{Host: "h1", Buckets: 4, MaxBatchWait: 50 * time.Millisecond})
	const requests = 400
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			if prior, err := ho.Acquire(t.Context(), newClaim(fmt.Sprint("k", i), fmt.Sprint("r", i))); prior != nil || err != nil {
				t.Error(prior, err)
			}
		})
	}
	wg.Wait()
	is.True(sv.Calls().Total() < requests/4)
}

func TestWriteRateIsLimited(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	ho := start(t, sv, claim.Config{Host: "h1", Buckets: 64, WritesPerSecond: 20})
	began := time.Now()
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() { _, _ = ho.Acquire(t.Context(), newClaim(fmt.Sprint("k", i), "r")) })
	}
	wg.Wait()
	is.True(float64(sv.Calls().Txn) <= 20*time.Since(began).Seconds()+1)
}

func TestPendingOutcomesAreWrittenOnShutdown(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	one := start(t, sv, claim.Config{Host: "h1", MaxBatchWait: 10 * time.Millisecond})
	cl := newClaim("k", "r1")
	_, err := one.Acquire(t.Context(), cl)
	is.NoErr(err)
	cl.Code = codes.RequestDone
	is.NoErr(one.SetOutcome(t.Context(), cl))
	one.stop()
	prior, err := start(t, sv, claim.Config{Host: "h2"}).Acquire(t.Context(), newClaim("k", "r2"))
	is.NoErr(err)
	is.Equal(prior.Code, codes.RequestDone)
	_, err = one.Acquire(t.Context(), newClaim("other", "r3"))
	is.Equal(codes.Of(err).Code, codes.Stopping)
}

func TestAcquireUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults kvsim.Faults
		want   error
	}{
		{"reply lost", kvsim.Faults{LoseAnswers: 1}, nil},
		{"every reply lost", kvsim.Faults{LoseAnswers: 1000}, nil},
		{"write dropped", kvsim.Faults{RefuseFirst: 1}, nil},
		{"store down", kvsim.Faults{Down: true}, codes.New(codes.StoreUnavailable, "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sv := kvsim.Start(t, kvsim.Config{})
			ho := start(t, sv, claim.Config{Host: "h1", Buckets: 1})
			_, err := ho.Acquire(t.Context(), newClaim("before", "r0")) // fills the cache
			is.NoErr(err)
			sv.SetFaults(tt.faults)
			prior, err := ho.Acquire(t.Context(), newClaim("k", "r1"))
			is.True(prior == nil)
			is.Equal(err == nil, tt.want == nil)
			if tt.want != nil {
				is.Equal(codes.Of(err).Code, codes.Of(tt.want).Code)
			}
			sv.SetFaults(kvsim.Faults{})
			// A claim whose Acquire failed is released, whether or not it was written.
			kvsim.Eventually(t, func() bool {
				prior, err := ho.Acquire(t.Context(), newClaim("k", "r2"))
				return err == nil && (prior == nil) == (tt.want != nil)
			})
		})
	}
}

// TestLateWriteOfAFailedAcquireIsFencedOff checks that a write that reaches the
// store after Acquire has failed doesn't replace the claim of another request.
func TestLateWriteOfAFailedAcquireIsFencedOff(t *testing.T) {
	is := is.New(t)
	const timeout = 100 * time.Millisecond
	sv := kvsim.Start(t, kvsim.Config{})
	ho := startWith(t, sv, timeout, claim.Config{Host: "h1", Buckets: 1})
	kvsim.Eventually(t, func() bool { _, err := ho.Acquire(t.Context(), newClaim("before", "r0")); return err == nil })
	sv.SetFaults(kvsim.Faults{Slow: 10 * timeout})
	_, err := ho.Acquire(t.Context(), newClaim("k", "r1"))
	is.Equal(codes.Of(err).Code, codes.StoreUnavailable)
	sv.SetFaults(kvsim.Faults{})
	two := start(t, sv, claim.Config{Host: "h2", Buckets: 1})
	kvsim.Eventually(t, func() bool {
		prior, err := two.Acquire(t.Context(), newClaim("k", "r2"))
		return err == nil && prior == nil
	})
	time.Sleep(12 * timeout) // until the late write has reached the store
	prior, err := two.Acquire(t.Context(), newClaim("k", "r3"))
	is.NoErr(err)
	is.Equal(prior.Request, "r2")
}

// TestAbandonedAcquireIsReleased cancels an Acquire while its claim is being
// written. The claim must not block the key.
func TestAbandonedAcquireIsReleased(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	ctx, cancel := context.WithCancel(t.Context())
	returned, stored := make(chan struct{}), make(chan struct{})
	var once sync.Once
	one := run(t, claim.Config{Host: "h1", Store: kvsim.HookedStore{Store: sv.Client(t, kvsim.Timeout), OnSwap: func(
		ctx context.Context, st store.Store, req store.SwapRequest,
	) (store.Entry, error) {
		cancel()
		<-returned
		ent, err := st.Swap(ctx, req)
		once.Do(func() { close(stored) })
		return ent, err
	}}})
	_, err := one.Acquire(ctx, newClaim("k", "r1"))
	is.Equal(codes.Of(err).Code, codes.StoreUnavailable)
	close(returned)
	<-stored
	two := start(t, sv, claim.Config{Host: "h2"})
	kvsim.Eventually(t, func() bool {
		prior, err := two.Acquire(t.Context(), newClaim("k", "r2"))
		return err == nil && prior == nil
	})
}

// TestStoredClaimOfAFailedAcquireIsReleased takes the store down after it has
// performed a write and before its reply. A claim that stayed would reject every
// retry of the request until it expires.
func TestStoredClaimOfAFailedAcquireIsReleased(t *testing.T) {
	is := is.New(t)
	sv := kvsim.Start(t, kvsim.Config{})
	var once sync.Once
	one := run(t, claim.Config{Host: "h1", Store: kvsim.HookedStore{Store: sv.Client(t, kvsim.Timeout), OnSwap: func(
		ctx context.Context, st store.Store, req store.SwapRequest,
	) (store.Entry, error) {
		ent, err := st.Swap(ctx, req)
		once.Do(func() {
			sv.SetFaults(kvsim.Faults{Down: true})
			ent, err = store.Entry{}, store.ErrOutcomeUnknown
		})
		return ent, err
	}}})
	_, err := one.Acquire(t.Context(), newClaim("k", "r1"))
	is.Equal(codes.Of(err).Code, codes.StoreUnavailable)
	sv.SetFaults(kvsim.Faults{})
	two := start(t, sv, claim.Config{Host: "h2"})
	kvsim.Eventually(t, func() bool {
		prior, err := two.Acquire(t.Context(), newClaim("k", "r2"))
		return err == nil && prior == nil
	})
}

// TestKeysAreClaimedAtMostOnce makes two hosts claim the same keys concurrently
// while replies are lost and calls fail.
func TestKeysAreClaimedAtMostOnce(t *testing.T) {
	const keys, maxRetries = 60, 3
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			sv := kvsim.Start(t, kvsim.Config{})
			var mu sync.Mutex
			holders := map[string][]string{}
			var wg sync.WaitGroup
			for i := range 2 {
				name := fmt.Sprint("h", i)
				ho := start(t, sv, claim.Config{Host: name, Buckets: 2})
				for key := range keys {
					wg.Go(func() {
						cl := newClaim(fmt.Sprint("k", key), name)
						prior, err := ho.Acquire(t.Context(), cl)
						for try := 0; err != nil && try < maxRetries; try++ {
							cl.Request = fmt.Sprint(name, try)
							prior, err = ho.Acquire(t.Context(), cl)
						}
						if err != nil || prior != nil {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						holders[cl.Key] = append(holders[cl.Key], cl.Request)
					})
				}
			}
			rnd := rand.New(rand.NewPCG(seed, seed))
			for range 20 {
				sv.SetFaults(kvsim.Faults{LoseAnswers: rnd.IntN(4), RefuseFirst: rnd.IntN(4), Down: rnd.IntN(4) == 0})
				time.Sleep(time.Duration(rnd.IntN(4)) * time.Millisecond)
			}
			sv.SetFaults(kvsim.Faults{})
			wg.Wait()
			is.True(len(holders) > 0)
			check := start(t, sv, claim.Config{Host: "check", Buckets: 2})
			for key, requests := range holders {
				is.Equal(len(requests), 1)
				prior, err := check.Acquire(t.Context(), newClaim(key, "check"))
				is.NoErr(err)
				is.True(prior != nil)
				is.Equal(prior.Request, requests[0])
			}
		})
	}
}
