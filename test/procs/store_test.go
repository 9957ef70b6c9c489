package procs_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// TestStoreUnavailable checks that hosts refuse what needs the store while it is
// down, that running jobs finish, and that their ends are recorded afterwards.
func TestStoreUnavailable(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	var ids []string
	var leaders []*entryHost
	for _, zn := range zones {
		leader, _ := sy.scheduler(t, zn)
		jb := leader.submit(t, gang(zn, false, 6*time.Second))
		leader.awaitState(t, jb.ID, jobs.Running)
		ids = append(ids, jb.ID)
		leaders = append(leaders, leader)
	}
	sy.setStoreDown(t, true)
	for _, eh := range sy.hosts {
		eventually(t, eh.host+" detects that the store is down", func() error { return checkStoreUp(eh, false) })
	}

	for _, eh := range leaders { // before that, a refused job might still have been recorded
		eventually(t, eh.host+" can't renew its lease", func() error {
			if !eh.logContains("event=store", "store does not answer the scheduler") {
				return errors.New("not logged")
			}
			return nil
		})
	}

	for _, eh := range sy.hosts {
		checkStoreUnavailable(t, sy, eh)
	}
	eventually(t, "the jobs finish on their workers", func() error {
		for _, rn := range sy.taskRuns(t, "") {
			if rn.Phase != worker.PhaseSucceeded {
				return fmt.Errorf("run %+v", rn)
			}
		}
		return nil
	})
	for _, id := range ids { // their end is not in the store yet
		jb, err := sy.hosts[0].job(id)
		is.NoErr(err)
		is.Equal(jb.Class, codes.InProgress)
	}

	sy.setStoreDown(t, false)
	for _, id := range ids {
		for _, eh := range sy.hosts {
			is.Equal(eh.awaitState(t, id, jobs.Ended).Code, codes.JobDone)
		}
		sy.checkRanOnce(t, id)
	}
	list, err := sy.hosts[0].client().Jobs(context.Background(), client.JobFilter{})
	is.NoErr(err)
	is.Equal(len(list.Jobs), len(ids)) // no refused job was recorded
	eventually(t, "new jobs are accepted again", func() error {
		_, err := sy.hosts[0].client().Submit(context.Background(), gang(lima, true, time.Second), "")
		return err
	})
}

// checkStoreUnavailable checks the responses of a host while the store is down.
func checkStoreUnavailable(t *testing.T, sy *system, eh *entryHost) {
	t.Helper()
	is := is.New(t)
	cl := eh.client()
	defer cl.Close()
	for _, key := range []string{"", "key-" + eh.host} {
		_, err := cl.Submit(context.Background(), gang(eh.zone, true, time.Second), key)
		cd, err := refusalCode(err)
		is.NoErr(err)
		is.Equal(cd, codes.StoreUnavailable)
	}

	an, err := eh.call("/plain", client.CallOptions{})
	is.NoErr(err)
	is.Equal(an.Code, codes.RequestDone)
	is.Equal(sy.runCounts(t)[an.Request], 1)

	path := "/keyed-" + eh.host
	_, err = eh.call(path, client.CallOptions{Key: "key-" + eh.host})
	cd, err := refusalCode(err)
	is.NoErr(err)
	is.Equal(cd, codes.StoreUnavailable)
	is.Equal(sy.runsOfPath(t, path), 0)
}

// checkStoreUp returns an error unless a host reports the given state of the store.
func checkStoreUp(eh *entryHost, up bool) error {
	cl := eh.client()
	defer cl.Close()
	st, err := cl.Status(context.Background())
	if err == nil && st.StoreUp != up {
		err = errors.New("the host reports the opposite state of the store")
	}
	return err
}
