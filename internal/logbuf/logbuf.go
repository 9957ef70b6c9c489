// Package logbuf writes log lines without ever holding up whoever logs. Lines
// beyond a budget, and lines for which a slow reader leaves no room, are left
// out and counted.
package logbuf

import (
	"fmt"
	"io"
	"sync"
	"time"
)

type (
	// Config constructs a Writer.
	Config struct {
		To        io.Writer
		PerSecond int // lines; 0 for DefaultPerSecond
	}

	// Writer is an io.Writer of whole lines. It is safe for concurrent use.
	Writer struct {
		cfg         Config
		queue       chan []byte
		done        chan struct{}
		mu          sync.Mutex
		closed      bool
		windowStart time.Time // in which spent lines were taken
		written     int
		dropped     int // lines left out and not yet said
	}
)

const (
	// DefaultPerSecond is several times what a host writes at its worst.
	DefaultPerSecond = 3000

	queueLines = 8192
)

// New returns a writer, which writes in the background until Close.
func New(cf Config) *Writer {
	if cf.PerSecond <= 0 {
		cf.PerSecond = DefaultPerSecond
	}
	wr := &Writer{cfg: cf, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go wr.run()
	return wr
}

// Write takes a line. It always succeeds.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed {
		return len(line), nil
	}
	if now := time.Now(); now.Sub(wr.windowStart) >= time.Second {
		wr.windowStart = now
		wr.written = 0
		wr.reportDropped(now)
	}
	if wr.written >= wr.cfg.PerSecond {
		wr.dropped++
		return len(line), nil
	}
	wr.written++
	wr.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

// reportDropped writes how many lines were left out since it was last said.
func (wr *Writer) reportDropped(now time.Time) {
	if wr.dropped == 0 {
		return
	}
	dropped := wr.dropped
	line := fmt.Appendf(nil, "time=%s level=WARN msg=\"lines were left out\" event=leftOut lines=%d\n", now.UTC().Format(time.RFC3339Nano), dropped)
	wr.dropped = 0
	if !wr.enqueue(line) {
		wr.dropped = dropped
	}
}

func (wr *Writer) enqueue(line []byte) bool {
	select {
	case wr.queue <- line:
		return true
	default:
		wr.dropped++
		return false
	}
}

// Close writes what is queued, for at most a time, and ends the writer.
func (wr *Writer) Close(limit time.Duration) {
	wr.mu.Lock()
	if !wr.closed {
		wr.reportDropped(time.Now())
		wr.closed = true
		close(wr.queue)
	}
	wr.mu.Unlock()
	select {
	case <-wr.done:
	case <-time.After(limit):
	}
}

func (wr *Writer) run() {
	defer close(wr.done)
	for line := range wr.queue {
		// There is nobody to tell of a log that can't be written.
		_, _ = wr.cfg.To.Write(line)
	}
}
