package remote

import "time"

const (
	// maxTries is how many hosts are asked for one call.
	maxTries = 2
	// localTime bounds what a host spends on a call itself while there are others
	// to ask, and localShare is its part of a shorter deadline.
	localTime  = 1100 * time.Millisecond
	localShare = 0.4
	// firstShare of the time is for the first host that is asked.
	firstShare = 0.55
	// leastTry is the least time in which another host is asked.
	leastTry = 60 * time.Millisecond
	// wayBack is kept of a try for the answer to arrive.
	wayBack = 40 * time.Millisecond
)

// timeAlone returns how much of a caller's time this host uses itself before it
// asks others.
func timeAlone(left time.Duration) time.Duration {
	return min(localTime, time.Duration(localShare*float64(left)))
}

// timeFor returns how much of what is left a try may use; zero if that is too
// little.
func timeFor(try int, left time.Duration) time.Duration {
	if left < leastTry {
		return 0
	}
	if try < maxTries-1 {
		return max(leastTry, time.Duration(firstShare*float64(left)))
	}
	return left
}

// timeThere returns within which time the other host has to answer.
func timeThere(span time.Duration) time.Duration { return max(span-wayBack, span/2) }
