package local

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// logCapture is an io.Writer that keeps the log in memory. It is safe for
// concurrent use.
type logCapture struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const (
	sampleTasks   = 4
	sampleTimeout = 30 * time.Second
	sampleBody    = `{"sacks":120,"grade":"B"}`
	sampleCaller  = "local"
	reportTimeout = 10 * time.Second // for the report to include the request and the job
)

// sample runs a request, a gang job and a job of a scheduling domain, and prints
// their results, the routing and placement decisions and the report of the day.
// It returns an error unless each ran exactly once with success and the report
// counts the request and the gang job.
func (dp *deployment) sample(ctx context.Context, out *printer, captured *logCapture) error {
	ws, service, err := dp.sampleWorkspace()
	if err != nil {
		return err
	}
	cl := client.New(client.Config{Addresses: dp.addresses(), Workspace: ws.Name, Caller: sampleCaller})
	defer cl.Close()
	cr, err := cl.Call(ctx, service, http.MethodPost, "/check", []byte(sampleBody), client.CallOptions{})
	if err != nil {
		return merry.Prepend(err, "sample request")
	}
	out.printf("request %s: %s, status %d, %d bytes", cr.Request, cr.Code, cr.Status, len(cr.Body))
	jb, err := dp.sampleJob(ctx, cl)
	if err != nil {
		return merry.Prepend(err, "sample job")
	}
	out.printf("job %s: %s in %d steps, the last with %d task on %s", jb.ID, jb.Code, jb.Steps, jb.Shape.Tasks, strings.Join(jb.Workers, " "))
	if err := dp.sampleSteps(ctx, out, slog.New(slog.NewTextHandler(captured, nil))); err != nil {
		return err
	}
	out.printf("decisions:")
	for _, ln := range captured.decisions() {
		out.printf("  %s", ln)
	}
	if err := dp.checkRuns(cr, jb); err != nil {
		return err
	}
	if err := dp.sampleReport(ctx, cl, out, ws.Name, service); err != nil {
		return err
	}
	return out.err
}

// sampleWorkspace returns the first workspace that may use a service, and the
// service.
func (dp *deployment) sampleWorkspace() (spec.Workspace, string, error) {
	for _, ws := range dp.decl.Workspaces {
		if len(ws.Services) > 0 {
			return ws, ws.Services[0].Name, nil
		}
	}
	return spec.Workspace{}, "", merry.New("no workspace of the declarations may use a service")
}

// sampleJob submits a gang job with a second step of one task and returns its
// state at its end, or after sampleTimeout.
func (dp *deployment) sampleJob(ctx context.Context, cl *client.Client) (client.Job, error) {
	repeatable := false
	jb, err := cl.Submit(ctx, client.SubmitRequest{
		Shape:   spec.Shape{Tasks: sampleTasks, Accelerators: 1, Adjacency: spec.SameRack},
		RunTime: "1s", Repeatable: &repeatable, Command: []string{"sleep", "500ms"},
		Then: []client.Step{{
			Shape:   spec.Shape{Tasks: 1, Accelerators: 1, Adjacency: spec.SameRack},
			RunTime: "1s", Command: []string{"sleep", "100ms"},
		}},
	}, "")
	if err != nil {
		return jb, err
	}
	return cl.Job(ctx, jb.ID, sampleTimeout)
}

// checkRuns checks that the request and the job succeeded and that the simulators
// ran the request once and as many tasks as the job has.
func (dp *deployment) checkRuns(cr client.CallAnswer, jb client.Job) error {
	if cr.Code != codes.RequestDone {
		return merry.Errorf("the request ended with %s", cr.Code)
	}
	if jb.State != jobs.Ended.String() || jb.Code != codes.JobDone {
		return merry.Errorf("the job is %s with code %s", jb.State, jb.Code)
	}
	requestRuns := 0
	for _, ru := range dp.fleet.Requests() {
		if ru.Request == cr.Request {
			requestRuns++
		}
	}
	if requestRuns != 1 {
		return merry.Errorf("the endpoints ran the request %d times", requestRuns)
	}
	taskRuns := 0
	for _, ru := range dp.fleet.Runs() {
		if ru.Task.Job == jb.ID {
			taskRuns++
		}
	}
	if taskRuns != sampleTasks+1 { // the second step has one
		return merry.Errorf("the workers ran %d tasks of the job", taskRuns)
	}
	return nil
}

// sampleReport waits until the report of the day includes the request and the
// job, prints the report and checks its sums.
func (dp *deployment) sampleReport(ctx context.Context, cl *client.Client, out *printer, workspace, service string) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for {
		da, err := readReport(ctx, cl)
		if err != nil {
			return merry.Prepend(err, "report")
		}
		if countsOne(da, workspace, service) && countsOne(da, workspace, "") {
			text, err := cl.Report(ctx, "", true)
			if err != nil {
				return merry.Prepend(err, "report")
			}
			out.printf("report:\n%s", text)
			return da.Check()
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("the report did not include the work within %v", reportTimeout)
		case <-time.After(pollInterval):
		}
	}
}

func readReport(ctx context.Context, cl *client.Client) (report.Daily, error) {
	var da report.Daily
	content, err := cl.Report(ctx, "", false)
	if err != nil {
		return da, err
	}
	return da, json.Unmarshal(content, &da)
}

// countsOne reports whether the row of a workspace and service counts exactly
// one request, which is done. An empty service selects the row of jobs, which
// then counts exactly one job.
func countsOne(da report.Daily, workspace, service string) bool {
	for _, ro := range da.Rows {
		if ro.Workspace == workspace && ro.Service == service {
			return ro.Offered == 1 && ro.Done == 1
		}
	}
	return false
}

// Write implements io.Writer.
func (lc *logCapture) Write(content []byte) (int, error) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.buf.Write(content)
}

// decisions returns the log lines of routing and placement decisions.
func (lc *logCapture) decisions() []string {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	var found []string
	for ln := range strings.Lines(lc.buf.String()) {
		if strings.Contains(ln, " event=route ") || strings.Contains(ln, " event=place ") {
			found = append(found, strings.TrimSpace(ln))
		}
	}
	return found
}
