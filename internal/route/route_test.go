package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/route"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func endpoints(count, slots int) []route.Endpoint {
	var eps []route.Endpoint
	for i := range count {
		eps = append(eps, route.Endpoint{Name: fmt.Sprintf("ep-%02d", i), Address: "x", Slots: slots, Connections: 60})
	}
	return eps
}

// newTable returns the table of a zone's only entry host.
func newTable(count, slots int) *route.Table {
	ta := route.New(route.Config{Host: "a", Seed: 1})
	ta.Update(endpoints(count, slots), nil)
	return ta
}

func pick(ta *route.Table, now time.Time, tried ...string) (string, bool) {
	ch, ok := ta.Pick(now, tried).(route.Chosen)
	return ch.Endpoint.Name, ok
}

// TestEachSlotHasOneOwner checks that every slot has exactly one owner among
// hosts that agree on the membership, and that a host that leaves moves only
// its own slots.
func TestEachSlotHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 8, rapid.ID).Draw(t, "hosts")
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		rest := hosts[1:]
		total := 0
		for _, ho := range hosts {
			owned := route.OwnedSlots(hosts, ho, "ep", slots)
			total += owned
			if slices.Contains(rest, ho) && route.OwnedSlots(rest, ho, "ep", slots) < owned {
				t.Fatalf("host %s lost slots when another one left", ho)
			}
		}
		if total != slots {
			t.Fatalf("the hosts own %d slots of %d", total, slots)
		}
	})
}

// TestHostsTogetherStayWithinSlots uses up the slots of all hosts of a zone.
// Each endpoint must get exactly as many requests as it has slots.
func TestHostsTogetherStayWithinSlots(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c"}
	used := make(map[string]int)
	for _, ho := range hosts {
		ta := route.New(route.Config{Host: ho, Seed: 1})
		ta.Update(endpoints(17, 8), hosts)
		for name, ok := pick(ta, epoch); ok; name, ok = pick(ta, epoch) {
			used[name]++
		}
	}
	is.Equal(len(used), 17)
	for _, n := range used {
		is.Equal(n, 8)
	}
}

// TestPickSpreadsLoad checks that requests are spread evenly over endpoints, and
// that endpoints which a request has tried are not chosen again.
func TestPickSpreadsLoad(t *testing.T) {
	is := is.New(t)
	ta := newTable(4, 8)
	used := make(map[string]int)
	for range 16 {
		name, ok := pick(ta, epoch)
		is.True(ok)
		used[name]++
	}
	for _, n := range used {
		is.Equal(n, 4)
	}
	no, ok := ta.Pick(epoch, []string{"ep-00", "ep-01", "ep-02", "ep-03"}).(route.None)
	is.True(ok)
	is.Equal(no.Rejections.String(), "tried:4")
}

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	is := is.New(t)
	ta := newTable(2, 2)
	name, _ := pick(ta, epoch)
	ta.Release(epoch, name, route.Draining{})
	is.Equal(ta.DrainingNames(), []string{name})
	is.Equal(ta.UsableSlots(epoch), 2)
	for range 2 {
		other, ok := pick(ta, epoch)
		is.True(ok)
		is.True(other != name)
	}
	_, ok := pick(ta, epoch)
	is.True(!ok)
	ta.Observe(epoch, name, route.Serving{}) // the endpoint is back in service
	_, ok = pick(ta, epoch)
	is.True(ok)
}

// TestUnreachableEndpointReturnsByProbe checks that an unreachable endpoint
// stays ejected until a probe succeeds, and then gets one request at a time
// until its probation is passed.
func TestUnreachableEndpointReturnsByProbe(t *testing.T) {
	is := is.New(t)
	ta := newTable(2, 4)
	for range 2 {
		ta.Observe(epoch, "ep-00", route.Unreachable{})
	}
	is.Equal(ta.UsableSlots(epoch), 4)
	later := epoch.Add(time.Minute)
	is.Equal(ta.UsableSlots(later), 4) // an unreachable endpoint does not return by time alone
	ta.Observe(later, "ep-00", route.Reachable{})
	is.Equal(ta.UsableSlots(later), 5) // on probation
	for range 3 {
		name, ok := pick(ta, later, "ep-01")
		is.True(ok)
		_, second := pick(ta, later, "ep-01")
		is.True(!second)
		ta.Release(later, name, route.Response{})
	}
	is.Equal(ta.UsableSlots(later), 8)
}

