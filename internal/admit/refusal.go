package admit

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	minRetryAfter        = 100 * time.Millisecond
	maxRetryAfter        = 30 * time.Second
	noEndpointRetryAfter = time.Second

	// estimateMarginDivisor sets the safety margin of wait estimates: one part
	// in estimateMarginDivisor of the queue time. Requests that arrive later but
	// are served earlier prolong the wait; without the margin, requests would
	// expire in the queue instead of being refused at once.
	estimateMarginDivisor = 4
)

// checkFeasible returns an error if a request that would be queued is not
// expected to get a slot before its deadline or within the queue time less the
// safety margin, and nil otherwise.
func (co *Controller) checkFeasible(now time.Time, tr *trackedRequest) *codes.Error {
	if co.capacity == 0 {
		return co.withRetryAfter(codes.New(codes.NoEndpoint, "no endpoint is usable"), noEndpointRetryAfter)
	}
	wait := co.estimateWait(tr)
	switch {
	case wait > co.cfg.QueueTime-co.cfg.QueueTime/estimateMarginDivisor:
		er := codes.New(codes.Overloaded, "the expected wait of %v for a slot is longer than the queue allows", wait.Round(time.Millisecond))
		return co.withRetryAfter(er, wait)
	case !tr.Deadline.IsZero() && now.Add(wait).After(tr.Deadline):
		er := codes.New(codes.DeadlinePassed, "the expected wait of %v for a slot ends after the deadline", wait.Round(time.Millisecond))
		return co.withRetryAfter(er, wait)
	}
	return nil
}

func (co *Controller) refuse(tr *trackedRequest, cd codes.Code, detail string) Decision {
	return Refused{Request: tr.Request, Err: co.withRetryAfter(codes.New(cd, "%s", detail), co.estimateWait(tr))}
}

// refuseExpired refuses a request that has been in the queue until its deadline
// or for the whole queue time.
func (co *Controller) refuseExpired(now time.Time, tr *trackedRequest) Decision {
	if !tr.Deadline.IsZero() && !now.Before(tr.Deadline) {
		return co.refuse(tr, codes.DeadlinePassed, "the deadline passed in the queue")
	}
	return co.refuse(tr, codes.Overloaded, "no slot became free within the queue time")
}

// estimateWait returns the expected time until tr gets a slot: the estimated
// number of requests of its workspace up to and including tr, times the mean
// service time, divided by the slots that the workspace is expected to get.
// The number is the position of tr among the requests of its caller that are at
// least as urgent, times the number of callers with queued requests, and at
// most the number of all queued requests of the workspace plus tr.
func (co *Controller) estimateWait(tr *trackedRequest) time.Duration {
	position := 1
	for urgency := tr.Urgency; urgency <= MaxUrgency; urgency++ {
		position += len(tr.ca.queues[urgency])
	}
	callers := len(tr.ws.queuedCallers)
	if tr.ca.queueLen() == 0 {
		callers++
	}
	position = min(position*callers, tr.ws.queueLen+1)
	return time.Duration(float64(position) * float64(co.meanServiceTime) / co.expectedSlots(tr.ws))
}

// expectedSlots returns the slots that ws gets as long as the workspaces that
// have queued requests now keep having some.
func (co *Controller) expectedSlots(ws *workspace) float64 {
	guaranteedSum, weightSum := ws.share.Slots, ws.share.Weight
	for _, other := range co.workspaces {
		if other != ws && other.queueLen > 0 {
			guaranteedSum += other.share.Slots
			weightSum += other.share.Weight
		}
	}
	return co.fairShare(ws, guaranteedSum, weightSum)
}

// withRetryAfter sets the retry-after time of er to wait, which it limits to the
// range from minRetryAfter to maxRetryAfter, plus a random time of up to as much,
// so that refused callers do not retry at the same time.
func (co *Controller) withRetryAfter(er *codes.Error, wait time.Duration) *codes.Error {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return er.WithRetryAfter(wait + time.Duration(co.rnd.Int64N(int64(wait))))
}
