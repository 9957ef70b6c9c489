package spec

import "slices"

// Fits tells whether the racks of the zone, when empty, could hold one gang of
// the shape.
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

// Accelerators returns the accelerators of all workers of the zone.
func (zn Zone) Accelerators() int {
	total := 0
	for _, rk := range zn.Racks {
		total += rk.Workers * rk.Accelerators
	}
	return total
}

// Workers returns the number of workers of the zone.
func (zn Zone) Workers() int {
	total := 0
	for _, rk := range zn.Racks {
		total += rk.Workers
	}
	return total
}

// capacity returns how many tasks with a number of accelerators the rack holds.
func (rk Rack) capacity(accelerators int) int {
	return rk.Workers * rk.workerCapacity(accelerators)
}

// workerCapacity returns how many tasks with a number of accelerators one
// worker holds. Tasks without accelerators are bounded by the gang alone.
func (rk Rack) workerCapacity(accelerators int) int {
	if accelerators == 0 {
		return MaxTasks
	}
	return rk.Accelerators / accelerators
}

// Valid tells whether the adjacency is one of the kinds.
func (ad Adjacency) Valid() bool { return slices.Contains(adjacencies, ad) }
