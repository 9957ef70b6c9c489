package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxRequestTime bounds the time for which a body may be received, whatever its
	// client asks for.
	maxRequestTime = 30 * time.Second
	// writeTimeout bounds the sending of a response, and discardTimeout the reading of
	// what is left of a body after it.
	writeTimeout   = 5 * time.Second
	discardTimeout = 500 * time.Millisecond
	// chunkBytes is the size in which room for a body is reserved as it arrives.
	chunkBytes = 16 << 10
	// reserveRetry is how long a body waits for room before further connections give
	// way.
	reserveRetry = 250 * time.Millisecond
)

var (
	// ErrTooLarge means that a body has more bytes than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrIncomplete means that a body did not arrive as a whole in time, or that its
	// connection gave way to others.
	ErrIncomplete = errors.New("the body did not arrive as a whole")
	// ErrNoRoom is the ErrIncomplete of a body for which there was no room.
	ErrNoRoom = fmt.Errorf("%w: no room for it", ErrIncomplete)
)

// ReadBody reads the body of a request, of at most limit bytes, until ctx ends. Room
// is reserved for what has arrived, not for what is announced, and kept until release
// is called, also after an error. hasKey says whether the request has a valid key.
func (gu *Guard) ReadBody(ctx context.Context, wr http.ResponseWriter, rq *http.Request, limit int64, hasKey bool) (body []byte, release func(), err error) {
	bo := &bodyReader{gu: gu, co: connOf(rq), rq: rq, limit: limit}
	if rq.ContentLength > limit {
		return nil, bo.release, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, gu.cfg.BodyTime)
	defer cancel()
	bo.begin(hasKey, cancel)
	control := http.NewResponseController(wr)
	if at, ok := ctx.Deadline(); ok {
		_ = control.SetReadDeadline(at)
	}
	body, err = bo.read(ctx)
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
	case errors.Is(err, ErrIncomplete) && bo.gaveWay():
		err = ErrNoRoom
	}
	return body, bo.release, err
}

// bodyReader reads one body.
type bodyReader struct {
	gu    *Guard
	co    *conn // nil if it is not known
	rq    *http.Request
	limit int64
	held  int64
}

// begin notes whose body is read, and how to end the wait for room.
func (bo *bodyReader) begin(hasKey bool, cancel context.CancelFunc) {
	if bo.co == nil {
		return
	}
	bo.gu.mu.Lock()
	defer bo.gu.mu.Unlock()
	bo.co.cancel = cancel
	if hasKey {
		bo.co.progress = authorized
	}
}

// read reads the body in chunks, so that its size is not allocated before it has
// arrived, and joins them.
func (bo *bodyReader) read(ctx context.Context) ([]byte, error) {
	var chunks [][]byte
	size := int64(0)
	for {
		chunk, err := bo.readChunk(ctx, size)
		size += int64(len(chunk))
		chunks = append(chunks, chunk)
		switch {
		case size > bo.limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			if !bo.complete() {
				return nil, ErrNoRoom
			}
			return bo.join(ctx, chunks, size)
		case errors.Is(err, ErrNoRoom):
			return nil, err
		case err != nil:
			return nil, merry.Wrap(ErrIncomplete, merry.NoCaptureStack(), merry.WithCause(err))
		}
	}
}

// readChunk reads until a chunk is full or the body has ended.
func (bo *bodyReader) readChunk(ctx context.Context, read int64) ([]byte, error) {
	size := int64(chunkBytes)
	if left := bo.rq.ContentLength - read; bo.rq.ContentLength >= 0 {
		size = min(size, left+1) // one more than is left, to see the end
	}
	if err := bo.reserve(ctx, size); err != nil {
		return nil, err
	}
	chunk := make([]byte, size)
	n := 0
	for n < len(chunk) {
		m, err := bo.rq.Body.Read(chunk[n:])
		n += m
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// join returns the chunks in one slice. One body is joined at a time, so that the
// second copy of a body that has arrived needs no room that others may hold.
func (bo *bodyReader) join(ctx context.Context, chunks [][]byte, size int64) ([]byte, error) {
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	if err := bo.gu.joins.Acquire(ctx, 1); err != nil {
		return nil, ErrNoRoom
	}
	defer bo.gu.joins.Release(1)
	body := make([]byte, 0, size)
	for _, chunk := range chunks {
		body = append(body, chunk...)
	}
	bo.free(bo.held - size)
	return body, nil
}

// reserve reserves room for a number of bytes.
func (bo *bodyReader) reserve(ctx context.Context, bytes int64) error {
	return bo.gu.reserve(ctx, bo.co, bo, bytes)
}

// complete marks the request as having arrived as a whole, unless its connection has
// given way before.
func (bo *bodyReader) complete() bool {
	if bo.gaveWay() {
		return false
	}
	bo.gu.Complete(bo.rq)
	return !bo.gaveWay()
}

// gaveWay reports whether the connection of the body gave way to others.
func (bo *bodyReader) gaveWay() bool {
	if bo.co == nil {
		return false
	}
	bo.gu.mu.Lock()
	defer bo.gu.mu.Unlock()
	return bo.co.givesWay
}

// addHeld implements holder.
func (bo *bodyReader) addHeld(bytes int64) {
	bo.held += bytes
	if bo.co != nil {
		bo.co.held = bo.held
	}
}

func (bo *bodyReader) free(bytes int64) {
	bo.gu.mu.Lock()
	defer bo.gu.mu.Unlock()
	bo.addHeld(-bytes)
	bo.gu.room.release(bytes)
}

// release frees the room of the body.
func (bo *bodyReader) release() {
	if bo.held > 0 {
		bo.free(bo.held)
	}
}

// Reserve reserves room for bytes that have arrived, until Release. If there is none, other
// connections give way. It returns ErrNoRoom if there is none within Config.RoomTime or
// before ctx ends.
func (gu *Guard) Reserve(ctx context.Context, bytes int64) error {
	return gu.reserve(ctx, nil, nil, bytes)
}

// reserve is Reserve for what a connection holds, or for none.
func (gu *Guard) reserve(ctx context.Context, co *conn, ho holder, bytes int64) error {
	if bytes > gu.bodyLimit {
		return ErrNoRoom // there never is any
	}
	ctx, done := gu.withRoomTime(ctx)
	defer done()
	for {
		cl := gu.claimRoom(co, ho, bytes)
		if cl.wait(ctx) || !gu.withdraw(cl) {
			return nil
		}
		if ctx.Err() != nil {
			return ErrNoRoom
		}
	}
}

// wait waits for at most reserveRetry, and reports whether the claim is granted.
func (cl *claim) wait(ctx context.Context) bool {
	select {
	case <-cl.granted:
		return true
	default:
	}
	timer := time.NewTimer(reserveRetry)
	defer timer.Stop()
	select {
	case <-cl.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// withRoomTime returns a context that ends with the wait for room.
func (gu *Guard) withRoomTime(ctx context.Context) (context.Context, context.CancelFunc) {
	if gu.cfg.RoomTime <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, gu.cfg.RoomTime)
}

// Release returns room that was reserved.
func (gu *Guard) Release(bytes int64) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.room.release(bytes)
}
