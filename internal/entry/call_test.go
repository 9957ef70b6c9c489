package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// TestRequestIsSentToEndpoint sends a request with an escaped path and a query
// to an endpoint. It must run once, and be logged and accounted for once.
func TestRequestIsSentToEndpoint(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 2, nil)
	re, err := th.call(http.MethodPost, "/v1/services/orders/a%2Fb?x=1", "crates=1")
	is.NoErr(err)
	is.NoErr(re.err)
	is.Equal(re.code, codes.RequestDone)
	is.Equal(re.class, "done")
	is.Equal(re.body, "crates=1")
	is.Equal(th.runs()[re.request], 1)
	is.Equal(len(th.log.lines("event=route request="+re.request)), 1)
	th.checkAccount(is, map[codes.Code]int{codes.RequestDone: 1})
}

// TestOutcomes checks, for each fault of an endpoint, that the code which the
// caller gets agrees with the number of times that the request ran.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name       string
		headers    []string
		repeatable bool
		code       codes.Code
		runs       int // over all attempts
	}{
		{"done", nil, false, codes.RequestDone, 1},
		{"server error", []string{epsim.HeaderStatus, "500"}, false, codes.EndpointError, 1},
		{"server error, repeatable", []string{epsim.HeaderStatus, "503"}, true, codes.EndpointError, 1},
		{"cut before it ran", []string{epsim.HeaderFault, epsim.FaultDropBefore}, false, codes.OutcomeUnknown, 0},
		{"cut after it ran", []string{epsim.HeaderFault, epsim.FaultDropAfter}, false, codes.OutcomeUnknown, 1},
		{"cut after it ran, repeatable", []string{epsim.HeaderFault, epsim.FaultDropAfter}, true, codes.OutcomeUnknown, 3},
		{"truncated small response", []string{epsim.HeaderFault, epsim.FaultHalf}, false, codes.AnswerBroken, 1},
		{"hangs", []string{epsim.HeaderFault, epsim.FaultHang, client.HeaderTimeout, "200ms"}, false, codes.DeadlineInFlight, 1},
		{"hangs, repeatable", []string{epsim.HeaderFault, epsim.FaultHang, client.HeaderTimeout, "200ms"}, true, codes.DeadlineInFlight, 1},
		{"no time at all", []string{client.HeaderTimeout, "-1s"}, true, codes.DeadlinePassed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			th := newTestHost(t, 3, nil)
			repeatable := "false"
			if tc.repeatable {
				repeatable = "true"
			}
			re, err := th.order(append(tc.headers, client.HeaderRepeatable, repeatable)...)
			is.NoErr(err)
			is.NoErr(re.err)
			is.Equal(re.code, tc.code)
			is.Equal(re.class, tc.code.Class().String())
			is.Equal(th.runs()[re.request], tc.runs)
			th.checkAccount(is, map[codes.Code]int{tc.code: 1})
		})
	}
}

// TestLargeResponse guards against a streamed response that is truncated but
// looks complete to the caller, or that belongs to another request.
func TestLargeResponse(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	re, err := th.order(epsim.HeaderSize, "1000000")
	is.NoErr(err)
	is.NoErr(re.err)
	is.Equal(len(re.body), 1000000)
	is.True(strings.HasPrefix(re.body, re.request+"\n")) // the response to this request

	re, err = th.order(epsim.HeaderSize, "1000000", epsim.HeaderFault, epsim.FaultHalf)
	is.NoErr(err)
	is.True(re.err != nil) // a truncated response must not look complete
	eventually(t, "the truncated response is logged", func() bool { return len(th.log.lines("code=3001")) == 1 })
	th.checkAccount(is, map[codes.Code]int{codes.RequestDone: 1, codes.AnswerBroken: 1})
}

