package remote_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/remote"
)

var (
	self = remote.Member{Name: "h0", Address: "10.0.0.1:1", Zone: "a1", Region: "a", Started: 1}
	noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
)

func others(zone, region string, count int) []remote.Member {
	var members []remote.Member
	for i := range count {
		name := fmt.Sprintf("%s-%d", zone, i)
		members = append(members, remote.Member{Name: name, Address: name + ":1", Zone: zone, Region: region, Started: 5})
	}
	return members
}

// TestRosterIsBoundedAndDiverse guards against a roster that grows with the
// domain, or that holds only hosts of the same zone, which lose the store
// together.
func TestRosterIsBoundedAndDiverse(t *testing.T) {
	is := is.New(t)
	ro := remote.NewRoster(self)
	all := append(append(others("a1", "a", 20), others("a2", "a", 20)...), others("b1", "b", 20)...)
	ro.Replace(noon, append(all, self))
	counts := map[string]int{}
	for _, me := range ro.Members() {
		counts[me.Zone]++
	}
	is.Equal(counts, map[string]int{"a1": 5, "a2": 4, "b1": 3})
	ro.Replace(noon, others("a1", "a", 20)) // space that other distances don't use
	is.Equal(len(ro.Members()), 12)
	other := remote.NewRoster(remote.Member{Name: "h1", Zone: "a1", Region: "a"})
	other.Replace(noon, others("a1", "a", 20))
	is.True(other.Members()[0] != ro.Members()[0] || other.Members()[1] != ro.Members()[1]) // hosts prefer different ones
}

// TestRosterTracksRestarts guards against calls to the address of a former
// incarnation of a host, and to hosts that are missing from the list in the
// store.
func TestRosterTracksRestarts(t *testing.T) {
	is := is.New(t)
	ro := remote.NewRoster(self)
	old := remote.Member{Name: "h1", Address: "10.0.0.2:1", Zone: "a1", Region: "a", Started: 5}
	later := old
	later.Address, later.Started = "10.0.0.3:1", 6
	ro.Replace(noon, []remote.Member{old})
	ro.RecordFailure(noon, old)
	ro.Merge(noon, []remote.Member{later, {Name: "no address"}})
	me, ok := ro.Choose(noon, nil) // failures of the former incarnation don't count
	is.True(ok)
	is.Equal(me, later)
	ro.Merge(noon, []remote.Member{old})
	is.Equal(ro.Members(), []remote.Member{later})
	ro.Replace(noon, others("a1", "a", 1))
	is.Equal(ro.Members(), others("a1", "a", 1))
	ro.Merge(noon.Add(time.Hour), []remote.Member{later})
	is.Equal(ro.Members(), []remote.Member{later}) // the other entry has expired
}

// TestRosterChoose guards against a second attempt in a zone that has lost the
// store as a whole, and against trying unresponsive hosts again at once.
func TestRosterChoose(t *testing.T) {
	is := is.New(t)
	ro := remote.NewRoster(self)
	ro.Replace(noon, append(append(others("a1", "a", 2), others("a2", "a", 1)...), others("b1", "b", 1)...))
	first, _ := ro.Choose(noon, nil)
	is.Equal(first.Zone, "a1")
	second, _ := ro.Choose(noon, []remote.Member{first})
	is.Equal(second.Zone, "a2")
	ro.RecordFailure(noon, first)
	ro.RecordRefusal(noon, second, time.Hour)
	third, _ := ro.Choose(noon, nil)
	is.True(third.Zone == "a1" && third != first)
	ro.RecordFailure(noon, third)
	last, _ := ro.Choose(noon, nil)
	is.Equal(last.Zone, "b1")
	ro.RecordFailure(noon, last)
	_, ok := ro.Choose(noon.Add(time.Second), nil)
	is.True(!ok)
	again, ok := ro.Choose(noon.Add(2*time.Second), nil)
	is.True(ok)
	is.Equal(again, first)
	ro.RecordSuccess(last) // it is preferred to nearer ones that failed
	again, _ = ro.Choose(noon.Add(2*time.Second), nil)
	is.Equal(again, last)
	again, _ = ro.Choose(noon.Add(11*time.Second), nil)
	is.Equal(again, first)
	ro.RecordFailure(noon, last)
	ro.Replace(noon, ro.Members()) // a new list keeps recorded failures
	_, ok = ro.Choose(noon.Add(time.Second), nil)
	is.True(!ok)
}
