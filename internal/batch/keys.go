package batch

import "strings"

// The keys of the store. A job's acceptance and its cancellation are written
// by whichever host a caller reached, its progress by the scheduler alone.
const (
	AcceptedPrefix = "in/"
	ProgressPrefix = "at/"
	HolderKey      = "holder"
	ReliefKey      = "holder/relief" // a holder that can't keep up asks for a stronger one
	OfferKey       = "holder/offer"  // which answers
	WaitingKey     = "waiting"
	UpkeepPrefix   = "upkeep/" // followed by the number of a wave
	HostPrefix     = "host/"   // followed by the name of a host that takes forwarded calls

	jobSuffix    = "/job"
	cancelSuffix = "/cancel"
)

// JobKey returns the key of an accepted Job.
func JobKey(id string) string { return AcceptedPrefix + id + jobSuffix }

// CancelKey returns the key that exists once a job is cancelled.
func CancelKey(id string) string { return AcceptedPrefix + id + cancelSuffix }

// ProgressKey returns the key of a job's Record.
func ProgressKey(id string) string { return ProgressPrefix + id }

// HostKey returns the key under which a host registers.
func HostKey(name string) string { return HostPrefix + name }

// ParseAccepted tells what a key under AcceptedPrefix is of.
func ParseAccepted(key string) (id string, cancel, ok bool) {
	rest, found := strings.CutPrefix(key, AcceptedPrefix)
	if !found {
		return "", false, false
	}
	if id, ok = strings.CutSuffix(rest, jobSuffix); ok {
		return id, false, true
	}
	id, ok = strings.CutSuffix(rest, cancelSuffix)
	return id, true, ok
}
