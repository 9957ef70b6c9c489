package peers_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/peers"
)

var began = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260701"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newRoster() *peers.Roster {
	return peers.NewRoster(peers.RosterConfig{
		Self: "self", Zone: "z", SuspectAfter: 2 * time.Second, OtherZoneSuspectAfter: 8 * time.Second, ForgetAfter: time.Minute,
	})
}

// TestRosterUpdates checks which updates the roster accepts, and how long a host
// stays alive and known without them. It guards against gossip that makes a failed
// host alive and against an older incarnation that replaces a newer one.
func TestRosterUpdates(t *testing.T) {
	is := is.New(t)
	ro := newRoster()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	alive := func(now time.Time, name string) bool {
		me, _ := ro.Get(now, name)
		return me.Alive
	}
	a := peers.Member{Name: "a", Zone: "z", Incarnation: 5, PeerAddress: "a:1", DeclarationsRevision: 3, SchedulerEpoch: 2, Scheduler: "a"}

	is.Equal(ro.RecordHeartbeat(at(0), peers.Member{Name: "self"}), peers.Ignored)
	is.Equal(ro.RecordHeartbeat(at(0), peers.Member{}), peers.Ignored)
	is.Equal(ro.RecordGossip(at(0), a), peers.Added)
	is.True(!alive(at(0), "a")) // gossip makes no host alive
	is.Equal(ro.RecordGossip(at(0), a), peers.Unchanged)
	is.Equal(ro.RecordHeartbeat(at(0), a), peers.Added)
	is.True(alive(at(1.9), "a"))
	is.True(!alive(at(2), "a"))
	is.Equal(ro.RecordHeartbeat(at(3), a), peers.Recovered)

	draining := a
	draining.Draining = true
	is.Equal(ro.RecordGossip(at(3), draining), peers.Changed) // accepted at once, from any host
	is.Equal(ro.RecordHeartbeat(at(3), a), peers.Unchanged)   // and not revoked
	me, _ := ro.Get(at(3), "a")
	is.True(me.Draining)

	older, newer := a, a
	older.Incarnation, newer.Incarnation = 4, 6
	newer.DeclarationsRevision = 0
	is.Equal(ro.RecordHeartbeat(at(3), older), peers.Ignored)
	is.Equal(ro.RecordGossip(at(3), older), peers.Ignored)
	is.Equal(ro.RecordGossip(at(3), newer), peers.Added)
	is.True(!alive(at(3), "a")) // the old process has ended
	is.Equal(ro.RecordHeartbeat(at(3), newer), peers.Added)
	me, _ = ro.Get(at(3), "a")
	is.True(me.Alive && !me.Draining)
	is.Equal(me.DeclarationsRevision, int64(0))

	far := peers.Member{Name: "b", Zone: "other", PeerAddress: "b:1"}
	ro.RecordHeartbeat(at(3), far)
	is.True(alive(at(10.9), "b"))
	is.True(!alive(at(11), "b"))

	is.Equal(len(ro.Forget(at(62))), 0)
	is.Equal(len(ro.Forget(at(63))), 2)
	is.True(!ro.HasAddress("a:1"))
}

// TestRosterIsMonotonic applies random updates. It guards against a return to an
// older incarnation, or to an older state of the same one, when heartbeats and
// gossip arrive out of order.
func TestRosterIsMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		ro := newRoster()
		now := began
		var best peers.Member
		for range rapid.IntRange(1, 50).Draw(rt, "updates") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "millis")) * time.Millisecond)
			me := peers.Member{
				Name: "a", Zone: "z", Incarnation: uint64(rapid.IntRange(1, 3).Draw(rt, "incarnation")),
				Draining: rapid.Bool().Draw(rt, "draining"), DeclarationsRevision: int64(rapid.IntRange(0, 9).Draw(rt, "revision")),
			}
			byHeartbeat := rapid.Bool().Draw(rt, "heard")
			if byHeartbeat {
				ro.RecordHeartbeat(now, me)
			} else {
				ro.RecordGossip(now, me)
			}
			got, ok := ro.Get(now, "a")
			is.True(ok)
			is.True(got.Incarnation >= best.Incarnation)
			is.True(got.Incarnation >= me.Incarnation)
			if got.Incarnation == best.Incarnation {
				is.True(got.DeclarationsRevision >= best.DeclarationsRevision)
				is.True(got.Draining || !best.Draining)
			}
			if byHeartbeat && me.Incarnation == got.Incarnation {
				is.True(got.Alive)
			}
			best = got
		}
	})
}

// TestGossipRotates guards against gossip that repeats the same hosts, or lists the
// recipient or hosts that are not alive.
func TestGossipRotates(t *testing.T) {
	is := is.New(t)
	ro := newRoster()
	for _, nm := range []string{"a", "b", "c", "d"} {
		ro.RecordHeartbeat(began, peers.Member{Name: nm, Zone: "z"})
	}
	ro.RecordGossip(began, peers.Member{Name: "e", Zone: "z"})
	seen := make(map[string]bool)
	for i := range 3 {
		for _, me := range ro.Gossip(began, "a", i, 1) {
			seen[me.Name] = true
		}
	}
	is.Equal(seen, map[string]bool{"b": true, "c": true, "d": true})
	is.Equal(len(ro.Gossip(began, "a", 0, 32)), 3)
}
