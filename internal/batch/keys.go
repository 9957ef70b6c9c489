package batch

import "strings"

// The keys of the store. The host that a caller has reached writes the
// acceptance and the cancellation of a job; only the scheduler writes its
// progress.
const (
	AcceptedPrefix     = "in/"           // of JobKey and CancelKey
	ProgressPrefix     = "at/"           // of ProgressKey
	LeaderKey          = "holder"        // names the leader, the host that runs the scheduler; also the prefix of the handover keys
	HandoverRequestKey = "holder/relief" // a leader that can't keep up writes its number of cores here to hand over to a stronger host
	HandoverOfferKey   = "holder/offer"  // a stronger host responds with its number of cores here
	BacklogKey         = "waiting"       // key of the Backlog
	MaintenancePrefix  = "upkeep/"       // followed by the number of a maintenance wave
	HostPrefix         = "host/"         // followed by the name of a host that accepts forwarded calls

	jobSuffix    = "/job"
	cancelSuffix = "/cancel"
)

// JobKey returns the key of an accepted Job.
func JobKey(id string) string { return AcceptedPrefix + id + jobSuffix }

// CancelKey returns the key that is created when a job is cancelled.
func CancelKey(id string) string { return AcceptedPrefix + id + cancelSuffix }

// ProgressKey returns the key of the Record of a job.
func ProgressKey(id string) string { return ProgressPrefix + id }

// HostKey returns the key under which a host registers itself.
func HostKey(name string) string { return HostPrefix + name }

// ParseAccepted parses a key under AcceptedPrefix and returns the ID of the job.
// cancel says that the key records a cancellation rather than the job; ok is
// false for any other key.
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
