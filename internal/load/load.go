// Package load is an open-loop load generator for entry hosts: it sends
// requests at times that do not depend on the responses, and counts the outcome
// of each.
//
// The arrivals of each class of callers form a Poisson process with a given
// seed. Latency is measured from the time at which a request was due. If it
// were measured from the time of sending, a slow system would delay the sender
// and thereby hide its own latency (coordinated omission).
//
// Invariants: every request that was due is counted exactly once, either under
// a result code or as withheld, that is, not sent because of the limit on
// concurrency; requests are sent to loopback addresses only.
package load

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// Config is the configuration of a run.
	Config struct {
		Addresses   []string // IP:port, used in turn
		Service     string   // name of the service that all requests are for
		Path        string   // of all requests, within the service
		Classes     []Class
		Duration    time.Duration
		Concurrency int // maximum number of requests in progress
		Seed        uint64
		Plain       bool // the target gives no result codes; a status below 400 counts as done, any other as failed
	}

	// Class is a group of callers with identical requests.
	Class struct {
		Workspace  string        `json:"workspace"`
		Caller     string        `json:"caller"`
		Rate       float64       `json:"rate"` // requests per second
		Priority   string        `json:"priority,omitempty"`
		Delay      time.Duration `json:"delay,omitempty"` // service time requested from simulated endpoints, in nanoseconds
		Repeatable *bool         `json:"repeatable,omitempty"`
	}

	// arrival is one request that is due.
	arrival struct {
		class int       // index into Config.Classes
		due   time.Time // when the request is to be sent
	}
)

// The limits of a run.
const (
	MaxDuration    = 3 * time.Minute
	MaxConcurrency = 16384
	MaxRate        = 100_000 // requests per second of one class
	MaxClasses     = 256
)

const (
	// maxPath is the maximum length of a path in bytes.
	maxPath = 4096

	// drainTimeout is the maximum time to wait for responses after the planned
	// end of a run.
	drainTimeout = 30 * time.Second
)

// Check returns an error if the configuration is invalid.
func (cfg Config) Check() error {
	if len(cfg.Addresses) == 0 {
		return merry.New("an address is required")
	}
	for _, ad := range cfg.Addresses {
		if err := checkLoopback(ad); err != nil {
			return err
		}
	}
	switch {
	case cfg.Service == "":
		return merry.New("a service is required")
	case len(cfg.Path) == 0 || cfg.Path[0] != '/' || len(cfg.Path) > maxPath:
		return merry.Errorf("path %q must begin with / and have at most %d bytes", cfg.Path, maxPath)
	case len(cfg.Classes) == 0 || len(cfg.Classes) > MaxClasses:
		return merry.Errorf("%d classes given; must be 1 to %d", len(cfg.Classes), MaxClasses)
	case cfg.Duration <= 0 || cfg.Duration > MaxDuration:
		return merry.Errorf("duration %v must be positive and at most %v", cfg.Duration, MaxDuration)
	case cfg.Concurrency < 1 || cfg.Concurrency > MaxConcurrency:
		return merry.Errorf("concurrency %d must be between 1 and %d", cfg.Concurrency, MaxConcurrency)
	}
	for _, cl := range cfg.Classes {
		if err := cl.Check(); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback returns an error unless address is a loopback address with a port.
func checkLoopback(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return merry.Errorf("address %q must be IP:port, such as 127.0.0.1:7080", address)
	}
	if !ap.Addr().IsLoopback() {
		return merry.Errorf("address %q is not of this machine; it must be ::1 or in 127.0.0.0/8", address)
	}
	return nil
}

// Run sends the requests and returns the report once all of them have ended. If
// ctx ends early, the report covers the requests that were due until then. It
// returns an error only if the configuration is invalid.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if err := cfg.Check(); err != nil {
		return Report{}, err
	}
	se := newSender(cfg)
	defer se.close()
	tallies := make([]*tally, len(cfg.Classes))
	for i := range tallies {
		tallies[i] = newTally()
	}
	// Requests in progress are not cancelled with ctx; they may take until
	// drainTimeout after the planned end of the run.
	sending, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.Duration+drainTimeout)
	defer cancel()
	inProgress := make(chan struct{}, cfg.Concurrency)
	var group sync.WaitGroup
	began := time.Now()
	sc := newSchedule(cfg, began)
	for ar, ok := sc.next(); ok && sleepUntil(ctx, ar.due); ar, ok = sc.next() {
		ta := tallies[ar.class]
		select {
		case inProgress <- struct{}{}:
		default:
			ta.withhold()
			continue
		}
		group.Go(func() {
			defer func() { <-inProgress }()
			ta.add(se.send(sending, ar))
		})
	}
	took := time.Since(began)
	group.Wait()
	return newReport(cfg, took, tallies), nil
}

// sleepUntil sleeps until due and reports whether ctx has not ended before then.
func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	tm := time.NewTimer(left)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// EqualDemands returns the groups of two or more classes with the same rate,
// delay and priority, as indices into classes.
func EqualDemands(classes []Class) [][]int {
	var groups [][]int
	for i, cl := range classes {
		at := slices.IndexFunc(groups, func(gr []int) bool { return classes[gr[0]].hasSameDemand(cl) })
		if at < 0 {
			groups = append(groups, []int{i})
			continue
		}
		groups[at] = append(groups[at], i)
	}
	return slices.DeleteFunc(groups, func(gr []int) bool { return len(gr) < 2 })
}

// hasSameDemand reports whether two classes have the same rate, delay and
// priority.
func (cl Class) hasSameDemand(other Class) bool {
	return cl.Rate == other.Rate && cl.Delay == other.Delay && cl.Priority == other.Priority
}
