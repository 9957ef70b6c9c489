package remote

import "time"

const (
	// maxAttempts is the maximum number of hosts tried for one call.
	maxAttempts = 2
	// maxUnresponsiveTime is how long a host waits for the first response of the
	// store before it forwards a call, but at most unresponsiveShare of the call's
	// remaining time. Neither limits a call if there is no other host to try.
	maxUnresponsiveTime = 1100 * time.Millisecond
	unresponsiveShare   = 0.4
	// totalShare is the share of a call's remaining time that a host may wait for
	// a store that responds slowly.
	totalShare = 0.75
	// firstAttemptShare is the share of a call's remaining time that the first
	// other host may use, at most maxFirstAttempt. A host with a connection to the
	// store responds in some ten milliseconds.
	firstAttemptShare = 0.55
	maxFirstAttempt   = time.Second
	// minAttemptTime is the minimum remaining time for another attempt.
	minAttemptTime = 60 * time.Millisecond
	// responseMargin is the part of an attempt's time that is reserved for the
	// response to arrive.
	responseMargin = 40 * time.Millisecond
)

// localTimeLimits returns how much of a caller's remaining time this host may use
// before it forwards the call; see Peer.LocalTimeout.
func localTimeLimits(left time.Duration) (total, unresponsive time.Duration) {
	return time.Duration(totalShare * float64(left)), min(maxUnresponsiveTime, time.Duration(unresponsiveShare*float64(left)))
}

// attemptTime returns how much of the remaining time an attempt may use, or
// zero if too little is left. If more is true, there is another host to try
// afterwards.
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

// remoteTimeout returns how much of timeout, that of an attempt, the other
// host may use.
func remoteTimeout(timeout time.Duration) time.Duration {
	return max(timeout-responseMargin, timeout/2)
}
