package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestTwoHostsShareSlots floods two hosts of a zone that share an endpoint.
// Together they must not exceed its slots.
func TestTwoHostsShareSlots(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	done, other := orders(40, 50*time.Millisecond, hosts...)
	is.Equal(other, 0) // the slots of the endpoint are never exceeded
	is.Equal(done, 40)
	for _, th := range hosts {
		is.Equal(len(th.log.lines("cause=busy")), 0)
	}
}

// TestHostBorrowsFreeSlots floods one of two hosts, which has to borrow slots
// of the idle one.
func TestHostBorrowsFreeSlots(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	done, other := orders(30, 200*time.Millisecond, hosts[0])
	is.Equal(other, 0)
	is.Equal(done, 30)
	is.True(len(hosts[0].log.lines("borrowed=true")) > 0)
	is.Equal(len(hosts[0].log.lines("cause=busy")), 0)
}

// newTestHosts starts two hosts of a zone that share one endpoint.
func newTestHosts(t *testing.T) []*testHost {
	t.Helper()
	ep := startEndpoint(t, "ep-shared")
	share := func(host string) func(cfg *entry.Config, _ *spec.Declarations) {
		return func(cfg *entry.Config, _ *spec.Declarations) {
			cfg.Host = host
			cfg.Endpoints = func() []plat.Host {
				return []plat.Host{{Name: ep.Name(), Kind: plat.KindEndpoint, Address: ep.Addr(), Service: "orders"}}
			}
			cfg.Members = func(time.Time) []peers.Member {
				return []peers.Member{
					{Name: "lima-a", Zone: "lima", Alive: true, Ready: true},
					{Name: "lima-b", Zone: "lima", Alive: true, Ready: true},
				}
			}
		}
	}
	return []*testHost{newTestHost(t, 0, share("lima-a")), newTestHost(t, 0, share("lima-b"))}
}

// orders sends requests concurrently to the hosts in turn, and counts those
// with the code RequestDone and the others.
func orders(count int, delay time.Duration, hosts ...*testHost) (done, other int) {
	results := make(chan bool, count)
	for i := range count {
		go func() {
			re, err := hosts[i%len(hosts)].order(epsim.HeaderDelay, delay.String(), client.HeaderRepeatable, "false")
			results <- err == nil && re.code == codes.RequestDone
		}()
	}
	for range count {
		if <-results {
			done++
		} else {
			other++
		}
	}
	return done, other
}
