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
	// cluster is a set of hosts that call each other in memory.
	cluster struct {
		mu        sync.Mutex
		hosts     map[string]*clusterHost
		loseReply bool // calls take effect but return an error
		sentRows  int
		sentBytes int
	}

	// clusterHost is one host of a cluster. It implements peers.Caller and
	// peers.Registry.
	clusterHost struct {
		cluster    *cluster
		member     peers.Member
		handlers   map[string]peers.RawHandler
		account    *report.Account
		replicator *report.Replicator
		cancel     context.CancelFunc
		ended      chan error
	}
)

var errConnection = errors.New("connection failed")

func (cl *cluster) start(name, zone string) *clusterHost {
	ch := &clusterHost{
		cluster:  cl,
		member:   peers.Member{Name: name, Zone: zone, Incarnation: uint64(time.Now().UnixNano()), Alive: true},
		handlers: make(map[string]peers.RawHandler),
		ended:    make(chan error, 1),
	}
	ch.account = report.NewAccount(report.AccountConfig{Host: name, Zone: zone, Incarnation: ch.member.Incarnation})
	ch.replicator = report.NewReplicator(report.ReplicatorConfig{
		Account: ch.account, Copies: report.NewAccountStore(), Caller: ch, Members: cl.members,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ch.replicator.Register(ch)
	cl.mu.Lock()
	cl.hosts[name] = ch
	cl.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ch.cancel = cancel
	go func() { ch.ended <- ch.replicator.Run(ctx) }()
	return ch
}

// kill stops a host without Close.
func (ch *clusterHost) kill() {
	ch.cancel()
	<-ch.ended
	ch.cluster.mu.Lock()
	defer ch.cluster.mu.Unlock()
	delete(ch.cluster.hosts, ch.member.Name)
}

func (cl *cluster) killAll() {
	for _, me := range cl.members(time.Now()) {
		cl.hosts[me.Name].kill()
	}
}

func (cl *cluster) members(time.Time) []peers.Member {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var ms []peers.Member
	for _, ch := range cl.hosts {
		ms = append(ms, ch.member)
	}
	return ms
}

func (ch *clusterHost) Handle(method string, fn peers.RawHandler) { ch.handlers[method] = fn }

func (ch *clusterHost) Call(ctx context.Context, host, method string, req, reply proto.Message) error {
	ch.cluster.mu.Lock()
	to, loseReply := ch.cluster.hosts[host], ch.cluster.loseReply
	if ac, ok := req.(*wire.Account); ok {
		ch.cluster.sentRows += len(ac.GetRows())
		ch.cluster.sentBytes += proto.Size(ac)
	}
	ch.cluster.mu.Unlock()
	if to == nil {
		return &peers.NotSentError{Host: host, Err: errConnection}
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	response, err := to.handlers[method](ctx, ch.member.Name, payload)
	if err != nil || loseReply {
		return errors.Join(err, errConnection)
	}
	return proto.Unmarshal(response, reply)
}

func (cl *cluster) setLoseReply(loseReply bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.loseReply = loseReply
}

func (cl *cluster) rows() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.sentRows
}

// buildReport returns the report of the current day, built on one host.
func (ch *clusterHost) buildReport(t *testing.T) report.Daily {
	t.Helper()
	now := time.Now()
	day, err := report.ParseDay(report.DayOf(now, time.UTC), time.UTC)
	if err != nil {
		t.Fatal(err)
	}
	accounts, missing := ch.replicator.Collect(t.Context(), now, day.Name)
	da := report.Build(day, report.Input{Accounts: accounts, Missing: missing, Now: time.Now()})
	if err := da.Check(); err != nil {
		t.Error(err)
	}
	return da
}

func (ch *clusterHost) recordRequests(count int) {
	for range count {
		ch.account.Offer(time.Now(), "sacos", "price").End(report.Outcome{Code: codes.RequestDone})
	}
}

// inCluster runs a test on an empty cluster in a synctest bubble.
func inCluster(t *testing.T, fn func(t *testing.T, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{hosts: make(map[string]*clusterHost)}
		fn(t, cl)
		cl.killAll()
	})
}

// TestCountersSurviveTheReplacementOfEveryHost replaces all hosts of a zone,
// one after the other, by hosts with other names. The old hosts are killed or shut
// down gracefully.
func TestCountersSurviveTheReplacementOfEveryHost(t *testing.T) {
	for _, graceful := range []bool{false, true} {
		t.Run(fmt.Sprintf("graceful=%v", graceful), func(t *testing.T) {
			inCluster(t, func(t *testing.T, cl *cluster) {
				is := is.New(t)
				var hs []*clusterHost
				for i := range 3 {
					hs = append(hs, cl.start(fmt.Sprintf("h%d", i), "centro"))
				}
				for i := 3; i < 12; i++ {
					hs[0].recordRequests(10)
					time.Sleep(2 * report.SnapshotEvery)
					if graceful {
						hs[0].recordRequests(1) // after the last copy
						hs[0].cancel()
						is.NoErr(<-hs[0].ended)
						is.True(hs[0].replicator.Close(t.Context(), time.Now()))
						hs[0].ended <- nil
					}
					hs[0].kill()
					hs = append(hs[1:], cl.start(fmt.Sprintf("h%d", i), "centro"))
				}
				time.Sleep(2 * report.SnapshotEvery)
				da := hs[0].buildReport(t)
				if graceful {
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
	inCluster(t, func(t *testing.T, cl *cluster) {
		is := is.New(t)
		one := cl.start("h1", "centro")
		cl.start("h2", "centro")
		for i := range 100 {
			one.account.Offer(time.Now(), fmt.Sprint("w", i), "price").End(report.Outcome{Code: codes.RequestDone})
		}
		time.Sleep(2*report.SnapshotEvery + time.Second)
		is.Equal(cl.rows(), 100)
		one.recordRequests(1)
		time.Sleep(2 * report.SnapshotEvery)
		is.Equal(cl.rows(), 101)
	})
}

// TestCopyTrafficIsLimited offers requests of 220 workspaces continuously. Copies
// and membership (at most 7 KB/s) must stay within 14 KB/s, so copies may take
// 7 KB/s.
func TestCopyTrafficIsLimited(t *testing.T) {
	inCluster(t, func(t *testing.T, cl *cluster) {
		is := is.New(t)
		one := cl.start("h0", "centro")
		for i := 1; i < 8; i++ {
			cl.start(fmt.Sprint("h", i), "centro")
		}
		const span = time.Minute
		for began := time.Now(); time.Since(began) < span; time.Sleep(time.Second) {
			for i := range 220 {
				ws := fmt.Sprintf("workspace-%03d", i)
				one.account.Offer(time.Now(), ws, "appraisal").End(report.Outcome{Code: codes.RequestDone, SlotTime: 87654321})
				one.account.Offer(time.Now(), ws, "appraisal").End(report.Outcome{Code: codes.Overloaded})
			}
		}
		cl.mu.Lock()
		defer cl.mu.Unlock()
		rate := float64(cl.sentBytes) / span.Seconds()
		t.Logf("bytes per second of all copies: %.0f", rate)
		is.True(rate < 7000)
	})
}

// TestLostRepliesOfCopiesChangeNoCounts lets copies take effect although the sender
// sees an error and sends them again. No request may be lost or counted twice.
func TestLostRepliesOfCopiesChangeNoCounts(t *testing.T) {
	inCluster(t, func(t *testing.T, cl *cluster) {
		is := is.New(t)
		one, two := cl.start("h1", "centro"), cl.start("h2", "centro")
		cl.setLoseReply(true)
		one.recordRequests(5)
		time.Sleep(2*report.SnapshotEvery + time.Second)
		one.recordRequests(5)
		time.Sleep(2 * report.SnapshotEvery)
		cl.setLoseReply(false)
		time.Sleep(report.SnapshotEvery)
		one.kill()
		is.Equal(two.buildReport(t).Rows[0].Done, int64(10))
	})
}

// TestOnlyHostOfItsZoneCopiesToAnotherZone checks that a host that is alone in
// its zone sends its account to a host of another zone.
func TestOnlyHostOfItsZoneCopiesToAnotherZone(t *testing.T) {
	inCluster(t, func(t *testing.T, cl *cluster) {
		is := is.New(t)
		one, two := cl.start("h1", "centro"), cl.start("h2", "sur")
		one.recordRequests(5)
		time.Sleep(2*report.SnapshotEvery + time.Second)
		one.kill()
		time.Sleep(report.SnapshotEvery)
		da := two.buildReport(t)
		is.Equal(da.Rows[0].Done, int64(5))
		is.Equal(da.Gaps[0].Host, "h1")
	})
}

// TestCollectReportsUnreachableHosts guards against a report that silently lacks
// the counters of a host.
func TestCollectReportsUnreachableHosts(t *testing.T) {
	inCluster(t, func(t *testing.T, cl *cluster) {
		is := is.New(t)
		one := cl.start("h1", "centro")
		two := cl.start("h2", "centro")
		cl.setLoseReply(true)
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
