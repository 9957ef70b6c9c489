package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const (
	maxJobBody      = 256 << 10           // bytes
	maxAccelerators = 8                   // per task
	maxRunTime      = 90 * 24 * time.Hour // per step
	maxCommandArgs  = 1024
	maxCommandBytes = 64 << 10 // of all arguments
	maxSteps        = 64       // of a job
	// jobDecodeFactor is what decoding a job of one-byte words takes up, divided by its
	// size.
	jobDecodeFactor = 16
)

// submitJob serves POST /v1/jobs. It accounts for a submission that is not
// accepted; an accepted job is accounted for from its record.
func (sr *Server) submitJob(ctx context.Context, ar *apiRequest) *codes.Error {
	rc, er := ar.submit(ctx)
	if er == nil {
		if rc.State == jobs.Queued && !rc.Cancelled {
			rc.Code = codes.JobAccepted
		}
		ar.writeJob(rc)
		return nil
	}
	if sr.cfg.Account != nil {
		sr.cfg.Account.Offer(ar.began, ar.accountedWorkspace(), "").End(report.Outcome{Code: er.Code})
	}
	return er
}

// accountedWorkspace returns the workspace to which the request is accounted.
func (ar *apiRequest) accountedWorkspace() string {
	if de, _ := ar.sr.cfg.Declarations(); de != nil {
		if ws, ok := de.Workspace(ar.hd.workspace); ok {
			return ws.Name
		}
	}
	return undeclared
}

// submit validates and submits a job. If the same job was submitted before, it
// returns the record of that submission.
func (ar *apiRequest) submit(ctx context.Context) (jobs.Record, *codes.Error) {
	de, er := ar.requireWorkspace()
	if er != nil {
		return jobs.Record{}, er
	}
	content, release, er := ar.body(maxJobBody)
	defer release()
	if er != nil {
		return jobs.Record{}, er
	}
	req, er := ar.decodeSubmit(ctx, content)
	if er != nil {
		return jobs.Record{}, er
	}
	sp, er := ar.jobSpec(de, req)
	if er != nil {
		return jobs.Record{}, er
	}
	rc, err := ar.sr.cfg.Jobs.Submit(ctx, sp)
	switch {
	case err != nil:
		return rc, submitError(err)
	case !sameJob(rc.Spec, sp):
		return rc, codes.New(codes.KeyMismatch, "the idempotency key belongs to job %s, which differs", rc.ID)
	}
	return rc, nil
}

// requireWorkspace returns the declarations if they contain the caller's
// workspace.
func (ar *apiRequest) requireWorkspace() (*spec.Declarations, *codes.Error) {
	de, _ := ar.sr.cfg.Declarations()
	if de == nil {
		return nil, codes.New(codes.NotReady, "the host has no declarations yet")
	}
	if ar.hd.workspace == "" {
		return nil, codes.New(codes.BadRequest, "header %s is missing", client.HeaderWorkspace)
	}
	if _, ok := de.Workspace(ar.hd.workspace); !ok {
		return nil, codes.New(codes.UnknownWorkspace, "workspace %q", ar.hd.workspace)
	}
	return de, nil
}

// decodeSubmit parses the body of a submission. It rejects unknown and duplicate
// keys.
func (ar *apiRequest) decodeSubmit(ctx context.Context, content []byte) (client.SubmitRequest, *codes.Error) {
	var req client.SubmitRequest
	release, err := ar.sr.cfg.Guard.Decode(ctx, min(jobDecodeFactor*int64(len(content)), ar.sr.cfg.Guard.MaxDecode()))
	if err != nil {
		return req, codes.New(codes.Overloaded, "too many jobs are being decoded")
	}
	defer release()
	if er := checkJSON(content); er != nil {
		return req, er
	}
	dc := json.NewDecoder(bytes.NewReader(content))
	dc.DisallowUnknownFields()
	if err := dc.Decode(&req); err != nil {
		return req, codes.New(codes.BadRequest, "the body is not a job: %v", err)
	}
	if _, err := dc.Token(); !errors.Is(err, io.EOF) {
		return req, codes.New(codes.BadRequest, "the body has data after the job")
	}
	return req, nil
}

