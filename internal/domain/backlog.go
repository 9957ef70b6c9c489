package domain

import (
	"cmp"
	"slices"
	"time"
)

type (
	// QueueBacklog sums up the waiting units of one queue and class. The backlog in the
	// store, batch.Backlog, counts jobs instead.
	QueueBacklog struct {
		Queue        string
		Class        string // assured (within a guarantee), timely, overdue or late
		Units        int
		Accelerators int           // requested
		Oldest       time.Duration // since the oldest unit's due time or, without one, acceptance
	}

	// AcceleratorCounts counts the accelerators of the workers that take new work.
	AcceleratorCounts struct {
		Total    int
		Free     int
		Reserved int // the free ones that are reserved for gangs and large tasks; see reserve.go
	}

	backlogKey struct {
		queue string
		class int
	}
)

// reportInterval is the minimum time between two reports of the same kind.
const reportInterval = time.Second

var classNames = [...]string{classGuaranteed: "assured", classTimely: "timely", classOverdue: "overdue", classLate: "late"}

// reportBacklog emits a BacklogReport after a pass if units wait, and once more
// when none waits any longer.
func (co *Core) reportBacklog(ps *pass, ugs []unitGroup) {
	if ps.now.Sub(co.backlogReportedAt) < reportInterval {
		return
	}
	backlogs := backlogsOf(ps.now, ugs)
	if len(backlogs) == 0 && !co.backlogged {
		return
	}
	co.backlogReportedAt = ps.now
	co.backlogged = len(backlogs) > 0
	co.emit(BacklogReport{Backlogs: backlogs, Usage: co.reportUsage(ps, ugs), Accelerators: co.countAccelerators(ps)})
}

// backlogsOf sums up the units that were not placed, by queue and class.
func backlogsOf(now time.Time, ugs []unitGroup) []QueueBacklog {
	sums := map[backlogKey]*QueueBacklog{}
	for _, ug := range ugs {
		key := backlogKey{queue: ug.queue(), class: ug.class}
		for _, un := range ug.units {
			if un.phase != waiting || un.claim != nil {
				continue
			}
			if sums[key] == nil {
				sums[key] = &QueueBacklog{Queue: key.queue, Class: classNames[key.class]}
			}
			sums[key].add(now, un)
		}
	}
	backlogs := make([]QueueBacklog, 0, len(sums))
	for _, sum := range sums {
		backlogs = append(backlogs, *sum)
	}
	slices.SortFunc(backlogs, func(a, b QueueBacklog) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Class, b.Class))
	})
	return backlogs
}

func (bl *QueueBacklog) add(now time.Time, un *unit) {
	bl.Units++
	bl.Accelerators += un.tasks * un.step.Needs.Accelerators
	bl.Oldest = max(bl.Oldest, now.Sub(un.objectiveStart()))
}

// countAccelerators sums up the accelerators of the workers that a pass has
// examined.
func (co *Core) countAccelerators(ps *pass) AcceleratorCounts {
	var sum AcceleratorCounts
	for _, nds := range ps.nodesByService {
		for _, nd := range nds {
			free := max(0, nd.free().Accelerators)
			sum.Total += nd.worker.Capacity.Accelerators
			sum.Free += free
			if ps.isReserved(nd) {
				sum.Reserved += free
			}
		}
	}
	return sum
}
