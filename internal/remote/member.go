package remote

import (
	"cmp"
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

type (
	// Member is one incarnation of a host that accepts forwarded calls.
	Member struct {
		Name    string `json:"name"`
		Address string `json:"address"` // IP:port at which other hosts reach it
		Zone    string `json:"zone"`
		Region  string `json:"region"`
		Started int64  `json:"started"` // start time, nanoseconds since 1970
	}

	// distance is the network distance between two hosts.
	distance uint8
)

// The distances.
const (
	sameZone distance = iota
	sameRegion
	elsewhere
	numDistances
)

// maxFieldLen limits each string field of a member.
const maxFieldLen = 128 // bytes

// encode returns the value of the host's entry in the store, in JSON.
func (me Member) encode() ([]byte, error) {
	data, err := json.Marshal(me)
	return data, merry.Prepend(err, "encode host entry")
}

// decodeMember decodes the entry of a host in the store. It returns an error if
// the value is no valid member or has another name than the key.
func decodeMember(en store.Entry) (Member, error) {
	var me Member
	if err := json.Unmarshal(en.Value, &me); err != nil {
		return Member{}, merry.Prepend(err, "host entry")
	}
	if en.Key != batch.HostKey(me.Name) || !me.valid() {
		return Member{}, merry.New("host entry has an invalid name or address")
	}
	return me, nil
}

// valid reports whether a member has a name and an address, and no string is
// too long.
func (me Member) valid() bool {
	for _, text := range []string{me.Name, me.Address} {
		if text == "" || len(text) > maxFieldLen {
			return false
		}
	}
	return len(me.Zone) <= maxFieldLen && len(me.Region) <= maxFieldLen
}

func (me Member) distanceTo(other Member) distance {
	switch {
	case me.Zone == other.Zone:
		return sameZone
	case me.Region == other.Region:
		return sameRegion
	default:
		return elsewhere
	}
}

// pairHash returns the rendezvous hash of a pair of hosts. The smaller value is
// preferred, so that each host prefers different ones.
func (me Member) pairHash(other Member) uint64 {
	return xxhash.Sum64String(me.Name + "\x00" + other.Name)
}

// compare orders two other hosts by distance and then by pairHash.
func (me Member) compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(me.distanceTo(a), me.distanceTo(b)), cmp.Compare(me.pairHash(a), me.pairHash(b)), cmp.Compare(a.Name, b.Name),
	)
}
