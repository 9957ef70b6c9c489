// Package report counts requests and jobs and builds the daily report from the
// counts.
//
// The account of a host is a set of counters that only increase. For every day,
// workspace and service they satisfy offered = done + failed + notRun + unknown +
// in progress at every moment. Because counters never decrease, copies of an
// account are merged by taking the larger value of each counter; the merge is
// commutative, associative and idempotent.
//
// Accepted jobs are counted from the records of the zones' schedulers,
// everything else from the accounts of the hosts. A report sums the same rows by
// outcome, encoded as revenue, and by usage, encoded as capacity.
package report

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// Recorder counts the work of one host by outcome. Offer is called once when
// work arrives and returns the Work that records its outcome. The outcome counts
// for the day of the offer.
//
// Service is empty for the submission of a job. Only submissions that were not
// accepted are recorded, since accepted ones are counted from the records of
// the jobs.
type Recorder interface {
	Offer(now time.Time, workspace, service string) *Work
}

// Outcome describes how a request or submission ended.
type Outcome struct {
	Code        codes.Code
	SlotTime    time.Duration // total time for which it held slots
	RegionBytes int64         // bytes sent between regions
	Repeats     int           // attempts after the first
}