func TestRefusals(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	for _, tc := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		code    codes.Code
	}{
		{"workspace given twice", "GET", "/v1/services/orders/", "", []string{client.HeaderWorkspace, "hotels"}, codes.BadRequest},
		{"repeatable given twice", "GET", "/v1/services/orders/", "", []string{client.HeaderRepeatable, "true", client.HeaderRepeatable, "false"}, codes.BadRequest},
		{"bad repeatable", "GET", "/v1/services/orders/", "", []string{client.HeaderRepeatable, "yes"}, codes.BadRequest},
		{"bad timeout", "GET", "/v1/services/orders/", "", []string{client.HeaderTimeout, "5"}, codes.BadRequest},
		{"bad priority", "GET", "/v1/services/orders/", "", []string{client.HeaderPriority, "now"}, codes.BadRequest},
		{"bad key", "GET", "/v1/services/orders/", "", []string{client.HeaderKey, "a b"}, codes.BadRequest},
		{"long header", "GET", "/v1/services/orders/", "", []string{"X-Long", long}, codes.HeaderTooLarge},
		{"long body", "POST", "/v1/services/orders/", strings.Repeat("x", 1<<20+1), nil, codes.BodyTooLarge},
		{"unknown service", "GET", "/v1/services/other/", "", nil, codes.UnknownService},
		{"unknown path", "GET", "/v2", "", nil, codes.PathNotFound},
		{"wrong method", "POST", "/v1/status", "", nil, codes.MethodNotAllowed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			th := newTestHost(t, 1, nil)
			re, err := th.call(tc.method, tc.path, tc.body, tc.headers...)
			is.NoErr(err)
			is.Equal(re.code, tc.code)
			is.Equal(re.status, tc.code.Info().HTTPStatus)
			is.True(strings.Contains(re.body, tc.code.Info().Name))
			is.Equal(len(th.runs()), 0)
		})
	}
}

func TestRefusedWorkspaces(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	for workspace, cd := range map[string]codes.Code{
		"":       codes.BadRequest,
		"nobody": codes.UnknownWorkspace,
		"idle":   codes.ServiceNotAllowed,
	} {
		rq, err := http.NewRequest(http.MethodGet, th.url+"/v1/services/orders/", nil)
		is.NoErr(err)
		if workspace != "" {
			rq.Header.Set(client.HeaderWorkspace, workspace)
		}
		rs, err := http.DefaultTransport.RoundTrip(rq)
		is.NoErr(err)
		is.NoErr(rs.Body.Close())
		is.Equal(rs.StatusCode, cd.Info().HTTPStatus)
	}
	th.checkAccount(is, map[codes.Code]int{codes.BadRequest: 1, codes.UnknownWorkspace: 1, codes.ServiceNotAllowed: 1})
}

// TestRefusedRequestDidNotRun declares more slots than the endpoint has, so that
// it refuses requests. A refused request must not have run.
func TestRefusedRequestDidNotRun(t *testing.T) {
	for _, tc := range []struct {
		delay    string
		requests int
		busy     int
	}{
		{"3s", 12, 4},    // longer than the queue time of the others
		{"200ms", 10, 0}, // the refused ones are retried and run
	} {
		t.Run(tc.delay, func(t *testing.T) {
			is := is.New(t)
			th := newTestHost(t, 1, func(_ *entry.Config, de *spec.Declarations) { de.Services[0].Slots = 16 })
			results := make(chan response)
			for range tc.requests {
				go func() {
					re, _ := th.order(epsim.HeaderDelay, tc.delay, client.HeaderRepeatable, "false")
					results <- re
				}()
			}
			counts := make(map[codes.Code]int)
			codeOf := make(map[string]codes.Code)
			for range tc.requests {
				re := <-results
				counts[re.code]++
				codeOf[re.request] = re.code
			}
			is.Equal(counts[codes.RequestDone], tc.requests-tc.busy)
			is.Equal(counts[codes.EndpointBusy], tc.busy)
			runs := th.runs()
			for request, cd := range codeOf {
				is.Equal(runs[request] == 1, cd == codes.RequestDone)
			}
			th.checkAccount(is, counts)
		})
	}
}

// TestRefusedRequestWaitsForSlot occupies every slot of the endpoint for most of
// the queue time, as requests of another host do that has borrowed them. It
// guards against a request that is given up after a few refusals although the
// slots are free again within the queue time.
func TestRefusedRequestWaitsForSlot(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	ep := th.endpoints[0]
	for range 8 {
		go func() {
			rq, _ := http.NewRequest(http.MethodGet, "http://"+ep.Addr()+"/held", nil)
			rq.Header.Set(epsim.HeaderDelay, "1s")
			if rs, err := http.DefaultTransport.RoundTrip(rq); err == nil {
				_ = rs.Body.Close()
			}
		}()
	}
	eventually(t, "every slot is in use", func() bool { return ep.SlotsInUse() == 8 })
	for _, repeatable := range []string{"true", "false"} {
		re, err := th.order(client.HeaderRepeatable, repeatable)
		is.NoErr(err)
		is.Equal(re.code, codes.RequestDone)
		is.Equal(th.runs()[re.request], 1)
	}
	is.True(len(th.log.lines("cause=busy")) > 0)
}

