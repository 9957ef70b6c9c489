package domain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// usage holds the resources allocated to the runs of a queue.
	usage struct {
		service   string
		resources batch.Resources
	}

	// queueShares holds what the queues with work may still take of their
	// shares in a pass. A share is a fraction of the workers of a service.
	queueShares struct {
		capacity  map[string]batch.Resources // by service
		remaining map[string]float64         // by queue
	}
)

// equallyDividedFraction is the fraction of a service's workers that is divided
// equally among the queues with work for them, so that none starves. The rest
// goes to the most urgent work.
const equallyDividedFraction = 0.4

// ageOffset is added to the age of jobs, so that jobs which have just arrived
// are ordered by size.
const ageOffset = time.Second

// addUsage adds the resources of a run to the usage of its job's queue and
// tenant. A negative amount frees them.
func (co *Core) addUsage(jb *job, rs batch.Resources) {
	co.fair.addUsage(co.tenantOf(jb), rs)
	name := jb.Queue.Name
	sum := co.queueUsage[name].resources.Plus(rs)
	if sum == (batch.Resources{}) {
		delete(co.queueUsage, name)
		return
	}
	co.queueUsage[name] = usage{service: co.queueOf(jb).Service, resources: sum}
}

// remainingShares returns the shares of the queues, less what they use. It is
// negative for a queue that uses more than its share.
func (co *Core) remainingShares(ps *pass, ugs []unitGroup) queueShares {
	services := co.servicesOf(ugs)
	queues := map[string]int{} // by service
	for _, service := range services {
		queues[service]++
	}
	qs := queueShares{capacity: ps.capacity, remaining: map[string]float64{}}
	for queue, service := range services {
		used := dominantShare(co.queueUsage[queue].resources, qs.capacity[service])
		qs.remaining[queue] = equallyDividedFraction/float64(queues[service]) - used
	}
	return qs
}

// servicesOf returns the services of the queues with running or waiting work.
func (co *Core) servicesOf(ugs []unitGroup) map[string]string {
	services := map[string]string{}
	for queue, us := range co.queueUsage {
		services[queue] = us.service
	}
	for _, ug := range ugs {
		services[ug.queue()] = ug.service
	}
	return services
}

// capacities sums up the capacity of the schedulable workers, by service.
func (co *Core) capacities(now time.Time) map[string]batch.Resources {
	sums := map[string]batch.Resources{}
	co.examine(len(co.nodes))
	for _, nd := range co.nodes {
		if nd.schedulable(now) {
			sums[nd.worker.Service] = sums[nd.worker.Service].Plus(nd.worker.Capacity)
		}
	}
	return sums
}

// markWithinShare marks the units that are within the shares of their queues:
// first those of jobs that still have some value, and within these by
// descending response ratio. A group that is only partly within its share is
// split. One unit of an aged group counts as within, too.
func (co *Core) markWithinShare(ps *pass, ugs []unitGroup) []unitGroup {
	qs := co.remainingShares(ps, ugs)
	within := make([]int, len(ugs))
	co.assignShares(qs, ugs, byResponseRatio(ps.now, ugs), func(i int) float64 {
		within[i] = qs.take(ugs[i])
		return float64(within[i]) * ugs[i].unitShare(qs.capacity)
	})
	if i := agedGroup(ps.now, ugs); i >= 0 {
		within[i] = max(within[i], 1)
		ugs[i].aged = true
	}
	out := make([]unitGroup, 0, len(ugs)+len(qs.remaining))
	for i, ug := range ugs {
		n := within[i]
		if n > 0 {
			part := ug
			part.units, part.withinShare = ug.units[:n], true
			out = append(out, part)
		}
		if n < len(ug.units) {
			ug.units = ug.units[n:]
			out = append(out, ug)
		}
	}
	return out
}

// byResponseRatio returns the indices of groups in the order in which shares
// are assigned.
func byResponseRatio(now time.Time, ugs []unitGroup) []int {
	order := make([]int, len(ugs))
	ratios := map[*job]float64{}
	for i, ug := range ugs {
		order[i] = i
		jb := ug.units[0].job
		if _, ok := ratios[jb]; !ok {
			ratios[jb] = jb.responseRatio(now)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := ugs[i], ugs[j]
		return cmp.Or(
			compareBool(a.class == classLate, b.class == classLate), cmp.Compare(ratios[b.units[0].job], ratios[a.units[0].job]),
		)
	})
	return order
}

// responseRatio returns a job's waiting time in seconds, plus ageOffset, per
// remaining unit. Ordered by it, small jobs overtake large ones until these
// have waited long enough.
func (jb *job) responseRatio(now time.Time) float64 {
	return (now.Sub(jb.acceptedAt) + ageOffset).Seconds() / float64(max(1, jb.unitsLeft))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// take returns how many units of a group are within its queue's share, and
// subtracts them from the share. The last unit may exceed the share, so that
// large units are not excluded.
func (qs queueShares) take(ug unitGroup) int {
	queue := ug.queue()
	un := ug.units[0]
	each := float64(un.tasks) * dominantShare(un.step.Reserved(), qs.capacity[ug.service])
	n := 0
	for n < len(ug.units) && qs.remaining[queue] > 0 {
		qs.remaining[queue] -= each
		n++
	}
	return n
}

func (ug unitGroup) queue() string { return ug.units[0].job.Queue.Name }

// dominantShare returns the largest fraction that an amount is of a total, over
// the kinds of resources.
func dominantShare(rs, total batch.Resources) float64 {
	largest := 0.0
	for _, pair := range [...][2]int{
		{rs.MilliCPU, total.MilliCPU}, {rs.MemoryMB, total.MemoryMB}, {rs.Accelerators, total.Accelerators},
	} {
		if pair[1] > 0 {
			largest = max(largest, float64(pair[0])/float64(pair[1]))
		}
	}
	return largest
}
