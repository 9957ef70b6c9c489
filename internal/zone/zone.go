// Package zone runs the scheduler of an availability zone. It does the I/O for
// the core in package sched: leader election among the entry hosts, writes to
// the store, calls to workers, and requests of callers.
//
// Every entry host runs a Zone, and the one that holds a lease in the
// platform's store is the leader. Each lease comes with an epoch (a fencing
// token) from a counter that only grows. The leader rewrites every bucket under
// its epoch before it does anything else, so that writes of an earlier leader
// fail, and every worker refuses an epoch smaller than the largest it has seen.
// While the store is unavailable no host can obtain a larger epoch, and the
// leader continues.
package zone

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Config constructs a Zone.
	Config struct {
		Host                string // name of this entry host
		Zone                string // name of the availability zone
		Store               store.Store
		Workers             worker.Client
		Declarations        func() *spec.Declarations // returns nil until there are any
		DeclarationsChanged func() <-chan struct{}    // closed at the next change of the declarations
		Hosts               func() plat.List
		HostsChanged        func() <-chan struct{} // closed at the next change of Hosts
		Log                 *slog.Logger
	}

	// Leader names the entry host that schedules a zone, and the epoch of its term.
	Leader struct {
		Host  string `json:"host"`
		Epoch int64  `json:"epoch"`
	}

	// Zone is the part of an availability zone's scheduler that runs on one
	// entry host. It implements jobs.Scheduler; unless this host is the leader,
	// the methods return codes.NoScheduler.
	Zone struct {
		cfg             Config
		mu              sync.Mutex  // guards the fields below
		core            *sched.Core // nil unless this host is the leader
		buckets         *bucketStore
		calls           *workerCalls
		endWaits        map[string][]chan struct{} // channels to be closed at the end of a job, by its ID
		pendingRequests map[sched.RequestID]pendingRequest
		lastRequestID   sched.RequestID
		leader          Leader             // last leader known to this host
		maxEpoch        int64              // largest epoch seen
		resign          context.CancelFunc // ends the term

		storeUnavailable bool // as of the last renewal of the lease
	}

	// pendingRequest is a caller's request that the core has not answered.
	pendingRequest struct {
		answer      chan sched.Answer
		unknownCode codes.Code // code if the term or the caller's context ends before the core answers
	}
)

const (
	// Buckets is the number of values in the store that hold a zone's jobs.
	Buckets = 8

	tickInterval          = 250 * time.Millisecond
	noSchedulerRetryAfter = time.Second // retry delay for callers while there is no leader
)

// New returns a zone that does nothing until Run is called.
func New(cfg Config) *Zone {
	return &Zone{
		cfg:             cfg,
		endWaits:        map[string][]chan struct{}{},
		pendingRequests: map[sched.RequestID]pendingRequest{},
	}
}

// Leader returns the last leader known to this host.
func (zo *Zone) Leader() Leader {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	return zo.leader
}

// IsLeader reports whether this host is the leader.
func (zo *Zone) IsLeader() bool {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	return zo.core != nil
}

// Summary returns the counts for the zone's status. It returns false if this
// host is not the leader.
func (zo *Zone) Summary(now time.Time) (sched.Summary, bool) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil {
		return sched.Summary{}, false
	}
	return zo.core.Summary(now), true
}

// Submit implements jobs.Scheduler.
func (zo *Zone) Submit(ctx context.Context, sp jobs.Spec) (jobs.Record, error) {
	if err := zo.checkNewJob(sp.ID); err != nil {
		return jobs.Record{}, err
	}
	return zo.request(ctx, codes.SubmitUnknown, func(rid sched.RequestID) sched.Event {
		return sched.Submitted{RequestID: rid, Spec: sp}
	})
}

// Cancel implements jobs.Scheduler.
func (zo *Zone) Cancel(ctx context.Context, id string) (jobs.Record, error) {
	return zo.request(ctx, codes.CancelUnknown, func(rid sched.RequestID) sched.Event {
		return sched.CancelRequested{RequestID: rid, ID: id}
	})
}

// Get implements jobs.Scheduler.
func (zo *Zone) Get(ctx context.Context, id string, wait time.Duration) (jobs.Record, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rc, ended, err := zo.lookUp(id)
		if err != nil || !rc.Active() || wait <= 0 {
			return rc, err
		}
		select {
		case <-ended:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return rc, nil
		}
	}
}

// List implements jobs.Scheduler.
func (zo *Zone) List(_ context.Context, fi jobs.Filter) ([]jobs.Record, error) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil {
		return nil, zo.noScheduler()
	}
	return zo.core.List(fi), nil
}

