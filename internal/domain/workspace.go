package domain

import (
	"cmp"
	"slices"
	"time"
)

// WorkspaceUsage is the usage of a service by a workspace with running or
// waiting work. Entitled, Used and Borrowed are fractions of the service's
// workers, by the workspace's dominant resource.
type WorkspaceUsage struct {
	Workspace     string
	Service       string
	Entitled      float64 // its fair share: by weight, among the workspaces with work
	Used          float64
	Borrowed      float64       // used beyond Entitled
	RelativeUsage float64       // usage divided by the fair share, at the service where it is highest: 1 at the share; see fairness.maxRelativeUsage
	Units         int           // waiting
	Accelerators  int           // requested by the waiting units
	Oldest        time.Duration // since the oldest waiting unit's due time or, without one, acceptance
}

// reportUsage returns the usage of the workspaces with running or waiting
// work after a pass.
func (co *Core) reportUsage(ps *pass, ugs []unitGroup) []WorkspaceUsage {
	waits := map[tenant]*QueueBacklog{} // without Queue and Class
	for _, ug := range ugs {
		te := ug.tenant()
		if waits[te] == nil {
			waits[te] = &QueueBacklog{}
		}
		for _, un := range ug.units {
			if un.phase == waiting && un.claim == nil {
				waits[te].add(ps.now, un)
			}
		}
	}
	var wus []WorkspaceUsage
	for te, tu := range co.fair.tenants {
		sum := co.fair.weightSums[te.service]
		wu := WorkspaceUsage{
			Workspace: te.workspace, Service: te.service, Used: dominantShare(tu.resources, ps.capacity[te.service]),
			RelativeUsage: co.fair.maxRelativeUsage(te.workspace),
		}
		if sum > 0 {
			wu.Entitled = co.fair.weightOf(te.workspace) / sum
		}
		wu.Borrowed = max(0, wu.Used-wu.Entitled)
		if bl := waits[te]; bl != nil {
			wu.Units, wu.Accelerators, wu.Oldest = bl.Units, bl.Accelerators, bl.Oldest
		}
		if wu.Used > 0 || wu.Units > 0 {
			wus = append(wus, wu)
		}
	}
	slices.SortFunc(wus, func(a, b WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return wus
}
