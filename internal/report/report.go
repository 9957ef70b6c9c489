// Package report keeps the account of requests and jobs and draws the daily
// report from it.
//
// The account is a set of counters that only grow. At every moment, for every
// workspace and service: offered = done + failed + notRun + unknown + in
// progress. Both readings of the report, revenue and capacity, are sums over
// the same rows.
package report

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// Recorder counts what becomes of work on one host. Offer is called once when
// work arrives and End exactly once when its outcome is known.
type Recorder interface {
	Offer(now time.Time, wk Work)
	End(now time.Time, wk Work, out Outcome)
}

// Work names what is counted together.
type Work struct {
	Day       string // as given by Offer's day; empty until then
	Workspace string
	Service   string // empty for jobs
}

// Outcome is how a piece of work ended.
type Outcome struct {
	Code        codes.Code
	SlotTime    time.Duration // for how long slots were held for it
	RegionBytes int64         // bytes that it sent between regions
	Repeats     int           // attempts past the first
}
