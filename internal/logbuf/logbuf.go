// Package logbuf provides a non-blocking writer for log lines. Lines beyond a
// rate limit, and lines that don't fit into the queue because the output is
// slow, are dropped and counted.
package logbuf

import (
	"fmt"
	"io"
	"sync"
	"time"
)

type (
	// Config configures a Writer.
	Config struct {
		To        io.Writer // output of the lines
		PerSecond int       // maximum number of lines per second; zero for DefaultPerSecond
	}

	// Writer is an io.Writer that expects one whole line per Write. It is safe
	// for concurrent use.
	Writer struct {
		cfg         Config
		queue       chan []byte
		done        chan struct{}
		mu          sync.Mutex
		closed      bool
		windowStart time.Time // start of the current second of the rate limit
		accepted    int       // lines accepted since windowStart
		dropped     int       // lines dropped and not yet reported
	}
)

const (
	// DefaultPerSecond is the default rate limit, several times the peak log
	// rate of a host.
	DefaultPerSecond = 3000

	// queueLines is the capacity of the queue in lines.
	queueLines = 8192
)

// New returns a Writer, which writes queued lines to the output in the background
// until Close.
func New(cf Config) *Writer {
	if cf.PerSecond <= 0 {
		cf.PerSecond = DefaultPerSecond
	}
	wr := &Writer{cfg: cf, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go wr.run()
	return wr
}

// Write queues a copy of a line or drops the line. It never blocks on the
// output and always succeeds. Lines after Close are dropped without being
// counted.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed {
		return len(line), nil
	}
	if now := time.Now(); now.Sub(wr.windowStart) >= time.Second {
		wr.windowStart = now
		wr.accepted = 0
		wr.reportDropped(now)
	}
	if wr.accepted >= wr.cfg.PerSecond {
		wr.dropped++
		return len(line), nil
	}
	wr.accepted++
	wr.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

// reportDropped queues a line with the number of lines dropped since the last
// report. If the queue is full, the number is kept for the next report.
func (wr *Writer) reportDropped(now time.Time) {
	if wr.dropped == 0 {
		return
	}
	dropped := wr.dropped
	line := fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" event=linesDropped lines=%d\n", now.UTC().Format(time.RFC3339Nano), dropped)
	wr.dropped = 0
	if !wr.enqueue(line) {
		wr.dropped = dropped
	}
}

// enqueue queues a line, or counts it as dropped and returns false if the queue
// is full.
func (wr *Writer) enqueue(line []byte) bool {
	select {
	case wr.queue <- line:
		return true
	default:
		wr.dropped++
		return false
	}
}

// Close closes the writer and waits at most limit for the queued lines to be
// written.
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
		// An error of the log output can't be reported anywhere.
		_, _ = wr.cfg.To.Write(line)
	}
}
