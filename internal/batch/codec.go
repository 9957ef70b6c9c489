package batch

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// Backlog holds, for each queue, the number of jobs of which no task has
	// been started, and for each availability zone that is being evacuated, the
	// number of tasks that still run there. Jobs with a schedule and jobs
	// accepted less than a second ago are not counted.
	Backlog struct {
		At         time.Time      `json:"at"`             // when the numbers were counted
		Queues     map[string]int `json:"queues"`         // by queue
		Evacuating map[string]int `json:"left,omitempty"` // by availability zone
		Held       int64          `json:"held,omitempty"` // bytes that all jobs need in the scheduler's memory, estimated; zero if few
	}

	// Notice tells the leader of a job or a cancellation that a host has just
	// written to the store, so that the leader need not wait until its watch
	// reports the write.
	Notice struct {
		Job       *Job   `json:"job,omitempty"`       // the accepted job; nil for a cancellation
		Cancelled string `json:"cancelled,omitempty"` // ID of the cancelled job
		Revision  int64  `json:"revision"`            // of the write; zero if unknown
	}
)

// Encode returns the stored form of a value, which is JSON.
func Encode[T Job | Backlog](value T) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, merry.Prepend(err, "encode a value for the store")
}

// Decode parses the stored form of a value. It does not validate a job, see
// DecodeJob.
func Decode[T Job | Backlog](data []byte) (T, error) {
	var value T
	err := json.Unmarshal(data, &value)
	return value, merry.Prepend(err, "decode a stored value")
}

// DecodeJob parses the stored form of a job and validates it.
func DecodeJob(data []byte) (Job, error) {
	jb, err := Decode[Job](data)
	if err != nil {
		return Job{}, err
	}
	return jb, merry.Prepend(jb.Validate(), "invalid stored job")
}
