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

func TestZoneCut(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	ctx := context.Background()
	cut, near := sy.of(cusco), sy.of(lima)[0]
	holder, _ := sy.scheduler(t, cusco)
	repeatable := holder.submit(t, gang(cusco, true, 8*time.Second))
	single := holder.submit(t, gangOf(2, cusco, false, 8*time.Second))
	for _, jb := range []client.Job{repeatable, single} {
		holder.awaitState(t, jb.ID, jobs.Running)
	}
	for _, eh := range cut {
		eh.kill()
	}

	eventually(t, "the jobs of the zone are unreachable", func() error {
		_, err := near.job(repeatable.ID)
		return isUnreachable(err)
	})
	_, err := near.job(single.ID)
	is.NoErr(isUnreachable(err))
	_, err = near.client().Submit(ctx, gang(cusco, true, time.Second), "later")
	is.NoErr(isUnreachable(err))
	list, err := near.client().Jobs(ctx, client.JobFilter{})
	is.NoErr(err)
	is.True(slices.Contains(list.Unreachable, cusco))
	checkGoesOn(t, sy, lima)

	for _, eh := range cut {
		sy.serve(t, eh)
	}
	sy.awaitReady(t)
	is.Equal(near.awaitState(t, repeatable.ID, jobs.Ended).Code, codes.JobDone)
	checkEnd(t, sy, near.awaitState(t, single.ID, jobs.Ended))
	sy.checkOverlaps(t)
	list, err = near.client().Jobs(ctx, client.JobFilter{Workspace: workspace})
	is.NoErr(err)
	is.Equal(len(list.Unreachable), 0)
	is.Equal(len(list.Jobs), 3) // both, and that of the other zone; the refused one was not recorded
}

// checkGoesOn verifies that a zone serves requests and jobs.
func checkGoesOn(t *testing.T, sy *system, zn string) {
	t.Helper()
	is := is.New(t)
	for _, eh := range sy.of(zn) {
		an, err := eh.order("/sacks", client.CallOptions{})
		is.NoErr(err)
		is.Equal(an.Code, codes.RequestDone)
	}
	eh := sy.of(zn)[0]
	jb := eh.submit(t, gang(zn, false, time.Second))
	is.Equal(eh.awaitState(t, jb.ID, jobs.Ended).Code, codes.JobDone)
	sy.checkOnce(t, jb.ID)
}

// checkEnd compares the end of a job that may not be repeated with its runs.
func checkEnd(t *testing.T, sy *system, jb client.Job) {
	t.Helper()
	succeeded := 0
	rns := sy.taskRuns(t, jb.ID)
	for _, rn := range rns {
		if rn.Phase == worker.PhaseSucceeded {
			succeeded++
		}
	}
	t.Logf("job that may not be repeated: %v, %d of %d runs succeeded", jb.Code, succeeded, len(rns))
	if len(rns) != gangTasks {
		t.Errorf("runs are %+v", rns)
	}
	if (jb.Code == codes.JobDone) != (succeeded == gangTasks) || jb.Class == codes.NotRun {
		t.Errorf("told %v", jb.Code)
	}
}

func isUnreachable(err error) error {
	cd, err := refused(err)
	if err == nil && cd != codes.ZoneUnreachable {
		err = fmt.Errorf("refused with %v", cd)
	}
	return err
}
