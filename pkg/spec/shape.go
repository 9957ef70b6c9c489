package spec

import "slices"

// Fits reports whether the zone, when idle, has capacity for one gang of the
// shape.
func (zn Zone) Fits(sh Shape) bool {
	capacity := 0
	for _, rk := range zn.Racks {
		rackCapacity := rk.capacity(sh.Accelerators)
		switch sh.Adjacency {
		case SameWorker:
			rackCapacity = min(rackCapacity, rk.workerCapacity(sh.Accelerators))
			capacity = max(capacity, rackCapacity)
		case SameRack:
			capacity = max(capacity, rackCapacity)
		default:
			capacity += rackCapacity
		}
	}
	return capacity >= sh.Tasks
}

// Accelerators returns the total number of accelerators in the zone.
func (zn Zone) Accelerators() int {
	total := 0
	for _, rk := range zn.Racks {
		total += rk.Workers * rk.Accelerators
	}
	return total
}

// Workers returns the number of workers in the zone.
func (zn Zone) Workers() int {
	total := 0
	for _, rk := range zn.Racks {
		total += rk.Workers
	}
	return total
}

// capacity returns how many tasks with the given number of accelerators fit
// into the rack.
func (rk Rack) capacity(accelerators int) int {
	return rk.Workers * rk.workerCapacity(accelerators)
}

// workerCapacity returns how many tasks with the given number of accelerators
// fit onto one worker. Without accelerators it is MaxTasks, the size of the
// largest gang.
func (rk Rack) workerCapacity(accelerators int) int {
	if accelerators == 0 {
		return MaxTasks
	}
	return rk.Accelerators / accelerators
}

// Valid reports whether ad is a defined adjacency.
func (ad Adjacency) Valid() bool { return slices.Contains(adjacencies, ad) }
