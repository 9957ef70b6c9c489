package intake

import (
	"context"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// stateGauge estimates the memory that the scheduler needs for all accepted jobs:
// what the scheduler reported last, and what this host has accepted since.
type stateGauge struct {
	mu       sync.Mutex
	held     int64         // bytes, as reported
	accepted int64         // bytes, by this host since the report was read
	triedAt  time.Duration // uptime at which the report was last read, or could not be
	tried    bool
}

const (
	// stateReadInterval is the time after which the scheduler's report is read
	// again for a submission. It is shorter if more than half of the limit is in
	// use, since several hosts accept jobs at the same time.
	stateReadInterval     = 10 * time.Second
	stateBusyReadInterval = time.Second
	// stateReadTimeout bounds the time for which a submission waits for that read.
	stateReadTimeout = 250 * time.Millisecond
	// stateRetryAfter is the retry-after time in refusals for want of memory, which
	// becomes free as jobs end.
	stateRetryAfter = 10 * time.Second
	// maxJobShare is the part of the limit that one job may need.
	maxJobShare = 2 // a half
	// largeJobShare is the part of the limit from which a job waits for the
	// scheduler's report. Other jobs do so only beyond half of the limit.
	largeJobShare = 16
)

// checkState returns an error if the scheduler may not have the memory for another
// job. A job that was accepted before is accepted again.
func (in *Intake) checkState(ctx context.Context, up time.Duration, jb batch.Job) error {
	limit := batch.StateLimit(in.cfg.MemoryLimit)
	need := jb.Footprint(jb.UnitsPerOccurrence())
	if need > limit/maxJobShare {
		return codes.New(codes.ShapeTooLarge, "the job has %d tasks that may be due at once, which need more than half of a scheduler's memory", jb.UnitsPerOccurrence())
	}
	if in.state.due(up, need, limit) {
		in.refreshState(ctx, up, need, limit)
	}
	if in.state.fits(need, limit) {
		return nil
	}
	if en, err := in.read(ctx, up, batch.JobKey(jb.ID)); err != nil || en.Revision != 0 {
		return err
	}
	return codes.New(codes.QueueFull, "the accepted jobs need all of the memory that the scheduler has for them").WithRetryAfter(stateRetryAfter)
}

// refreshState reads the scheduler's report. A submission waits for it only if it
// may decide: callers have deadlines, and the store may not respond.
func (in *Intake) refreshState(ctx context.Context, up time.Duration, need, limit int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stateReadTimeout)
	done := make(chan struct{})
	go func() {
		defer cancel()
		defer close(done)
		in.readState(ctx, up)
	}()
	if in.state.mayExceed(need, limit) {
		<-done
	}
}

// readState reads the scheduler's report. If that fails, the last one remains in
// use.
func (in *Intake) readState(ctx context.Context, up time.Duration) {
	en, _, err := in.cfg.Store.Get(ctx, batch.BacklogKey)
	if err != nil {
		in.cfg.Log.Debug("the scheduler's report can't be read", "event", "stateUnread", "reason", err)
		return
	}
	if en.Revision == 0 {
		in.state.reported(up, 0)
		return
	}
	bl, err := batch.Decode[batch.Backlog](en.Value)
	if err != nil {
		in.cfg.Log.Warn("the scheduler's report can't be decoded", "event", "stateUnread", "reason", err)
		return
	}
	in.state.reported(up, bl.Held)
}

// due reports whether the scheduler's report should be read before a job with a
// footprint is accepted, and takes it for read then, so that one caller reads it.
func (sg *stateGauge) due(up time.Duration, need, limit int64) bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	interval := stateReadInterval
	if sg.held+sg.accepted+need > limit/2 {
		interval = stateBusyReadInterval
	}
	if sg.tried && up-sg.triedAt < interval {
		return false
	}
	sg.triedAt, sg.tried = up, true
	return true
}

// mayExceed reports whether the scheduler's report may decide about a job.
func (sg *stateGauge) mayExceed(need, limit int64) bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.held+sg.accepted+need > limit/2 || need > limit/largeJobShare
}

// fits reports whether a job with a footprint fits beside what is held.
func (sg *stateGauge) fits(need, limit int64) bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.held+sg.accepted+need <= limit
}

// reported records a report that was read at the uptime up.
func (sg *stateGauge) reported(up time.Duration, held int64) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.held, sg.accepted, sg.triedAt, sg.tried = held, 0, up, true
}

// add counts a job that this host has accepted.
func (sg *stateGauge) add(need int64) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.accepted += need
}
