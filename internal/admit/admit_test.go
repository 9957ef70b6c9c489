package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/admit"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// load is a constant rate of requests from one caller.
type load struct {
	workspace string
	caller    string
	urgency   int
	every     time.Duration
}

// result counts the outcomes of the requests of a load.
type result struct {
	offered      int
	served       int
	refusedLater int // refused after being queued
	waits        []time.Duration
}

// simulate offers loads to a controller for a given length of virtual time.
// Every request takes the same service time. It returns one result per load.
func simulate(t testing.TB, co *admit.Controller, service, length time.Duration, loads ...load) []result {
	const step = time.Millisecond
	results := make([]result, len(loads))
	loadOf := make(map[uint64]int) // index of the load, by request ID
	ends := make(map[time.Duration][]uint64)
	next := make([]time.Duration, len(loads))
	queued := make(map[uint64]bool)
	id := uint64(0)
	apply := func(at time.Duration, ds []admit.Decision) {
		for _, de := range ds {
			re := &results[loadOf[de.Subject().ID]]
			switch de := de.(type) {
			case admit.Admitted:
				re.served++
				re.waits = append(re.waits, de.Waited)
				ends[at+service] = append(ends[at+service], de.ID)
			case admit.Queued:
				queued[de.ID] = true
			case admit.Refused:
				if queued[de.ID] {
					re.refusedLater++
				}
			}
		}
		if co.InUse() > co.Capacity() {
			t.Fatalf("%d slots in use of %d", co.InUse(), co.Capacity())
		}
	}
	for at := time.Duration(0); at < length; at += step {
		now := epoch.Add(at)
		for _, done := range ends[at] {
			apply(at, co.Release(now, done))
		}
		apply(at, co.Expire(now))
		for i, lo := range loads {
			for ; next[i] <= at; next[i] += lo.every {
				id++
				loadOf[id] = i
				results[i].offered++
				apply(at, co.Offer(now, admit.Request{
					ID: id, Workspace: lo.workspace, Caller: lo.caller, Urgency: lo.urgency, Deadline: now.Add(5 * time.Second),
				}))
			}
		}
	}
	return results
}

func newController(slots int, shares ...admit.Share) *admit.Controller {
	co := admit.New(admit.Config{MaxQueue: 200, QueueTime: time.Second, Seed: 1})
	co.SetShares(shares)
	co.Resize(epoch, slots)
	return co
}

func (re result) rate() float64 { return float64(re.served) / float64(re.offered) }

// wait returns a quantile of the queueing times of the served requests.
func (re result) wait(quantile float64) time.Duration {
	slices.Sort(re.waits)
	return re.waits[int(quantile*float64(len(re.waits)-1))]
}

// TestFloodBarelyDelaysOtherWorkspaces guards against a flood that holds every
// slot until the next batch of requests ends. All requests take equally long,
// so the 48 slots tend to be released at the same time.
func TestFloodBarelyDelaysOtherWorkspaces(t *testing.T) {
	for _, times := range []int{2, 5, 10} {
		t.Run(fmt.Sprintf("%d times", times), func(t *testing.T) {
			is := is.New(t)
			co := newController(48, admit.Share{Workspace: "hotels", Weight: 1}, admit.Share{Workspace: "parish", Slots: 4, Weight: 1})
			// 48 slots at 50 ms serve 960 a second.
			re := simulate(
				t, co, 50*time.Millisecond, 10*time.Second,
				load{"hotels", "flood", 2, time.Second / time.Duration(960*times)},
				load{"parish", "a", 0, 4 * time.Millisecond},
			)
			t.Logf("served %d and %d of 9600, refused after being queued %d, wait of parish %v, of hotels %v", re[0].served, re[1].served, re[0].refusedLater, re[1].wait(0.99), re[0].wait(0.99))
			is.True(re[1].rate() >= 0.99)
			is.True(re[1].wait(0.99) <= 12500*time.Microsecond) // a quarter of the service time
			is.True(re[0].served+re[1].served >= 9120)          // 95% of the capacity
		})
	}
}

