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
	// wireFault is what goes wrong on the connection that carries a request.
	wireFault struct {
		answer bool   // on the way back, else on the way there
		after  int    // bytes that get through
		kind   string // cut or silent
	}

	// faultyLink stands between an entry host and an endpoint. The first
	// connection with a request in it has the fault; all others are sound.
	faultyLink struct {
		net.Listener
		target string
		fault  wireFault
		once   sync.Once
	}
)

const (
	kindCut     = "cut"
	kindSilent  = "silent"
	wireStep    = 24 // bytes between two faults
	requestSize = 480
	answerSize  = 360
)

func (fl *faultyLink) serve() {
	for {
		from, err := fl.Accept()
		if err != nil {
			return
		}
		go fl.join(from)
	}
}

// join copies both ways between a caller and the endpoint.
func (fl *faultyLink) join(from net.Conn) {
	defer from.Close()
	first := make([]byte, 4)
	if _, err := io.ReadFull(from, first); err != nil {
		return
	}
	to, err := net.Dial("tcp", fl.target)
	if err != nil {
		return
	}
	defer to.Close()
	there, back := -1, -1
	if bytes.Equal(first, []byte("POST")) {
		fl.once.Do(func() {
			if fl.fault.answer {
				back = fl.fault.after
			} else {
				there = fl.fault.after
			}
		})
	}
	done := make(chan bool, 2)
	go fl.copy(to, io.MultiReader(bytes.NewReader(first), from), there, done)
	go fl.copy(from, to, back, done)
	<-done
}

// copy passes bytes on, and after the limit cuts the connection or swallows
// the rest. A negative limit is none.
func (fl *faultyLink) copy(to io.Writer, from io.Reader, limit int, done chan<- bool) {
	if limit >= 0 {
		_, err := io.CopyN(to, from, int64(limit))
		if err == nil && fl.fault.kind == kindSilent {
			_, _ = io.Copy(io.Discard, from)
		}
		done <- true
		return
	}
	_, _ = io.Copy(to, from)
	done <- true
}

// TestEveryWireFaultAtEveryByte breaks the connection to the endpoint after
// each few bytes of a request and of its answer, and compares what the caller
// was told with what the endpoint ran.
func TestEveryWireFaultAtEveryByte(t *testing.T) {
	for _, kind := range []string{kindCut, kindSilent} {
		for _, repeatable := range []bool{true, false} {
			for after := 0; after < requestSize; after += wireStep {
				runWireFault(t, wireFault{after: after, kind: kind}, repeatable)
			}
			for after := 0; after < answerSize; after += wireStep {
				runWireFault(t, wireFault{answer: true, after: after, kind: kind}, repeatable)
			}
		}
	}
}

func runWireFault(t *testing.T, wf wireFault, repeatable bool) {
	t.Run(fmt.Sprintf("%s/answer=%v/after=%d/repeatable=%v", wf.kind, wf.answer, wf.after, repeatable), func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		be := newBench(t, 1, func(cfg *entry.Config, _ *spec.Declarations) {
			sound := cfg.Endpoints()
			fl := &faultyLink{Listener: listen(t), target: sound[0].Address, fault: wf}
			t.Cleanup(func() { fl.Close() })
			go fl.serve()
			sound[0].Address = fl.Addr().String()
			cfg.Endpoints = func() []plat.Host { return sound }
		})
		an, err := be.order(client.HeaderRepeatable, fmt.Sprint(repeatable), client.HeaderTimeout, "700ms")
		is.NoErr(err) // the entry host always answers
		t.Logf("told %s, read %q, %v", an.code, an.body, an.err)
		ran := 0
		eventually(t, "the run ends", func() bool {
			ran = be.runs()[an.request]
			return an.code.Class() != codes.Done || ran > 0
		})
		checkTold(is, an, ran, repeatable)
	})
}

// checkTold compares an answer with how often its request ran.
func checkTold(is *is.I, an answer, ran int, repeatable bool) {
	is.Helper()
	is.True(repeatable || ran <= 1)
	switch an.code.Class() {
	case codes.Done:
		is.True(ran >= 1)
		if an.err == nil {
			is.Equal(an.body, "crates=1") // whole
		}
	case codes.NotRun:
		is.Equal(ran, 0)
	case codes.Failed:
		is.True(ran >= 1)
	case codes.Unknown:
	default:
		is.Fail() // no outcome
	}
}
