//go:build linux

package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	crowdSize      = 500
	tinyCrowdSize  = 300     // of clients that send chunks of one byte
	longCrowdSize  = 150     // of clients that send a megabyte
	wholeCrowdSize = 24      // of clients whose requests are complete and refused
	afterCrowdSize = 100     // of clients whose requests are complete and costly to hold
	pieceSize      = 16384   // bytes
	longPieceSize  = 196608  // bytes
	megabyte       = 1 << 20 // bytes
	overLimit      = 1 << 30 // bytes
	headerSize     = 524288  // bytes of the headers of one request
	nesting        = 9000    // below the limit of encoding/json
	pipelined      = 50      // requests of one connection
)

// TestUnfinishedBodies guards against bodies of legal size that stop just short
// of their end and fill the memory.
func TestUnfinishedBodies(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, crowdSize, unfinished(legalBody, legalBody-1, legalBody)})
}

// TestUnfinishedBodiesInPieces guards against bodies that arrive piece by piece
// and fill the memory.
func TestUnfinishedBodiesInPieces(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, crowdSize, unfinished(legalBody, legalBody-1, pieceSize)})
}

// TestUnfinishedLargeChunks guards against chunked bodies without an end that fill
// the memory.
func TestUnfinishedLargeChunks(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, crowdSize, unfinishedChunks(legalBody-1, pieceSize, legalBody)})
}

// TestUnfinishedTinyChunks guards against bodies in chunks of one byte that fill
// the memory or keep the host from answering others.
func TestUnfinishedTinyChunks(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, tinyCrowdSize, unfinishedChunks(legalBody-1, 1, longPieceSize)})
}

// TestChunksBeyondLimit guards against chunked bodies that are buffered beyond the
// configured size.
func TestChunksBeyondLimit(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, longCrowdSize, unfinishedChunks(megabyte-1, pieceSize, longPieceSize)})
}

// TestAnnouncedBeyondLimit guards against bodies that are announced as too large
// and buffered nevertheless.
func TestAnnouncedBeyondLimit(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, longCrowdSize, unfinished(overLimit, megabyte-1, longPieceSize)})
}

// TestSentBeyondLimit guards against bodies that are sent on and on and fill the
// memory while they are read or discarded.
func TestSentBeyondLimit(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, longCrowdSize, unfinishedChunks(4*megabyte, pieceSize, longPieceSize)})
}

// TestCostlySteps guards against complete bodies of legal size whose many steps
// fill the memory when they are decoded.
func TestCostlySteps(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.faceWhole(crowd{do.callers, wholeCrowdSize, whole(repeated(`{"steps":[`, `{}`, `]}`, legalBody))})
}

// TestTinyArrays guards against complete bodies of many tiny arrays that fill the
// memory when they are decoded.
func TestTinyArrays(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.faceWhole(crowd{do.callers, wholeCrowdSize, whole(repeated(`{"steps":[`, `[]`, `]}`, legalBody))})
}

// TestLongAfterLists guards against jobs whose steps name the same earlier step
// over and over and fill the memory when they are decoded and when they are held.
func TestLongAfterLists(t *testing.T) {
	const step = `"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100`
	do := startDomain(t, crowdMemory)
	start := fmt.Sprintf(`{"spec":"x","steps":[{%s},{%s,"after":[`, step, step)
	do.faceWhole(crowd{do.callers, afterCrowdSize, whole(repeated(start, `0`, `]}]}`, legalBody))})
}

// TestDeepNesting guards against deeply nested bodies that fill the memory when
// they are decoded.
func TestDeepNesting(t *testing.T) {
	do := startDomain(t, crowdMemory)
	item := strings.Repeat(`[`, nesting) + strings.Repeat(`]`, nesting)
	do.faceWhole(crowd{do.callers, wholeCrowdSize, whole(repeated(`{"steps":[`, item, `]}`, legalBody))})
}

// TestPartialHeaders guards against requests whose headers never end and fill the
// memory.
func TestPartialHeaders(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, crowdSize, func(i int) [][]byte {
		hd := head(http.MethodPost, i, announced(legalBody))
		return [][]byte{hd[:len(hd)-4]}
	}})
}

// TestLargeHeaders guards against headers of half a megabyte that fill the memory
// while the body is awaited.
func TestLargeHeaders(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, crowdSize, func(i int) [][]byte {
		return [][]byte{head(http.MethodPost, i, append(headerLines(), announced(legalBody))...)}
	}})
}

