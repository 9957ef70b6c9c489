package guard

import (
	"context"
	"net"
	"sync/atomic"
)

// headCounter counts the bytes of the headers of a connection's present request.
type headCounter struct {
	reading atomic.Bool // they are being received
	read    int64       // bytes; used by the goroutine that reads
	held    int64       // bytes of room that are reserved; guarded by Guard.mu
}

const (
	// freeHeadBytes of the headers of a request are part of connectionBytes.
	freeHeadBytes = 4 << 10
	// headFactor allows for the copies that are made while headers are parsed.
	headFactor = 2
)

// Read implements net.Conn. Room is reserved for headers as they arrive, and kept until
// the response has been sent.
func (co *conn) Read(data []byte) (int, error) {
	n, err := co.Conn.Read(data)
	if n == 0 || !co.head.reading.Load() {
		return n, err
	}
	before := co.head.read
	co.head.read += int64(n)
	need := headFactor * (max(co.head.read, freeHeadBytes) - max(before, freeHeadBytes))
	if need == 0 {
		return n, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
	defer cancel()
	co.setCancel(cancel)
	if co.gu.reserve(ctx, co, &co.head, need) != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// setCancel notes how to end the wait of the connection for room.
func (co *conn) setCancel(cancel context.CancelFunc) {
	co.gu.mu.Lock()
	defer co.gu.mu.Unlock()
	co.cancel = cancel
}

// beginHead notes that the headers of the next request are awaited.
func (co *conn) beginHead() {
	co.freeHead()
	co.head.read = 0
	co.head.reading.Store(true)
}

// freeHead returns the room of the headers.
func (co *conn) freeHead() {
	co.gu.mu.Lock()
	defer co.gu.mu.Unlock()
	held := co.head.held
	co.head.held = 0
	co.gu.room.release(held)
}

// addHeld implements holder.
func (hc *headCounter) addHeld(bytes int64) { hc.held += bytes }

// bytes returns the number of bytes that the connection's request holds. The caller
// holds Guard.mu.
func (co *conn) bytes() int64 { return co.held + co.head.held }
