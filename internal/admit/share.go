package admit

import "time"

const (
	reserveDivisor = 20          // one slot in so many is kept
	activeWindow   = time.Second // after its last request, a workspace counts as active
)

// canTakeSlot tells whether ws may take a slot now.
func (co *Controller) canTakeSlot(now time.Time, ws *workspace) bool {
	free := co.capacity - co.inUse
	if free <= 0 {
		return false
	}
	return free > co.capacity/reserveDivisor || !co.exceedsShare(now, ws)
}

// exceedsShare tells whether ws uses its whole share of the slots while others are
// active.
func (co *Controller) exceedsShare(now time.Time, ws *workspace) bool {
	guaranteed, weights := ws.share.Slots, ws.share.Weight
	alone := true
	for _, other := range co.workspaces {
		if other != ws && other.isActive(now) {
			guaranteed += other.share.Slots
			weights += other.share.Weight
			alone = false
		}
	}
	return !alone && float64(ws.inUse) >= co.fairShare(ws, guaranteed, weights)
}

// fairShare returns the slots of ws when the guarantees and weights of those that
// share with it add up to these.
func (co *Controller) fairShare(ws *workspace, guaranteed float64, weights int) float64 {
	capacity := float64(max(co.capacity, 1))
	if guaranteed > capacity {
		return max(ws.share.Slots*capacity/guaranteed, 1/float64(weights))
	}
	return ws.share.Slots + (capacity-guaranteed)*float64(ws.share.Weight)/float64(weights)
}

func (ws *workspace) isActive(now time.Time) bool {
	return ws.inUse > 0 || ws.waiting > 0 || now.Sub(ws.lastSeen) < activeWindow
}
