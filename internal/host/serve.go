package host

import (
	"context"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/claim"
	"github.com/cicadawharf/cicadawharf/internal/conf"
	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// claimAdapter adapts claim.Table to entry.Claims.
type claimAdapter struct{ table *claim.Table }

// Acquire implements entry.Claims.
func (cl claimAdapter) Acquire(ctx context.Context, ec entry.Claim) (*entry.Claim, error) {
	prior, err := cl.table.Acquire(ctx, claim.Claim(ec))
	if prior == nil {
		return nil, err
	}
	out := entry.Claim(*prior)
	return &out, err
}

// SetOutcome implements entry.Claims.
func (cl claimAdapter) SetOutcome(ctx context.Context, ec entry.Claim) error {
	return cl.table.SetOutcome(ctx, claim.Claim(ec))
}

// registerHandlers registers the handlers of calls from other hosts. Calls about
// jobs go to the local scheduler only: a host that isn't the leader returns
// NoScheduler, and the calling host looks for the leader.
func (ho *Host) registerHandlers() {
	peers.Handle(ho.mesh, peers.MethodSubmitJob, func(ctx context.Context, _ string, rq *wire.SubmitJob) (*wire.Job, error) {
		rc, err := ho.zone.Submit(ctx, jobs.FromWire(rq.GetJob()).Spec)
		return jobs.ToWire(rc), err
	})
	peers.Handle(ho.mesh, peers.MethodGetJob, func(ctx context.Context, _ string, rq *wire.GetJob) (*wire.Job, error) {
		rc, err := ho.zone.Get(ctx, rq.GetId(), time.Duration(rq.GetWaitMillis())*time.Millisecond)
		return jobs.ToWire(rc), err
	})
	peers.Handle(ho.mesh, peers.MethodCancelJob, func(ctx context.Context, _ string, rq *wire.CancelJob) (*wire.Job, error) {
		rc, err := ho.zone.Cancel(ctx, rq.GetId())
		return jobs.ToWire(rc), err
	})
	peers.Handle(ho.mesh, peers.MethodListJobs, func(ctx context.Context, _ string, rq *wire.ListJobs) (*wire.JobList, error) {
		rcs, err := ho.zone.List(ctx, jobs.Filter{Workspace: rq.GetWorkspace(), Active: rq.GetActive()})
		reply := &wire.JobList{}
		for _, rc := range rcs {
			reply.Jobs = append(reply.Jobs, jobs.ToWire(rc))
		}
		return reply, err
	})
	peers.Handle(ho.mesh, peers.MethodGetConfig, func(_ context.Context, _ string, rq *wire.GetConfig) (*wire.Config, error) {
		return ho.newerDeclarations(rq.GetRevision()), nil
	})
	peers.Handle(ho.mesh, peers.MethodGetSummary, func(context.Context, string, *wire.GetSummary) (*wire.Summary, error) {
		sm, ok := ho.zone.Summary(time.Now())
		if !ok {
			return nil, codes.New(codes.NoScheduler, "host %s is not the scheduler of its zone", ho.se.Host.Name)
		}
		return &wire.Summary{
			Epoch: sm.Epoch, Workers: int32(sm.Workers), FreeAccelerators: int32(sm.FreeAccelerators),
			Waiting: int32(sm.Waiting), Running: int32(sm.Running),
		}, nil
	})
	ho.replicator.Register(ho.mesh)
}

// newerDeclarations returns the declarations in force if they are newer than a
// revision, or an empty message.
func (ho *Host) newerDeclarations(revision int64) *wire.Config {
	cur := ho.follower.Current()
	if cur == nil || cur.Revision <= revision {
		return &wire.Config{}
	}
	return &wire.Config{
		Revision: cur.Revision, Content: cur.Content, AppliedBy: cur.AppliedBy, AppliedNanos: cur.AppliedAt.UnixNano(),
		SinceNanos: sinceNanos(cur.Since),
	}
}

// fetchNewerDeclarations requests declarations newer than a revision from the peer
// with the largest revision. It returns nil, nil if no peer has newer ones.
func (ho *Host) fetchNewerDeclarations(ctx context.Context, revision int64) (*conf.AcceptedFile, error) {
	newest := peers.Member{DeclarationsRevision: revision}
	for _, me := range ho.mesh.Members(time.Now()) {
		if me.Alive && me.DeclarationsRevision > newest.DeclarationsRevision {
			newest = me
		}
	}
	if newest.Name == "" || newest.Name == ho.se.Host.Name {
		return nil, nil
	}
	var reply wire.Config
	if err := ho.mesh.Call(ctx, newest.Name, peers.MethodGetConfig, &wire.GetConfig{Revision: revision}, &reply); err != nil {
		return nil, err
	}
	if reply.GetRevision() <= revision {
		return nil, nil
	}
	af, err := conf.Parse(reply.GetRevision(), reply.GetContent(), reply.GetAppliedBy(), time.Unix(0, reply.GetAppliedNanos()).UTC())
	if err != nil {
		return nil, err
	}
	if nanos := reply.GetSinceNanos(); nanos != 0 {
		af = af.WithSince(time.Unix(0, nanos).UTC())
	}
	return &af, nil
}

// sinceNanos encodes a time in nanoseconds since 1970, an unknown one as zero.
func sinceNanos(since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return since.UnixNano()
}
