package report_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// fleet is a set of hosts that call each other in memory.
	fleet struct {
		mu        sync.Mutex
		hosts     map[string]*fleetHost
		loseReply bool // calls take effect but return an error
		sentRows  int
		sentBytes int
	}

	fleetHost struct {
		fleet      *fleet
		member     peers.Member
		handlers   map[string]peers.RawHandler
		account    *report.Account
		replicator *report.Replicator
		cancel     context.CancelFunc
		ended      chan error
	}
)

var errLink = errors.New("connection failed")

func (fl *fleet) start(name, zone string) *fleetHost {
	fh := &fleetHost{
		fleet:    fl,
		member:   peers.Member{Name: name, Zone: zone, Incarnation: uint64(time.Now().UnixNano()), Alive: true},
		handlers: make(map[string]peers.RawHandler),
		ended:    make(chan error, 1),
	}
	fh.account = report.NewAccount(report.AccountConfig{Host: name, Zone: zone, Incarnation: fh.member.Incarnation})
	fh.replicator = report.NewReplicator(report.ReplicatorConfig{
		Account: fh.account, Copies: report.NewAccountStore(), Caller: fh, Members: fl.members,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	fh.replicator.Register(fh)
	fl.mu.Lock()
	fl.hosts[name] = fh
	fl.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	fh.cancel = cancel
	go func() { fh.ended <- fh.replicator.Run(ctx) }()
	return fh
}

// kill stops a host without Close.
func (fh *fleetHost) kill() {
	fh.cancel()
	<-fh.ended
	fh.fleet.mu.Lock()
	defer fh.fleet.mu.Unlock()
	delete(fh.fleet.hosts, fh.member.Name)
}

func (fl *fleet) killAll() {
	for _, me := range fl.members(time.Now()) {
		fl.hosts[me.Name].kill()
	}
}

func (fl *fleet) members(time.Time) []peers.Member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var ms []peers.Member
	for _, fh := range fl.hosts {
		ms = append(ms, fh.member)
	}
	return ms
}

func (fh *fleetHost) Handle(method string, fn peers.RawHandler) { fh.handlers[method] = fn }

func (fh *fleetHost) Call(ctx context.Context, host, method string, req, reply proto.Message) error {
	fh.fleet.mu.Lock()
	to, loseReply := fh.fleet.hosts[host], fh.fleet.loseReply
	if ac, ok := req.(*wire.Account); ok {
		fh.fleet.sentRows += len(ac.GetRows())
		fh.fleet.sentBytes += proto.Size(ac)
	}
	fh.fleet.mu.Unlock()
	if to == nil {
		return &peers.NotSentError{Host: host, Err: errLink}
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	response, err := to.handlers[method](ctx, fh.member.Name, payload)
	if err != nil || loseReply {
		return errors.Join(err, errLink)
	}
	return proto.Unmarshal(response, reply)
}

func (fl *fleet) setLoseReply(loseReply bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.loseReply = loseReply
}

func (fl *fleet) rows() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.sentRows
}

// buildReport returns the report of the current day, built on one host.
func (fh *fleetHost) buildReport(t *testing.T) report.Daily {
	t.Helper()
	now := time.Now()
	day, err := report.ParseDay(report.DayOf(now, time.UTC), time.UTC)
	if err != nil {
		t.Fatal(err)
	}
	accounts, missing := fh.replicator.Collect(t.Context(), now, day.Name)
	da := report.Build(day, report.Input{Accounts: accounts, Missing: missing, Now: time.Now()})
	if err := da.Check(); err != nil {
		t.Error(err)
	}
	return da
}

func (fh *fleetHost) recordRequests(count int) {
	for range count {
		fh.account.Offer(time.Now(), "sacos", "price").End(report.Outcome{Code: codes.RequestDone})
	}
}

func inFleet(t *testing.T, fn func(t *testing.T, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{hosts: make(map[string]*fleetHost)}
		fn(t, fl)
		fl.killAll()
	})
}

