package calls_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/calls"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

// TestAnnouncedMessagesTakeNoMemory guards against taking memory for the size that a
// message announces before any of it has arrived.
func TestAnnouncedMessagesTakeNoMemory(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	data := append(binary.AppendUvarint(nil, size), "begins"...)
	err := calls.ReadMessage(bufio.NewReader(bytes.NewReader(data)), new(wire.Call), size)
	runtime.ReadMemStats(&after)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(after.TotalAlloc-before.TotalAlloc < size/2)
	is.True(calls.ReadMessage(bufio.NewReader(bytes.NewReader(data)), new(wire.Call), size-1) != nil)
}

// TestMessagesAreReadAsWritten guards against a message that does not come back as it
// was sent.
func TestMessagesAreReadAsWritten(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	is.NoErr(calls.WriteMessage(&buf, &wire.Call{Method: "m", Payload: bytes.Repeat([]byte("x"), 100_000)}))
	got := new(wire.Call)
	is.NoErr(calls.ReadMessage(bufio.NewReader(&buf), got, 1<<20))
	is.Equal(got.GetMethod(), "m")
	is.Equal(len(got.GetPayload()), 100_000)
}
