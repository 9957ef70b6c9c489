package batch

import (
	"strings"
	"time"
)

type (
	// Queue is where jobs of one kind are submitted.
	Queue struct {
		Name        string        `json:"name"`
		Host        string        `json:"host,omitempty"`   // of the callers' requests
		Prefix      string        `json:"prefix,omitempty"` // of the callers' paths
		Service     string        `json:"service"`          // whose workers run the tasks
		Priority    int           `json:"priority"`         // zero comes first and may preempt others
		MaxAttempts int           `json:"maxAttempts"`      // failures of a unit that fail the job
		Stretch     float64       `json:"stretch"`          // the objective is this many times the longest chain of steps
		Allowance   time.Duration `json:"allowance"`        // and so much more
		Timeout     time.Duration `json:"timeout"`          // of one call
		Anonymous   bool          `json:"anonymous,omitempty"`
		Advised     bool          `json:"advised,omitempty"` // placing needs the advice of a service
	}

	// Workspace is a tenant of the installation.
	Workspace struct {
		Name       string
		Keys       []string
		Guaranteed int // accelerators for its jobs of priority zero
	}

	// Service is a group of workers.
	Service struct {
		Name   string
		Guards bool // its workers refuse what exceeds their capacity
		Spare  bool // its workers are switched off
	}

	// Policy is the configuration in force. It is immutable.
	Policy struct {
		Version    int64
		Queues     []Queue
		Workspaces []Workspace
		Services   []Service
		BodyBytes  int64 // of one call; zero for no bound
	}
)

// Queue returns the queue of a name.
func (po *Policy) Queue(name string) (Queue, bool) {
	for _, qu := range po.Queues {
		if qu.Name == name {
			return qu, true
		}
	}
	return Queue{}, false
}

// Route returns the queue that a call is for: that with the longest prefix of
// the path among those of the host.
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

// ByKey returns the workspace that a key belongs to.
func (po *Policy) ByKey(key string) (Workspace, bool) {
	for _, ws := range po.Workspaces {
		for _, ke := range ws.Keys {
			if ke == key {
				return ws, true
			}
		}
	}
	return Workspace{}, false
}

// Guaranteed returns the accelerators that a workspace is guaranteed.
func (po *Policy) Guaranteed(workspace string) int {
	for _, ws := range po.Workspaces {
		if ws.Name == workspace {
			return ws.Guaranteed
		}
	}
	return 0
}

// Objective returns how long a job of the queue may take, counted from its
// submission.
func (qu Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(qu.Stretch*float64(criticalPath)) + qu.Allowance
}
