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
func TestTwoHostsShareSlots(t *testing.T) {
	is := is.New(t)
	benches := twoHosts(t)
	done, other := orders(40, 50*time.Millisecond, benches...)
	is.Equal(other, 0) // never past the endpoint's slots
	is.Equal(done, 40)
	for _, be := range benches {
		is.Equal(len(be.log.lines("cause=busy")), 0)
	}
}

// TestIdleHostLendsSlots floods one host of two.
func TestIdleHostLendsSlots(t *testing.T) {
	is := is.New(t)
	benches := twoHosts(t)
	done, other := orders(30, 200*time.Millisecond, benches[0])
	is.Equal(other, 0)
	is.Equal(done, 30)
	is.True(len(benches[0].log.lines("loan=true")) > 0)
	is.Equal(len(benches[0].log.lines("cause=busy")), 0)
}

// twoHosts starts two hosts of a zone that share one endpoint.
func twoHosts(t *testing.T) []*bench {
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
	return []*bench{newBench(t, 0, share("lima-a")), newBench(t, 0, share("lima-b"))}
}

// orders sends requests at once to hosts in turn, and counts those that were
// done.
func orders(count int, delay time.Duration, benches ...*bench) (done, other int) {
	results := make(chan bool, count)
	for i := range count {
		go func() {
			an, err := benches[i%len(benches)].order(epsim.HeaderDelay, delay.String(), client.HeaderRepeatable, "false")
			results <- err == nil && an.code == codes.RequestDone
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
