package sched

import (
	"reflect"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// maxJobs bounds the jobs of a zone, including ended ones whose records are
// still kept.
const maxJobs = 20000

// submit handles the submission of a job: it queues the job to be recorded, or
// refuses it.
func (co *Core) submit(now time.Time, ev Submitted) {
	if jb, ok := co.jobs[ev.Spec.ID]; ok {
		co.resubmit(now, jb, ev)
		return
	}
	if er := co.checkAdmission(ev.Spec); er != nil {
		co.emit(Answer{RequestID: ev.RequestID, Err: er})
		return
	}
	rc := jobs.Record{Spec: ev.Spec, Submitted: now}.WithQueued(now)
	jb := &job{rec: rc, bucket: co.bucketOf(rc.ID), unit: place.NoUnit}
	jb.pendingRequests = []pendingRequest{{id: ev.RequestID, until: now.Add(storeTimeout)}}
	co.jobs[rc.ID] = jb
	co.markUnsaved(jb)
}

// resubmit answers a submission whose ID exists already.
func (co *Core) resubmit(now time.Time, jb *job, ev Submitted) {
	switch {
	case !reflect.DeepEqual(jb.rec.Spec, ev.Spec):
		co.emit(Answer{RequestID: ev.RequestID, Err: codes.New(codes.KeyMismatch, "job %s was submitted with other content", ev.Spec.ID)})
	case jb.saved.ID != "":
		co.emit(Answer{RequestID: ev.RequestID, Record: jb.visible()})
	default:
		jb.pendingRequests = append(jb.pendingRequests, pendingRequest{id: ev.RequestID, until: now.Add(storeTimeout)})
	}
}

// checkAdmission is the admission control for new jobs. It returns the reason
// for which a job is refused, or nil.
func (co *Core) checkAdmission(sp jobs.Spec) *codes.Error {
	if co.decl == nil {
		return codes.New(codes.NotReady, "the scheduler has no declarations yet").WithRetryAfter(retryAfter)
	}
	ws, ok := co.decl.Workspace(sp.Workspace)
	if !ok {
		return codes.New(codes.UnknownWorkspace, "workspace %q is not declared", sp.Workspace)
	}
	zn, ok := co.decl.Zone(co.zone)
	if !ok {
		return codes.New(codes.ShapeNeverFits, "availability zone %s is not declared", co.zone)
	}
	empty := place.NewFleet(place.DeclaredWorkers(zn), place.UnitsOf(co.decl, co.zone))
	for _, st := range sp.Steps() {
		if er := co.checkGang(ws, empty, sp, st.Shape); er != nil {
			return er
		}
	}
	if co.storeUnavailable() {
		return codes.New(codes.StoreUnavailable, "a write to the store has failed, so new jobs can't be recorded").WithRetryAfter(retryAfter)
	}
	if len(co.jobs) >= maxJobs {
		return codes.New(codes.QueueFull, "the availability zone has %d jobs and accepts no more", len(co.jobs)).WithRetryAfter(retryAfter)
	}
	return nil
}

// checkGang returns the reason for which the gang of a step is refused, or nil.
// The empty fleet has the declared workers and no gangs.
func (co *Core) checkGang(ws spec.Workspace, empty *place.Fleet, sp jobs.Spec, sh spec.Shape) *codes.Error {
	if er := checkShape(sh); er != nil {
		return er
	}
	if ws.Quota > 0 && sh.Total() > ws.Quota {
		return codes.New(codes.QuotaExceeded, "the gang needs %d accelerators, the quota is %d", sh.Total(), ws.Quota)
	}
	return co.checkFits(empty, sp, sh)
}

// checkFits refuses a gang that could not be placed on the declared workers
// even if they were empty: because of its shape, or because it isn't
// preemptible and would take capacity that a guarantee needs.
func (co *Core) checkFits(empty *place.Fleet, sp jobs.Spec, sh spec.Shape) *codes.Error {
	rq := place.Request{Job: sp.ID, Workspace: sp.Workspace, Shape: sh, Priority: sp.Priority, Preemptible: sp.Preemptible()}
	de := empty.Decide(time.Time{}, rq)
	if wa, ok := de.(place.Waits); ok {
		return codes.New(codes.ShapeNeverFits, "%d tasks with %d accelerators each and adjacency %s don't fit in availability zone %s: %s",
			sh.Tasks, sh.Accelerators, sh.Adjacency, co.zone, wa.Reason)
	}
	return nil
}

// checkShape refuses a gang with an invalid number of tasks or accelerators.
func checkShape(sh spec.Shape) *codes.Error {
	if sh.Tasks < 1 || sh.Tasks > spec.MaxTasks || sh.Accelerators < 0 {
		return codes.New(codes.ShapeTooLarge, "a gang can't have %d tasks with %d accelerators each", sh.Tasks, sh.Accelerators)
	}
	return nil
}

// cancel marks a job as cancelled and answers the caller when the store has that.
// Its gang is stopped when the job is evaluated next.
func (co *Core) cancel(now time.Time, ev CancelRequested) {
	jb, ok := co.jobs[ev.ID]
	if !ok {
		co.emit(Answer{RequestID: ev.RequestID, Err: codes.New(codes.JobNotFound, "job %q does not exist", ev.ID)})
		return
	}
	if jb.saved.State == jobs.Ended || jb.saved.Cancelled {
		co.emit(Answer{RequestID: ev.RequestID, Record: jb.visible()})
		return
	}
	if !jb.rec.Cancelled && jb.rec.Active() {
		jb.rec = jb.rec.WithCancelled()
	}
	jb.pendingRequests = append(jb.pendingRequests, pendingRequest{id: ev.RequestID, cancel: true, until: now.Add(storeTimeout)})
	co.markUnsaved(jb)
	co.markChanged(ev.ID)
}
