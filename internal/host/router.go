package host

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// JobRouterConfig configures a JobRouter.
	JobRouterConfig struct {
		Zone    string // of this host
		Local   LocalScheduler
		Caller  peers.Caller
		Members func(now time.Time) []peers.Member
	}

	// LocalScheduler is this host's scheduler of its own zone. The methods of
	// jobs.Scheduler return NoScheduler while this host isn't the leader.
	LocalScheduler interface {
		jobs.Scheduler
		// IsLeader reports whether this host is the leader.
		IsLeader() bool
		// Summary returns the counts of the zone, or false if this host isn't
		// the leader.
		Summary(now time.Time) (sched.Summary, bool)
	}

	// JobRouter is the jobs.Scheduler of all zones. It routes a call to the
	// scheduler of the zone that is part of the job's ID, on this or another host.
	// The leader of a zone is the host whose scheduler was elected.
	JobRouter struct{ cfg JobRouterConfig }
)

const (
	// schedulerTimeout limits the retries of a call. It is long enough for a
	// change of the leader.
	schedulerTimeout       = 2 * time.Second
	schedulerRetryInterval = 100 * time.Millisecond
	retryAfter             = 2 * time.Second
)

// NewJobRouter returns a JobRouter.
func NewJobRouter(cfg JobRouterConfig) *JobRouter { return &JobRouter{cfg: cfg} }

// Submit implements jobs.Scheduler.
func (jr *JobRouter) Submit(ctx context.Context, sp jobs.Spec) (jobs.Record, error) {
	if sp.ID == "" {
		return jobs.Record{}, codes.New(codes.BadRequest, "job without an ID")
	}
	local := func() (jobs.Record, error) { return jr.cfg.Local.Submit(ctx, sp) }
	rq := &wire.SubmitJob{Job: jobs.ToWire(jobs.Record{Spec: sp})}
	return jr.callForJob(ctx, jobs.ZoneOf(sp.ID), peers.MethodSubmitJob, rq, codes.SubmitUnknown, local)
}

// Get implements jobs.Scheduler.
func (jr *JobRouter) Get(ctx context.Context, id string, wait time.Duration) (jobs.Record, error) {
	local := func() (jobs.Record, error) { return jr.cfg.Local.Get(ctx, id, wait) }
	rq := &wire.GetJob{Id: id, WaitMillis: wait.Milliseconds()}
	return jr.callForJob(ctx, jobs.ZoneOf(id), peers.MethodGetJob, rq, codes.ZoneUnreachable, local)
}

// Cancel implements jobs.Scheduler.
func (jr *JobRouter) Cancel(ctx context.Context, id string) (jobs.Record, error) {
	local := func() (jobs.Record, error) { return jr.cfg.Local.Cancel(ctx, id) }
	return jr.callForJob(ctx, jobs.ZoneOf(id), peers.MethodCancelJob, &wire.CancelJob{Id: id}, codes.CancelUnknown, local)
}

// List implements jobs.Scheduler. It lists only the jobs of this host's zone.
func (jr *JobRouter) List(ctx context.Context, fi jobs.Filter) ([]jobs.Record, error) {
	return jr.ListZone(ctx, jr.cfg.Zone, fi)
}

// ListZone returns the records of one zone.
func (jr *JobRouter) ListZone(ctx context.Context, zone string, fi jobs.Filter) ([]jobs.Record, error) {
	var rcs []jobs.Record
	err := jr.callScheduler(ctx, zone, codes.ZoneUnreachable, func() error {
		var err error
		rcs, err = jr.cfg.Local.List(ctx, fi)
		return err
	}, func(host string) error {
		var reply wire.JobList
		rq := &wire.ListJobs{Workspace: fi.Workspace, Active: fi.Active}
		if err := jr.cfg.Caller.Call(ctx, host, peers.MethodListJobs, rq, &reply); err != nil {
			return err
		}
		rcs = nil
		for _, jb := range reply.GetJobs() {
			rcs = append(rcs, jobs.FromWire(jb))
		}
		return nil
	})
	return rcs, err
}

// ListAcrossZones implements entry.ZoneLister for all zones with known hosts. It
// also returns the names of the zones that couldn't be listed. The error is
// always nil.
func (jr *JobRouter) ListAcrossZones(ctx context.Context, fi jobs.Filter) ([]jobs.Record, []string, error) {
	var rcs []jobs.Record
	var unreachable []string
	seen := map[string]bool{jr.cfg.Zone: true}
	zones := []string{jr.cfg.Zone}
	for _, me := range jr.cfg.Members(time.Now()) {
		if !seen[me.Zone] {
			seen[me.Zone] = true
			zones = append(zones, me.Zone)
		}
	}
	for _, zone := range zones {
		found, err := jr.ListZone(ctx, zone, fi)
		if err != nil {
			unreachable = append(unreachable, zone)
			continue
		}
		rcs = append(rcs, found...)
	}
	return rcs, unreachable, nil
}