// TestIdempotencyKey guards against a request that runs although its key was used
// before, for the same or another request, or could not be claimed.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 2, nil)
	keyed := []string{client.HeaderRepeatable, "false", client.HeaderKey, "k1"}
	first, err := th.order(keyed...)
	is.NoErr(err)
	is.Equal(first.code, codes.RequestDone)
	again, err := th.order(keyed...)
	is.NoErr(err)
	is.Equal(again.code, codes.DuplicateKey)
	other, err := th.call(http.MethodPost, "/v1/services/orders/buy", "crates=2", keyed...)
	is.NoErr(err)
	is.Equal(other.code, codes.KeyMismatch)
	is.Equal(len(th.runs()), 1)

	th.claims.err = codes.New(codes.StoreUnavailable, "down")
	down, err := th.order(client.HeaderRepeatable, "false", client.HeaderKey, "k2")
	is.NoErr(err)
	is.Equal(down.code, codes.StoreUnavailable)
	is.Equal(len(th.runs()), 1)
}

// TestKeyIsReusableAfterNotRun guards against an idempotency key that stays
// claimed although its request did not run.
func TestKeyIsReusableAfterNotRun(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	th.endpoints[0].Drain()
	keyed := []string{client.HeaderRepeatable, "false", client.HeaderKey, "k1"}
	re, err := th.order(keyed...)
	is.NoErr(err)
	is.Equal(re.code, codes.NoEndpoint)
	prior, err := th.claims.Acquire(t.Context(), entry.Claim{Workspace: "parish", Key: "k1"})
	is.NoErr(err)
	is.Equal(prior, nil)
}

// TestDrainingEndpointGetsNoNewRequests drains one of two endpoints while it serves
// a request, which must be completed. All others must go to the other endpoint.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 2, nil)
	inProgress := make(chan response, 1)
	go func() {
		re, _ := th.order(epsim.HeaderDelay, "1s")
		inProgress <- re
	}()
	eventually(t, "the request runs", func() bool { return len(th.runs()) == 1 })
	draining, other := th.endpoints[0], th.endpoints[1]
	if draining.SlotsInUse() == 0 {
		draining, other = other, draining
	}
	draining.Drain()
	eventually(t, "the host knows of the draining endpoint", func() bool { return len(th.server.DrainingEndpoints()) == 1 })
	before := len(draining.Runs())
	for range 20 {
		re, err := th.order()
		is.NoErr(err)
		is.Equal(re.code, codes.RequestDone)
	}
	is.Equal(len(draining.Runs()), before)
	is.Equal(len(other.Runs()), 20)
	is.Equal((<-inProgress).code, codes.RequestDone) // not interrupted
}

// TestDeadEndpointIsAvoided guards against requests that fail, or run twice,
// because one of three endpoints refuses connections.
func TestDeadEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 3, nil)
	th.endpoints[0].Close()
	for range 30 {
		re, err := th.order(client.HeaderRepeatable, "false")
		is.NoErr(err)
		is.Equal(re.code, codes.RequestDone) // if the connection is refused, the request did not run and is retried
	}
	for _, n := range th.runs() {
		is.Equal(n, 1)
	}
}

// TestUnresponsiveConnectionsAreReplaced guards against a request that is sent on
// an idle connection whose data is lost, and fails by its deadline.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, nil)
	for range 3 {
		_, err := th.order()
		is.NoErr(err)
	}
	th.endpoints[0].SilenceConnections()
	// Probes detect the unresponsive connections within 2 s.
	time.Sleep(2 * time.Second)
	re, err := th.order(client.HeaderTimeout, "2s", client.HeaderRepeatable, "false")
	is.NoErr(err)
	is.Equal(re.code, codes.RequestDone)
}

func TestNotReadyWithoutDeclarations(t *testing.T) {
	is := is.New(t)
	th := newTestHost(t, 1, func(cfg *entry.Config, _ *spec.Declarations) {
		cfg.Declarations = func() (*spec.Declarations, int64) { return nil, 0 }
		cfg.Endpoints = func() []plat.Host { return nil }
	})
	re, err := th.order()
	is.NoErr(err)
	is.Equal(re.code, codes.NotReady)
	is.True(re.header.Get(client.HeaderRetryAfter) != "")
	re, err = th.call(http.MethodGet, "/readyz", "")
	is.NoErr(err)
	is.Equal(re.status, http.StatusServiceUnavailable)
	re, err = th.call(http.MethodGet, "/healthz", "")
	is.NoErr(err)
	is.Equal(re.status, http.StatusOK)
}