// lookUp returns a record and a channel that is closed when the job ends or this
// host is no longer the leader.
func (zo *Zone) lookUp(id string) (jobs.Record, <-chan struct{}, error) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil {
		return jobs.Record{}, nil, zo.noScheduler()
	}
	rc, ok := zo.core.Get(id)
	if !ok {
		return jobs.Record{}, nil, codes.New(codes.JobNotFound, "job %q does not exist", id)
	}
	ended := make(chan struct{})
	if rc.Active() {
		zo.endWaits[id] = append(zo.endWaits[id], ended)
	}
	return rc, ended, nil
}

// request passes an event with a new request ID to the core and waits for its
// answer. If ctx or the term ends before that, the error has unknownCode.
func (zo *Zone) request(ctx context.Context, unknownCode codes.Code, event func(sched.RequestID) sched.Event) (jobs.Record, error) {
	rid, answer, err := zo.addPendingRequest(unknownCode)
	if err != nil {
		return jobs.Record{}, err
	}
	zo.handle(event(rid))
	select {
	case an := <-answer:
		return an.Record, an.Err
	case <-ctx.Done():
		zo.mu.Lock()
		delete(zo.pendingRequests, rid)
		zo.mu.Unlock()
		return jobs.Record{}, codes.New(unknownCode, "the scheduler has not answered yet: %v", ctx.Err())
	}
}

// addPendingRequest assigns a request ID and returns the channel on which the
// answer to the request will be sent.
func (zo *Zone) addPendingRequest(unknownCode codes.Code) (sched.RequestID, <-chan sched.Answer, error) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil {
		return 0, nil, zo.noScheduler()
	}
	zo.lastRequestID++
	answer := make(chan sched.Answer, 1)
	zo.pendingRequests[zo.lastRequestID] = pendingRequest{answer: answer, unknownCode: unknownCode}
	return zo.lastRequestID, answer, nil
}

func (zo *Zone) noScheduler() error {
	return codes.New(codes.NoScheduler, "host %s does not schedule availability zone %s", zo.cfg.Host, zo.cfg.Zone).WithRetryAfter(noSchedulerRetryAfter)
}

// handle passes an event to the core and carries out its effects. Events after
// the end of the term are dropped; their callers are answered by endTerm.
func (zo *Zone) handle(ev sched.Event) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	if zo.core == nil {
		return
	}
	for _, ef := range zo.core.Handle(time.Now(), ev) {
		zo.perform(ef)
	}
}

// perform carries out an effect without waiting for I/O. The caller holds mu.
func (zo *Zone) perform(ef sched.Effect) {
	switch ef := ef.(type) {
	case sched.Write:
		zo.buckets.write(ef)
	case sched.Send:
		zo.calls.send(ef)
	case sched.Answer:
		if pr, ok := zo.pendingRequests[ef.RequestID]; ok {
			pr.answer <- ef
			delete(zo.pendingRequests, ef.RequestID)
		}
	case sched.JobEnded:
		zo.notifyEnd(ef.Record.ID)
	case sched.LogDecision:
		zo.logDecision(ef)
	case sched.Resign:
		zo.cfg.Log.Warn("leader resigns", "event", "resign", "zone", zo.cfg.Zone, "reason", ef.Reason)
		zo.resign()
	}
}

// notifyEnd notifies the callers that wait for the end of a job. The caller holds
// mu.
func (zo *Zone) notifyEnd(id string) {
	for _, ended := range zo.endWaits[id] {
		close(ended)
	}
	delete(zo.endWaits, id)
}

// logDecision logs a scheduling decision. The key candidates has the number of
// placements considered, and rejected how many of them were not chosen, by
// reason.
func (zo *Zone) logDecision(ld sched.LogDecision) {
	zo.cfg.Log.Info("scheduling decision", "event", "place", "zone", zo.cfg.Zone, "decision", ld.Decision, "job", ld.Job,
		"workspace", ld.Workspace, "attempt", ld.Attempt, "workers", ld.Workers, "candidates", ld.Candidates, "rejected", ld.Rejected,
		"victims", ld.Victims, "reason", ld.Reason)
}

// observeEpoch records an epoch that a worker or a bucket has.
func (zo *Zone) observeEpoch(epoch int64) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	zo.maxEpoch = max(zo.maxEpoch, epoch)
}

// ObserveLeader records the leader known to a peer. If this host is the leader
// with a smaller epoch, it resigns.
func (zo *Zone) ObserveLeader(le Leader) {
	zo.mu.Lock()
	defer zo.mu.Unlock()
	zo.maxEpoch = max(zo.maxEpoch, le.Epoch)
	if zo.core != nil && le.Epoch > zo.leader.Epoch {
		zo.cfg.Log.Warn("leader resigns", "event", "resign", "zone", zo.cfg.Zone, "reason", "a peer has seen a larger epoch")
		zo.resign()
		return
	}
	if le.Epoch > zo.leader.Epoch {
		zo.leader = le
	}
}