// Summary returns the counts of a zone, from its scheduler.
func (jr *JobRouter) Summary(ctx context.Context, now time.Time, zone string) (sched.Summary, error) {
	var sm sched.Summary
	err := jr.callScheduler(ctx, zone, codes.ZoneUnreachable, func() error {
		var ok bool
		if sm, ok = jr.cfg.Local.Summary(now); !ok {
			return codes.New(codes.NoScheduler, "this host is not the scheduler of availability zone %s", zone)
		}
		return nil
	}, func(host string) error {
		var reply wire.Summary
		if err := jr.cfg.Caller.Call(ctx, host, peers.MethodGetSummary, &wire.GetSummary{}, &reply); err != nil {
			return err
		}
		sm = sched.Summary{
			Epoch: reply.GetEpoch(), Workers: int(reply.GetWorkers()), FreeAccelerators: int(reply.GetFreeAccelerators()),
			Waiting: int(reply.GetWaiting()), Running: int(reply.GetRunning()),
		}
		return nil
	})
	return sm, err
}

// callForJob calls the scheduler of a zone about one job and returns the job's
// record. local makes the call if this host is the scheduler.
func (jr *JobRouter) callForJob(
	ctx context.Context, zone, method string, rq proto.Message, unknownCode codes.Code, local func() (jobs.Record, error),
) (jobs.Record, error) {
	var rc jobs.Record
	err := jr.callScheduler(ctx, zone, unknownCode, func() error {
		var err error
		rc, err = local()
		return err
	}, func(host string) error {
		var reply wire.Job
		if err := jr.cfg.Caller.Call(ctx, host, method, rq, &reply); err != nil {
			return err
		}
		rc = jobs.FromWire(&reply)
		return nil
	})
	return rc, err
}

// callScheduler calls the scheduler of a zone on whichever host it runs. It
// retries only a call that certainly had no effect, because it wasn't sent or
// the host isn't the leader. A failure with an unknown outcome gets the code
// unknownCode.
func (jr *JobRouter) callScheduler(ctx context.Context, zone string, unknownCode codes.Code, local func() error, remote func(host string) error) error {
	retryCtx, cancel := context.WithTimeout(ctx, schedulerTimeout)
	defer cancel()
	for {
		host, known := jr.schedulerOf(time.Now(), zone)
		var err error
		switch {
		case !known:
			err = codes.New(codes.ZoneUnreachable, "no host of availability zone %s is reachable", zone)
		case host == "":
			err = local()
		default:
			err = remote(host)
		}
		if !safeToRetry(err) {
			return ensureCode(err, unknownCode)
		}
		if !pause.For(retryCtx, schedulerRetryInterval) {
			return withRetryAfter(err, zone)
		}
	}
}

// schedulerOf returns the host to call for a zone. That is this host if it is the
// zone's leader, or else the scheduler that the alive member with the largest
// epoch reports. If that scheduler isn't alive, it is this host in its own zone
// and any alive member in another. An empty name stands for the scheduler on this
// host, which returns NoScheduler while it isn't the leader. schedulerOf returns
// false if no host of the zone is alive.
func (jr *JobRouter) schedulerOf(now time.Time, zone string) (string, bool) {
	if zone == jr.cfg.Zone && jr.cfg.Local.IsLeader() {
		return "", true
	}
	newest := peers.Member{}
	var alive []peers.Member
	for _, me := range jr.cfg.Members(now) {
		if me.Zone != zone || !me.Alive {
			continue
		}
		alive = append(alive, me)
		if me.SchedulerEpoch > newest.SchedulerEpoch {
			newest = me
		}
	}
	if len(alive) == 0 {
		return "", false
	}
	if slices.ContainsFunc(alive, func(me peers.Member) bool { return me.Name == newest.Scheduler }) {
		return newest.Scheduler, true
	}
	if zone == jr.cfg.Zone {
		return "", true // returns NoScheduler
	}
	return alive[0].Name, true
}

// safeToRetry reports whether an error shows that the call had no effect.
func safeToRetry(err error) bool {
	var notSent *peers.NotSentError
	if errors.As(err, &notSent) {
		return true
	}
	var er *codes.Error
	return errors.As(err, &er) && (er.Code == codes.NoScheduler || er.Code == codes.ZoneUnreachable)
}

// ensureCode returns err, or an error with unknownCode if err has no code.
func ensureCode(err error, unknownCode codes.Code) error {
	var er *codes.Error
	if err == nil || errors.As(err, &er) {
		return err
	}
	return codes.New(unknownCode, "%v", err).WithRetryAfter(retryAfter)
}

// withRetryAfter adds the retry delay to the error of a call that had no effect.
func withRetryAfter(err error, zone string) error {
	var er *codes.Error
	if errors.As(err, &er) {
		return er.WithRetryAfter(retryAfter)
	}
	return codes.New(codes.ZoneUnreachable, "availability zone %s: %v", zone, err).WithRetryAfter(retryAfter)
}
