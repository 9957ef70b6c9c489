package admit

import "time"

const (
	keepPart  = 20          // one slot in so many is kept
	activeFor = time.Second // after its last request, a workspace counts as active
)

// room tells whether ws may take a slot now.
func (ga *Gate) room(now time.Time, ws *workspace) bool {
	free := ga.capacity - ga.inUse
	if free <= 0 {
		return false
	}
	return free > ga.capacity/keepPart || !ga.exceeds(now, ws)
}

// exceeds tells whether ws uses its whole share of the slots while others are
// active.
func (ga *Gate) exceeds(now time.Time, ws *workspace) bool {
	guaranteed, weights := ws.share.Slots, ws.share.Weight
	alone := true
	for _, other := range ga.workspaces {
		if other != ws && other.isActive(now) {
			guaranteed += other.share.Slots
			weights += other.share.Weight
			alone = false
		}
	}
	return !alone && float64(ws.inUse) >= ga.part(ws, guaranteed, weights)
}

// part returns the slots of ws when the guarantees and weights of those that
// share with it add up to these.
func (ga *Gate) part(ws *workspace, guaranteed float64, weights int) float64 {
	capacity := float64(max(ga.capacity, 1))
	if guaranteed > capacity {
		return max(ws.share.Slots*capacity/guaranteed, 1/float64(weights))
	}
	return ws.share.Slots + (capacity-guaranteed)*float64(ws.share.Weight)/float64(weights)
}

func (ws *workspace) isActive(now time.Time) bool {
	return ws.inUse > 0 || ws.waiting > 0 || now.Sub(ws.lastSeen) < activeFor
}
