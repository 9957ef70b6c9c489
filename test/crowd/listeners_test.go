//go:build linux

package crowd_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/hashicorp/yamux"
)

const (
	listenerCrowdSize = 160 // at each of several listeners
	unreadSize        = 100 // connections
	unreadRequests    = 100 // of one connection
	sessionCount      = 16
	streamCount       = 60     // of one session
	streamBytes       = 200000 // sent on one stream, less than its window
	messageSize       = 1500000
)

// other is a listener of a host that is not for callers, and what is read there.
type other struct{ address, path string }

// others returns the HTTP listeners of a host beside that for callers.
func (do *domain) others() []other {
	return []other{{do.readiness, "/ready"}, {do.metrics, "/metrics"}, {do.operators, "/v1/status"}}
}

// get returns a GET request with the given lines.
func (ot other) get(lines ...string) []byte {
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n", ot.path, ot.address)
	for _, line := range lines {
		text += line + "\r\n"
	}
	return []byte(text + "\r\n")
}

// TestLargeHeadersAtOtherListeners guards against large headers at the listeners
// of the load balancer, of operators and for metrics that fill the memory.
func TestLargeHeadersAtOtherListeners(t *testing.T) {
	do := startDomain(t, crowdMemory)
	var crowds []crowd
	for _, ot := range do.others() {
		rq := ot.get(append(headerLines(), announced(legalBody))...)
		crowds = append(crowds, crowd{ot.address, listenerCrowdSize, func(int) [][]byte { return [][]byte{rq} }})
	}
	do.face(crowds...)
}

// TestBodiesAtOtherListeners guards against bodies without an end at the listeners
// of the load balancer, of operators and for metrics that fill the memory.
func TestBodiesAtOtherListeners(t *testing.T) {
	do := startDomain(t, crowdMemory)
	body := filled(legalBody)[:legalBody-1]
	var crowds []crowd
	for _, ot := range do.others() {
		rq := ot.get(announced(overLimit))
		crowds = append(crowds, crowd{ot.address, listenerCrowdSize, func(int) [][]byte { return [][]byte{rq, body} }})
	}
	do.face(crowds...)
}

// TestUnreadResponses guards against responses that nobody reads and that fill the
// memory.
func TestUnreadResponses(t *testing.T) {
	do := startDomain(t, crowdMemory)
	var crowds []crowd
	for _, ot := range do.others() {
		rq := bytes.Repeat(ot.get(), unreadRequests)
		crowds = append(crowds, crowd{ot.address, unreadSize, func(int) [][]byte { return [][]byte{rq} }})
	}
	do.face(crowds...)
}

// TestMoreConnectionsAtOtherListeners guards against connections to the listeners
// of the load balancer, of operators and for metrics that take all file
// descriptors of a machine.
func TestMoreConnectionsAtOtherListeners(t *testing.T) {
	const connections, machineMemory = 1470, 284
	do := startDomain(t, machineMemory)
	var crowds []crowd
	for _, ot := range do.others() {
		rq := ot.get(announced(legalBody))
		crowds = append(crowds, crowd{ot.address, connections, func(int) [][]byte { return [][]byte{rq} }})
	}
	do.face(crowds...)
}

// TestUnfinishedMessagesOfPeers guards against messages at the listener for other
// hosts that never end, on many streams, and fill the memory.
func TestUnfinishedMessagesOfPeers(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.faceOpen(openStreams(t, do.peers, streamCount, binary.AppendUvarint(nil, messageSize)))
}

// TestMoreConnectionsOfPeers guards against connections to the listener for other
// hosts that are held without any use.
func TestMoreConnectionsOfPeers(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.peers, crowdSize, func(int) [][]byte { return nil }})
}

// openStreams opens sessions with the given number of streams each, and sends
// start and streamBytes in all on each stream. What the process refuses is not
// repeated.
func openStreams(t *testing.T, address string, streams int, start []byte) []*member {
	t.Helper()
	var all []*member
	t.Cleanup(func() { leave(all) })
	data := append(start, strings.Repeat("x", streamBytes-len(start))...)
	cf := yamux.DefaultConfig()
	cf.EnableKeepAlive, cf.LogOutput = false, io.Discard
	for range sessionCount {
		conn, err := net.DialTimeout("tcp", address, waitTimeout)
		if err != nil {
			continue
		}
		all = append(all, &member{conn: conn})
		sess, err := yamux.Client(conn, cf)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { sess.Close() })
		for range streams {
			st, err := sess.OpenStream()
			if err != nil {
				break
			}
			if _, err := st.Write(data); err != nil {
				break
			}
		}
	}
	awaitRead(t, address)
	return all
}
