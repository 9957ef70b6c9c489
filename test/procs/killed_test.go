package procs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// doneTimes holds the times at which the callers of one host received the result
// of a request.
type doneTimes []time.Time

// before returns the number of results received before a time.
func (dt doneTimes) before(at time.Time) int64 {
	count := int64(0)
	for _, when := range dt {
		if when.Before(at) {
			count++
		}
	}
	return count
}

// TestKilledScheduler checks that a running job survives the death of its
// scheduler, and that the report states the gap in the counts of that host.
func TestKilledScheduler(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	leader, other := sy.scheduler(t, lima)
	jb := leader.submit(t, gang(lima, false, 12*time.Second))
	leader.awaitState(t, jb.ID, jobs.Running)

	// The requests go on until the host has stored a snapshot of its usage counts.
	atLeader := callFor(t, sy, leader, report.SnapshotEvery+time.Second)
	atOther := callFor(t, sy, other, time.Second)
	leader.kill()

	jb = other.awaitState(t, jb.ID, jobs.Ended)
	is.Equal(jb.Code, codes.JobDone)
	is.Equal(jb.Attempt, 1)
	sy.checkRanOnce(t, jb.ID)

	var gap report.Gap
	var da report.Daily
	eventually(t, "the report states the gap", func() error {
		var err error
		if da, err = other.report(); err != nil {
			return err
		}
		for _, ga := range da.Gaps {
			if ga.Host == leader.host {
				gap = ga
				return nil
			}
		}
		return fmt.Errorf("gaps are %+v", da.Gaps)
	})
	is.True(gap.AtMost > 0)
	jobRow := row(da, "")
	is.Equal(jobRow.Offered, int64(1))
	is.Equal(jobRow.Done, int64(1))
	done := row(da, orders).Done
	all := int64(len(atLeader) + len(atOther))
	t.Logf("%d of %d requests counted, the gap begins after %d of %d", done, all, atLeader.before(gap.Last), len(atLeader))
	is.True(done >= int64(len(atOther))+atLeader.before(gap.Last)) // results before the last snapshot are counted
	is.True(done <= all)                                           // nothing is counted twice
}

// callFor makes requests at a host for the span. Each must succeed and run once.
func callFor(t *testing.T, sy *system, eh *entryHost, span time.Duration) doneTimes {
	t.Helper()
	var dt doneTimes
	var names []string
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pollInterval) {
		an, err := eh.call("/sacks", client.CallOptions{})
		if err != nil || an.Code != codes.RequestDone {
			t.Fatalf("request at %s: %v, %v", eh.host, an.Code, err)
		}
		dt = append(dt, time.Now())
		names = append(names, an.Request)
	}
	counts := sy.runCounts(t)
	for _, nm := range names {
		if counts[nm] != 1 {
			t.Errorf("request %s ran %d times", nm, counts[nm])
		}
	}
	return dt
}
