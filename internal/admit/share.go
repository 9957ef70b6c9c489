package admit

import "time"

const (
	reserveDivisor = 20          // one slot in this many is reserved, rounded down
	activeWindow   = time.Second // a workspace counts as active for this long after its last request
)

// canTakeSlot reports whether ws may take a slot now. A workspace that has
// reached its fair share may not take a reserved one.
func (co *Controller) canTakeSlot(now time.Time, ws *workspace) bool {
	free := co.capacity - co.inUse
	if free <= 0 {
		return false
	}
	return free > co.capacity/reserveDivisor || !co.reachesFairShare(now, ws)
}

// reachesFairShare reports whether ws uses at least its fair share of the slots
// while other workspaces are active.
func (co *Controller) reachesFairShare(now time.Time, ws *workspace) bool {
	guaranteedSum, weightSum := ws.share.Slots, ws.share.Weight
	alone := true
	for _, other := range co.workspaces {
		if other != ws && other.isActive(now) {
			guaranteedSum += other.share.Slots
			weightSum += other.share.Weight
			alone = false
		}
	}
	return !alone && float64(ws.inUse) >= co.fairShare(ws, guaranteedSum, weightSum)
}

// fairShare returns the number of slots that ws is entitled to. guaranteedSum
// and weightSum are taken over all workspaces that compete for the slots,
// including ws. Guarantees beyond the capacity are scaled down in proportion.
func (co *Controller) fairShare(ws *workspace, guaranteedSum float64, weightSum int) float64 {
	capacity := float64(max(co.capacity, 1))
	if guaranteedSum > capacity {
		return max(ws.share.Slots*capacity/guaranteedSum, 1/float64(weightSum))
	}
	return ws.share.Slots + (capacity-guaranteedSum)*float64(ws.share.Weight)/float64(weightSum)
}

// isActive reports whether the workspace has requests or had one recently.
func (ws *workspace) isActive(now time.Time) bool {
	return ws.inUse > 0 || ws.queueLen > 0 || now.Sub(ws.lastSeen) < activeWindow
}
