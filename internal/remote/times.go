package remote

import "time"

const (
	// maxAttempts is how many hosts are asked for one call.
	maxAttempts = 2
	// maxUnresponsiveTime bounds what a host spends on a call itself while the store is
	// silent and there are others to ask, and silentShare is its part of a shorter
	// deadline.
	maxUnresponsiveTime = 1100 * time.Millisecond
	unresponsiveShare   = 0.4
	// totalShare is the part of a call that waits for a slow store.
	totalShare = 0.75
	// firstAttemptShare of the time is for the first host that is asked, and no more than
	// firstTime: one that has the store answers in some ten milliseconds.
	firstAttemptShare = 0.55
	maxFirstAttempt   = time.Second
	// minAttemptTime is the least time in which another host is asked.
	minAttemptTime = 60 * time.Millisecond
	// responseMargin is kept of a try for the answer to arrive.
	responseMargin = 40 * time.Millisecond
)

// localTime returns how much of a caller's time this host uses itself before it
// asks others.
func localTime(left time.Duration) (total, unresponsive time.Duration) {
	return time.Duration(totalShare * float64(left)), min(maxUnresponsiveTime, time.Duration(unresponsiveShare*float64(left)))
}

// attemptTime returns how much of what is left a try may use; zero if that is too
// little. More says that another host may be asked after it.
func attemptTime(left time.Duration, more bool) time.Duration {
	switch {
	case left < minAttemptTime:
		return 0
	case more:
		return min(max(minAttemptTime, time.Duration(firstAttemptShare*float64(left))), maxFirstAttempt)
	default:
		return left
	}
}

// remoteTimeout returns within which time the other host has to answer.
func remoteTimeout(span time.Duration) time.Duration { return max(span-responseMargin, span/2) }