// TestCountersSurviveTheReplacementOfEveryHost replaces all hosts of a zone,
// one after the other, by hosts with other names.
func TestCountersSurviveTheReplacementOfEveryHost(t *testing.T) {
	for _, planned := range []bool{false, true} {
		t.Run(fmt.Sprintf("planned=%v", planned), func(t *testing.T) {
			inFleet(t, func(t *testing.T, fl *fleet) {
				is := is.New(t)
				var hs []*fleetHost
				for i := range 3 {
					hs = append(hs, fl.start(fmt.Sprintf("h%d", i), "centro"))
				}
				for i := 3; i < 12; i++ {
					hs[0].recordRequests(10)
					time.Sleep(2 * report.SnapshotEvery)
					if planned {
						hs[0].recordRequests(1) // after the last copy
						hs[0].cancel()
						is.NoErr(<-hs[0].ended)
						is.True(hs[0].replicator.Close(t.Context(), time.Now()))
						hs[0].ended <- nil
					}
					hs[0].kill()
					hs = append(hs[1:], fl.start(fmt.Sprintf("h%d", i), "centro"))
				}
				time.Sleep(2 * report.SnapshotEvery)
				da := hs[0].buildReport(t)
				if planned {
					is.Equal(da.Rows[0].Done, int64(99))
					is.Equal(len(da.Gaps), 0)
					return
				}
				is.Equal(da.Rows[0].Done, int64(90))
				is.Equal(len(da.Gaps), 9) // one for each killed host
			})
		})
	}
}

func TestOnlyChangedRowsAreSent(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		is := is.New(t)
		one := fl.start("h1", "centro")
		fl.start("h2", "centro")
		for i := range 100 {
			one.account.Offer(time.Now(), fmt.Sprint("w", i), "price").End(report.Outcome{Code: codes.RequestDone})
		}
		time.Sleep(2*report.SnapshotEvery + time.Second)
		is.Equal(fl.rows(), 100)
		one.recordRequests(1)
		time.Sleep(2 * report.SnapshotEvery)
		is.Equal(fl.rows(), 101)
	})
}

// TestCopyTraffic offers requests of 220 workspaces continuously. Copies and
// membership (at most 7 KB/s) must stay within 14 KB/s, so copies may take 7.
func TestCopyTraffic(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		is := is.New(t)
		one := fl.start("h0", "centro")
		for i := 1; i < 8; i++ {
			fl.start(fmt.Sprint("h", i), "centro")
		}
		const span = time.Minute
		for began := time.Now(); time.Since(began) < span; time.Sleep(time.Second) {
			for i := range 220 {
				ws := fmt.Sprintf("workspace-%03d", i)
				one.account.Offer(time.Now(), ws, "appraisal").End(report.Outcome{Code: codes.RequestDone, SlotTime: 87654321})
				one.account.Offer(time.Now(), ws, "appraisal").End(report.Outcome{Code: codes.Overloaded})
			}
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		rate := float64(fl.sentBytes) / span.Seconds()
		t.Logf("bytes per second of all copies: %.0f", rate)
		is.True(rate < 7000)
	})
}

func TestLostRepliesOfCopies(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		is := is.New(t)
		one, two := fl.start("h1", "centro"), fl.start("h2", "centro")
		fl.setLoseReply(true)
		one.recordRequests(5)
		time.Sleep(2*report.SnapshotEvery + time.Second)
		one.recordRequests(5)
		time.Sleep(2 * report.SnapshotEvery)
		fl.setLoseReply(false)
		time.Sleep(report.SnapshotEvery)
		one.kill()
		is.Equal(two.buildReport(t).Rows[0].Done, int64(10))
	})
}

// TestOnlyHostOfItsZoneCopiesToAnotherZone checks that a host that is alone in
// its zone sends its account to a host of another zone.
func TestOnlyHostOfItsZoneCopiesToAnotherZone(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		is := is.New(t)
		one, two := fl.start("h1", "centro"), fl.start("h2", "sur")
		one.recordRequests(5)
		time.Sleep(2*report.SnapshotEvery + time.Second)
		one.kill()
		time.Sleep(report.SnapshotEvery)
		da := two.buildReport(t)
		is.Equal(da.Rows[0].Done, int64(5))
		is.Equal(da.Gaps[0].Host, "h1")
	})
}

func TestCollectReportsUnreachableHosts(t *testing.T) {
	inFleet(t, func(t *testing.T, fl *fleet) {
		is := is.New(t)
		one := fl.start("h1", "centro")
		two := fl.start("h2", "centro")
		fl.setLoseReply(true)
		_, missing := one.replicator.Collect(t.Context(), time.Now(), "2000-01-01")
		is.Equal(missing, []string{"h2"})
		is.True(two.account.RejectedEnds() == 0)
	})
}

func TestFewReplicasMoveWhenAHostLeaves(t *testing.T) {
	is := is.New(t)
	var candidates []peers.Member
	for i := range 8 {
		candidates = append(candidates, peers.Member{Name: fmt.Sprint("h", i)})
	}
	moved := 0
	for i := range 100 {
		owner := fmt.Sprint("o", i)
		before := report.Replicas(owner, candidates, 2)
		after := report.Replicas(owner, candidates[1:], 2)
		is.Equal(len(before), 2)
		if slices.Contains(before, candidates[0]) {
			moved++
			continue
		}
		is.Equal(before, after)
	}
	is.True(moved < 50)
}
