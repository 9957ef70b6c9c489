package admit

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	minRetryAfter        = 100 * time.Millisecond
	maxRetryAfter        = 30 * time.Second
	noEndpointRetryAfter = time.Second

	// estimateMarginDivisor is the part of the queue's time, as a divisor, that no
	// estimate may use up: requests that come later with a better claim make the
	// wait longer, and a ticket that lapses was refused late.
	estimateMarginDivisor = 4
)

// infeasible tells why a ticket that would have to wait can't be served in time.
func (co *Controller) infeasible(now time.Time, rq *request) *codes.Error {
	if co.capacity == 0 {
		return co.withJitter(codes.New(codes.NoEndpoint, "no endpoint is usable"), noEndpointRetryAfter)
	}
	wait := co.estimate(rq)
	switch {
	case wait > co.cfg.QueueTime-co.cfg.QueueTime/estimateMarginDivisor:
		er := codes.New(codes.Overloaded, "the wait for a slot would be %v", wait.Round(time.Millisecond))
		return co.withJitter(er, wait)
	case !rq.Deadline.IsZero() && now.Add(wait).After(rq.Deadline):
		er := codes.New(codes.DeadlinePassed, "the wait for a slot would be %v", wait.Round(time.Millisecond))
		return co.withJitter(er, wait)
	}
	return nil
}

func (co *Controller) refuse(rq *request, cd codes.Code, detail string) Decision {
	return Refuse{Ticket: rq.Ticket, Err: co.withJitter(codes.New(cd, "%s", detail), co.estimate(rq))}
}

// refuseExpired refuses a ticket that has waited for as long as it may.
func (co *Controller) refuseExpired(now time.Time, rq *request) Decision {
	if !rq.Deadline.IsZero() && !now.Before(rq.Deadline) {
		return co.refuse(rq, codes.DeadlinePassed, "the deadline passed in the queue")
	}
	return co.refuse(rq, codes.Overloaded, "no slot became free in time")
}

// estimate returns the time until a slot is free for rq: the requests that
// its share serves before it, times the mean service time, over the slots of
// the share.
func (co *Controller) estimate(rq *request) time.Duration {
	ahead := 1
	for urgency := rq.Urgency; urgency <= MaxUrgency; urgency++ {
		ahead += len(rq.ca.queues[urgency])
	}
	callers := len(rq.ws.active)
	if rq.ca.waiting() == 0 {
		callers++
	}
	ahead = min(ahead*callers, rq.ws.waiting+1)
	return time.Duration(float64(ahead) * float64(co.serviceTime) / co.expectedSlots(rq.ws))
}

// expectedSlots returns the slots that ws gets while every workspace that waits now
// goes on waiting.
func (co *Controller) expectedSlots(ws *workspace) float64 {
	guaranteed, weights := ws.share.Slots, ws.share.Weight
	for _, other := range co.workspaces {
		if other != ws && other.waiting > 0 {
			guaranteed += other.share.Slots
			weights += other.share.Weight
		}
	}
	return co.fairShare(ws, guaranteed, weights)
}

// withJitter adds a random time to come back, so that refused callers do not come
// back together.
func (co *Controller) withJitter(er *codes.Error, wait time.Duration) *codes.Error {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return er.WithRetryAfter(wait + time.Duration(co.rnd.Int64N(int64(wait))))
}
