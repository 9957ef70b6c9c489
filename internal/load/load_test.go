package load_test

import (
	"bytes"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/load"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

func TestParseClass(t *testing.T) {
	yes := true
	tests := []struct {
		text string
		want load.Class
		err  string
	}{
		{"workspace=w,caller=c,rate=2.5", load.Class{Workspace: "w", Caller: "c", Rate: 2.5}, ""},
		{
			"workspace=w,caller=c,rate=1,priority=urgent,delay=5ms,repeatable=true",
			load.Class{Workspace: "w", Caller: "c", Rate: 1, Priority: "urgent", Delay: 5 * time.Millisecond, Repeatable: &yes},
			"",
		},
		{"", load.Class{}, "is not key=value"},
		{"workspace=w,caller=c", load.Class{}, "rate 0"},
		{"caller=c,rate=1", load.Class{}, "workspace"},
		{"workspace=w,caller=c,rate=NaN", load.Class{}, "rate NaN"},
		{"workspace=w,caller=c,rate=1e9", load.Class{}, "rate"},
		{"workspace=w,caller=c,rate=x", load.Class{}, "can't be read"},
		{"workspace=w,workspace=v,caller=c,rate=1", load.Class{}, "given twice"},
		{"workspace=w,caller=c,rate=1,delay=-1s", load.Class{}, "delay"},
		{"workspace=w,caller=c,rate=1,priority=high", load.Class{}, "priority"},
		{"workspace=w,caller=c,rate=1,repeatable=yes", load.Class{}, "repeatable"},
		{"workspace=w,caller=c,rate=1,colour=red", load.Class{}, "unknown key"},
	}
	for _, tc := range tests {
		t.Run(tc.text, func(t *testing.T) {
			is := is.New(t)
			cl, err := load.ParseClass(tc.text)
			if tc.err != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), tc.err))
				return
			}
			is.NoErr(err)
			is.Equal(cl, tc.want)
		})
	}
}

// TestRunRefusesNonLoopbackAddresses guards against load that is sent to another
// machine.
func TestRunRefusesNonLoopbackAddresses(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "128.0.0.1:80", "[::2]:80", "localhost:80", "127.0.0.1:0", "0.0.0.0:80"} {
		cfg := config(address)
		_, err := load.Run(t.Context(), cfg)
		is.New(t).True(err != nil) // address
	}
	for _, address := range []string{"127.9.0.1:80", "[::1]:80"} {
		is.New(t).NoErr(config(address).Check())
	}
}

// TestReportMatchesRequestsSeenByTarget guards against a report that counts a
// request under the wrong class, twice or not at all. The target lets requests be
// done, fail, be refused and get no response in turn.
func TestReportMatchesRequestsSeenByTarget(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	seen := 0
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		kind := seen % 4
		seen++
		mu.Unlock()
		if r.URL.Path != "/v1/services/pricing/" || r.Header.Get(client.HeaderWorkspace) != "w" {
			kind = 3
		}
		cd := []codes.Code{codes.RequestDone, codes.EndpointError, codes.Overloaded, 0}[kind]
		if cd == 0 {
			panic(http.ErrAbortHandler)
		}
		if cd == codes.Overloaded {
			w.Header().Set(client.HeaderRetryAfter, "1500")
		}
		w.Header().Set(client.HeaderCode, strconv.Itoa(int(cd)))
		w.WriteHeader(cd.Info().HTTPStatus)
	}))
	defer sv.Close()
	rp, err := load.Run(t.Context(), config(sv.Listener.Addr().String()))
	is.NoErr(err)
	cr := rp.Classes[0]
	is.True(seen > 40)
	is.Equal(cr.Offered, int64(seen))
	is.Equal(cr.Offered, cr.Done+cr.Failed+cr.NotRun+cr.Unknown)
	is.Equal(cr.Done, int64(seen+3)/4)
	is.Equal(cr.Failed, int64(seen+2)/4)
	is.Equal(cr.NotRun, int64(seen+1)/4)
	is.Equal(cr.Unknown, int64(seen)/4)
	is.Equal(cr.Latency.Count, cr.Done)
	is.Equal(cr.Refusal.Count, cr.NotRun)
	is.True(math.Abs(cr.RetryAfter.Max-1500) < 2)
	var out bytes.Buffer
	is.NoErr(rp.WriteText(&out))
	is.True(strings.Contains(out.String(), "4008 overloaded"))
}

// TestSameSeedGivesSameArrivals guards against runs that can't be repeated with
// the same seed.
func TestSameSeedGivesSameArrivals(t *testing.T) {
	is := is.New(t)
	sv := httptest.NewServer(http.NotFoundHandler())
	defer sv.Close()
	cfg := config(sv.Listener.Addr().String())
	var offered []int64
	for _, seed := range []uint64{7, 7, 8} {
		cfg.Seed = seed
		rp, err := load.Run(t.Context(), cfg)
		is.NoErr(err)
		offered = append(offered, rp.Classes[0].Offered)
		is.Equal(rp.Classes[0].Unknown, rp.Classes[0].Offered) // no code
	}
	is.Equal(offered[0], offered[1])
	is.True(offered[0] != offered[2])
}

// TestUnreachableTargetCountsAsNotRun guards against refused connections that
// count as requests of unknown outcome.
func TestUnreachableTargetCountsAsNotRun(t *testing.T) {
	is := is.New(t)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(li.Close())
	rp, err := load.Run(t.Context(), config(li.Addr().String()))
	is.NoErr(err)
	is.True(rp.Classes[0].Offered > 0)
	is.Equal(rp.Classes[0].NotRun, rp.Classes[0].Offered)
}

// TestWithholdsRequestsBeyondConcurrency permits one request in progress. The
// others must be counted as withheld.
func TestWithholdsRequestsBeyondConcurrency(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set(client.HeaderCode, "2000")
	}))
	defer sv.Close()
	cfg := config(sv.Listener.Addr().String())
	cfg.Concurrency = 1
	time.AfterFunc(2*cfg.Duration, func() { close(release) })
	rp, err := load.Run(t.Context(), cfg)
	is.NoErr(err)
	cr := rp.Classes[0]
	is.Equal(cr.Done, int64(1))
	is.Equal(cr.Withheld, cr.Offered-1)
	is.True(cr.Withheld > 0)
	is.True(cr.Latency.Max >= float64(cfg.Duration.Milliseconds()))
}

func TestJainIndexAndEqualDemands(t *testing.T) {
	is := is.New(t)
	is.Equal(load.JainIndex([]float64{3, 3, 3}), 1.0)
	is.Equal(load.JainIndex([]float64{1, 0, 0, 0}), 0.25)
	is.Equal(load.JainIndex(nil), 0.0)
	groups := load.EqualDemands([]load.Class{{Rate: 1}, {Rate: 50}, {Rate: 1}, {Rate: 1, Delay: 1}})
	is.Equal(groups, [][]int{{0, 2}})
}

func config(address string) load.Config {
	return load.Config{
		Addresses: []string{address}, Service: "pricing", Path: "/", Duration: 200 * time.Millisecond,
		Concurrency: 256, Seed: 1, Classes: []load.Class{{Workspace: "w", Caller: "c", Rate: 400}},
	}
}
