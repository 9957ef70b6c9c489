package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// submitOptions holds the flags of submit.
	submitOptions struct {
		remote
		output
		req        client.SubmitRequest
		adjacency  string
		runTime    time.Duration
		repeatable string
		key        string
		then       string // file with the subsequent steps
		wait       time.Duration
	}

	// jobsOptions holds the flags of jobs and cancel.
	jobsOptions struct {
		remote
		output
		id     string
		active bool
		wait   time.Duration
	}
)

const (
	maxWait         = 24 * time.Hour
	pollWait        = 30 * time.Second       // timeout of one long poll
	minPollInterval = 500 * time.Millisecond // between the starts of polls that return early
)

func (en *env) submitCommand() *command {
	op := submitOptions{adjacency: string(spec.DefaultAdjacency)}
	op.req.Shape.Tasks = 1
	op.req.Shape.Accelerators = 1
	return &command{
		name:        "submit",
		description: "submits a job",
		usage:       "--run-time DURATION --repeatable true|false -- COMMAND...",
		trailing:    &op.req.Command,
		flags: func(sc *flaggy.Subcommand) {
			sc.Int(&op.req.Shape.Tasks, "", "tasks", "tasks of the gang")
			sc.Int(&op.req.Shape.Accelerators, "", "accelerators", "accelerators per task")
			sc.String(&op.adjacency, "", "adjacency", "what the tasks must share: worker, rack or zone")
			sc.Duration(&op.runTime, "", "run-time", "expected run time (required)")
			sc.String(&op.req.Priority, "", "priority", "low, normal or urgent")
			sc.String(&op.repeatable, "", "repeatable", "whether the job may run twice: true or false (required)")
			sc.Bool(&op.req.Checkpoint, "", "checkpoint", "the job saves checkpoints and resumes from them after a stop")
			sc.String(&op.then, "", "then", "YAML file with the subsequent steps")
			sc.String(&op.key, "", "key", "idempotency key")
			sc.String(&op.req.Zone, "", "zone", "availability zone; that of the entry host by default")
			sc.Duration(&op.wait, "", "wait", "how long to wait for the end of the job")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.submit(ctx, &op) },
	}
}

func (en *env) submit(ctx context.Context, op *submitOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	if err := op.complete(); err != nil {
		return err
	}
	then, err := loadSteps(op.then)
	if err != nil {
		return err
	}
	op.req.Then = then
	cl, err := op.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	jb, err := cl.Submit(ctx, op.req, op.key)
	if err != nil {
		return err
	}
	if op.wait > 0 {
		fmt.Fprintf(en.errOut, "%s %s: waiting for job %s\n", program, "submit", jb.ID)
		if jb, err = awaitJob(ctx, cl, jb, op.wait); err != nil {
			return err
		}
	}
	return en.emitJob(jb)
}

// complete validates the flags and completes the request from them.
func (op *submitOptions) complete() error {
	repeatable, err := parseBool("repeatable", op.repeatable)
	if err != nil {
		return err
	}
	op.req.Repeatable = &repeatable
	op.req.RunTime = op.runTime.String()
	op.req.Shape.Adjacency = spec.Adjacency(op.adjacency)
	_, priorityValid := jobs.ParsePriority(op.req.Priority)
	switch {
	case op.workspace == "":
		return usageErrorf("flag --workspace is required")
	case op.runTime <= 0:
		return usageErrorf("flag --run-time is required: a positive duration")
	case op.req.Shape.Tasks < 1 || op.req.Shape.Tasks > spec.MaxTasks:
		return usageErrorf("flag --tasks: must be between 1 and %d", spec.MaxTasks)
	case op.req.Shape.Accelerators < 0:
		return usageErrorf("flag --accelerators: must not be negative")
	case !op.req.Shape.Adjacency.Valid():
		return usageErrorf("flag --adjacency: %q must be worker, rack or zone", op.adjacency)
	case !priorityValid:
		return usageErrorf("flag --priority: %q must be low, normal or urgent", op.req.Priority)
	case op.req.Zone != "" && !spec.ValidName(op.req.Zone):
		return usageErrorf("flag --zone: %q is not a valid zone name", op.req.Zone)
	case len(op.req.Command) == 0:
		return usageErrorf("the command of the job is missing; it follows --")
	}
	return checkWait(op.wait)
}

