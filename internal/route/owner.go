package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owned returns how many slots of an endpoint belong to host, by rendezvous
// hashing over hosts: the owner of a slot is the host whose hash together with
// the slot is largest.
func Owned(hosts []string, host, endpoint string, slots int) int {
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
	var most uint64
	for _, ho := range hosts {
		sum := xxhash.Sum64String(ho + "\x00" + endpoint + "\x00" + strconv.Itoa(slot))
		if best == "" || sum > most || (sum == most && ho < best) {
			best, most = ho, sum
		}
	}
	return best
}
