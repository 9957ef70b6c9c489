package domain

import "time"

// starveTime is how long a job waits at most before its gang has its turn,
// whatever it can still earn.
const starveTime = 30 * time.Second

// starving returns the index of the rank of a gang whose job has waited longest,
// if that is too long; -1 if there is none. Late gangs have no workers kept for
// them, so that late small work may pass one of them again and again.
func starving(now time.Time, ugs []unitGroup) int {
	longest, at := starveTime, -1
	for i, ug := range ugs {
		un := ug.units[0]
		if ug.class != classLate || un.tasks == 1 && !un.wide() {
			continue
		}
		if waited := now.Sub(un.objectiveStart()); waited > longest {
			longest, at = waited, i
		}
	}
	return at
}
