package domain

import (
	"cmp"
	"slices"
	"time"
)

// Share is the usage of a service by a workspace with running or waiting work.
// Entitled, Used and Borrowed are fractions of the service's workers, by the
// workspace's dominant resource.
type Share struct {
	Workspace    string
	Service      string
	Entitled     float64 // by weight, among the workspaces with work
	Used         float64
	Borrowed     float64       // used beyond the entitlement
	Excess       float64       // usage relative to the fair share, at any service; see fairness.maxRelativeUsage
	Units        int           // waiting
	Accelerators int           // requested by the waiting units
	Oldest       time.Duration // since the oldest waiting unit's due time or, without one, acceptance
}

// reportShares returns the shares of the workspaces with running or waiting
// work after a pass.
func (co *Core) reportShares(ps *pass, ugs []unitGroup) []Share {
	waits := map[tenant]*Backlog{}
	for _, ug := range ugs {
		te := ug.tenant()
		if waits[te] == nil {
			waits[te] = &Backlog{}
		}
		for _, un := range ug.units {
			if un.phase == waiting && un.claim == nil {
				waits[te].add(ps.now, un)
			}
		}
	}
	var shs []Share
	for te, tu := range co.fair.tenants {
		sum := co.fair.weightSums[te.service]
		sh := Share{
			Workspace: te.workspace, Service: te.service, Used: dominantShare(tu.resources, ps.capacity[te.service]),
			Excess: co.fair.maxRelativeUsage(te.workspace),
		}
		if sum > 0 {
			sh.Entitled = co.fair.weightOf(te.workspace) / sum
		}
		sh.Borrowed = max(0, sh.Used-sh.Entitled)
		if bl := waits[te]; bl != nil {
			sh.Units, sh.Accelerators, sh.Oldest = bl.Units, bl.Accelerators, bl.Oldest
		}
		if sh.Used > 0 || sh.Units > 0 {
			shs = append(shs, sh)
		}
	}
	slices.SortFunc(shs, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return shs
}
