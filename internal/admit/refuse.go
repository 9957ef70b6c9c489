package admit

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	noSlotRetry   = time.Second

	// queueReserve is the part of the queue's time, as a divisor, that no
	// estimate may use up: requests that come later with a better claim make the
	// wait longer, and a ticket that lapses was refused late.
	queueReserve = 4
)

// hopeless tells why a ticket that would have to wait can't be served in time.
func (ga *Gate) hopeless(now time.Time, rq *request) *codes.Error {
	if ga.capacity == 0 {
		return ga.spread(codes.New(codes.NoEndpoint, "no endpoint is usable"), noSlotRetry)
	}
	wait := ga.estimate(rq)
	switch {
	case wait > ga.cfg.QueueTime-ga.cfg.QueueTime/queueReserve:
		er := codes.New(codes.Overloaded, "the wait for a slot would be %v", wait.Round(time.Millisecond))
		return ga.spread(er, wait)
	case !rq.Deadline.IsZero() && now.Add(wait).After(rq.Deadline):
		er := codes.New(codes.DeadlinePassed, "the wait for a slot would be %v", wait.Round(time.Millisecond))
		return ga.spread(er, wait)
	}
	return nil
}

func (ga *Gate) refuse(rq *request, cd codes.Code, detail string) Decision {
	return Refuse{Ticket: rq.Ticket, Err: ga.spread(codes.New(cd, "%s", detail), ga.estimate(rq))}
}

// lapse refuses a ticket that has waited for as long as it may.
func (ga *Gate) lapse(now time.Time, rq *request) Decision {
	if !rq.Deadline.IsZero() && !now.Before(rq.Deadline) {
		return ga.refuse(rq, codes.DeadlinePassed, "the deadline passed in the queue")
	}
	return ga.refuse(rq, codes.Overloaded, "no slot became free in time")
}

// estimate returns the time until a slot is free for rq: the requests that
// its share serves before it, times the mean service time, over the slots of
// the share.
func (ga *Gate) estimate(rq *request) time.Duration {
	ahead := 1
	for urgency := rq.Urgency; urgency <= MaxUrgency; urgency++ {
		ahead += len(rq.ca.queues[urgency])
	}
	callers := len(rq.ws.active)
	if rq.ca.waiting() == 0 {
		callers++
	}
	ahead = min(ahead*callers, rq.ws.waiting+1)
	return time.Duration(float64(ahead) * float64(ga.service) / ga.slotsOf(rq.ws))
}

// slotsOf returns the slots that ws gets while every workspace that waits now
// goes on waiting.
func (ga *Gate) slotsOf(ws *workspace) float64 {
	guaranteed, weights := ws.share.Slots, ws.share.Weight
	for _, other := range ga.workspaces {
		if other != ws && other.waiting > 0 {
			guaranteed += other.share.Slots
			weights += other.share.Weight
		}
	}
	return ga.part(ws, guaranteed, weights)
}

// spread adds a random time to come back, so that refused callers do not come
// back together.
func (ga *Gate) spread(er *codes.Error, wait time.Duration) *codes.Error {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return er.WithRetryAfter(wait + time.Duration(ga.rnd.Int64N(int64(wait))))
}
