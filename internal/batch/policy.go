package batch

import (
	"strings"
	"time"
)

type (
	// Queue is the configuration of a job queue.
	Queue struct {
		Name        string        `json:"name"`
		Host        string        `json:"host,omitempty"`      // Host header of calls to this queue
		Prefix      string        `json:"prefix,omitempty"`    // path prefix of calls to this queue
		Service     string        `json:"service"`             // the service whose workers run the tasks
		Priority    int           `json:"priority"`            // zero is the highest; its jobs may preempt others
		MaxAttempts int           `json:"maxAttempts"`         // the job fails when one of its units has failed this often
		Stretch     float64       `json:"stretch"`             // factor of the critical path in Objective
		Allowance   time.Duration `json:"allowance"`           // constant part of Objective
		Timeout     time.Duration `json:"timeout"`             // of one call
		Anonymous   bool          `json:"anonymous,omitempty"` // accepts calls without a valid key
		Advised     bool          `json:"advised,omitempty"`   // an advice service decides which workers may run the tasks
	}

	// Workspace is a tenant of the installation.
	Workspace struct {
		Name       string
		Keys       []string // API keys
		Guaranteed int      // accelerators guaranteed to its jobs of priority zero
	}

	// Service is a group of workers.
	Service struct {
		Name   string
		Guards bool // its workers reject tasks that exceed their capacity
		Spare  bool // its workers are powered off
	}

	// Policy is the configuration in force. It is immutable.
	Policy struct {
		Version    int64
		Queues     []Queue
		Workspaces []Workspace
		Services   []Service
		BodyBytes  int64 // maximum body size of one call; zero for no limit
	}
)

// Queue returns the queue with the given name.
func (po *Policy) Queue(name string) (Queue, bool) {
	for _, qu := range po.Queues {
		if qu.Name == name {
			return qu, true
		}
	}
	return Queue{}, false
}

// Route returns the queue that a call addresses: among the queues of the host,
// the one with the longest matching path prefix.
func (po *Policy) Route(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, qu := range po.Queues {
		if qu.Host == host && strings.HasPrefix(path, qu.Prefix) && (!found || len(qu.Prefix) > len(best.Prefix)) {
			best = qu
			found = true
		}
	}
	return best, found
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (po *Policy) WorkspaceByKey(key string) (Workspace, bool) {
	for _, ws := range po.Workspaces {
		for _, ke := range ws.Keys {
			if ke == key {
				return ws, true
			}
		}
	}
	return Workspace{}, false
}

// Guaranteed returns the number of accelerators guaranteed to a workspace, or
// zero for an unknown one.
func (po *Policy) Guaranteed(workspace string) int {
	for _, ws := range po.Workspaces {
		if ws.Name == workspace {
			return ws.Guaranteed
		}
	}
	return 0
}

// Objective returns the target for the time from the acceptance of a job, or from
// the due time of an occurrence, to its end, given the run time of the critical
// path.
func (qu Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(qu.Stretch*float64(criticalPath)) + qu.Allowance
}
