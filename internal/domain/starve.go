package domain

import "time"

// starveTime is how long a gang waits before it takes precedence although its
// job has lost all value (ageing).
const starveTime = 30 * time.Second

// starving returns the index of the group of the late gang or wide task that has
// waited longest since its due time or acceptance, if that exceeds starveTime,
// or -1. No workers are reserved for late gangs, so late small work could
// overtake them again and again.
func starving(now time.Time, ugs []unitGroup) int {
	longest, index := starveTime, -1
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
