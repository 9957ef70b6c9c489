package domain

import "time"

// ageingTime is how long a gang or large task waits before it takes precedence
// although its job has lost all value (ageing).
const ageingTime = 30 * time.Second

// agedGroup returns the index of the group of the late gang or large task that
// has waited longest since its due time or acceptance, if that exceeds
// ageingTime, or -1. Workers are reserved for late work only within its queue's
// share, so late small work could overtake a gang again and again.
func agedGroup(now time.Time, ugs []unitGroup) int {
	longest, index := ageingTime, -1
	for i, ug := range ugs {
		un := ug.units[0]
		if ug.class != classLate || un.tasks == 1 && !un.large() {
			continue
		}
		if waited := now.Sub(un.objectiveStart()); waited > longest {
			longest, index = waited, i
		}
	}
	return index
}
