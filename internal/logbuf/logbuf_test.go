package logbuf_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/logbuf"
)

// TestStalledReaderDoesNotBlock guards against a log call that blocks because
// the output does: it logs into a pipe that nobody reads.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	wr := logbuf.New(logbuf.Config{To: writer, PerSecond: 1 << 20})
	log := slog.New(slog.NewTextHandler(wr, nil))
	start := time.Now()
	for i := range 20000 {
		log.Info("line", "i", i)
	}
	is.True(time.Since(start) < 10*time.Second) // a blocking write would never return
	is.NoErr(reader.Close())                    // lets the background writer end
	wr.Close(10 * time.Second)
}

// TestLinesPerSecond guards against a rate limit that drops too many or too few
// lines, or that drops lines without reporting their number: it writes more lines
// in a second than the limit.
func TestLinesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var buf bytes.Buffer
		wr := logbuf.New(logbuf.Config{To: &buf, PerSecond: 10})
		for i := range 25 {
			_, err := fmt.Fprintf(wr, "line %d\n", i)
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		_, err := io.WriteString(wr, "later\n")
		is.NoErr(err)
		wr.Close(time.Second)
		is.Equal(strings.Count(buf.String(), "line "), 10)
		is.True(strings.Contains(buf.String(), "event=linesDropped lines=15"))
		is.True(strings.HasSuffix(buf.String(), "later\n"))
	})
}
