package sched

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/place"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// fitKey identifies jobs that are placed alike, so that once one of them
// can't be placed, the others are skipped in the same pass. Of the workers to be
// avoided only the number is compared: a job that avoids other workers may be
// skipped as well, until a later pass.
type fitKey struct {
	workspace   string
	shape       spec.Shape
	priority    jobs.Priority
	preemptible bool
	avoidCount  int
	aged        bool
	runTimeBits int // bit length of the expected run time in nanoseconds, which groups similar run times
}

// placeWaiting tries once to place every waiting job.
func (co *Core) placeWaiting(now time.Time) {
	if co.fleet == nil {
		co.buildFleet(now)
	}
	reasons := map[fitKey]place.WaitReason{}
	qu := place.NewQueue(now, co.fleet, co.weight, co.placeable(now))
	for {
		qj, aged, ok := qu.Next()
		if !ok {
			break
		}
		jb := co.jobs[qj.Job]
		reason := co.placeOne(now, jb, aged, reasons)
		if aged && (reason == place.WaitsForCapacity || reason == place.WaitsForGuarantee) {
			co.fleet.ReserveForAged(now, co.request(now, jb, aged))
		}
	}
	co.fleet.ClearAgedReservations()
}

// placeable returns the jobs that may be placed now.
func (co *Core) placeable(now time.Time) []place.QueuedJob {
	var qjs []place.QueuedJob
	for id, jb := range co.jobs {
		mayPlace := jb.rec.State == jobs.Queued && jb.pending == nil && !jb.rec.Cancelled
		if !mayPlace || jb.saved.ID == "" || now.Before(jb.notBefore) {
			continue
		}
		qjs = append(qjs, place.QueuedJob{
			Job: id, Workspace: jb.rec.Workspace, Priority: jb.rec.Priority, Submitted: jb.rec.Submitted,
		})
	}
	return qjs
}

// weight returns the weight of a workspace, one if none is declared.
func (co *Core) weight(workspace string) int {
	if ws, ok := co.decl.Workspace(workspace); ok {
		return max(1, ws.Weight)
	}
	return 1
}

// placeOne tries to place a job. It returns why the job waits, or an empty
// reason if it is placed or preempts others. The reasons are those of the keys
// that could not be placed in this pass.
func (co *Core) placeOne(now time.Time, jb *job, aged bool, reasons map[fitKey]place.WaitReason) place.WaitReason {
	key := fitKey{jb.rec.Workspace, jb.rec.CurrentStep().Shape, jb.rec.Priority, jb.rec.Preemptible(), len(jb.avoid), aged, bits.Len64(uint64(co.runTimes.expect(jb.rec)))}
	if reason, ok := reasons[key]; ok {
		jb.rec = jb.rec.WithDetail(string(reason))
		return reason
	}
	ws, ok := co.decl.Workspace(jb.rec.Workspace)
	if !ok {
		return co.recordWait(jb, key, reasons, waitsForWorkspace)
	}
	if ws.Quota > 0 && co.fleet.Usage(ws.Name)+jb.rec.CurrentStep().Shape.Total() > ws.Quota {
		return co.recordWait(jb, key, reasons, waitsForQuota)
	}
	if !jb.rec.Repeatable && co.buckets[jb.bucket].failing {
		jb.rec = jb.rec.WithDetail(string(waitsForStore))
		return waitsForStore
	}
	return co.decide(now, jb, co.request(now, jb, aged), key, reasons)
}

// The reasons for waiting that are independent of free capacity.
const (
	waitsForQuota     place.WaitReason = "quota"
	waitsForWorkspace place.WaitReason = "workspaceNotDeclared"
	waitsForStore     place.WaitReason = "storeAway" // the attempt has to be recorded before it starts, as the job isn't repeatable
)

