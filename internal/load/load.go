// Package load offers requests to entry hosts at times that do not depend on
// the answers, and counts what becomes of each.
//
// Arrivals of each class of callers are a Poisson process drawn from a seed.
// The latency of a request counts from the time at which it was meant to be
// sent, so that a slow system can't hide behind a sender that waits for it.
//
// Invariants: every request that was due is counted once, under a result code
// or as withheld, which is one that the sender's own bound kept back; only
// loopback addresses are asked.
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
	// Config configures a run.
	Config struct {
		Addresses   []string // IP:port, asked in turn
		Service     string
		Path        string
		Classes     []Class
		Duration    time.Duration
		Concurrency int // requests in progress, at most
		Seed        uint64
		Plain       bool // the target gives no result codes; a status below 400 is done
	}

	// Class is a group of callers that ask alike.
	Class struct {
		Workspace  string        `json:"workspace"`
		Caller     string        `json:"caller"`
		Rate       float64       `json:"rate"` // requests a second
		Priority   string        `json:"priority,omitempty"`
		Delay      time.Duration `json:"delay,omitempty"` // asked of endpoint stand-ins, nanoseconds
		Repeatable *bool         `json:"repeatable,omitempty"`
	}

	// arrival is one request that is due.
	arrival struct {
		class int
		due   time.Time
	}
)

// The bounds of a run.
const (
	MaxDuration    = 3 * time.Minute
	MaxConcurrency = 16384
	MaxRate        = 100_000 // requests a second, of one class
	MaxClasses     = 256
)

const (
	// maxPath bounds the characters of a path.
	maxPath = 4096

	// grace is how long after the end of a run answers are awaited.
	drainTimeout = 30 * time.Second
)

// Check tells what is wrong with a configuration.
func (cfg Config) Check() error {
	if len(cfg.Addresses) == 0 {
		return merry.New("an address is needed")
	}
	for _, ad := range cfg.Addresses {
		if err := checkLoopback(ad); err != nil {
			return err
		}
	}
	switch {
	case cfg.Service == "":
		return merry.New("a service is needed")
	case len(cfg.Path) == 0 || cfg.Path[0] != '/' || len(cfg.Path) > maxPath:
		return merry.Errorf("path %q must begin with / and have at most %d characters", cfg.Path, maxPath)
	case len(cfg.Classes) == 0 || len(cfg.Classes) > MaxClasses:
		return merry.Errorf("%d classes where 1 to %d are permitted", len(cfg.Classes), MaxClasses)
	case cfg.Duration <= 0 || cfg.Duration > MaxDuration:
		return merry.Errorf("duration %v must be above zero and at most %v", cfg.Duration, MaxDuration)
	case cfg.Concurrency < 1 || cfg.Concurrency > MaxConcurrency:
		return merry.Errorf("concurrency %d must be within 1 and %d", cfg.Concurrency, MaxConcurrency)
	}
	for _, cl := range cfg.Classes {
		if err := cl.Check(); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback refuses addresses of other machines.
func checkLoopback(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		return merry.Errorf("address %q must be IP:port, such as 127.0.0.1:7080", address)
	}
	if !ap.Addr().IsLoopback() {
		return merry.Errorf("address %q is not of this machine; only 127.0.0.0/8 and ::1 are", address)
	}
	return nil
}

// Run offers the requests and returns the account of them once all have ended.
// It ends early with ctx, and then counts what was sent.
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
	// Answers are awaited for a while after the end.
	sending, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.Duration+drainTimeout)
	defer cancel()
	slots := make(chan struct{}, cfg.Concurrency)
	var group sync.WaitGroup
	began := time.Now()
	sc := newSchedule(cfg, began)
	for ar, ok := sc.next(); ok && sleepUntil(ctx, ar.due); ar, ok = sc.next() {
		ta := tallies[ar.class]
		select {
		case slots <- struct{}{}:
		default:
			ta.withhold()
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			ta.add(se.send(sending, ar))
		})
	}
	took := time.Since(began)
	group.Wait()
	return newReport(cfg, took, tallies), nil
}

// sleepUntil returns false if ctx ends before.
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

// EqualDemands returns the groups of two or more classes that have the same
// rate, delay and priority, as indexes.
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

func (cl Class) hasSameDemand(other Class) bool {
	return cl.Rate == other.Rate && cl.Delay == other.Delay && cl.Priority == other.Priority
}
