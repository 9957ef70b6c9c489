package procs_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/worker"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const gangTasks = 4

// gang returns a gang job of four tasks that each need a worker of their own.
func gang(zn string, repeatable bool, run time.Duration) client.SubmitRequest {
	return gangOf(5, zn, repeatable, run)
}

// gangOf returns a gang job of four tasks with the given number of accelerators
// each.
func gangOf(perTask int, zn string, repeatable bool, run time.Duration) client.SubmitRequest {
	return client.SubmitRequest{
		Zone:    zn,
		Shape:   spec.Shape{Tasks: gangTasks, Accelerators: perTask, Adjacency: spec.SameRack},
		RunTime: run.String(), Repeatable: &repeatable, Command: []string{"sleep", run.String()},
	}
}

// submit submits a job, which must be accepted.
func (eh *entryHost) submit(t *testing.T, rq client.SubmitRequest) client.Job {
	t.Helper()
	cl := eh.client()
	defer cl.Close()
	jb, err := cl.Submit(context.Background(), rq, "")
	if err != nil {
		t.Fatalf("submit at %s: %v", eh.host, err)
	}
	return jb
}

// job returns a job as the host reports it now.
func (eh *entryHost) job(id string) (client.Job, error) {
	cl := eh.client()
	defer cl.Close()
	return cl.Job(context.Background(), id, 0)
}

// awaitState waits until a host reports that a job is in a state.
func (eh *entryHost) awaitState(t *testing.T, id string, st jobs.State) client.Job {
	t.Helper()
	var jb client.Job
	eventually(t, fmt.Sprintf("job %s is %s according to %s", id, st, eh.host), func() error {
		var err error
		jb, err = eh.job(id)
		if err == nil && jb.State != st.String() {
			err = fmt.Errorf("it is %s: %s", jb.State, jb.Detail)
		}
		return err
	})
	return jb
}

// call makes one request, which isn't repeatable unless op says so.
func (eh *entryHost) call(path string, op client.CallOptions) (client.CallAnswer, error) {
	cl := eh.client()
	defer cl.Close()
	return cl.Call(context.Background(), orders, "POST", path, []byte("wax"), op)
}

// checkRanOnce checks that each task of a job ran once and succeeded.
func (sy *system) checkRanOnce(t *testing.T, id string) {
	t.Helper()
	rns := sy.taskRuns(t, id)
	seen := map[int]bool{}
	for _, rn := range rns {
		if rn.Phase != worker.PhaseSucceeded || seen[rn.Task.Index] || rn.Task.Attempt != 1 {
			t.Errorf("unexpected run %+v", rn)
		}
		seen[rn.Task.Index] = true
	}
	if len(rns) != gangTasks {
		t.Errorf("%d tasks of job %s ran: %+v", len(rns), id, rns)
	}
	sy.checkOverlaps(t)
}

// checkOverlaps checks that no task ran twice at the same time, and that no tasks
// of two attempts of one job ran at the same time.
func (sy *system) checkOverlaps(t *testing.T) {
	t.Helper()
	for _, ov := range wksim.Overlaps(sy.taskRuns(t, "")) {
		t.Errorf("runs of one job overlap: %+v", ov)
	}
}

// runCounts returns the number of runs of each request at the endpoints.
func (sy *system) runCounts(t *testing.T) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for _, rn := range sy.requestRuns(t) {
		counts[rn.Request]++
	}
	return counts
}

// runsOfPath returns the number of runs of requests for a path.
func (sy *system) runsOfPath(t *testing.T, path string) int {
	t.Helper()
	count := 0
	for _, rn := range sy.requestRuns(t) {
		if rn.Path == path {
			count++
		}
	}
	return count
}

// refusalCode returns the code of an error, which must be a refusal with a
// Retry-After time.
func refusalCode(err error) (codes.Code, error) {
	var ce *codes.Error
	switch {
	case !errors.As(err, &ce):
		return 0, fmt.Errorf("no result code: %v", err)
	case ce.Code.Class() != codes.NotRun:
		return ce.Code, fmt.Errorf("not a refusal: %w", err)
	case ce.RetryAfter <= 0:
		return ce.Code, fmt.Errorf("no Retry-After: %w", err)
	}
	return ce.Code, nil
}
