package drive

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// logDecision writes the line of a decision.
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

// logWaits writes a line for each queue and rank in which units wait.
func (te *term) logWaits(wa domain.Waits) {
	for _, bl := range wa.Backlogs {
		te.log.Info("work waits", "event", "waits", "queue", bl.Queue, "rank", bl.Rank, "units", bl.Units,
			"accelerators", bl.Accelerators, "oldest", bl.Oldest.Round(time.Millisecond),
			"free", wa.Accelerators.Free, "kept", wa.Accelerators.Kept, "total", wa.Accelerators.Total)
	}
}

// logEvacuation writes a line for each availability zone that is to be emptied.
func (te *term) logEvacuation(ev domain.Evacuation) {
	for _, zl := range ev.Zones {
		te.log.Info("availability zone is to be emptied", "event", "evacuation", "zone", zl.Zone, "workers", zl.Workers, "tasks", zl.Tasks)
	}
}

// logSuspects writes how many workers there is evidence against.
func (te *term) logSuspects(su domain.Suspects) {
	te.log.Info("evidence against workers", "event", "evidence", "doubted", su.Doubted, "suspended", su.Suspended, "probation", su.OnProbation)
}

// maxLoggedShares bounds the workspaces that a line tells of.
const maxLoggedShares = 10

// logShares writes a line that tells of the workspaces which wait, those that
// have waited longest first, if there are several.
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
	te.log.Info("workspaces wait", "event", "shares", "workspaces", len(waiting), "longest", lines)
}
