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
	// Member is one start of a host that takes forwarded calls.
	Member struct {
		Name    string `json:"name"`
		Address string `json:"address"` // IP:port for other hosts
		Zone    string `json:"zone"`
		Region  string `json:"region"`
		Started int64  `json:"started"` // nanoseconds since 1970
	}

	// distance is how far one host is from another.
	distance uint8
)

// The numDistances.
const (
	sameZone distance = iota
	sameRegion
	elsewhere
	numDistances
)

// maxTextLen bounds each text of a member.
const maxTextLen = 128 // bytes

// encode returns the value of the host's key.
func (me Member) encode() ([]byte, error) {
	data, err := json.Marshal(me)
	return data, merry.Prepend(err, "encode the host's entry")
}

// decodeMember reads the entry of a host.
func decodeMember(en store.Entry) (Member, error) {
	var me Member
	if err := json.Unmarshal(en.Value, &me); err != nil {
		return Member{}, merry.Prepend(err, "entry of a host")
	}
	if en.Key != batch.HostKey(me.Name) || !me.valid() {
		return Member{}, merry.New("entry of a host has no name or address, or another one")
	}
	return me, nil
}

// valid tells whether a member has a name and an address, and no text too long.
func (me Member) valid() bool {
	for _, text := range []string{me.Name, me.Address} {
		if text == "" || len(text) > maxTextLen {
			return false
		}
	}
	return len(me.Zone) <= maxTextLen && len(me.Region) <= maxTextLen
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

// weight orders the others by rendezvous hashing, so that each host prefers
// other ones.
func (me Member) weight(other Member) uint64 {
	return xxhash.Sum64String(me.Name + "\x00" + other.Name)
}

// compare orders two others by distance and then by weight.
func (me Member) compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(me.distanceTo(a), me.distanceTo(b)), cmp.Compare(me.weight(a), me.weight(b)), cmp.Compare(a.Name, b.Name),
	)
}