// TestFailingEndpointReturnsAfterBackoff checks that an endpoint whose attempts
// fail is ejected, and returns on probation without a probe.
func TestFailingEndpointReturnsAfterBackoff(t *testing.T) {
	is := is.New(t)
	ta := newTable(4, 4)
	for range 400 { // lowers the failure rate
		name, _ := pick(ta, epoch)
		ta.Release(epoch, name, route.Response{})
	}
	for range 8 {
		ta.Observe(epoch, "ep-00", route.Failed{})
	}
	is.Equal(ta.UsableSlots(epoch), 12)
	later := epoch.Add(time.Second)
	is.Equal(ta.UsableSlots(later), 13) // on probation
	ta.Observe(later, "ep-00", route.Failed{})
	is.Equal(ta.UsableSlots(later), 12) // one failure on probation ejects it again
}

// TestNeverEjectsAllEndpoints records only failures for every endpoint. At
// least one must stay in use, and at least half if they are reachable.
func TestNeverEjectsAllEndpoints(t *testing.T) {
	for name, ob := range map[string]route.Observation{
		"unreachable": route.Unreachable{},
		"broken":      route.Failed{},
		"errors":      route.Response{ServerError: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ta := newTable(10, 4)
			for range 50 {
				for _, ep := range endpoints(10, 4) {
					ta.Observe(epoch, ep.Name, ob)
				}
			}
			_, ok := pick(ta, epoch)
			is.True(ok)
			if _, unreachable := ob.(route.Unreachable); !unreachable {
				is.True(ta.UsableSlots(epoch) >= 20) // at least half
			}
		})
	}
}

// TestBadRequestsDoNotEjectEndpoints guards against endpoints that are ejected
// because of the requests of a caller, most of which fail everywhere.
func TestBadRequestsDoNotEjectEndpoints(t *testing.T) {
	is := is.New(t)
	ta := newTable(10, 4)
	for i := range 2000 {
		name, _ := pick(ta, epoch)
		ta.Release(epoch, name, route.Response{ServerError: i%4 == 3 || i > 60})
	}
	is.True(ta.UsableSlots(epoch) >= 20)
}

// TestCapacityCountsWorkInProgress checks that slots in use at a draining or
// removed endpoint stay part of the capacity.
func TestCapacityCountsWorkInProgress(t *testing.T) {
	is := is.New(t)
	ta := newTable(1, 4)
	name, _ := pick(ta, epoch)
	ta.Observe(epoch, name, route.Draining{})
	is.Equal(ta.UsableSlots(epoch), 0)
	is.Equal(ta.Capacity(epoch), 1)
	ta.Update(nil, nil) // removed from the list, still in use
	is.Equal(ta.Capacity(epoch), 1)
	ta.Release(epoch, name, route.Response{})
	is.Equal(ta.Capacity(epoch), 0)
}

// TestRetryBudget guards against retries that multiply the load of a service
// whose requests fail.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	rb := route.NewRetryBudget()
	retries := 0
	for range 10000 {
		rb.Deposit()
		for rb.TryWithdraw() {
			retries++
		}
	}
	is.True(retries <= 1010) // a tenth of the requests plus the burst
	is.True(retries >= 990)
}

func TestMayRetry(t *testing.T) {
	is := is.New(t)
	is.True(route.MayRetry(route.AttemptResult{NotRun: true}, false))
	is.True(route.MayRetry(route.AttemptResult{}, true))
	is.True(!route.MayRetry(route.AttemptResult{}, false))
	is.True(!route.MayRetry(route.AttemptResult{ResponseStarted: true}, true))
}

// TestForwardingOrder checks which zones each spill rule permits, and that zones
// of the same region come first.
func TestForwardingOrder(t *testing.T) {
	zones := []route.ForwardZone{
		{Name: "talca", Region: "chile", Hosts: []string{"t"}},
		{Name: "cusco", Region: "peru", Hosts: []string{"c"}},
		{Name: "empty", Region: "peru"},
	}
	for _, tc := range []struct {
		rule spec.Spill
		want []string
	}{
		{spec.SpillNone, nil},
		{spec.SpillRegion, []string{"c"}},
		{spec.SpillAny, []string{"c", "t"}},
	} {
		is := is.New(t)
		var got []string
		for _, ft := range route.ForwardTargets(tc.rule, "peru", zones, rand.New(rand.NewPCG(1, 1))) {
			got = append(got, ft.Host)
		}
		is.Equal(got, tc.want)
	}
}
