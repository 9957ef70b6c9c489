package domain

import "time"

// setCold notes until when a worker is slow. Each entry of the worker says for how
// much longer it is.
func (nd *node) setCold(now time.Time) {
	nd.coldUntil = now.Add(nd.worker.Cold)
	nd.cold = nd.worker.Cold > 0
}

// expireCold clears the mark of a worker whose slow time is over.
func (nd *node) expireCold(now time.Time) { nd.cold = nd.cold && now.Before(nd.coldUntil) }

// preferWarm orders workers that are slow behind all others, and otherwise as
// compare does.
func preferWarm(compare func(a, b slot) int) func(a, b slot) int {
	return func(a, b slot) int {
		if a.node.cold != b.node.cold {
			return compareBool(a.node.cold, b.node.cold)
		}
		return compare(a, b)
	}
}

// assignWarmRack takes a rack that has the room on workers which are not slow, and
// any other one if there is none.
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
