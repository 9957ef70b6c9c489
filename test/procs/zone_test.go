package procs_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// TestZoneUnreachable checks what the other zone does while all hosts of a zone are
// dead: it reports the zone's jobs as unreachable, refuses new ones for the zone
// and serves its own. Once the hosts are back, the zone's jobs end.
func TestZoneUnreachable(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	ctx := context.Background()
	lost, near := sy.hostsIn(cusco), sy.hostsIn(lima)[0]
	leader, _ := sy.scheduler(t, cusco)
	repeatable := leader.submit(t, gang(cusco, true, 12*time.Second))
	notRepeatable := leader.submit(t, gangOf(2, cusco, false, time.Minute))
	for _, jb := range []client.Job{repeatable, notRepeatable} {
		leader.awaitState(t, jb.ID, jobs.Running)
	}
	for _, eh := range lost {
		eh.kill()
	}

	eventually(t, "the jobs of the zone are unreachable", func() error {
		_, err := near.job(repeatable.ID)
		return isUnreachable(err)
	})
	_, err := near.job(notRepeatable.ID)
	is.NoErr(isUnreachable(err))
	_, err = near.client().Submit(ctx, gang(cusco, true, time.Second), "later")
	is.NoErr(isUnreachable(err))
	list, err := near.client().Jobs(ctx, client.JobFilter{})
	is.NoErr(err)
	is.True(slices.Contains(list.Unreachable, cusco))
	checkZoneServes(t, sy, lima)
	eventually(t, "the leases of the zone's tasks expire", func() error {
		for _, rn := range sy.taskRuns(t, notRepeatable.ID) {
			if rn.Phase != worker.PhaseExpired {
				return fmt.Errorf("run %+v", rn)
			}
		}
		return nil
	})

	for _, eh := range lost {
		sy.serve(t, eh)
	}
	sy.awaitReady(t)
	is.Equal(near.awaitState(t, repeatable.ID, jobs.Ended).Code, codes.JobDone)
	checkAbortedJob(t, sy, near.awaitState(t, notRepeatable.ID, jobs.Ended))
	sy.checkOverlaps(t)
	list, err = near.client().Jobs(ctx, client.JobFilter{Workspace: workspace})
	is.NoErr(err)
	is.Equal(len(list.Unreachable), 0)
	is.Equal(len(list.Jobs), 3) // both, and the one in the other zone; the refused one was not recorded
}

// checkZoneServes checks that a zone serves requests and runs jobs.
func checkZoneServes(t *testing.T, sy *system, zn string) {
	t.Helper()
	is := is.New(t)
	for _, eh := range sy.hostsIn(zn) {
		an, err := eh.call("/sacks", client.CallOptions{})
		is.NoErr(err)
		is.Equal(an.Code, codes.RequestDone)
	}
	eh := sy.hostsIn(zn)[0]
	jb := eh.submit(t, gang(zn, false, time.Second))
	is.Equal(eh.awaitState(t, jb.ID, jobs.Ended).Code, codes.JobDone)
	sy.checkRanOnce(t, jb.ID)
}

// checkAbortedJob checks that a job that isn't repeatable ran once, and that its
// result says that it failed or that its outcome is unknown.
func checkAbortedJob(t *testing.T, sy *system, jb client.Job) {
	t.Helper()
	is := is.New(t)
	t.Logf("job that isn't repeatable: %v: %s", jb.Code, jb.Detail)
	is.Equal(len(sy.taskRuns(t, jb.ID)), gangTasks)
	is.Equal(jb.Attempt, 1)
	is.True(jb.Class == codes.Unknown || jb.Class == codes.Failed)
}

// isUnreachable returns an error unless err is a refusal because the zone is
// unreachable.
func isUnreachable(err error) error {
	cd, err := refusalCode(err)
	if err == nil && cd != codes.ZoneUnreachable {
		err = fmt.Errorf("refused with %v", cd)
	}
	return err
}
