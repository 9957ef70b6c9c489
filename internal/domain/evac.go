package domain

import (
	"slices"
	"strings"
)

// setEvacuated takes the availability zones that are to be emptied.
func (co *Core) setEvacuated(zones []string) {
	co.evacuated = map[string]bool{}
	for _, zone := range zones {
		co.evacuated[zone] = true
	}
	for _, nd := range co.byID() {
		if was := nd.evacuated; was != co.evacuated[nd.worker.Zone] {
			nd.evacuated = !was
			co.touchPlaced(nd)
		}
	}
	reason := "every availability zone is in service"
	if len(zones) > 0 {
		reason = "out of service: " + strings.Join(slices.Sorted(slices.Values(zones)), ", ")
	}
	co.emit(Noted{Decision: "evacuation", Reason: reason})
	co.pass = true
}

// touchPlaced has the units evaluated that are about to start on a node.
func (co *Core) touchPlaced(nd *node) {
	for _, ru := range nd.sortedRuns() {
		if ru.stage == planned {
			co.touch(ru.unit)
		}
	}
}

// onEvacuated tells whether a task of a unit is on a worker of a zone that is
// to be emptied.
func (un *unit) onEvacuated() bool {
	return slices.ContainsFunc(un.runs, func(ru *run) bool { return ru.node.evacuated })
}
