package peers_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

func echo(_ context.Context, from string, req *wire.GetJob) (*wire.Job, error) {
	return &wire.Job{Id: req.GetId(), Caller: from}, nil
}

// inBubble runs a test with a fake network in a synctest bubble.
func inBubble(t *testing.T, fn func(t *testing.T, nw *network)) {
	t.Helper()
	emptyTimerPool(t)
	synctest.Test(t, func(t *testing.T) { fn(t, newNetwork(t)) })
}

func startAll(nw *network, names ...string) []*host {
	var hs []*host
	for _, nm := range names {
		hs = append(hs, nw.start(nm, names[:1], nil))
	}
	time.Sleep(5 * time.Second)
	return hs
}

func stopAll(t *testing.T, hs []*host) {
	t.Helper()
	for _, ho := range hs {
		if err := ho.stop(); err != nil {
			t.Errorf("stop of %s: %v", ho.name, err)
		}
	}
}

// TestDiscoveryThroughOneSeed guards against hosts that know only their seed and
// not the other hosts that it knows, and against calls that fail between hosts
// that found each other through it.
func TestDiscoveryThroughOneSeed(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z1/b", "z1/c", "z2/d")
		for _, ho := range hs {
			is.Equal(ho.alive(), []string{"z1/a", "z1/b", "z1/c", "z2/d"})
		}
		for _, ho := range hs {
			peers.Handle(ho, peers.MethodGetJob, echo)
		}
		for _, ho := range hs {
			for _, ot := range hs {
				reply := new(wire.Job)
				is.NoErr(ho.Call(t.Context(), ot.name, peers.MethodGetJob, &wire.GetJob{Id: "j"}, reply))
				is.Equal(reply.GetCaller(), ho.name)
			}
		}
		stopAll(t, hs)
	})
}

// TestCallErrors guards against a caller that can't tell a rejected call from one
// that was not sent or has an unknown outcome, and against a handler that gets
// more time than the caller has.
func TestCallErrors(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z1/b")
		peers.Handle(hs[1], peers.MethodGetJob, func(context.Context, string, *wire.GetJob) (*wire.Job, error) {
			return nil, codes.New(codes.Overloaded, "full").WithRetryAfter(3 * time.Second)
		})
		var gotDeadline time.Time
		peers.Handle(hs[1], peers.MethodListJobs, func(ctx context.Context, _ string, _ *wire.ListJobs) (*wire.JobList, error) {
			gotDeadline, _ = ctx.Deadline()
			<-ctx.Done()
			return nil, ctx.Err()
		})
		peers.Handle(hs[1], peers.MethodCancelJob, func(context.Context, string, *wire.CancelJob) (*wire.Job, error) {
			panic("fault")
		})

		err := hs[0].Call(t.Context(), "z1/b", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job))
		var ce *codes.Error
		is.True(errors.As(err, &ce))
		is.Equal(*ce, codes.Error{Code: codes.Overloaded, Detail: "full", RetryAfter: 3 * time.Second})

		err = hs[0].Call(t.Context(), "z1/b", peers.MethodCancelJob, &wire.CancelJob{}, new(wire.Job))
		is.True(errors.As(err, &ce))
		is.Equal(ce.Code, codes.InternalFailure)

		var ns *peers.NotSentError
		err = hs[0].Call(t.Context(), "z1/none", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job))
		is.True(errors.As(err, &ns))
		err = hs[0].Call(t.Context(), "z1/b", peers.MethodGetJob, &wire.GetJob{Id: string(make([]byte, 9<<20))}, new(wire.Job))
		is.True(errors.As(err, &ns))

		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		began := time.Now()
		err = hs[0].Call(ctx, "z1/b", peers.MethodListJobs, &wire.ListJobs{}, new(wire.JobList))
		is.True(errors.Is(err, context.DeadlineExceeded)) // the outcome is unknown
		is.True(!errors.As(err, &ns))
		is.Equal(time.Since(began), 700*time.Millisecond)
		synctest.Wait()
		is.True(!gotDeadline.After(began.Add(700 * time.Millisecond)))
		stopAll(t, hs)
	})
}

