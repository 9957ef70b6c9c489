// Package client is the Go client of cicadawharf for callers and operators,
// and defines the JSON of its HTTP interface, which docs/API.md describes.
package client

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Answer is the body of every answer that the system gives of itself, as
// against one of a service. Job answers embed it.
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
	Zone       string     `json:"zone,omitempty"` // empty for that of the entry host
	Shape      spec.Shape `json:"shape"`
	RunTime    string     `json:"runTime"`            // Go duration, declared
	Priority   string     `json:"priority,omitempty"` // low, normal (default) or urgent
	Repeatable *bool      `json:"repeatable"`         // required: whether it may run twice
	Checkpoint bool       `json:"checkpoint,omitempty"`
	Command    []string   `json:"command"`
	Then       []Step     `json:"then,omitempty"`
}

// Step is a gang that a job runs once the one before it has succeeded.
type Step struct {
	Shape   spec.Shape `json:"shape" yaml:"shape"`
	RunTime string     `json:"runTime" yaml:"runTime"` // Go duration, declared
	Command []string   `json:"command" yaml:"command"`
}

// Job is one job as callers see it.
type Job struct {
	Answer
	ID         string     `json:"id"`
	Workspace  string     `json:"workspace"`
	Caller     string     `json:"caller,omitempty"`
	Zone       string     `json:"zone"`
	State      string     `json:"state"`
	Shape      spec.Shape `json:"shape"` // of the present step
	Step       int        `json:"step"`  // the present one, from 1
	Steps      int        `json:"steps"`
	Priority   string     `json:"priority"`
	Repeatable bool       `json:"repeatable"`
	Checkpoint bool       `json:"checkpoint,omitempty"`
	Attempt    int        `json:"attempt"`
	Workers    []string   `json:"workers,omitempty"`
	Submitted  time.Time  `json:"submitted"`
	Started    *time.Time `json:"started,omitempty"`
	Ended      *time.Time `json:"ended,omitempty"`
}

// JobList is the body of GET /v1/jobs. Zones that can't be asked are named.
type JobList struct {
	Jobs        []Job    `json:"jobs"`
	Unreachable []string `json:"unreachable,omitempty"`
}

// Applied is the body of PUT /v1/declarations.
type Applied struct {
	Answer
	Revision int64    `json:"revision"` // accepted, or in force if refused
	Faults   []Fault  `json:"faults,omitempty"`
	Warnings []string `json:"warnings,omitempty"` // of a check: running work that is affected
}

// Fault is one fault of a declarations file.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Status is the body of GET /v1/status.
type Status struct {
	Host     string       `json:"host"` // that answered
	Revision int64        `json:"revision"`
	StoreUp  bool         `json:"storeUp"`
	Hosts    []HostStatus `json:"hosts"`
	Zones    []ZoneStatus `json:"zones"`
	Domain   *Domain      `json:"domain,omitempty"` // of a host of a domain, which names no hosts and zones
}

// Domain is what a host of a scheduling domain knows of it.
type Domain struct {
	Scheduler   string       `json:"scheduler,omitempty"` // host; empty if there is none now
	Evacuations []Evacuation `json:"evacuations"`
}

// Evacuation is an availability zone that is to be emptied, or was asked about.
type Evacuation struct {
	Zone    string `json:"zone"`
	Workers *int   `json:"workers,omitempty"` // that are listed there; nil if that is not known
	Tasks   *int   `json:"tasks,omitempty"`   // that are left there, as the scheduler last said; nil if it has not
}

// Evacuated is the body of PUT and DELETE /v1/evacuations/ZONE.
type Evacuated struct {
	Answer
	Evacuation
}

// EvacuationList is the body of GET /v1/evacuations.
type EvacuationList struct {
	Evacuations []Evacuation `json:"evacuations"`
}

// HostStatus is what the answering host knows of an entry host.
type HostStatus struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Revision  int64  `json:"revision"`
	Ready     bool   `json:"ready"`
	Leaving   bool   `json:"leaving"`
	Reachable bool   `json:"reachable"`
}

// ZoneStatus is what is known of an availability zone.
type ZoneStatus struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	Scheduler        string `json:"scheduler,omitempty"`
	Epoch            int64  `json:"epoch"`
	Reachable        bool   `json:"reachable"` // at least one of its hosts is
	Workers          int    `json:"workers,omitempty"`
	FreeAccelerators int    `json:"freeAccelerators,omitempty"`
	Waiting          int    `json:"waiting,omitempty"`
	Running          int    `json:"running,omitempty"`
}

// The headers of the interface.
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
