package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// OwnedSlots returns the number of slots of an endpoint that belong to host.
// Slots are assigned to hosts by rendezvous hashing: a slot belongs to the host
// with the highest hash of host, endpoint and slot number.
func OwnedSlots(hosts []string, host, endpoint string, slots int) int {
	owned := 0
	for slot := range slots {
		if owner(hosts, endpoint, slot) == host {
			owned++
		}
	}
	return owned
}

func owner(hosts []string, endpoint string, slot int) string {
	var best string
	var highest uint64
	for _, ho := range hosts {
		hash := xxhash.Sum64String(ho + "\x00" + endpoint + "\x00" + strconv.Itoa(slot))
		if best == "" || hash > highest || (hash == highest && ho < best) {
			best, highest = ho, hash
		}
	}
	return best
}