// jobSpec validates a submission and returns the job with its ID.
func (ar *apiRequest) jobSpec(de *spec.Declarations, req client.SubmitRequest) (jobs.Spec, *codes.Error) {
	if er := checkJob(req); er != nil {
		return jobs.Spec{}, er
	}
	runTime, er := parseRunTime(req.RunTime)
	if er != nil {
		return jobs.Spec{}, er
	}
	then, er := parseThen(req.Then)
	if er != nil {
		return jobs.Spec{}, er
	}
	priority, ok := jobs.ParsePriority(req.Priority)
	if !ok {
		return jobs.Spec{}, codes.New(codes.BadRequest, "priority must be low, normal or urgent")
	}
	zone := req.Zone
	if zone == "" {
		zone = ar.sr.cfg.Zone
	}
	if _, ok := de.Zone(zone); !ok {
		return jobs.Spec{}, codes.New(codes.BadRequest, "zone %q is not declared", zone)
	}
	if ar.hd.key != "" && req.Zone == "" {
		return jobs.Spec{}, codes.New(codes.BadRequest, "a job with an idempotency key must name its zone, so that every entry host finds it")
	}
	return jobs.Spec{
		ID: jobs.NewID(zone, ar.jobIDSuffix()), Workspace: ar.hd.workspace, Caller: ar.hd.caller, Key: ar.hd.key,
		Shape: req.Shape, RunTime: runTime, Priority: priority,
		Repeatable: *req.Repeatable, Checkpoint: req.Checkpoint, Command: req.Command, Then: then,
	}, nil
}

func parseRunTime(text string) (time.Duration, *codes.Error) {
	runTime, err := time.ParseDuration(text)
	if err != nil || runTime <= 0 || runTime > maxRunTime {
		return 0, codes.New(codes.BadRequest, "runTime must be a duration such as 45m, at most %v", maxRunTime)
	}
	return runTime, nil
}

// parseThen validates the steps after the first one and returns them as steps of
// a job.
func parseThen(steps []client.Step) ([]jobs.Step, *codes.Error) {
	if len(steps) >= maxSteps {
		return nil, codes.New(codes.BadRequest, "a job may have at most %d steps, not %d", maxSteps, len(steps)+1)
	}
	var then []jobs.Step
	for i, st := range steps {
		runTime, er := parseRunTime(st.RunTime)
		if er == nil {
			er = checkStep(st.Shape, st.Command)
		}
		if er != nil {
			return nil, codes.New(er.Code, "step %d: %s", i+2, er.Detail)
		}
		then = append(then, jobs.Step{Shape: st.Shape, RunTime: runTime, Command: st.Command})
	}
	return then, nil
}

// jobIDSuffix returns the part of a job's ID after the zone: a digest of workspace
// and idempotency key, so that repeated submissions have the same ID, or a random
// UUID if there is no key.
func (ar *apiRequest) jobIDSuffix() string {
	if ar.hd.key == "" {
		return uuid.NewString()
	}
	sum := sha256.Sum256([]byte(ar.hd.workspace + "\x00" + ar.hd.key))
	return hex.EncodeToString(sum[:16])
}

// checkJob validates the fields of a submission that need no conversion.
func checkJob(req client.SubmitRequest) *codes.Error {
	if req.Repeatable == nil {
		return codes.New(codes.BadRequest, "repeatable is missing")
	}
	return checkStep(req.Shape, req.Command)
}

// checkStep validates the shape and the command of one step.
func checkStep(sh spec.Shape, command []string) *codes.Error {
	size := 0
	for _, word := range command {
		size += len(word)
	}
	switch {
	case len(command) == 0:
		return codes.New(codes.BadRequest, "command is missing")
	case len(command) > maxCommandArgs || size > maxCommandBytes:
		return codes.New(codes.BadRequest, "command may have at most %d arguments and %d bytes", maxCommandArgs, maxCommandBytes)
	case sh.Tasks < 1 || sh.Accelerators < 0:
		return codes.New(codes.BadRequest, "shape must have at least one task and no negative number of accelerators")
	case sh.Tasks > spec.MaxTasks:
		return codes.New(codes.ShapeTooLarge, "%d tasks exceed the limit of %d", sh.Tasks, spec.MaxTasks)
	case sh.Accelerators > maxAccelerators:
		return codes.New(codes.ShapeTooLarge, "%d accelerators per task exceed the limit of %d", sh.Accelerators, maxAccelerators)
	}
	switch sh.Adjacency {
	case spec.SameWorker, spec.SameRack, spec.SameZone:
		return nil
	default:
		return codes.New(codes.BadRequest, "shape.adjacency must be worker, rack or zone")
	}
}

// submitError returns the error of a failed submission for the caller. If err has
// no code of its own, the job may have been recorded.
func submitError(err error) *codes.Error {
	er := codes.Of(err)
	if er.Code == codes.InternalFailure {
		return codes.New(codes.SubmitUnknown, "%s", er.Detail)
	}
	return er
}

// sameJob reports whether two submissions with the same ID request the same job,
// whichever caller sent them.
func sameJob(a, b jobs.Spec) bool {
	a.Caller, b.Caller = "", ""
	return slices.Equal(a.Command, b.Command) && reflect.DeepEqual(withoutCommand(a), withoutCommand(b))
}

func withoutCommand(sp jobs.Spec) jobs.Spec {
	sp.Command = nil
	return sp
}

