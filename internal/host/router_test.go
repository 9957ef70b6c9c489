package host_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/host"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// scheduler is a fake scheduler of one host that counts the calls that it
	// receives as the leader.
	scheduler struct {
		leads bool
		calls int
		err   error // returned by every call while it is the leader
	}

	// network is a fake peers.Caller for the schedulers of other hosts.
	network struct {
		hosts       map[string]*scheduler
		replyErr    error // returned although the call took effect
		partitioned bool  // no call reaches any host
		members     []peers.Member
		called      []string // hosts, in order of the calls

		changeDue time.Time // when change is due
		change    func()
	}
)

var (
	errLost   = errors.New("connection reset")
	errUnsent = errors.New("not connected")
)

func (sc *scheduler) handle() error {
	if !sc.leads {
		return codes.New(codes.NoScheduler, "not the scheduler").WithRetryAfter(time.Second)
	}
	sc.calls++
	return sc.err
}

func (sc *scheduler) IsLeader() bool { return sc.leads }

func (sc *scheduler) Submit(_ context.Context, sp jobs.Spec) (jobs.Record, error) {
	return jobs.Record{Spec: sp}, sc.handle()
}

func (sc *scheduler) Get(_ context.Context, id string, _ time.Duration) (jobs.Record, error) {
	return jobs.Record{Spec: jobs.Spec{ID: id}}, sc.handle()
}

func (sc *scheduler) List(context.Context, jobs.Filter) ([]jobs.Record, error) {
	return []jobs.Record{{Spec: jobs.Spec{ID: "listed"}}}, sc.handle()
}

func (sc *scheduler) Cancel(_ context.Context, id string) (jobs.Record, error) {
	return jobs.Record{Spec: jobs.Spec{ID: id}}, sc.handle()
}

func (sc *scheduler) Summary(time.Time) (sched.Summary, bool) {
	return sched.Summary{Workers: 3}, sc.handle() == nil
}

// Call implements peers.Caller.
func (nw *network) Call(ctx context.Context, to, method string, rq, reply proto.Message) error {
	nw.called = append(nw.called, to)
	sc, ok := nw.hosts[to]
	if !ok || nw.partitioned {
		return &peers.NotSentError{Host: to, Err: errUnsent}
	}
	var rc jobs.Record
	var err error
	switch rq := rq.(type) {
	case *wire.SubmitJob:
		rc, err = sc.Submit(ctx, jobs.FromWire(rq.GetJob()).Spec)
	case *wire.GetJob:
		rc, err = sc.Get(ctx, rq.GetId(), 0)
	case *wire.CancelJob:
		rc, err = sc.Cancel(ctx, rq.GetId())
	case *wire.ListJobs:
		rcs, err := sc.List(ctx, jobs.Filter{})
		reply.(*wire.JobList).Jobs = []*wire.Job{jobs.ToWire(rcs[0])}
		return errors.Join(err, nw.replyErr)
	case *wire.GetSummary:
		reply.(*wire.Summary).Workers = 3
		return errors.Join(sc.handle(), nw.replyErr)
	default:
		return fmt.Errorf("unexpected call of %s", method)
	}
	if err != nil {
		return err
	}
	if nw.replyErr != nil {
		return nw.replyErr
	}
	proto.Merge(reply, jobs.ToWire(rc))
	return nil
}

// member returns an alive host that reports leader as its zone's scheduler.
func member(name, zn string, epoch int64, leader string) peers.Member {
	return peers.Member{Name: name, Zone: zn, Alive: true, SchedulerEpoch: epoch, Scheduler: leader}
}

// newNetwork returns a network of this host l1 in zone lima and of zone cusco
// with two hosts, of which c2 is the scheduler.
func newNetwork() *network {
	return &network{
		hosts: map[string]*scheduler{"c1": {}, "c2": {leads: true}},
		members: []peers.Member{
			member("l1", "lima", 1, "l1"), member("c1", "cusco", 1, "c1"), member("c2", "cusco", 2, "c2"),
		},
	}
}

// currentMembers returns the members at a time, after a change that is due.
func (nw *network) currentMembers(now time.Time) []peers.Member {
	if nw.change != nil && !now.Before(nw.changeDue) {
		nw.change()
		nw.change = nil
	}
	return nw.members
}

// scheduleChange calls do after a delay, on the goroutine that makes the calls.
func (nw *network) scheduleChange(d time.Duration, do func()) {
	nw.changeDue = time.Now().Add(d)
	nw.change = do
}

// router returns the router of host l1 in zone lima.
func (nw *network) router(local *scheduler) *host.JobRouter {
	return host.NewJobRouter(host.JobRouterConfig{
		Zone: "lima", Local: local, Caller: nw, Members: nw.currentMembers,
	})
}

// operation is one method of the router under test.
type operation struct {
	name        string
	call        func(ctx context.Context, jr *host.JobRouter, id string) error
	unknownCode codes.Code
}

