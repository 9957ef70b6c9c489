package domain

import "time"

// setCold sets until when a worker is cold: its tasks run slowly for a time
// after its availability zone has returned to service. Each platform entry
// contains the remaining time.
func (nd *node) setCold(now time.Time) {
	nd.coldUntil = now.Add(nd.worker.Cold)
	nd.cold = nd.worker.Cold > 0
}

// expireCold clears cold once that time is over.
func (nd *node) expireCold(now time.Time) { nd.cold = nd.cold && now.Before(nd.coldUntil) }

// preferWarm orders cold workers after all others, and otherwise as compare
// does.
func preferWarm(compare func(a, b slot) int) func(a, b slot) int {
	return func(a, b slot) int {
		if a.node.cold != b.node.cold {
			return compareBool(a.node.cold, b.node.cold)
		}
		return compare(a, b)
	}
}

// assignWarmRack chooses a rack with enough capacity on workers that are not
// cold, or any rack if there is none.
func (un *unit) assignWarmRack(sls []slot) []*node {
	var warm []slot
	for _, sl := range sls {
		if !sl.node.cold {
			warm = append(warm, sl)
		}
	}
	if len(warm) < len(sls) {
		if nodes := un.assignRack(warm); nodes != nil {
			return nodes
		}
	}
	return un.assignRack(sls)
}
