package guard

import (
	"context"
	"errors"
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
)

// ReadBody reads the body of a request, of at most limit bytes, until ctx ends. Room
// is reserved for what has arrived, not for what is announced, and kept until release
// is called, also after an error. hasKey says whether the request has a valid key.
func (gu *Guard) ReadBody(ctx context.Context, wr http.ResponseWriter, rq *http.Request, limit int64, hasKey bool) (body []byte, release func(), err error) {
	bo := &bodyReader{gu: gu, co: connOf(rq), rq: rq, limit: limit}
	if rq.ContentLength > limit {
		return nil, bo.release, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, maxRequestTime)
	defer cancel()
	bo.begin(hasKey, cancel)
	control := http.NewResponseController(wr)
	if at, ok := ctx.Deadline(); ok {
		_ = control.SetReadDeadline(at)
	}
	body, err = bo.read(ctx)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		gu.Complete(rq)
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
			return bo.join(ctx, chunks, size)
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

// join returns the chunks in one slice, which needs room of its own.
func (bo *bodyReader) join(ctx context.Context, chunks [][]byte, size int64) ([]byte, error) {
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	if err := bo.reserve(ctx, size); err != nil {
		return nil, merry.Wrap(ErrIncomplete, merry.NoCaptureStack(), merry.WithCause(err))
	}
	body := make([]byte, 0, size)
	for _, chunk := range chunks {
		body = append(body, chunk...)
	}
	bo.free(bo.held - size)
	return body, nil
}

// reserve reserves room for a number of bytes. If there is none, other connections
// give way, or this one does.
func (bo *bodyReader) reserve(ctx context.Context, bytes int64) error {
	for !bo.gu.bodies.TryAcquire(bytes) {
		bo.gu.freeBytes(bytes)
		wait, cancel := context.WithTimeout(ctx, reserveRetry)
		err := bo.gu.bodies.Acquire(wait, bytes)
		cancel()
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	bo.setHeld(bo.held + bytes)
	return nil
}

func (bo *bodyReader) setHeld(bytes int64) {
	bo.held = bytes
	if bo.co != nil {
		bo.gu.mu.Lock()
		defer bo.gu.mu.Unlock()
		bo.co.held = bytes
	}
}

func (bo *bodyReader) free(bytes int64) {
	bo.setHeld(bo.held - bytes)
	bo.gu.bodies.Release(bytes)
}

// release frees the room of the body.
func (bo *bodyReader) release() {
	if bo.held > 0 {
		bo.free(bo.held)
	}
}
