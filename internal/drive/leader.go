package drive

import (
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
}

// encode returns the value of the leader key.
func (le leader) encode() []byte {
	value := fmt.Appendf(nil, "%s %d %d", le.host, le.incarnation, le.lease)
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
	if len(words) > 3 {
		le.address = words[3]
	}
	return le, nil
}
