package worker

import "errors"

// NotSentError says that a call has certainly not reached the worker because no
// connection could be obtained.
type NotSentError struct {
	Address string
	Err     error
}

// The errors with which a worker refuses a whole call, which then had no effect.
var (
	ErrStaleEpoch = errors.New("epoch is smaller than the largest that the worker has seen")
	ErrRefused    = errors.New("worker refused a malformed call")
)

// ReasonActive is the reason for which a worker refuses an OpRelease of a task
// that has started, and an OpAck of one that has not ended.
const ReasonActive = "active"

// Error implements error.
func (ns *NotSentError) Error() string {
	return "call to worker " + ns.Address + " was not sent: " + ns.Err.Error()
}

// Unwrap returns Err.
func (ns *NotSentError) Unwrap() error { return ns.Err }
