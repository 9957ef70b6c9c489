// Package report keeps the account of requests and jobs and draws the daily
// report from it.
//
// The account of a host is a set of counters that only grow. At every moment,
// for every day, workspace and service: offered = done + failed + notRun +
// unknown + in progress. Because no counter ever shrinks, two copies of an
// account are merged counter by counter, the larger one winning, in any order
// and however often.
//
// Jobs that were accepted are counted from the records of the zones'
// schedulers; everything else from the accounts of the hosts. Both readings of
// the report, revenue and capacity, are sums over the same rows.
package report

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// Recorder counts what becomes of work on one host. Offer is called once when
// work arrives and returns the ticket on which its outcome is entered. The day
// of the offer is the day of the outcome, too.
//
// Service is empty for a submission of a job. Only those submissions are
// recorded that were not accepted, since accepted ones are counted from the
// records of the jobs.
type Recorder interface {
	Offer(now time.Time, workspace, service string) *Ticket
}

// Outcome is how a piece of work ended.
type Outcome struct {
	Code        codes.Code
	SlotTime    time.Duration // for how long slots were held for it
	RegionBytes int64         // bytes that it sent between regions
	Repeats     int           // attempts past the first
}