// decide has the fleet decide on a request, and carries the decision out.
func (co *Core) decide(now time.Time, jb *job, rq place.Request, key fitKey, reasons map[fitKey]place.WaitReason) place.WaitReason {
	switch de := co.fleet.Decide(now, rq).(type) {
	case place.Placed:
		co.startAttempt(now, jb, placement{de.Workers, de.Unit, de.UnitWorkers}, de)
	case place.Preempt:
		co.preempt(now, jb, de)
	case place.Waits:
		// No other workers fit now, so the next pass may use the avoided ones.
		jb.avoid = nil
		reason := de.Reason
		if !co.fleet.Fits(jb.rec.CurrentStep().Shape) {
			reason = place.NeverFits
		}
		return co.recordWait(jb, key, reasons, reason)
	}
	return ""
}

// request returns the request of package place for a job's current step.
func (co *Core) request(now time.Time, jb *job, aged bool) place.Request {
	return place.Request{
		Job: jb.rec.ID, Workspace: jb.rec.Workspace, Shape: jb.rec.CurrentStep().Shape, Priority: jb.rec.Priority,
		Preemptible: jb.rec.Preemptible(), Aged: aged, ExpectedEnd: now.Add(co.runTimes.expect(jb.rec)), Avoid: jb.avoid,
		Share: co.fairShare(jb.rec.Workspace), ShareOf: co.fairShare,
	}
}

// recordWait records why a job waits, for the job and for those with its key, and
// logs the reason if it has changed. It returns the reason.
func (co *Core) recordWait(jb *job, key fitKey, reasons map[fitKey]place.WaitReason, reason place.WaitReason) place.WaitReason {
	reasons[key] = reason
	if jb.rec.Detail != string(reason) {
		jb.rec = jb.rec.WithDetail(string(reason))
		co.logDecision(jb, "waits", string(reason))
	}
	return reason
}

// fairShare returns the fair share of a workspace in accelerators: those of the
// zone in proportion to its weight, limited by its quota. It bounds what urgent
// jobs may preempt.
func (co *Core) fairShare(workspace string) int {
	sum := 0
	for _, ws := range co.decl.Workspaces {
		sum += max(1, ws.Weight)
	}
	share := co.fleet.Accelerators() * co.weight(workspace) / max(1, sum)
	if ws, ok := co.decl.Workspace(workspace); ok && ws.Quota > 0 {
		return min(share, ws.Quota)
	}
	return share
}

// startAttempt begins the next attempt of a job on its placement. Its tasks are
// reserved when the job is evaluated next.
func (co *Core) startAttempt(now time.Time, jb *job, pl placement, de place.Placed) {
	tasks := make([]jobs.Task, len(pl.workers))
	for i, at := range pl.workers {
		wo := co.fleet.Worker(at)
		tasks[i] = jobs.Task{Worker: wo.Name, Address: wo.Address}
	}
	jb.rec = jb.rec.WithAttempt(now, co.epoch, tasks).WithDetail("")
	jb.unit = pl.unit
	jb.unitWorkers = pl.unitWorkers
	jb.fromEarlierEpoch = false
	jb.startSent = false
	jb.beganAt = now
	jb.startDeadline = now.Add(reserveTimeout + startTimeout)
	jb.reserved = make([]bool, len(tasks))
	jb.succeeded = make([]bool, len(tasks))
	jb.cause = cause{}
	jb.pending = nil
	co.fleet.Add(co.gang(jb))
	co.markUnsaved(jb)
	co.markChanged(jb.rec.ID)
	ld := LogDecision{Job: jb.rec.ID, Workspace: jb.rec.Workspace, Decision: "placed", Candidates: de.Candidates, Rejected: rejectedSummary(de), Attempt: jb.rec.Attempt}
	if pl.unit != place.NoUnit {
		ld.Reason = "guaranteed"
	}
	for _, ta := range tasks {
		ld.Workers = append(ld.Workers, ta.Worker)
	}
	ld.Workers = slices.Compact(ld.Workers)
	co.emit(ld)
}

// rejectedSummary counts the candidate placements that were not chosen, by
// reason.
func rejectedSummary(de place.Placed) string {
	rankedLower := max(0, de.Candidates-de.Rejected-1)
	return fmt.Sprintf("rankedLower:%d guaranteedToOthers:%d", rankedLower, de.Rejected)
}

