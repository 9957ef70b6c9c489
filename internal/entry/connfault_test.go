package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/entry"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// connFault is a fault of the connection that carries a request.
	connFault struct {
		onResponse bool   // in the response, otherwise in the request
		offset     int    // number of bytes that are passed on before the fault
		kind       string // kindCut or kindUnresponsive
	}

	// faultyProxy relays connections from an entry host to an endpoint. The
	// first connection that carries a request has the fault; all others work.
	faultyProxy struct {
		net.Listener
		target string
		fault  connFault
		once   sync.Once
	}
)

const (
	kindCut          = "cut"
	kindUnresponsive = "unresponsive"
	offsetStep       = 24 // bytes between two tested offsets
	requestSize      = 480
	responseSize     = 360
)

func (fp *faultyProxy) serve() {
	for {
		from, err := fp.Accept()
		if err != nil {
			return
		}
		go fp.relay(from)
	}
}

// relay copies data in both directions between an entry host and the endpoint.
func (fp *faultyProxy) relay(from net.Conn) {
	defer from.Close()
	first := make([]byte, 4)
	if _, err := io.ReadFull(from, first); err != nil {
		return
	}
	to, err := net.Dial("tcp", fp.target)
	if err != nil {
		return
	}
	defer to.Close()
	requestLimit, responseLimit := -1, -1
	if bytes.Equal(first, []byte("POST")) {
		fp.once.Do(func() {
			if fp.fault.onResponse {
				responseLimit = fp.fault.offset
			} else {
				requestLimit = fp.fault.offset
			}
		})
	}
	done := make(chan bool, 2)
	go fp.copy(to, io.MultiReader(bytes.NewReader(first), from), requestLimit, done)
	go fp.copy(from, to, responseLimit, done)
	<-done
}

// copy copies data. After limit bytes it either cuts the connection or discards
// the rest. A negative limit means no limit.
func (fp *faultyProxy) copy(to io.Writer, from io.Reader, limit int, done chan<- bool) {
	if limit >= 0 {
		_, err := io.CopyN(to, from, int64(limit))
		if err == nil && fp.fault.kind == kindUnresponsive {
			_, _ = io.Copy(io.Discard, from)
		}
		done <- true
		return
	}
	_, _ = io.Copy(to, from)
	done <- true
}

// TestConnectionFaultAtEachOffset breaks the connection to the endpoint at
// offsets in the request and in the response, in steps of offsetStep bytes. The
// code that the caller gets must agree with the number of times that the
// request ran.
func TestConnectionFaultAtEachOffset(t *testing.T) {
	for _, kind := range []string{kindCut, kindUnresponsive} {
		for _, repeatable := range []bool{true, false} {
			for offset := 0; offset < requestSize; offset += offsetStep {
				checkConnFault(t, connFault{offset: offset, kind: kind}, repeatable)
			}
			for offset := 0; offset < responseSize; offset += offsetStep {
				checkConnFault(t, connFault{onResponse: true, offset: offset, kind: kind}, repeatable)
			}
		}
	}
}

func checkConnFault(t *testing.T, cf connFault, repeatable bool) {
	t.Run(fmt.Sprintf("%s/response=%v/offset=%d/repeatable=%v", cf.kind, cf.onResponse, cf.offset, repeatable), func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		th := newTestHost(t, 1, func(cfg *entry.Config, _ *spec.Declarations) {
			endpoints := cfg.Endpoints()
			fp := &faultyProxy{Listener: listen(t), target: endpoints[0].Address, fault: cf}
			t.Cleanup(func() { fp.Close() })
			go fp.serve()
			endpoints[0].Address = fp.Addr().String()
			cfg.Endpoints = func() []plat.Host { return endpoints }
		})
		re, err := th.order(client.HeaderRepeatable, fmt.Sprint(repeatable), client.HeaderTimeout, "700ms")
		is.NoErr(err) // the entry host always responds
		t.Logf("code %s, body %q, error %v", re.code, re.body, re.err)
		ran := 0
		eventually(t, "the run ends", func() bool {
			ran = th.runs()[re.request]
			return re.code.Class() != codes.Done || ran > 0
		})
		checkOutcome(is, re, ran, repeatable)
	})
}

// checkOutcome compares a response with the number of times that its request
// ran.
func checkOutcome(is *is.I, re response, ran int, repeatable bool) {
	is.Helper()
	is.True(repeatable || ran <= 1)
	switch re.code.Class() {
	case codes.Done:
		is.True(ran >= 1)
		if re.err == nil {
			is.Equal(re.body, "crates=1") // complete
		}
	case codes.NotRun:
		is.Equal(ran, 0)
	case codes.Failed:
		is.True(ran >= 1)
	case codes.Unknown:
	default:
		is.Fail() // a request can't end with a code of another class
	}
}
