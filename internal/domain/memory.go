package domain

import "time"

const (
	// stateReportShare is the part of Config.StateLimit from which the memory for
	// jobs is reported to the hosts that accept them.
	stateReportShare = 8
	// stateReportSteps is the number of steps in which it is reported, so that small
	// changes cause no write.
	stateReportSteps = 64
)

// heldState estimates the memory that the jobs of the core need, in bytes.
func (co *Core) heldState() (held int64, units int) {
	for _, jb := range co.arrivals {
		held += jb.Footprint(len(jb.units))
		units += len(jb.units)
	}
	return held, units
}

// reportedState returns heldState as it is reported to the hosts that accept jobs:
// rounded up, and zero while it is small.
func (co *Core) reportedState() int64 {
	held, _ := co.heldState()
	if held < co.stateLimit/stateReportShare {
		return 0
	}
	step := max(1, co.stateLimit/stateReportSteps)
	return (held + step - 1) / step * step
}

// reportState emits a StateReport if the state has changed.
func (co *Core) reportState(now time.Time) {
	if now.Sub(co.stateReportedAt) < reportInterval {
		return
	}
	held, units := co.heldState()
	sr := StateReport{Jobs: len(co.arrivals), Units: units, Held: held, Limit: co.stateLimit}
	if sr == co.lastState {
		return
	}
	co.stateReportedAt, co.lastState = now, sr
	co.emit(sr)
}
