package domain

import (
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

// use adds what a run takes, or frees as a negative amount, to what the queue of
// its job uses.
func (co *Core) use(jb *job, rs batch.Resources) {
	name := jb.Queue.Name
	sum := co.used[name].resources.Plus(rs)
	if sum == (batch.Resources{}) {
		delete(co.used, name)
		return
	}
	co.used[name] = usage{service: co.queueOf(jb).Service, resources: sum}
}

// sharesOf returns the shares of the queues, less what they use.
func (co *Core) sharesOf(now time.Time, ras []rank) shares {
	services := co.servicesOf(ras)
	queues := map[string]int{} // by service
	for _, service := range services {
		queues[service]++
	}
	sh := shares{capacity: co.capacities(now), left: map[string]float64{}}
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
		services[ra.un.job.Queue.Name] = ra.service
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

// share marks the units that are within the shares of their queues: the oldest
// that can still earn something, and then the oldest of the others.
func (co *Core) share(now time.Time, ras []rank) {
	sh := co.sharesOf(now, ras)
	for _, late := range [...]bool{false, true} {
		for i, ra := range ras {
			if ra.class != classAssured && (ra.class == classLate) == late {
				ras[i].shared = sh.take(ra)
			}
		}
	}
}

// take tells whether a unit is within its queue's part, and takes it from there.
// The last one may exceed the part, so that large units are not left out.
func (sh shares) take(ra rank) bool {
	queue := ra.un.job.Queue.Name
	if sh.left[queue] <= 0 {
		return false
	}
	sh.left[queue] -= float64(ra.un.tasks) * dominant(ra.un.step.Occupied(), sh.capacity[ra.service])
	return true
}

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