// getJob serves GET /v1/jobs/{id}.
func (sr *Server) getJob(ctx context.Context, ar *apiRequest) *codes.Error {
	wait, er := ar.wait()
	if er != nil {
		return er
	}
	id := mux.Vars(ar.r)["id"]
	waitCtx, cancel := ar.untilStop(ctx)
	defer cancel()
	rc, err := sr.cfg.Jobs.Get(waitCtx, id, wait)
	// If the host is being stopped, the caller gets the current state at once.
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		rc, err = sr.cfg.Jobs.Get(ctx, id, 0)
	}
	if err != nil {
		return codes.Of(err)
	}
	if er := ar.checkOwner(rc); er != nil {
		return er
	}
	ar.writeJob(rc)
	return nil
}

// cancelJob serves DELETE /v1/jobs/{id}.
func (sr *Server) cancelJob(ctx context.Context, ar *apiRequest) *codes.Error {
	id := mux.Vars(ar.r)["id"]
	if ar.hd.workspace != "" {
		rc, err := sr.cfg.Jobs.Get(ctx, id, 0)
		if err != nil {
			return codes.Of(err)
		}
		if er := ar.checkOwner(rc); er != nil {
			return er
		}
	}
	rc, err := sr.cfg.Jobs.Cancel(ctx, id)
	if err != nil {
		er := codes.Of(err)
		if er.Code == codes.InternalFailure {
			return codes.New(codes.CancelUnknown, "%s", er.Detail)
		}
		return er
	}
	ar.writeJob(rc)
	return nil
}

// checkOwner hides a job from a caller that names another workspace. A caller
// that names none may see all jobs.
func (ar *apiRequest) checkOwner(rc jobs.Record) *codes.Error {
	if ar.hd.workspace != "" && ar.hd.workspace != rc.Workspace {
		return codes.New(codes.JobNotFound, "job %q", rc.ID)
	}
	return nil
}

// listJobs serves GET /v1/jobs.
func (sr *Server) listJobs(ctx context.Context, ar *apiRequest) *codes.Error {
	fi, er := ar.filter()
	if er != nil {
		return er
	}
	rcs, unreachable, err := sr.listAcrossZones(ctx, fi)
	if err != nil {
		return codes.Of(err)
	}
	list := client.JobList{Jobs: make([]client.Job, 0, len(rcs)), Unreachable: unreachable}
	for _, rc := range rcs {
		list.Jobs = append(list.Jobs, ar.clientJob(rc))
	}
	ar.write(&codes.Error{Code: codes.RequestDone}, list)
	return nil
}

// listAcrossZones returns the jobs that match a filter, and the zones that were
// unreachable. If Config.Jobs is not a ZoneLister, no zone counts as unreachable.
func (sr *Server) listAcrossZones(ctx context.Context, fi jobs.Filter) ([]jobs.Record, []string, error) {
	if zl, ok := sr.cfg.Jobs.(ZoneLister); ok {
		return zl.ListAcrossZones(ctx, fi)
	}
	rcs, err := sr.cfg.Jobs.List(ctx, fi)
	return rcs, nil, err
}

// filter returns the filter of a list of jobs, by the workspace header and the
// parameters workspace and active.
func (ar *apiRequest) filter() (jobs.Filter, *codes.Error) {
	fi := jobs.Filter{Workspace: ar.hd.workspace}
	named, er := ar.query("workspace")
	if er != nil {
		return fi, er
	}
	if named != "" && fi.Workspace != "" && named != fi.Workspace {
		return fi, codes.New(codes.BadRequest, "the header and the parameter name different workspaces")
	}
	if named != "" {
		fi.Workspace = named
	}
	active, er := ar.query("active")
	switch {
	case er != nil:
		return fi, er
	case active != "" && active != "true" && active != "false":
		return fi, codes.New(codes.BadRequest, "parameter active must be true or false")
	}
	fi.Active = active == "true"
	return fi, nil
}

func (ar *apiRequest) writeJob(rc jobs.Record) {
	ar.write(&codes.Error{Code: rc.Code}, ar.clientJob(rc))
}

// clientJob converts a record to the form that callers get.
func (ar *apiRequest) clientJob(rc jobs.Record) client.Job {
	jb := client.Job{
		Answer: newAnswer(ar.id, &codes.Error{Code: rc.Code, Detail: rc.Detail}),
		ID:     rc.ID, Workspace: rc.Workspace, Caller: rc.Caller, Zone: jobs.ZoneOf(rc.ID),
		State: rc.State.String(), Shape: rc.CurrentStep().Shape, Step: rc.Step + 1, Steps: len(rc.Then) + 1, Priority: rc.Priority.String(),
		Repeatable: rc.Repeatable, Checkpoint: rc.Checkpoint, Attempt: rc.Attempt,
		Submitted: rc.Submitted, Started: timeOrNil(rc.Started), Ended: timeOrNil(rc.Ended),
	}
	for _, ta := range rc.Tasks {
		jb.Workers = append(jb.Workers, ta.Worker)
	}
	return jb
}

// timeOrNil returns nil for the zero time, so that JSON omits it.
func timeOrNil(at time.Time) *time.Time {
	if at.IsZero() {
		return nil
	}
	return &at
}
