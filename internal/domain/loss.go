package domain

import (
	"math"
	"time"
)

type (
	// LossCause is the reason why a run is considered ended although no worker
	// has reported its end.
	LossCause uint8

	// loss is the loss of a run, as far as it is known.
	loss struct {
		cause LossCause
		age   ageRange
	}

	// ageRange bounds the age of a run, since its start was sent, at which its
	// worker was lost.
	ageRange struct{ min, max time.Duration }
)

// The causes of a loss. Restarted and Replaced are the ones that show a crash of
// the worker.
const (
	notLost      LossCause = iota
	Restarted              // the worker has restarted under the same ID
	Replaced               // another worker, or another incarnation, has the worker's address
	Departed               // as Restarted or Replaced, but the worker was leaving or to be drained
	ShutDown               // the worker's machine was shut down on request
	LeaseExpired           // the worker is silent or no longer listed, and its leases have expired
	GangEnded              // the rest of the gang has ended, and the worker is silent and no longer listed
	NotListed              // the worker runs, but does not list the run
)

// anyAge is the range of the ages of a run whose start is unknown.
var anyAge = ageRange{max: math.MaxInt64}

var lossCauseNames = [...]string{
	notLost: "none", Restarted: "restarted", Replaced: "replaced", Departed: "departed", ShutDown: "shutDown",
	LeaseExpired: "leaseExpired", GangEnded: "gangEnded", NotListed: "notListed",
}

// bound returns the upper bound of the ages, at least a millisecond, or zero if
// there is none.
func (ar ageRange) bound() time.Duration {
	if ar.max == anyAge.max {
		return 0
	}
	return max(time.Millisecond, ar.max)
}

// atMost returns the upper bound of the ages or, without one, the lower bound.
func (ar ageRange) atMost() time.Duration {
	if ar.max == anyAge.max {
		return ar.min
	}
	return ar.max
}

// String returns the name of the cause for logs and metrics.
func (lc LossCause) String() string {
	if int(lc) >= len(lossCauseNames) {
		return lossCauseNames[notLost]
	}
	return lossCauseNames[lc]
}

// unlessDeparting returns the cause, or Departed for a worker that was leaving or
// to be drained, which has not crashed.
func (lc LossCause) unlessDeparting(nd *node) LossCause {
	if nd.worker.Draining || !nd.drainBy.IsZero() {
		return Departed
	}
	return lc
}

// loseRun ends a run without a report of its worker. A run whose start was not
// sent yet is not lost. What is known of the loss since a restart of the worker
// replaces ls. The loss of a worker after it has stopped the run does not count
// against the run.
func (co *Core) loseRun(now time.Time, ru *run, ls loss, beside int) {
	isBlameless := ru.stoppedBefore(ru.node.lostBy(now))
	if ru.lostBy.cause != notLost {
		ls, isBlameless = ru.lostBy, false
	}
	isBlameless = isBlameless || ru.stop.ackedByFormer || ru.startRefused
	if ru.stage != ended && ru.stage != planned {
		co.emit(LogDecision{
			Decision: "lost", Job: ru.task.Job, Task: ru.task.String(), Attempt: ru.attempt, Worker: ru.node.worker.ID,
			Cause: ls.cause, MinAge: ls.age.min, MaxAge: ls.age.bound(), Beside: beside, Life: ru.life(),
		})
		if !isBlameless {
			co.recordLoss(now, ru, ls)
		}
	}
	co.endRun(ru)
}

// ageAtLoss returns the bounds of a run's age at the loss of its worker: the
// last response that listed the run, and the first call after the last response
// that failed, or the present if none did. Any age is possible if an earlier term
// has started the run.
func (ru *run) ageAtLoss(now time.Time) ageRange {
	if ru.sentAt.IsZero() {
		return anyAge
	}
	ar := ageRange{max: max(0, ru.node.lostBy(now).Sub(ru.sentAt))}
	if !ru.listedAt.IsZero() {
		ar.min = min(ar.max, ru.listedAt.Sub(ru.sentAt))
	}
	return ar
}

// lostBy returns the time by which a worker was lost, if it was: that of the
// first call after the last response that failed, or the present if none did.
func (nd *node) lostBy(now time.Time) time.Time {
	if nd.silentSince.IsZero() {
		return now
	}
	return nd.silentSince
}

// stoppedBefore reports whether the worker has confirmed the stop of a run before
// a time. The confirmation of another incarnation than the one that was started
// says nothing about the run.
func (ru *run) stoppedBefore(at time.Time) bool {
	return !ru.stop.ackedAt.IsZero() && ru.stop.ackedAt.Before(at) && !ru.isOfFormerIncarnation()
}

// life names the incarnation of the worker that a run was started on, for logs.
func (ru *run) life() string {
	switch {
	case ru.incarnation == 0 || ru.node.worker.Incarnation() == 0:
		return "unknown"
	case ru.isOfFormerIncarnation():
		return "former"
	default:
		return "present"
	}
}

// isOfFormerIncarnation reports whether another incarnation of the worker than the
// present one has started a run, as far as both are known.
func (ru *run) isOfFormerIncarnation() bool {
	present := ru.node.worker.Incarnation()
	return ru.incarnation != 0 && present != 0 && ru.incarnation != present
}