var operations = []operation{
	{"submit", func(ctx context.Context, jr *host.JobRouter, id string) error {
		rc, err := jr.Submit(ctx, jobs.Spec{ID: id})
		return checkID(rc, id, err)
	}, codes.SubmitUnknown},
	{"cancel", func(ctx context.Context, jr *host.JobRouter, id string) error {
		rc, err := jr.Cancel(ctx, id)
		return checkID(rc, id, err)
	}, codes.CancelUnknown},
	{"get", func(ctx context.Context, jr *host.JobRouter, id string) error {
		rc, err := jr.Get(ctx, id, 0)
		return checkID(rc, id, err)
	}, codes.ZoneUnreachable},
	{"list", func(ctx context.Context, jr *host.JobRouter, id string) error {
		_, err := jr.ListZone(ctx, jobs.ZoneOf(id), jobs.Filter{})
		return err
	}, codes.ZoneUnreachable},
	{"summary", func(ctx context.Context, jr *host.JobRouter, id string) error {
		sm, err := jr.Summary(ctx, time.Now(), jobs.ZoneOf(id))
		if err == nil && sm.Workers != 3 {
			return fmt.Errorf("unexpected summary %+v", sm)
		}
		return err
	}, codes.ZoneUnreachable},
}

func checkID(rc jobs.Record, id string, err error) error {
	if err == nil && rc.ID != id {
		return fmt.Errorf("record of job %q", rc.ID)
	}
	return err
}

// forEachOperation runs a test for each operation in a synctest bubble.
func forEachOperation(t *testing.T, fn func(t *testing.T, op operation)) {
	for _, op := range operations {
		t.Run(op.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fn(t, op) })
		})
	}
}

// checkRetryableError checks the code of an error and that it has a retry delay.
func checkRetryableError(t *testing.T, err error, cd codes.Code) {
	t.Helper()
	is := is.New(t)
	var er *codes.Error
	is.True(errors.As(err, &er))
	is.Equal(er.Code, cd)
	is.True(er.RetryAfter > 0)
}

func TestRouterFindsTheSchedulerOfAnotherZone(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		is.NoErr(op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"))
		is.Equal(nw.called, []string{"c2"}) // the host with the largest reported epoch
		is.Equal(nw.hosts["c2"].calls, 1)
	})
}

func TestRouterFindsTheSchedulerOfItsOwnZone(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		local := &scheduler{leads: true}
		is.NoErr(op.call(t.Context(), nw.router(local), "lima.a"))
		is.Equal(local.calls, 1)
		is.Equal(len(nw.called), 0)

		local.leads = false
		nw.hosts["l2"] = &scheduler{leads: true}
		nw.members = append(nw.members, member("l2", "lima", 3, "l2"))
		is.NoErr(op.call(t.Context(), nw.router(local), "lima.a"))
		is.Equal(nw.called, []string{"l2"})
	})
}

func TestNoSchedulerIsRetriedUntilTheTimeout(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		c2 := nw.hosts["c2"]
		c2.leads = false
		nw.scheduleChange(time.Second, func() { c2.leads = true })
		is.NoErr(op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"))
		is.Equal(c2.calls, 1)
		is.True(len(nw.called) > 1)

		c2.leads = false
		began := time.Now()
		checkRetryableError(t, op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"), codes.NoScheduler)
		is.True(time.Since(began) < 3*time.Second)
		is.Equal(c2.calls, 1)
	})
}

func TestCallWithUnknownOutcomeIsNotRetried(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		nw.replyErr = errLost
		checkRetryableError(t, op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"), op.unknownCode)
		is.Equal(len(nw.called), 1)
		is.Equal(nw.hosts["c2"].calls, 1)
	})
}

// TestSchedulerErrorIsReturnedUnchanged guards against a router that retries a
// rejected call or replaces its code.
func TestSchedulerErrorIsReturnedUnchanged(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		nw.hosts["c2"].err = codes.New(codes.QuotaExceeded, "quota exceeded").WithRetryAfter(time.Minute)
		err := op.call(t.Context(), nw.router(&scheduler{}), "cusco.a")
		is.True(errors.Is(err, nw.hosts["c2"].err))
		is.Equal(len(nw.called), 1)
	})
}

func TestCallToAnUnreachableZoneFails(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		for i := range nw.members {
			nw.members[i].Alive = nw.members[i].Zone == "lima"
		}
		began := time.Now()
		checkRetryableError(t, op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"), codes.ZoneUnreachable)
		is.Equal(len(nw.called), 0)
		is.True(time.Since(began) < 3*time.Second)

		nw = newNetwork() // hosts are reported alive, but calls aren't sent
		nw.partitioned = true
		checkRetryableError(t, op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"), codes.ZoneUnreachable)
		is.Equal(nw.hosts["c2"].calls, 0)
	})
}

// TestDeadSchedulerIsSkipped lets the scheduler of a zone die and another host take
// over a second later. The calls must reach the new scheduler.
func TestDeadSchedulerIsSkipped(t *testing.T) {
	forEachOperation(t, func(t *testing.T, op operation) {
		is := is.New(t)
		nw := newNetwork()
		nw.members[2].Alive = false
		nw.scheduleChange(time.Second, func() {
			nw.hosts["c1"].leads = true
			nw.members[1] = member("c1", "cusco", 3, "c1")
		})
		is.NoErr(op.call(t.Context(), nw.router(&scheduler{}), "cusco.a"))
		is.Equal(nw.hosts["c1"].calls, 1)
		is.Equal(nw.hosts["c2"].calls, 0)
	})
}

func TestListZonesReportsUnreachableZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nw := newNetwork()
		nw.partitioned = true
		rcs, unreachable, err := nw.router(&scheduler{leads: true}).ListAcrossZones(t.Context(), jobs.Filter{})
		is.NoErr(err)
		is.Equal(len(rcs), 1)
		is.Equal(unreachable, []string{"cusco"})
	})
}
