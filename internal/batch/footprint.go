package batch

// Estimates of the memory that a scheduler needs, in bytes.
const (
	jobFootprint  = 1 << 10
	stepFootprint = 256
	// afterFootprint is that of a step that another one comes after.
	afterFootprint = 8
	unitFootprint  = 400 // a waiting unit; few of them run at the same time
)

// defaultStateLimit bounds the state of a scheduler, in bytes, whose memory limit is
// unknown.
const defaultStateLimit = 512 << 20

// stateShare is the fraction of a process's memory limit that the state of a
// scheduler may have. Garbage and the lists that a successor reads need the rest.
const stateShare = 0.3

// StateLimit returns the number of bytes that the jobs of a scheduler may need in a
// process with a memory limit in bytes, zero if it has none.
func StateLimit(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return defaultStateLimit
	}
	return int64(stateShare * float64(memoryLimit))
}

// MaxUnits returns the number of units that fit into half of a StateLimit. The
// other half is for the jobs.
func MaxUnits(stateLimit int64) int { return int(stateLimit / 2 / unitFootprint) }

// Footprint estimates the memory, in bytes, that a scheduler needs for a job of
// which it holds a number of units.
func (jb Job) Footprint(units int) int64 {
	bytes := jobFootprint + int64(len(jb.Payload)) + int64(units)*unitFootprint
	for _, sp := range jb.Steps {
		bytes += stepFootprint + int64(len(sp.After))*afterFootprint + int64(len(sp.Label)+len(sp.DataRack))
	}
	return bytes
}

// UnitsPerOccurrence returns the number of units of each occurrence.
func (jb Job) UnitsPerOccurrence() int {
	n := 0
	for _, sp := range jb.Steps {
		n += sp.Units()
	}
	return n
}

// Units returns the number of units of a step: one for a gang.
func (sp Step) Units() int {
	if sp.Gang {
		return 1
	}
	return sp.Tasks
}