// TestFloodDoesNotStarveOtherWorkspaces floods the controller at ten times its
// capacity, with requests of the highest and of the lowest urgency.
func TestFloodDoesNotStarveOtherWorkspaces(t *testing.T) {
	for _, urgency := range []int{0, admit.MaxUrgency} {
		t.Run(fmt.Sprintf("urgency %d", urgency), func(t *testing.T) {
			is := is.New(t)
			co := newController(
				10,
				admit.Share{Workspace: "hotels", Weight: 1},
				admit.Share{Workspace: "parish", Weight: 1},
				admit.Share{Workspace: "chapel", Slots: 2, Weight: 1},
			)
			// Ten slots at 50 ms serve 200 a second.
			re := simulate(
				t, co, 50*time.Millisecond, 10*time.Second,
				load{"hotels", "flood", urgency, 500 * time.Microsecond},
				load{"parish", "a", 1, 40 * time.Millisecond},
				load{"chapel", "b", 0, 40 * time.Millisecond},
			)
			is.True(re[1].rate() >= 0.99)
			is.True(re[2].rate() >= 0.99)
			is.True(re[1].wait(0.5) <= 50*time.Millisecond)
			total := re[0].served + re[1].served + re[2].served
			is.True(total >= 1900) // of a capacity of 2000
		})
	}
}

// TestFairnessAmongCallers guards against a caller that takes the slots of the
// other callers of its workspace by a high rate and a high urgency.
func TestFairnessAmongCallers(t *testing.T) {
	is := is.New(t)
	co := newController(10, admit.Share{Workspace: "parish", Weight: 1})
	loads := []load{{"parish", "large", 2, time.Millisecond}}
	for i := range 10 {
		loads = append(loads, load{"parish", fmt.Sprintf("small-%d", i), 0, 50 * time.Millisecond})
	}
	re := simulate(t, co, 50*time.Millisecond, 10*time.Second, loads...)
	// The fair share of each of the 11 callers is 18 requests a second; the
	// small ones send 20.
	sum, squares := 0.0, 0.0
	for _, small := range re[1:] {
		sum += small.rate()
		squares += small.rate() * small.rate()
	}
	is.True(sum/10 >= 0.85)
	is.True(sum*sum/(10*squares) >= 0.95) // Jain's fairness index
}

// TestGuaranteedSlotsAreServedFirst guards against a workspace that takes the
// slots guaranteed to another one by its higher weight and urgency.
func TestGuaranteedSlotsAreServedFirst(t *testing.T) {
	is := is.New(t)
	co := newController(10, admit.Share{Workspace: "hotels", Slots: 7, Weight: 1}, admit.Share{Workspace: "parish", Weight: 5})
	re := simulate(
		t, co, 50*time.Millisecond, 10*time.Second,
		load{"hotels", "a", 0, 2 * time.Millisecond},
		load{"parish", "b", 2, 2 * time.Millisecond},
	)
	is.True(re[0].served >= 1400) // 7 of 10 slots
	is.True(re[1].served >= 400)
}

// TestUrgencyOrdersWithinCaller checks that one caller's queued requests are
// admitted by urgency, and by age if they are equally urgent.
func TestUrgencyOrdersWithinCaller(t *testing.T) {
	is := is.New(t)
	co := newController(1, admit.Share{Workspace: "parish", Weight: 1})
	offer := func(id uint64, urgency int) admit.Decision {
		return co.Offer(epoch, admit.Request{ID: id, Workspace: "parish", Caller: "a", Urgency: urgency})[0]
	}
	_, ok := offer(1, 0).(admit.Admitted)
	is.True(ok)
	offer(2, 0)
	offer(3, 1)
	offer(4, 2)
	offer(5, 2)
	var order []uint64
	for running := uint64(1); len(order) < 4; {
		ds := co.Release(epoch, running)
		running = ds[0].Subject().ID
		order = append(order, running)
	}
	is.Equal(order, []uint64{4, 5, 3, 2})
}

// TestLowUrgencyIsNotStarvedWithinCaller guards against urgent requests of a
// caller that use all of its slots, so that its other requests never run.
func TestLowUrgencyIsNotStarvedWithinCaller(t *testing.T) {
	is := is.New(t)
	co := newController(4, admit.Share{Workspace: "parish", Weight: 1})
	re := simulate(
		t, co, 20*time.Millisecond, 5*time.Second,
		load{"parish", "a", 2, 2 * time.Millisecond},
		load{"parish", "a", 0, 50 * time.Millisecond},
	)
	is.True(re[1].served > 0)
}

