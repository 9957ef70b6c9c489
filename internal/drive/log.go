package drive

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// minLoggedUnseen is the time from which a line says how long a job was accepted
// before the scheduler learned of it. Clocks of hosts may differ by less.
const minLoggedUnseen = 100 * time.Millisecond

// logDecision logs a decision of the core, without its empty fields.
func (te *term) logDecision(ld domain.LogDecision) {
	args := []any{"event", ld.Decision}
	add := func(key, value string) {
		if value != "" {
			args = append(args, key, value)
		}
	}
	addTime := func(key string, d time.Duration) {
		if d > 0 {
			args = append(args, key, d.Round(time.Millisecond))
		}
	}
	add("job", ld.Job)
	add("task", ld.Task)
	add("queue", ld.Queue)
	if ld.Attempt > 0 {
		args = append(args, "attempt", ld.Attempt)
	}
	add("worker", ld.Worker)
	if len(ld.Workers) > 0 {
		args = append(args, "workers", ld.Workers)
	}
	if ld.Unseen >= minLoggedUnseen {
		addTime("unseen", ld.Unseen)
	}
	if ld.Decision == "jobEnds" {
		addTime("took", ld.Duration)
		addTime("waited", ld.Waited)
		args = append(args, "stops", ld.Preemptions)
	}
	if ld.Decision == "lost" {
		args = append(args, "cause", ld.Cause, "life", ld.Life, "beside", ld.Beside)
		addTime("minAge", ld.MinAge)
		addTime("maxAge", ld.MaxAge)
	}
	if ld.Decision == "endsOmitted" || ld.Decision == "reborn" {
		args = append(args, "attempts", ld.Beside)
	}
	if ld.Decision == "holdsEnds" || ld.Decision == "releasesEnds" {
		args = append(args, "behind", ld.Beside)
	}
	addTime("granted", ld.Granted)
	if ld.Decision == "fenced" {
		args = append(args, "fence", ld.Token)
		addTime("took", ld.Duration)
		addTime("left", ld.Leases)
	}
	if ld.Crashes > 0 {
		args = append(args, "crashes", ld.Crashes, "suspected", ld.Suspected)
	}
	addTime("lost", ld.Lost)
	add("reason", ld.Reason)
	te.log.Info("decision", args...)
}

// logEnds logs how many ends were not acknowledged in time if that has changed.
func (te *term) logEnds(er domain.EndReport) {
	if er.Late == te.lateEnds {
		return
	}
	te.lateEnds = er.Late
	te.log.Info("ends wait for copies of starts", "event", "lateEnds", "late", er.Late, "read", er.Read)
}

// logBacklog logs one line for each queue and class with waiting units.
func (te *term) logBacklog(br domain.BacklogReport) {
	for _, bl := range br.Backlogs {
		te.log.Info("waiting work of a queue and class", "event", "waits", "queue", bl.Queue, "rank", bl.Class, "units", bl.Units,
			"accelerators", bl.Accelerators, "oldest", bl.Oldest.Round(time.Millisecond),
			"free", br.Accelerators.Free, "kept", br.Accelerators.Reserved, "total", br.Accelerators.Total)
	}
}

// logHolds logs one line for each of the jobs that have stood still for the longest
// time although there may be room for them, with the hold that decides.
func (te *term) logHolds(now time.Time, hr domain.HoldReport) {
	for _, ho := range hr.Holds {
		args := []any{
			"event", "held", "job", ho.Job, "task", ho.Task, "queue", ho.Queue, "attempt", ho.Attempt,
			"hold", ho.Reason, "age", now.Sub(ho.Since).Round(time.Millisecond), "jobs", hr.Jobs[ho.Reason],
		}
		if !ho.Until.IsZero() {
			args = append(args, "left", ho.Until.Sub(now).Round(time.Millisecond))
		}
		if len(ho.Workers) > 0 {
			args = append(args, "workers", ho.Workers)
		}
		te.log.Info("nothing of a job runs although a task's turn has come", args...)
	}
}

// logEvacuation logs one line for each evacuated availability zone.
func (te *term) logEvacuation(er domain.EvacuationReport) {
	for _, zl := range er.Zones {
		te.log.Info("tasks left in evacuated availability zone", "event", "evacuation", "zone", zl.Zone, "workers", zl.Workers, "tasks", zl.Tasks)
	}
}

// logHealth logs the numbers of suspected and suspended workers and of those
// on probation.
func (te *term) logHealth(hr domain.HealthReport) {
	te.log.Info("numbers of suspected and suspended workers", "event", "workerHealth", "doubted", hr.Suspected, "suspended", hr.Suspended, "probation", hr.OnProbation)
}

// maxLoggedWorkspaces limits the workspaces in one log line.
const maxLoggedWorkspaces = 10

// logUsage logs the usage of the workspaces with waiting work, longest wait
// first, if there are at least two such workspaces.
func (te *term) logUsage(br domain.BacklogReport) {
	waiting := slices.DeleteFunc(slices.Clone(br.Usage), func(wu domain.WorkspaceUsage) bool { return wu.Units == 0 })
	if len(waiting) < 2 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b domain.WorkspaceUsage) int { return cmp.Compare(b.Oldest, a.Oldest) })
	var lines []string
	for _, wu := range waiting[:min(maxLoggedWorkspaces, len(waiting))] {
		lines = append(lines, fmt.Sprintf("%s entitled=%.3f used=%.3f borrowed=%.3f relativeUsage=%.2f units=%d accelerators=%d oldest=%v",
			wu.Workspace, wu.Entitled, wu.Used, wu.Borrowed, wu.RelativeUsage, wu.Units, wu.Accelerators, wu.Oldest.Round(time.Millisecond)))
	}
	te.log.Info("workspaces with waiting work", "event", "shares", "workspaces", len(waiting), "longest", lines)
}