// headerLines returns header lines of headerSize bytes in all.
func headerLines() []string {
	const lineSize = 4096
	var lines []string
	for i := range headerSize / lineSize {
		name := fmt.Sprintf("X-Line-%d: ", i)
		lines = append(lines, name+strings.Repeat("x", lineSize-len(name)-2))
	}
	return lines
}

// TestPipelinedRequests guards against requests that are sent at once, and whose
// responses nobody reads, that fill the memory or keep the host from answering
// others.
func TestPipelinedRequests(t *testing.T) {
	do := startDomain(t, crowdMemory)
	do.face(crowd{do.callers, crowdSize, func(i int) [][]byte {
		return [][]byte{[]byte(strings.Repeat(string(head(http.MethodGet, i)), pipelined))}
	}})
}

// TestBodiesOfReadsAndCancels guards against GET and DELETE requests whose bodies
// never end and fill the memory.
func TestBodiesOfReadsAndCancels(t *testing.T) {
	do := startDomain(t, crowdMemory)
	body := filled(legalBody)[:legalBody-1]
	do.face(crowd{do.callers, crowdSize, func(i int) [][]byte {
		method := []string{http.MethodGet, http.MethodDelete}[i/2%2]
		return [][]byte{head(method, i, announced(legalBody)), body}
	}})
}

// TestMixedCrowd guards against a crowd of all kinds at once that fills the memory
// though each kind alone does not.
func TestMixedCrowd(t *testing.T) {
	const each = 60
	do := startDomain(t, crowdMemory)
	large := append(headerLines(), announced(legalBody))
	do.face(
		crowd{do.callers, each, unfinished(legalBody, legalBody-1, pieceSize)},
		crowd{do.callers, each, unfinishedChunks(legalBody-1, pieceSize, legalBody)},
		crowd{do.callers, each, unfinishedChunks(legalBody/4, 1, longPieceSize)},
		crowd{do.callers, each, unfinished(overLimit, megabyte-1, longPieceSize)},
		crowd{do.callers, each, func(i int) [][]byte { return [][]byte{head(http.MethodPost, i, large...)} }},
		crowd{do.callers, wholeCrowdSize, whole(repeated(`{"steps":[`, `{}`, `]}`, legalBody))},
	)
}

// TestMoreConnectionsThanDescriptors guards against callers whose connections take
// all file descriptors of a machine.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	const connections, machineMemory = 4400, 284
	do := startDomain(t, machineMemory)
	do.face(crowd{do.callers, connections, unfinished(legalBody, 1, 1)})
}

// TestLargestJobInCalm guards against limits that refuse a single job of the
// largest legal size, at once or slowly.
func TestLargestJobInCalm(t *testing.T) {
	const (
		steps, specSize = 64, 4000
		pieces, pause   = 16, 100 * time.Millisecond
	)
	is := is.New(t)
	do := startDomain(t, crowdMemory)
	var list []string
	for i := range steps {
		after := strings.Trim(strings.Join(strings.Fields(fmt.Sprint(numbers(i))), ","), "[]")
		list = append(list, fmt.Sprintf(`{"count":100,"cpu":100,"mem_mb":10,"estimate_ms":100,"after":[%s]}`, after))
	}
	text := fmt.Sprintf(`{"spec":"%s","steps":[%s]`, strings.Repeat("x", specSize), strings.Join(list, ","))
	body := []byte(text + strings.Repeat(" ", legalBody-len(text)-1) + "}")
	status, err := do.post(jobID(1), body)
	is.NoErr(err)
	is.Equal(status, http.StatusCreated)

	conn, err := net.Dial("tcp", do.callers)
	is.NoErr(err)
	me := &member{conn: conn, pieces: append([][]byte{request(http.MethodPost, 2, announced(len(body)), keyLine,
		fmt.Sprintf("Cicadawharf-Deadline-Ms: %d", callTimeout.Milliseconds()))}, split(body, len(body)/pieces)...)}
	defer leave([]*member{me})
	for round := range len(me.pieces) {
		me.send(round)
		time.Sleep(pause)
	}
	awaitRead(t, do.callers)
	is.Equal(me.status(), http.StatusCreated)
	do.accepted = append(do.accepted, jobID(1), jobID(2))
	do.check()
}

// numbers returns the numbers below n.
func numbers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
