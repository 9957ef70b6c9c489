package drive

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/store"
)

// leader is the value of the leader key.
type leader struct {
	host        string
	incarnation int64 // of its process
	lease       store.LeaseID
	address     string // IP:port at which other hosts reach it; empty if they don't
	// boundedLeases says that its leases on workers end with its own lease, as
	// domain.Config.FormerBounded asks for. Former versions don't say so.
	boundedLeases bool
}

// The words of a leader key's value that stand for a missing address and for
// boundedLeases.
const (
	noAddress     = "-"
	boundedLeases = "boundedLeases"
)

// encode returns the value of the leader key.
func (le leader) encode() []byte {
	value := fmt.Appendf(nil, "%s %d %d", le.host, le.incarnation, le.lease)
	if le.boundedLeases {
		return fmt.Appendf(value, " %s %s", cmp.Or(le.address, noAddress), boundedLeases)
	}
	if le.address != "" {
		value = fmt.Appendf(value, " %s", le.address)
	}
	return value
}

// parseLeader parses the value of the leader key.
func parseLeader(value []byte) (leader, error) {
	var le leader
	words := strings.Fields(string(value))
	if len(words) < 3 {
		return le, merry.New("the leader key has too few fields")
	}
	le.host = words[0]
	var err error
	if le.incarnation, err = strconv.ParseInt(words[1], 10, 64); err != nil {
		return le, merry.Prepend(err, "incarnation of the leader")
	}
	id, err := strconv.ParseInt(words[2], 10, 64)
	if err != nil {
		return le, merry.Prepend(err, "lease of the leader")
	}
	le.lease = store.LeaseID(id)
	if len(words) > 3 && words[3] != noAddress {
		le.address = words[3]
	}
	le.boundedLeases = len(words) > 4 && words[4] == boundedLeases
	return le, nil
}
