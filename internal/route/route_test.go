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

// newTable returns the table of a host that is alone.
func newTable(count, slots int) *route.Table {
	ta := route.New(route.Config{Host: "a", Seed: 1})
	ta.Update(endpoints(count, slots), nil)
	return ta
}

func pick(ta *route.Table, now time.Time, tried ...string) (string, bool) {
	ch, ok := ta.Pick(now, tried).(route.Chosen)
	return ch.Endpoint.Name, ok
}

// TestSlotsAreOwnedOnce checks that hosts with the same view own every slot
// exactly once, and that a host that leaves moves only its own slots.
func TestSlotsAreOwnedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 8, rapid.ID).Draw(t, "hosts")
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		rest := hosts[1:]
		total := 0
		for _, ho := range hosts {
			owned := route.Owned(hosts, ho, "ep", slots)
			total += owned
			if slices.Contains(rest, ho) && route.Owned(rest, ho, "ep", slots) < owned {
				t.Fatalf("host %s lost slots when another one left", ho)
			}
		}
		if total != slots {
			t.Fatalf("%d slots are owned of %d", total, slots)
		}
	})
}

// TestHostsTogetherKeepToSlots fills the tables of all hosts of a zone.
func TestHostsTogetherKeepToSlots(t *testing.T) {
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
	is.Equal(no.Losers.String(), "tried:4")
}

func TestLeavingGetsNothing(t *testing.T) {
	is := is.New(t)
	ta := newTable(2, 2)
	name, _ := pick(ta, epoch)
	ta.Done(epoch, name, route.Leaves{})
	is.Equal(ta.Leaving(), []string{name})
	is.Equal(ta.Usable(epoch), 2)
	for range 2 {
		other, ok := pick(ta, epoch)
		is.True(ok)
		is.True(other != name)
	}
	_, ok := pick(ta, epoch)
	is.True(!ok)
	ta.Probed(epoch, name, route.Live{}) // it has changed its mind
	_, ok = pick(ta, epoch)
	is.True(ok)
}

// TestUnreachableReturnsByProbe puts an endpoint aside and brings it back with
// one request at a time.
func TestUnreachableReturnsByProbe(t *testing.T) {
	is := is.New(t)
	ta := newTable(2, 4)
	for range 2 {
		ta.Probed(epoch, "ep-00", route.Unreachable{})
	}
	is.Equal(ta.Usable(epoch), 4)
	later := epoch.Add(time.Minute)
	is.Equal(ta.Usable(later), 4) // time alone does not bring it back
	ta.Probed(later, "ep-00", route.Reachable{})
	is.Equal(ta.Usable(later), 5) // on probation
	for range 3 {
		name, ok := pick(ta, later, "ep-01")
		is.True(ok)
		_, second := pick(ta, later, "ep-01")
		is.True(!second)
		ta.Done(later, name, route.Answered{})
	}
	is.Equal(ta.Usable(later), 8)
}

func TestFaultyReturnsByBackoff(t *testing.T) {
	is := is.New(t)
	ta := newTable(4, 4)
	for range 400 { // a healthy past
		name, _ := pick(ta, epoch)
		ta.Done(epoch, name, route.Answered{})
	}
	for range 8 {
		ta.Probed(epoch, "ep-00", route.Broken{})
	}
	is.Equal(ta.Usable(epoch), 12)
	later := epoch.Add(time.Second)
	is.Equal(ta.Usable(later), 13) // on probation
	ta.Probed(later, "ep-00", route.Broken{})
	is.Equal(ta.Usable(later), 12) // one more failure suffices
}

// TestNeverAllAside gives every endpoint the worst evidence.
func TestNeverAllAside(t *testing.T) {
	for name, ev := range map[string]route.Evidence{
		"unreachable": route.Unreachable{},
		"broken":      route.Broken{},
		"errors":      route.Answered{ServerError: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ta := newTable(10, 4)
			for range 50 {
				for _, ep := range endpoints(10, 4) {
					ta.Probed(epoch, ep.Name, ev)
				}
			}
			_, ok := pick(ta, epoch)
			is.True(ok)
			if _, hard := ev.(route.Unreachable); !hard {
				is.True(ta.Usable(epoch) >= 20) // at least half
			}
		})
	}
}

// TestBadRequestsDoNotCondemnEndpoints fails nearly every request everywhere,
// as one caller's bad requests would.
func TestBadRequestsDoNotCondemnEndpoints(t *testing.T) {
	is := is.New(t)
	ta := newTable(10, 4)
	for i := range 2000 {
		name, _ := pick(ta, epoch)
		ta.Done(epoch, name, route.Answered{ServerError: i%4 == 3 || i > 60})
	}
	is.True(ta.Usable(epoch) >= 20)
}

// TestCapacityCountsWorkInProgress keeps the slots in use at an endpoint that
// takes nothing new.
func TestCapacityCountsWorkInProgress(t *testing.T) {
	is := is.New(t)
	ta := newTable(1, 4)
	name, _ := pick(ta, epoch)
	ta.Probed(epoch, name, route.Leaves{})
	is.Equal(ta.Usable(epoch), 0)
	is.Equal(ta.Capacity(epoch), 1)
	ta.Update(nil, nil) // off the list, and still in use
	is.Equal(ta.Capacity(epoch), 1)
	ta.Done(epoch, name, route.Answered{})
	is.Equal(ta.Capacity(epoch), 0)
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	bu := route.NewBudget()
	repeated := 0
	for range 10000 {
		bu.First()
		for bu.Spend() {
			repeated++
		}
	}
	is.True(repeated <= 1010) // a tenth, and the burst
	is.True(repeated >= 990)
}

func TestMayRepeat(t *testing.T) {
	is := is.New(t)
	is.True(route.MayRepeat(route.Attempt{NotRun: true}, false))
	is.True(route.MayRepeat(route.Attempt{}, true))
	is.True(!route.MayRepeat(route.Attempt{}, false))
	is.True(!route.MayRepeat(route.Attempt{Answered: true}, true))
}

func TestSpill(t *testing.T) {
	zones := []route.Zone{
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
		for _, hop := range route.Spill(tc.rule, "peru", zones, rand.New(rand.NewPCG(1, 1))) {
			got = append(got, hop.Host)
		}
		is.Equal(got, tc.want)
	}
}
