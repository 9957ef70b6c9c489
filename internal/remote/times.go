package remote

import "time"

const (
	// maxTries is how many hosts are asked for one call.
	maxTries = 2
	// silentTime bounds what a host spends on a call itself while the store is
	// silent and there are others to ask, and silentShare is its part of a shorter
	// deadline.
	silentTime  = 1100 * time.Millisecond
	silentShare = 0.4
	// wholeShare is the part of a call that waits for a slow store.
	wholeShare = 0.75
	// firstShare of the time is for the first host that is asked, and no more than
	// firstTime: one that has the store answers in some ten milliseconds.
	firstShare = 0.55
	firstTime  = time.Second
	// leastTry is the least time in which another host is asked.
	leastTry = 60 * time.Millisecond
	// wayBack is kept of a try for the answer to arrive.
	wayBack = 40 * time.Millisecond
)

// timeAlone returns how much of a caller's time this host uses itself before it
// asks others.
func timeAlone(left time.Duration) (whole, silent time.Duration) {
	return time.Duration(wholeShare * float64(left)), min(silentTime, time.Duration(silentShare*float64(left)))
}

// timeFor returns how much of what is left a try may use; zero if that is too
// little. More says that another host may be asked after it.
func timeFor(left time.Duration, more bool) time.Duration {
	switch {
	case left < leastTry:
		return 0
	case more:
		return min(max(leastTry, time.Duration(firstShare*float64(left))), firstTime)
	default:
		return left
	}
}

// timeThere returns within which time the other host has to answer.
func timeThere(span time.Duration) time.Duration { return max(span-wayBack, span/2) }