// TestSingleHostFaults makes one host of three fail and recover. The other two
// must suspect it, keep their own session, and accept it again once it has
// recovered.
func TestSingleHostFaults(t *testing.T) {
	others := []string{"z1/a", "z1/c"}
	cutAll := func(nw *network, in, out, cut bool) {
		for _, ot := range others {
			if in {
				nw.setCut(ot, "z1/b", cut)
			}
			if out {
				nw.setCut("z1/b", ot, cut)
			}
		}
	}
	for _, tc := range []struct {
		name  string
		set   func(nw *network, failed bool)
		alone bool // the failed host sees no others
	}{
		{"cutBothWays", func(nw *network, failed bool) { cutAll(nw, true, true, failed) }, true},
		{"cutToHost", func(nw *network, failed bool) { cutAll(nw, true, false, failed) }, true},
		{"cutFromHost", func(nw *network, failed bool) { cutAll(nw, false, true, failed) }, true},
		{"responsesLost", func(nw *network, failed bool) {
			nw.setAccepting("z1/b", failed)
			cutAll(nw, false, true, failed)
		}, true},
		{"frozen", func(nw *network, failed bool) { nw.setFrozen("z1/b", others, failed) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, nw *network) {
				is := is.New(t)
				hs := startAll(nw, "z1/a", "z1/b", "z1/c")
				for _, ho := range hs {
					peers.Handle(ho, peers.MethodGetJob, echo)
				}
				tc.set(nw, true)
				time.Sleep(3 * time.Second)
				for range 5 { // the state is stable
					is.Equal(hs[0].alive(), others)
					is.Equal(hs[2].alive(), others)
					if tc.alone {
						is.Equal(hs[1].alive(), []string{"z1/b"})
					}
					is.NoErr(hs[0].Call(t.Context(), "z1/c", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job)))
					for _, ho := range []*host{hs[0], hs[2]} {
						var ns *peers.NotSentError
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						is.True(errors.As(ho.Call(ctx, "z1/b", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job)), &ns))
						cancel()
					}
					time.Sleep(4 * time.Second)
				}
				tc.set(nw, false)
				time.Sleep(3 * time.Second)
				for _, ho := range hs {
					is.Equal(ho.alive(), []string{"z1/a", "z1/b", "z1/c"})
					is.NoErr(ho.Call(t.Context(), "z1/b", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job)))
				}
				stopAll(t, hs)
			})
		})
	}
}

// TestKilledHostIsReplaced guards against a host that is not found again after a
// restart, because its address is no longer dialled or its former incarnation is
// still known.
func TestKilledHostIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z1/b", "z1/c")
		first := hs[0].view("z1/b").Incarnation
		is.NoErr(hs[1].stop())
		time.Sleep(3 * time.Second)
		is.Equal(hs[0].alive(), []string{"z1/a", "z1/c"})
		var ns *peers.NotSentError
		err := hs[0].Call(t.Context(), "z1/b", peers.MethodGetJob, &wire.GetJob{}, new(wire.Job))
		is.True(errors.As(err, &ns))

		time.Sleep(5 * time.Minute) // the backoff is bounded
		hs[1] = nw.start("z1/b", nil, nil)
		time.Sleep(3 * time.Second)
		for _, ho := range hs {
			is.Equal(ho.alive(), []string{"z1/a", "z1/b", "z1/c"})
		}
		is.True(hs[0].view("z1/b").Incarnation > first)

		is.NoErr(hs[2].stop())
		time.Sleep(20 * time.Minute) // the seed is dialled forever, others are forgotten
		is.Equal(hs[1].view("z1/c").Name, "")
		hs[2] = nw.start("z1/c", []string{"z1/a"}, nil)
		time.Sleep(3 * time.Second)
		is.Equal(hs[1].alive(), []string{"z1/a", "z1/b", "z1/c"})
		stopAll(t, hs)
	})
}

// TestDrainingIsAnnounced guards against hosts that learn only by a later
// heartbeat, or never, that another host is draining.
func TestDrainingIsAnnounced(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z1/b", "z2/c")
		hs[1].set(func(me *peers.Member) { me.Draining = true })
		hs[1].Announce()
		synctest.Wait()
		is.True(hs[0].view("z1/b").Draining)
		is.True(hs[2].view("z1/b").Draining)
		stopAll(t, hs)
	})
}

