package drive

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// logDecision logs a decision.
func (te *term) logDecision(no domain.Noted) {
	args := []any{"event", no.Decision}
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
	add("job", no.Job)
	add("task", no.Task)
	add("queue", no.Queue)
	if no.Attempt > 0 {
		args = append(args, "attempt", no.Attempt)
	}
	add("worker", no.Worker)
	if len(no.Workers) > 0 {
		args = append(args, "workers", no.Workers)
	}
	if no.Decision == "jobEnds" {
		addTime("took", no.Took)
		addTime("waited", no.Waited)
		args = append(args, "stops", no.Stops)
	}
	addTime("lost", no.Lost)
	add("reason", no.Reason)
	te.log.Info("decision", args...)
}

// logWaits logs one line for each queue and rank with waiting units.
func (te *term) logWaits(wa domain.Waits) {
	for _, bl := range wa.Backlogs {
		te.log.Info("work is waiting", "event", "waits", "queue", bl.Queue, "rank", bl.Rank, "units", bl.Units,
			"accelerators", bl.Accelerators, "oldest", bl.Oldest.Round(time.Millisecond),
			"free", wa.Accelerators.Free, "kept", wa.Accelerators.Kept, "total", wa.Accelerators.Total)
	}
}

// logEvacuation logs one line for each evacuated availability zone.
func (te *term) logEvacuation(ev domain.Evacuation) {
	for _, zl := range ev.Zones {
		te.log.Info("evacuating availability zone", "event", "evacuation", "zone", zl.Zone, "workers", zl.Workers, "tasks", zl.Tasks)
	}
}

// logSuspects logs the numbers of suspected and suspended workers and of those
// on probation.
func (te *term) logSuspects(su domain.Suspects) {
	te.log.Info("suspected workers", "event", "evidence", "doubted", su.Doubted, "suspended", su.Suspended, "probation", su.OnProbation)
}

// maxLoggedShares limits the workspaces in one log line.
const maxLoggedShares = 10

// logShares logs the workspaces with waiting work, longest wait first, if there
// are at least two.
func (te *term) logShares(wa domain.Waits) {
	waiting := slices.DeleteFunc(slices.Clone(wa.Shares), func(sh domain.Share) bool { return sh.Units == 0 })
	if len(waiting) < 2 {
		return
	}
	slices.SortStableFunc(waiting, func(a, b domain.Share) int { return cmp.Compare(b.Oldest, a.Oldest) })
	var lines []string
	for _, sh := range waiting[:min(maxLoggedShares, len(waiting))] {
		lines = append(lines, fmt.Sprintf("%s entitled=%.3f used=%.3f borrowed=%.3f excess=%.2f units=%d accelerators=%d oldest=%v",
			sh.Workspace, sh.Entitled, sh.Used, sh.Borrowed, sh.Excess, sh.Units, sh.Accelerators, sh.Oldest.Round(time.Millisecond)))
	}
	te.log.Info("workspaces are waiting", "event", "shares", "workspaces", len(waiting), "longest", lines)
}
