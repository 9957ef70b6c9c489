package procs_test

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// result is the result of a background call.
type result[T any] struct {
	value T
	err   error
}

// background makes a call in a new goroutine.
func background[T any](fn func() (T, error)) <-chan result[T] {
	done := make(chan result[T], 1)
	go func() {
		value, err := fn()
		done <- result[T]{value, err}
	}()
	return done
}

// receive waits for the result of a background call.
func receive[T any](t *testing.T, what string, done <-chan result[T]) (T, error) {
	t.Helper()
	select {
	case rs := <-done:
		return rs.value, rs.err
	case <-time.After(waitTimeout):
		t.Fatalf("%s: no result within %v", what, waitTimeout)
		panic("unreachable")
	}
}

// TestFrozenScheduler checks that a scheduler that resumes after another host has
// taken over gives up its role, and that its late calls run no job twice.
func TestFrozenScheduler(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	frozen, other := sy.scheduler(t, lima)
	before, err := frozen.zoneStatus(lima)
	is.NoErr(err)
	first := frozen.submit(t, gang(lima, false, 10*time.Second))
	frozen.awaitState(t, first.ID, jobs.Running)
	ctx := context.Background()
	waited := background(func() (client.Job, error) { return frozen.client().Job(ctx, first.ID, time.Minute) })

	frozen.freeze(t)
	called := background(func() (client.CallAnswer, error) { return frozen.call("/frozen", client.CallOptions{}) })
	submitted := background(func() (client.Job, error) {
		return frozen.client().Submit(ctx, gangOf(1, lima, false, time.Second), "frozen")
	})
	eventually(t, "another host takes over", func() error {
		zs, err := other.zoneStatus(lima)
		if err == nil && (zs.Scheduler != other.host || zs.Epoch <= before.Epoch) {
			err = fmt.Errorf("zone is %+v", zs)
		}
		return err
	})
	var second client.Job
	eventually(t, "the new scheduler accepts a job", func() error {
		var err error
		second, err = other.client().Submit(ctx, gangOf(2, lima, false, 3*time.Second), "second")
		return err
	})
	eventually(t, "the job starts", func() error {
		if rns := sy.taskRuns(t, second.ID); len(rns) != gangTasks {
			return fmt.Errorf("runs are %+v", rns)
		}
		return nil
	})
	frozen.signal(t, syscall.SIGCONT)

	eventually(t, "the old scheduler gives up its role", func() error {
		if !frozen.logContains("event=resign") || !frozen.logContains(`msg="term ended"`) {
			return errors.New("the old scheduler has not logged the end of its term")
		}
		return nil
	})
	an, err := receive(t, "request at the frozen host", called)
	checkCall(t, sy, "/frozen", an, err)
	late, err := receive(t, "job at the frozen host", submitted)
	checkSubmitted(t, sy, other, late, err)
	seen, err := receive(t, "wait at the frozen host", waited)
	if err == nil && seen.State == jobs.Ended.String() {
		is.Equal(seen.Code, codes.JobDone)
	} else if err != nil {
		_, err = refusalCode(err)
		is.NoErr(err)
	}

	for _, id := range []string{first.ID, second.ID} {
		for _, eh := range []*entryHost{frozen, other} {
			is.Equal(eh.awaitState(t, id, jobs.Ended).Code, codes.JobDone)
		}
		sy.checkRanOnce(t, id)
	}
	zs, err := frozen.zoneStatus(lima)
	is.NoErr(err)
	is.Equal(zs.Scheduler, other.host)
	is.True(zs.Epoch > before.Epoch)
}

// checkCall compares the response to a request with its recorded runs.
func checkCall(t *testing.T, sy *system, path string, an client.CallAnswer, err error) {
	t.Helper()
	runs := sy.runsOfPath(t, path)
	cd := an.Code
	var ce *codes.Error
	if errors.As(err, &ce) {
		cd = ce.Code
	}
	switch class := cd.Class(); {
	case cd == 0:
		t.Errorf("no result code: %v", err)
	case class == codes.Done && runs != 1, class == codes.NotRun && runs != 0, runs > 1:
		t.Errorf("caller got %v, request ran %d times", cd, runs)
	}
}

// checkSubmitted compares the response to a submission with the recorded jobs.
func checkSubmitted(t *testing.T, sy *system, eh *entryHost, jb client.Job, err error) {
	t.Helper()
	is := is.New(t)
	if err == nil {
		is.Equal(eh.awaitState(t, jb.ID, jobs.Ended).Code, codes.JobDone)
		sy.checkRanOnce(t, jb.ID)
		return
	}
	var ce *codes.Error
	is.True(errors.As(err, &ce))
	t.Logf("job at the frozen host: %v", err)
	if ce.Code.Class() == codes.NotRun {
		list, err := eh.client().Jobs(context.Background(), client.JobFilter{})
		is.NoErr(err)
		is.Equal(len(list.Jobs), 2) // the refused one isn't recorded
	}
}
