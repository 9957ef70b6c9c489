//go:build linux

package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

type (
	// crowd is a number of connections to one listener. Each sends its pieces and
	// then stays open without reading. The process has read piece n of every
	// connection, or reads no more, before piece n+1 of any is sent.
	crowd struct {
		address string
		count   int
		pieces  func(i int) [][]byte // of the connection with the given index
	}

	// member is a connection of a crowd.
	member struct {
		index  int // in its crowd
		conn   net.Conn
		pieces [][]byte
	}
)

const (
	// sendTimeout limits a write to a process that reads no further.
	sendTimeout = 5 * time.Second
	// responseTimeout limits the wait for each response of a crowd whose requests
	// the process has already read.
	responseTimeout = 200 * time.Millisecond
	readPeriod      = 25 * time.Millisecond
	// quietPolls is the number of successive polls without a change after which a
	// process has read what it will read.
	quietPolls = 40
	tcpFile    = "/proc/net/tcp"
)

// open connects a crowd and sends its pieces. A connection that the process
// closes or does not read from sends no more, and stays open.
func (cr crowd) open(t *testing.T) []*member {
	t.Helper()
	var all []*member
	rounds := 0
	t.Cleanup(func() { leave(all) })
	for i := range cr.count {
		conn, err := net.DialTimeout("tcp", cr.address, waitTimeout)
		if err != nil {
			continue // refused, which is allowed
		}
		me := &member{index: i, conn: conn, pieces: cr.pieces(i)}
		rounds = max(rounds, len(me.pieces))
		all = append(all, me)
	}
	for round := range rounds {
		var wg sync.WaitGroup
		for _, me := range all {
			wg.Go(func() { me.send(round) })
		}
		wg.Wait()
		awaitRead(t, cr.address)
	}
	return all
}

// send sends one piece, if there is one.
func (me *member) send(round int) {
	if round >= len(me.pieces) {
		return
	}
	_ = me.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := me.conn.Write(me.pieces[round]); err != nil {
		me.pieces = nil
	}
}

// status returns the status of the response, or zero if there is none.
func (me *member) status() int {
	_ = me.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	rs, err := http.ReadResponse(bufio.NewReader(me.conn), nil)
	if err != nil {
		return 0
	}
	rs.Body.Close()
	return rs.StatusCode
}

// leave closes the connections of a crowd.
func leave(all []*member) {
	for _, me := range all {
		me.conn.Close()
	}
}

// awaitRead waits until the process that listens on an address has read
// everything that was sent to it, or reads no more.
func awaitRead(t *testing.T, address string) {
	t.Helper()
	local, err := tableAddress(address)
	if err != nil {
		t.Fatal(err)
	}
	last, same := int64(-1), 0
	for deadline := time.Now().Add(waitTimeout); same < quietPolls && time.Now().Before(deadline); time.Sleep(readPeriod) {
		n, err := unread(local)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			return
		}
		same++
		if n != last {
			last, same = n, 0
		}
	}
}

// tableAddress returns an address as the kernel's table of connections has it.
func tableAddress(address string) (string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return "", err
	}
	ip := slices.Clone(tcp.IP.To4())
	slices.Reverse(ip)
	return strings.ToUpper(hex.EncodeToString(ip)) + fmt.Sprintf(":%04X", tcp.Port), nil
}

// unread returns the number of bytes that were sent to a listener's connections
// and that its process has not read.
func unread(local string) (int64, error) {
	data, err := os.ReadFile(tcpFile)
	if err != nil {
		return 0, err
	}
	var sum int64
	for line := range strings.Lines(string(data)) {
		words := strings.Fields(line)
		if len(words) < 5 {
			continue
		}
		sent, received, _ := strings.Cut(words[4], ":")
		queue := ""
		switch local {
		case words[1]:
			queue = received
		case words[2]:
			queue = sent
		default:
			continue
		}
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// split cuts data into pieces of at most size bytes.
func split(data []byte, size int) [][]byte { return slices.Collect(slices.Chunk(data, size)) }

// chunked encodes data in the chunked transfer encoding without its end.
func chunked(data []byte, size int) []byte {
	var bf bytes.Buffer
	for ch := range slices.Chunk(data, size) {
		fmt.Fprintf(&bf, "%x\r\n%s\r\n", len(ch), ch)
	}
	return bf.Bytes()
}

// filled returns the beginning of a JSON object that ends with a string of n
// bytes, without the quotation mark and the brace that would end it.
func filled(n int) []byte {
	return append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), n)...)
}

// repeated returns an object of at most size bytes, with a list of as many copies
// of item as fit.
func repeated(start, item, end string, size int) []byte {
	n := (size - len(start) - len(end) + 1) / (len(item) + 1)
	return []byte(start + strings.Repeat(item+",", n-1) + item + end)
}
