package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/route"
)

// zone simulates entry hosts that share endpoints with the same number of
// slots. Each request takes one step of 200 ms.
type zone struct {
	tables []*route.Table
	inUse  map[string]int
	slots  int
	now    time.Time
}

func newZone(count, slots int, hosts ...string) *zone {
	zn := &zone{inUse: make(map[string]int), slots: slots, now: epoch}
	for _, ho := range hosts {
		ta := route.New(route.Config{Host: ho, Seed: 1})
		ta.Update(endpoints(count, slots), hosts)
		zn.tables = append(zn.tables, ta)
	}
	return zn
}

// step lets each host send up to its demand of requests. It returns how many of
// them ran and how many were refused by an endpoint without a free slot, by
// host.
func (zn *zone) step(demand ...int) (ran, refused []int) {
	ran, refused = make([]int, len(demand)), make([]int, len(demand))
	type running struct {
		host     int
		endpoint string
	}
	var all []running
	for sent := true; sent; {
		sent = false
		for ho, ta := range zn.tables {
			if ran[ho]+refused[ho] >= demand[ho] {
				continue
			}
			name, ok := pick(ta, zn.now)
			if !ok {
				continue
			}
			sent = true
			if zn.inUse[name] == zn.slots {
				refused[ho]++
				ta.Release(zn.now, name, route.NoFreeSlot{})
				continue
			}
			zn.inUse[name]++
			ran[ho]++
			all = append(all, running{ho, name})
		}
	}
	for _, ru := range all {
		zn.inUse[ru.endpoint]--
		zn.tables[ru.host].Release(zn.now, ru.endpoint, route.Response{})
	}
	for ho, ta := range zn.tables {
		ta.AdjustBorrowing(zn.now, max(demand[ho]-ran[ho], 0))
	}
	zn.now = zn.now.Add(200 * time.Millisecond)
	return ran, refused
}

// TestBorrowing floods one of three hosts, which must borrow free slots, and
// then the others as well, which must get their slots back with few refusals.
func TestBorrowing(t *testing.T) {
	is := is.New(t)
	zn := newZone(16, 8, "a", "b", "c") // 128 slots
	first, _ := zn.step(200, 0, 0)
	is.True(first[0] < 64) // only its own slots
	var ran, refused []int
	for range 20 {
		ran, refused = zn.step(200, 0, 0)
	}
	is.True(ran[0] >= first[0]+(128-first[0])/3) // at least a third of the free slots
	is.Equal(refused[0], 0)
	t.Logf("host a ran %d with its own slots, %d with borrowed ones", first[0], ran[0])

	refusals := 0
	for range 25 { // 5 s
		ran, refused = zn.step(200, 200, 200)
		refusals += refused[0] + refused[1] + refused[2]
	}
	t.Logf("host a ran %d once the others needed their slots, %d refusals of %d", ran[0], refusals, 25*128)
	is.Equal(ran[0]+ran[1]+ran[2], 128)
	is.True(ran[0] <= first[0]+2) // the owners have got their slots back
	is.True(refusals < 25*128/10) // less than a tenth of the traffic
}

// TestNoBorrowingWithoutNeed checks that a host uses only its own slots while
// no request is queued.
func TestNoBorrowingWithoutNeed(t *testing.T) {
	is := is.New(t)
	zn := newZone(4, 8, "a", "b")
	own := zn.tables[0].Capacity(epoch)
	for range 20 {
		ran, _ := zn.step(own, 0)
		is.Equal(ran[0], own)
	}
	is.Equal(zn.tables[0].Capacity(zn.now), own)
}
