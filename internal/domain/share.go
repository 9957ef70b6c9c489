package domain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

type (
	// usage is what the runs of a queue take of its service's workers.
	usage struct {
		service   string
		resources batch.Resources
	}

	// shares is what the queues with work may still take of their shares in a
	// round. A share is a part of the workers of a service.
	shares struct {
		capacity map[string]batch.Resources // by service
		left     map[string]float64         // by queue
	}
)

// sharedPart is the part of a service's workers that is shared alike among the
// queues that have work for them, so that none waits for ever. The rest goes to
// the most urgent work.
const sharedPart = 0.4

// headStart is added to the age of jobs, so that those which came just now are
// told apart by their size.
const headStart = time.Second

// use adds what a run takes, or frees as a negative amount, to what the queue of
// its job uses.
func (co *Core) use(jb *job, rs batch.Resources) {
	co.fair.use(co.tenantOf(jb), rs)
	name := jb.Queue.Name
	sum := co.used[name].resources.Plus(rs)
	if sum == (batch.Resources{}) {
		delete(co.used, name)
		return
	}
	co.used[name] = usage{service: co.queueOf(jb).Service, resources: sum}
}

// sharesOf returns the shares of the queues, less what they use.
func (co *Core) sharesOf(ps *pass, ras []rank) shares {
	services := co.servicesOf(ras)
	queues := map[string]int{} // by service
	for _, service := range services {
		queues[service]++
	}
	sh := shares{capacity: ps.capacity, left: map[string]float64{}}
	for queue, service := range services {
		used := dominant(co.used[queue].resources, sh.capacity[service])
		sh.left[queue] = sharedPart/float64(queues[service]) - used
	}
	return sh
}

// servicesOf returns the services of the queues that have work, which runs or
// waits.
func (co *Core) servicesOf(ras []rank) map[string]string {
	services := map[string]string{}
	for queue, us := range co.used {
		services[queue] = us.service
	}
	for _, ra := range ras {
		services[ra.queue()] = ra.service
	}
	return services
}

// capacities adds up the workers of each service that take new work.
func (co *Core) capacities(now time.Time) map[string]batch.Resources {
	sums := map[string]batch.Resources{}
	for _, nd := range co.nodes {
		if nd.takesWork(now) {
			sums[nd.worker.Service] = sums[nd.worker.Service].Plus(nd.worker.Capacity)
		}
	}
	return sums
}

// share marks the units that are within the shares of their queues: of the jobs
// that can still earn something, and then of the others, those with the highest
// response ratio first. A rank of which only a part is within is split.
func (co *Core) share(ps *pass, ras []rank) []rank {
	sh := co.sharesOf(ps, ras)
	within := make([]int, len(ras))
	co.takeFairly(sh, ras, byResponseRatio(ps.now, ras), func(i int) float64 {
		within[i] = sh.take(ras[i])
		return float64(within[i]) * ras[i].part(sh.capacity)
	})
	if i := starving(ps.now, ras); i >= 0 {
		within[i] = max(within[i], 1)
		ras[i].starves = true
	}
	out := make([]rank, 0, len(ras)+len(sh.left))
	for i, ra := range ras {
		n := within[i]
		if n > 0 {
			part := ra
			part.units, part.shared = ra.units[:n], true
			out = append(out, part)
		}
		if n < len(ra.units) {
			ra.units = ra.units[n:]
			out = append(out, ra)
		}
	}
	return out
}

// byResponseRatio returns the indices of ranks in the order in which shares are
// given out.
func byResponseRatio(now time.Time, ras []rank) []int {
	order := make([]int, len(ras))
	ratios := map[*job]float64{}
	for i, ra := range ras {
		order[i] = i
		jb := ra.units[0].job
		if _, ok := ratios[jb]; !ok {
			ratios[jb] = jb.responseRatio(now)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := ras[i], ras[j]
		return cmp.Or(
			compareBool(a.class == classLate, b.class == classLate), cmp.Compare(ratios[b.units[0].job], ratios[a.units[0].job]),
		)
	})
	return order
}

// responseRatio is how long a job has waited for each unit that is left of it.
// Small jobs pass large ones by it, until these have waited long enough.
func (jb *job) responseRatio(now time.Time) float64 {
	return (now.Sub(jb.known) + headStart).Seconds() / float64(max(1, jb.left))
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

// take returns how many units of a rank are within its queue's part, and takes
// them from there. The last one may exceed the part, so that large units are not
// left out.
func (sh shares) take(ra rank) int {
	queue := ra.queue()
	un := ra.units[0]
	each := float64(un.tasks) * dominant(un.step.Occupied(), sh.capacity[ra.service])
	n := 0
	for n < len(ra.units) && sh.left[queue] > 0 {
		sh.left[queue] -= each
		n++
	}
	return n
}

func (ra rank) queue() string { return ra.units[0].job.Queue.Name }

// dominant returns the largest part that an amount is of a total, over the kinds
// of resources.
func dominant(rs, total batch.Resources) float64 {
	part := 0.0
	for _, pair := range [...][2]int{
		{rs.MilliCPU, total.MilliCPU}, {rs.MemoryMB, total.MemoryMB}, {rs.Accelerators, total.Accelerators},
	} {
		if pair[1] > 0 {
			part = max(part, float64(pair[0])/float64(pair[1]))
		}
	}
	return part
}
