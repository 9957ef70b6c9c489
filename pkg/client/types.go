// Package client is the Go client of cicadawharf for callers and operators. It
// also defines the JSON types of the HTTP API, which docs/API.md describes.
package client

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Answer is the body of every response that originates from the system itself
// rather than from a service. Other response types embed it.
type Answer struct {
	Code             codes.Code  `json:"code"`
	Name             string      `json:"name"`
	Class            codes.Class `json:"class"`
	Detail           string      `json:"detail,omitempty"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
	Request          string      `json:"request,omitempty"` // identifier in the log
}

// SubmitRequest is the body of POST /v1/jobs. The workspace, caller and
// idempotency key go in headers.
type SubmitRequest struct {
	Zone       string     `json:"zone,omitempty"` // empty for the zone of the entry host
	Shape      spec.Shape `json:"shape"`
	RunTime    string     `json:"runTime"`              // expected run time, a Go duration
	Priority   string     `json:"priority,omitempty"`   // low, normal (default) or urgent
	Repeatable *bool      `json:"repeatable"`           // required: whether the job may run twice
	Checkpoint bool       `json:"checkpoint,omitempty"` // the job saves checkpoints and resumes from them after a stop
	Command    []string   `json:"command"`
	Then       []Step     `json:"then,omitempty"`
}

// Step is a gang that a job runs after its previous gang has succeeded.
type Step struct {
	Shape   spec.Shape `json:"shape" yaml:"shape"`
	RunTime string     `json:"runTime" yaml:"runTime"` // expected run time, a Go duration
	Command []string   `json:"command" yaml:"command"`
}

// Job is the state of a job as reported to callers.
type Job struct {
	Answer
	ID         string     `json:"id"`
	Workspace  string     `json:"workspace"`
	Caller     string     `json:"caller,omitempty"`
	Zone       string     `json:"zone"`
	State      string     `json:"state"` // queued, starting, running, stopping or ended
	Shape      spec.Shape `json:"shape"` // of the current step
	Step       int        `json:"step"`  // number of the current step, from 1
	Steps      int        `json:"steps"` // number of steps
	Priority   string     `json:"priority"`
	Repeatable bool       `json:"repeatable"`
	Checkpoint bool       `json:"checkpoint,omitempty"`
	Attempt    int        `json:"attempt"`           // number of the last attempt; zero before the first
	Workers    []string   `json:"workers,omitempty"` // of the tasks of the last attempt
	Submitted  time.Time  `json:"submitted"`
	Started    *time.Time `json:"started,omitempty"` // of the last attempt
	Ended      *time.Time `json:"ended,omitempty"`
}

// JobList is the response body of GET /v1/jobs. Unreachable names the
// availability zones whose jobs are missing.
type JobList struct {
	Jobs        []Job    `json:"jobs"`
	Unreachable []string `json:"unreachable,omitempty"`
}

// Applied is the response body of PUT /v1/declarations and of
// POST /v1/declarations/check.
type Applied struct {
	Answer
	Revision int64    `json:"revision"` // the accepted one, or the one in force after a refusal
	Faults   []Fault  `json:"faults,omitempty"`
	Warnings []string `json:"warnings,omitempty"` // of a check: running work that would be affected
}

// Fault is an error in a declarations file, with its position.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Status is the response body of GET /v1/status.
type Status struct {
	Host     string       `json:"host"` // the responding host
	Revision int64        `json:"revision"`
	StoreUp  bool         `json:"storeUp"`
	Hosts    []HostStatus `json:"hosts"`
	Zones    []ZoneStatus `json:"zones"`
	Domain   *Domain      `json:"domain,omitempty"` // set by hosts of a scheduling domain, which list no hosts and zones
}

// Domain is the state of a scheduling domain as known to one of its hosts.
type Domain struct {
	Scheduler   string       `json:"scheduler,omitempty"` // name of the leader; empty if there is none at present
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is the evacuation state of an availability zone.
type Evacuation struct {
	Zone    string `json:"zone"`
	Workers *int   `json:"workers,omitempty"` // workers listed in the zone; nil if unknown
	Tasks   *int   `json:"tasks,omitempty"`   // tasks remaining in the zone, as last reported by the scheduler; nil if it has not reported
}

// Evacuated is the response body of PUT and DELETE /v1/evacuations/{zone}.
type Evacuated struct {
	Answer
	Evacuation
}

// EvacuationList is the response body of GET /v1/evacuations.
type EvacuationList struct {
	Evacuations []Evacuation `json:"evacuations"`
}

// HostStatus is the state of an entry host as known to the responding host.
type HostStatus struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Revision  int64  `json:"revision"` // of the declarations it has loaded
	Ready     bool   `json:"ready"`
	Leaving   bool   `json:"leaving"` // it is being shut down
	Reachable bool   `json:"reachable"`
}

// ZoneStatus is the state of an availability zone as known to the responding
// host.
type ZoneStatus struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	Scheduler        string `json:"scheduler,omitempty"` // name of the leader in the epoch; empty if none is known
	Epoch            int64  `json:"epoch"`               // largest known epoch of the zone's scheduler
	Reachable        bool   `json:"reachable"`           // whether at least one of its hosts is reachable
	Workers          int    `json:"workers,omitempty"`   // usable ones
	FreeAccelerators int    `json:"freeAccelerators,omitempty"`
	Waiting          int    `json:"waiting,omitempty"` // jobs
	Running          int    `json:"running,omitempty"` // jobs
}

// The headers of the HTTP API.
const (
	HeaderWorkspace  = "Cicadawharf-Workspace"
	HeaderCaller     = "Cicadawharf-Caller"
	HeaderRepeatable = "Cicadawharf-Repeatable"  // true or false
	HeaderTimeout    = "Cicadawharf-Timeout"     // Go duration, such as 800ms
	HeaderPriority   = "Cicadawharf-Priority"    // low, normal or urgent
	HeaderKey        = "Idempotency-Key"         // at most 128 visible ASCII characters
	HeaderCode       = "Cicadawharf-Code"        // number
	HeaderClass      = "Cicadawharf-Class"       // done, failed, notRun, unknown, inProgress
	HeaderRequest    = "Cicadawharf-Request"     // identifier in the log
	HeaderRetryAfter = "Cicadawharf-Retry-After" // milliseconds
	HeaderRevision   = "Cicadawharf-Revision"    // of the declarations
)
