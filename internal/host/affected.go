package host

import (
	"context"
	"fmt"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// warnings tells what the next declarations would mean for work in progress:
// active jobs that lose their workspace or zone, or outgrow a quota, and uses of
// services that end.
func (op operators) warnings(ctx context.Context, next *spec.Declarations) []string {
	current := op.ho.currentSpec()
	if current == nil {
		return nil
	}
	warnings := removedServiceUses(current, next)
	rcs, unreachable, err := op.ho.router.ListZones(ctx, jobs.Filter{Active: true})
	if err != nil {
		return append(warnings, fmt.Sprintf("active jobs could not be listed: %v", err))
	}
	for _, zn := range unreachable {
		warnings = append(warnings, "active jobs of availability zone "+zn+" could not be listed")
	}
	return append(warnings, affectedJobs(rcs, next)...)
}

// removedServiceUses names the workspaces that may no longer use a service.
func removedServiceUses(current, next *spec.Declarations) []string {
	var warnings []string
	for _, ws := range current.Workspaces {
		kept, ok := next.Workspace(ws.Name)
		if !ok {
			warnings = append(warnings, "workspace "+ws.Name+" is removed")
			continue
		}
		for _, us := range ws.Services {
			if _, ok := kept.Use(us.Name); !ok {
				warnings = append(warnings, "workspace "+ws.Name+" loses the use of service "+us.Name)
			}
		}
	}
	return warnings
}

// affectedJobs counts the active jobs of workspaces and zones that are gone, and of
// workspaces whose quota no longer holds what runs.
func affectedJobs(rcs []jobs.Record, next *spec.Declarations) []string {
	var order []string
	counts := map[string]int{}
	add := func(msg string) {
		if counts[msg] == 0 {
			order = append(order, msg)
		}
		counts[msg]++
	}
	used := map[string]int{}
	for _, rc := range rcs {
		zn := jobs.ZoneOf(rc.ID)
		if _, ok := next.Zone(zn); !ok {
			add("active jobs are in availability zone " + zn + ", which is removed")
		}
		ws, ok := next.Workspace(rc.Workspace)
		if !ok {
			add("active jobs belong to workspace " + rc.Workspace + ", which is removed")
			continue
		}
		if rc.State == jobs.Queued {
			continue
		}
		key := ws.Name + " in " + zn
		used[key] += rc.Present().Shape.Total()
		if ws.Quota > 0 && used[key] > ws.Quota {
			add("running jobs are past the quota of workspace " + key)
		}
	}
	var warnings []string
	for _, msg := range order {
		warnings = append(warnings, fmt.Sprintf("%d %s", counts[msg], msg))
	}
	return warnings
}