// awaitJob polls a job until it has ended or the wait has elapsed. It returns
// the last known state of the job.
func awaitJob(ctx context.Context, cl *client.Client, jb client.Job, wait time.Duration) (client.Job, error) {
	end := time.Now().Add(wait)
	for jb.State != jobs.Ended.String() {
		remaining := time.Until(end)
		if remaining <= 0 {
			return jb, nil
		}
		polledAt := time.Now()
		next, err := cl.Job(ctx, jb.ID, min(remaining, pollWait))
		if err != nil {
			return jb, err
		}
		jb = next
		if jb.State != jobs.Ended.String() {
			pause.For(ctx, min(minPollInterval-time.Since(polledAt), time.Until(end)))
		}
	}
	return jb, nil
}

func (en *env) jobsCommand() *command {
	var op jobsOptions
	return &command{
		name:        "jobs",
		description: "lists jobs, or shows one",
		usage:       "[ID]",
		positionals: []positional{{&op.id, "id", "job to show", false}},
		flags: func(sc *flaggy.Subcommand) {
			sc.Bool(&op.active, "", "active", "only jobs that have not ended")
			sc.Duration(&op.wait, "", "wait", "with an id: how long to wait for the end of the job")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.jobs(ctx, &op) },
	}
}

func (en *env) jobs(ctx context.Context, op *jobsOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	if err := checkWait(op.wait); err != nil {
		return err
	}
	cl, err := op.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	if op.id != "" {
		return en.showJob(ctx, cl, op)
	}
	if op.wait > 0 {
		return usageErrorf("flag --wait requires the id of a job")
	}
	li, err := cl.Jobs(ctx, client.JobFilter{Workspace: op.workspace, Active: op.active})
	if err != nil {
		return err
	}
	for _, zn := range li.Unreachable {
		fmt.Fprintf(en.errOut, "%s jobs: zone %s is unreachable, its jobs are missing\n", program, zn)
	}
	return emit(en, li, writeJobs)
}

func (en *env) showJob(ctx context.Context, cl *client.Client, op *jobsOptions) error {
	jb, err := cl.Job(ctx, op.id, 0)
	if err != nil {
		return err
	}
	if op.wait > 0 {
		if jb, err = awaitJob(ctx, cl, jb, op.wait); err != nil {
			return err
		}
	}
	return en.emitJob(jb)
}

func (en *env) cancelCommand() *command {
	var op jobsOptions
	return &command{
		name:        "cancel",
		description: "cancels a job",
		usage:       "ID",
		positionals: []positional{{&op.id, "id", "job to cancel (required)", true}},
		flags: func(sc *flaggy.Subcommand) {
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.cancel(ctx, &op) },
	}
}

func (en *env) cancel(ctx context.Context, op *jobsOptions) error {
	return en.withClient(op, func(cl *client.Client) error {
		jb, err := cl.Cancel(ctx, op.id)
		if err != nil {
			return err
		}
		return emit(en, jb, writeJob)
	})
}

// emitJob writes a job. It returns an error for a job that has ended without
// success.
func (en *env) emitJob(jb client.Job) error {
	if err := emit(en, jb, writeJob); err != nil {
		return err
	}
	switch jb.Code.Class() {
	case codes.Done, codes.InProgress:
		return nil
	default:
		return &codes.Error{Code: jb.Code, Detail: jb.Detail}
	}
}

func writeJob(out io.Writer, jb client.Job) error {
	return writeJobs(out, client.JobList{Jobs: []client.Job{jb}})
}

func writeJobs(out io.Writer, li client.JobList) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ID\tSTATE\tCODE\tWORKSPACE\tPRIORITY\tSTEP\tSHAPE\tATTEMPT\tSUBMITTED\tWORKERS\tDETAIL")
	for _, jb := range li.Jobs {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d/%d\t%s\t%d\t%s\t%s\t%s\n",
			jb.ID, jb.State, jb.Code, jb.Workspace, jb.Priority, jb.Step, jb.Steps, shapeText(jb.Shape), jb.Attempt,
			jb.Submitted.UTC().Format(time.RFC3339), orDash(strings.Join(jb.Workers, ",")), orDash(oneLine(jb.Detail)))
	}
	return tw.Flush()
}

// shapeText returns a shape as tasks, accelerators per task and adjacency, such
// as 4x8/rack.
func shapeText(sh spec.Shape) string {
	return fmt.Sprintf("%dx%d/%s", sh.Tasks, sh.Accelerators, sh.Adjacency)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func checkWait(wait time.Duration) error {
	if wait < 0 || wait > maxWait {
		return usageErrorf("flag --wait: must be between 0s and %v", maxWait)
	}
	return nil
}