// preempt stops the victims and reserves the placement for the job.
func (co *Core) preempt(now time.Time, jb *job, de place.Preempt) {
	for _, id := range de.Victims {
		if victim, ok := co.jobs[id]; ok {
			co.stop(victim, cause{requeue: true, preempted: true, detail: "preempted by " + jb.rec.ID})
		}
	}
	jb.pending = &pendingPlacement{placement: placement{de.Workers, de.Unit, de.UnitWorkers}, until: now.Add(victimStopTimeout)}
	ga := co.gang(jb)
	ga.Workers = de.Workers
	ga.Unit = de.Unit
	ga.UnitWorkers = de.UnitWorkers
	ga.Stopping = true // keeps other jobs from choosing it as a victim
	co.fleet.Add(ga)
	jb.rec = jb.rec.WithDetail("waits for preempted jobs to stop")
	co.emit(LogDecision{
		Job: jb.rec.ID, Workspace: jb.rec.Workspace, Decision: "reclaim", Victims: de.Victims,
		Reason: "lost work " + de.Lost.String(), Attempt: jb.rec.Attempt,
	})
	co.markChanged(jb.rec.ID)
}

// startPending starts the attempt once the victims have freed the capacity of the
// pending placement, and drops the placement after victimStopTimeout.
func (co *Core) startPending(now time.Time, jb *job) {
	if co.fleet == nil {
		return
	}
	if co.fleet.WithinCapacity(jb.pending.workers) {
		pp := jb.pending
		co.startAttempt(now, jb, pp.placement, place.Placed{Candidates: 1})
		return
	}
	if now.After(jb.pending.until) {
		co.dropPending(jb)
		co.logDecision(jb, "waits", "preempted jobs did not stop in time")
	}
}

// dropPending drops the pending placement of a job, if it has one.
func (co *Core) dropPending(jb *job) {
	if jb.pending == nil {
		return
	}
	jb.pending = nil
	if co.fleet != nil {
		co.fleet.Remove(jb.rec.ID)
	}
	co.placementDue = true
}

// gang returns a job as a gang of package place, on the workers of its current
// attempt.
func (co *Core) gang(jb *job) place.Gang {
	ga := place.Gang{
		Job: jb.rec.ID, Workspace: jb.rec.Workspace, Shape: jb.rec.CurrentStep().Shape, Priority: jb.rec.Priority,
		Unit: jb.unit, UnitWorkers: jb.unitWorkers, Preemptible: jb.rec.Preemptible(), Stopping: jb.rec.State == jobs.Stopping,
		Started: jb.rec.Started, ExpectedEnd: jb.rec.Started.Add(co.runTimes.expect(jb.rec)), Lossless: jb.rec.Checkpoint,
	}
	for _, ta := range jb.rec.Tasks {
		if at, ok := co.fleetIndex[ta.Worker]; ok {
			ga.Workers = append(ga.Workers, at)
		}
	}
	return ga
}

// buildFleet builds the fleet from the workers and the placed jobs. Pending
// placements are dropped, as they refer to the indices of the earlier fleet.
func (co *Core) buildFleet(now time.Time) {
	names := slices.Sorted(maps.Keys(co.workers))
	workers := make([]place.Worker, 0, len(names))
	co.fleetIndex = make(map[string]int, len(names))
	for i, name := range names {
		wst := co.workers[name]
		wst.wasUsable = wst.usable(now)
		co.fleetIndex[name] = i
		workers = append(workers, place.Worker{
			Name: name, Rack: wst.host.Rack, Address: wst.host.Address,
			Accelerators: wst.accelerators, MaxTasks: maxTasksPerWorker, Usable: wst.wasUsable,
		})
	}
	co.fleet = place.NewFleet(workers, place.UnitsOf(co.decl, co.zone))
	for _, id := range slices.Sorted(maps.Keys(co.jobs)) {
		jb := co.jobs[id]
		if jb.pending != nil {
			jb.pending = nil
			co.placementDue = true
		}
		if jb.rec.State != jobs.Queued && jb.rec.State != jobs.Ended {
			jb.unit = co.fleet.UnitFor(jb.rec.Workspace, jb.rec.CurrentStep().Shape)
			jb.unitWorkers = nil
			co.fleet.Add(co.gang(jb))
		}
	}
}
