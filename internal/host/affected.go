package host

import (
	"context"
	"fmt"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// warnings describes the effects of the next declarations on work in progress:
// active jobs whose workspace or zone is removed or that exceed a quota, and
// services that a workspace may no longer use.
func (op operatorAPI) warnings(ctx context.Context, next *spec.Declarations) []string {
	current := op.ho.currentDeclarations()
	if current == nil {
		return nil
	}
	warnings := removedServiceUses(current, next)
	rcs, unreachable, err := op.ho.router.ListAcrossZones(ctx, jobs.Filter{Active: true})
	if err != nil {
		return append(warnings, fmt.Sprintf("listing active jobs failed: %v", err))
	}
	for _, zn := range unreachable {
		warnings = append(warnings, "active jobs of availability zone "+zn+" could not be listed")
	}
	return append(warnings, affectedJobs(rcs, next)...)
}

// removedServiceUses returns a warning for each removed workspace and for each
// service that a workspace may no longer use.
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

// affectedJobs returns warnings with the number of active jobs in removed zones
// and workspaces, and of running jobs that exceed the quota of their workspace.
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
		used[key] += rc.CurrentStep().Shape.Total()
		if ws.Quota > 0 && used[key] > ws.Quota {
			add("running jobs exceed the quota of workspace " + key)
		}
	}
	var warnings []string
	for _, msg := range order {
		warnings = append(warnings, fmt.Sprintf("%d %s", counts[msg], msg))
	}
	return warnings
}