// TestInfeasibleRequestIsRefusedImmediately guards against requests that are
// queued although they can't get a slot before their deadline. The retry-after
// times must differ, so that the refused callers do not retry at the same time.
func TestInfeasibleRequestIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	co := newController(1, admit.Share{Workspace: "parish", Weight: 1})
	simulate(t, co, 400*time.Millisecond, 5*time.Second, load{"parish", "a", 0, 100 * time.Millisecond})
	now := epoch.Add(5 * time.Second)
	waits := make(map[time.Duration]bool)
	for id := range uint64(50) {
		ds := co.Offer(now, admit.Request{ID: 1000 + id, Workspace: "parish", Caller: "a", Deadline: now.Add(100 * time.Millisecond)})
		re, ok := ds[0].(admit.Refused)
		is.True(ok)
		is.Equal(re.Err.Code.Class(), codes.NotRun)
		is.True(re.Err.RetryAfter >= 400*time.Millisecond) // at least one service time
		is.True(re.Err.RetryAfter < 10*time.Second)
		waits[re.Err.RetryAfter] = true
	}
	is.True(len(waits) > 25) // jitter
}

func TestRequestPastItsDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	co := newController(1)
	re, ok := co.Offer(epoch, admit.Request{ID: 1, Deadline: epoch})[0].(admit.Refused)
	is.True(ok)
	is.Equal(re.Err.Code, codes.DeadlinePassed)
}

// TestInvariants applies random operations to a controller: the capacity is
// never exceeded, no slot is free while a request is queued, and each request
// gets exactly one final decision.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		co := admit.New(admit.Config{MaxQueue: 8, QueueTime: 100 * time.Millisecond, Seed: 1})
		co.SetShares([]admit.Share{{Workspace: "a", Slots: 1.5, Weight: 2}, {Workspace: "b", Weight: 1}})
		now := epoch
		state := make(map[uint64]string)
		var running []uint64
		apply := func(ds []admit.Decision) {
			for _, de := range ds {
				id := de.Subject().ID
				if state[id] == "final" {
					t.Fatalf("request %d got a second final decision", id)
				}
				switch de.(type) {
				case admit.Queued:
					state[id] = "queued"
				case admit.Admitted:
					state[id] = "final"
					running = append(running, id)
				case admit.Refused:
					state[id] = "final"
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 100).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				apply(co.Resize(now, rapid.IntRange(0, 4).Draw(t, "slots")))
			case 1:
				apply(co.Expire(now))
			case 2:
				if len(running) > 0 {
					apply(co.Release(now, running[0]))
					running = running[1:]
				}
			default:
				apply(co.Offer(now, admit.Request{
					ID:        id,
					Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Caller:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller"),
					Urgency:   rapid.IntRange(0, 2).Draw(t, "urgency"),
					Deadline:  now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "left")) * time.Millisecond),
				}))
			}
			if co.QueueLength() > 8 || co.InUse() != len(running) || (co.QueueLength() > 0 && co.InUse() < co.Capacity()) {
				t.Fatalf("%d queued, %d slots in use of %d, %d running", co.QueueLength(), co.InUse(), co.Capacity(), len(running))
			}
		}
		queued := 0
		for _, st := range state {
			if st == "queued" {
				queued++
			}
		}
		if queued != co.QueueLength() {
			t.Fatalf("%d requests have no final decision, but %d are queued", queued, co.QueueLength())
		}
		apply(co.Expire(now.Add(time.Second)))
		if co.QueueLength() != 0 {
			t.Fatal("requests are queued for longer than the queue time")
		}
	})
}

// TestFloodIsRefusedWithoutWaiting floods a controller whose queue is bounded
// by time only, while another workspace takes slots that the wait estimates did
// not account for. At most one request in 1000 may be refused after being queued.
func TestFloodIsRefusedWithoutWaiting(t *testing.T) {
	is := is.New(t)
	co := admit.New(admit.Config{MaxQueue: 100000, QueueTime: time.Second, Seed: 1})
	co.SetShares([]admit.Share{{Workspace: "hotels", Weight: 1}, {Workspace: "parish", Slots: 4, Weight: 1}})
	co.Resize(epoch, 32)
	re := simulate(
		t, co, 100*time.Millisecond, 10*time.Second,
		load{"hotels", "flood", 0, 700 * time.Microsecond},
		load{"parish", "a", 0, 20 * time.Millisecond},
	)
	t.Logf("offered %d, served %d, refused after being queued %d", re[0].offered, re[0].served, re[0].refusedLater)
	is.True(re[0].refusedLater*1000 <= re[0].offered)
	is.True(re[0].served+re[1].served >= 3040) // 95% of the capacity
}