// TestDrainingEndpointsReachZoneHosts guards against draining endpoints that other
// hosts of the zone don't learn, or that hosts of other zones receive.
func TestDrainingEndpointsReachZoneHosts(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		got := make(chan []string, 100)
		collect := func(cfg *peers.Config) {
			cfg.OnDrainingEndpoints = func(names []string) { got <- names }
		}
		hs := []*host{
			nw.start("z1/a", nil, func(cfg *peers.Config) {
				cfg.DrainingEndpoints = func() []string { return []string{"e1", "e2"} }
			}),
			nw.start("z1/b", []string{"z1/a"}, collect),
			nw.start("z2/c", []string{"z1/a"}, func(cfg *peers.Config) {
				cfg.OnDrainingEndpoints = func([]string) { t.Error("endpoint of another zone") }
			}),
		}
		time.Sleep(time.Second)
		is.Equal(<-got, []string{"e1", "e2"})
		time.Sleep(3 * time.Second)
		stopAll(t, hs)
	})
}

// TestOneWayFirewall allows only one of two hosts to dial the other, and then
// both. Calls must work in both directions, also while sessions are replaced.
func TestOneWayFirewall(t *testing.T) {
	for _, tc := range []struct{ from, to string }{{"z1/a", "z1/b"}, {"z1/b", "z1/a"}} {
		t.Run(tc.from, func(t *testing.T) {
			inBubble(t, func(t *testing.T, nw *network) {
				is := is.New(t)
				nw.setRefused(tc.from, tc.to, true)
				both := []string{"z1/a", "z1/b"}
				hs := []*host{nw.start("z1/a", both, nil), nw.start("z1/b", both, nil)}
				for _, ho := range hs {
					peers.Handle(ho, peers.MethodGetJob, echo)
				}
				peers.Handle(hs[0], peers.MethodListJobs, slow)
				peers.Handle(hs[1], peers.MethodListJobs, slow)
				time.Sleep(3 * time.Second)
				long := make(chan error, 2)
				for i, ho := range hs {
					go func() {
						long <- ho.Call(t.Context(), both[1-i], peers.MethodListJobs, &wire.ListJobs{}, new(wire.JobList))
					}()
				}
				for _, refused := range []bool{true, false} {
					nw.setRefused(tc.from, tc.to, refused)
					time.Sleep(3 * time.Second)
					for range 30 { // without interruption while sessions are replaced
						time.Sleep(400 * time.Millisecond)
						for _, ho := range hs {
							is.Equal(ho.alive(), both)
							for _, nm := range both {
								is.NoErr(ho.Call(t.Context(), nm, peers.MethodGetJob, &wire.GetJob{}, new(wire.Job)))
							}
						}
					}
				}
				is.NoErr(<-long) // over a session that was replaced meanwhile
				is.NoErr(<-long)
				stopAll(t, hs)
			})
		})
	}
}

func slow(context.Context, string, *wire.ListJobs) (*wire.JobList, error) {
	time.Sleep(25 * time.Second)
	return &wire.JobList{}, nil
}

// TestSeedIsSelf guards against a host that treats itself as a peer when a seed
// is its own address or another name of it.
func TestSeedIsSelf(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := []*host{nw.start("z1/a", []string{"z1/a", "other-name-of-a"}, nil), nw.start("z1/b", []string{"other-name-of-a"}, nil)}
		nw.alias("z1/a", "other-name-of-a")
		time.Sleep(15 * time.Second)
		for _, ho := range hs {
			is.Equal(ho.alive(), []string{"z1/a", "z1/b"})
		}
		stopAll(t, hs)
	})
}

// TestOlderIncarnationIsRejected restarts a host whose clock was set back. It
// is accepted only after the later incarnation is forgotten.
func TestOlderIncarnationIsRejected(t *testing.T) {
	inBubble(t, func(t *testing.T, nw *network) {
		is := is.New(t)
		hs := startAll(nw, "z1/a", "z1/b")
		is.NoErr(hs[1].stop())
		back := nw.start("z1/b", []string{"z1/a"}, func(cfg *peers.Config) {
			self := cfg.Self
			cfg.Self = func() peers.Member {
				me := self()
				me.Incarnation = 1
				return me
			}
		})
		time.Sleep(10 * time.Second)
		is.True(!hs[0].view("z1/b").Alive)
		time.Sleep(11 * time.Minute)
		is.True(hs[0].view("z1/b").Alive)
		stopAll(t, []*host{hs[0], back})
	})
}
