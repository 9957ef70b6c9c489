package domain

import "time"

// silence is the moment at which a worker stopped responding.
type silence struct {
	at       time.Time
	starting bool // some attempt had just been started there, and may be the cause
}

const (
	// startupTime is the age of an attempt up to which it is suspected if its
	// worker crashes.
	startupTime = 500 * time.Millisecond
	// crashCorrelation is the time between the losses of two workers up to which
	// they are considered to have a common cause.
	crashCorrelation = 250 * time.Millisecond
	// silenceRetention is how long silences are kept.
	silenceRetention = 10 * time.Second
)

// recordSilence records a call to a worker that got no response.
func (co *Core) recordSilence(now time.Time, nd *node) {
	if !nd.unresponsive() || nd.silentSince.IsZero() {
		nd.silentSince = now
		co.silences[nd.worker.ID] = silence{at: now, starting: nd.isStarting(now)}
	}
	nd.lastFailure = now
}

// isStarting reports whether an attempt on a worker is not older than startupTime.
func (nd *node) isStarting(now time.Time) bool {
	for _, ru := range nd.runs {
		if !ru.sentAt.IsZero() && now.Sub(ru.sentAt) <= startupTime {
			return true
		}
	}
	return false
}

// mayBeStarting reports whether a run is not known to have been alive after
// startupTime.
func (ru *run) mayBeStarting() bool {
	return ru.stage != ended && (ru.listedAt.IsZero() || ru.listedAt.Sub(ru.sentAt) <= startupTime)
}

// isSuspect reports whether a run has probably caused the crash of its worker:
// it had just been started, and no other worker was lost at the same time on which
// nothing had just been started.
func (co *Core) isSuspect(now time.Time, ru *run, age ageRange) bool {
	if age.max > startupTime {
		return false
	}
	lostAt := ru.node.lostBy(now)
	for id, si := range co.silences {
		if id != ru.node.worker.ID && si.at.Sub(lostAt).Abs() <= crashCorrelation && !si.starting {
			return false
		}
	}
	return true
}

// wasLostAlone reports whether no other worker was lost at the same time as a given
// one.
func (co *Core) wasLostAlone(now time.Time, nd *node) bool {
	lostAt := nd.lostBy(now)
	for id, si := range co.silences {
		if id != nd.worker.ID && si.at.Sub(lostAt).Abs() <= crashCorrelation {
			return false
		}
	}
	return true
}

// isSuspected reports whether some task of a unit is suspected of having crashed
// a worker.
func (un *unit) isSuspected() bool {
	for _, ch := range un.crashes {
		if ch.suspects > 0 {
			return true
		}
	}
	return false
}

// isolate keeps other work off the workers on which a unit starts that may crash
// them, for as long as it is likely to do so. The others are not harmed, and if a
// worker crashes it is known by which task.
func (un *unit) isolate(now time.Time) {
	if !un.isSuspected() {
		return
	}
	for _, ru := range un.runs {
		ru.node.isolatedUntil = now.Add(startupTime)
	}
}

// forgetSilences drops silences that are too old to be compared with another one.
func (co *Core) forgetSilences(now time.Time) {
	for id, si := range co.silences {
		if now.Sub(si.at) > silenceRetention {
			delete(co.silences, id)
		}
	}
}
