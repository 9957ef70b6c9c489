package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestNewIncarnationGetsNoWorkBeforeItsEntry shows by a reply that a worker has
// restarted, before its entry says of which kind it is now. It guards against
// starting work there that only the former kind may run, also an attempt whose
// record was being written.
func TestNewIncarnationGetsNoWorkBeforeItsEntry(t *testing.T) {
	for _, placed := range []bool{false, true} {
		t.Run(fmt.Sprintf("placed=%v", placed), func(t *testing.T) {
			is := is.New(t)
			sc := newScriptedCore(domain.Config{}, "w1")
			jb, _ := oneStepJob("j", 1, 1, time.Minute)
			if placed {
				sc.handle(domain.Accepted{Job: jb})
				sc.pass(tickInterval)
			}
			sc.reply("w1", runner.Status{Born: 7})
			if !placed {
				sc.handle(domain.Accepted{Job: jb})
			}
			sc.commitAll()
			sc.pass(time.Second)
			sc.reply("w1", runner.Status{Born: 7}) // to a poll with a larger token than the start
			sc.pass(time.Second)
			sc.commitAll()
			is.Equal(len(effectsOf[domain.Start](sc)), 0)
			wk := scriptedWorker("w1")
			wk.Born = 7
			sc.handle(domain.Listed{Worker: wk})
			sc.pass(time.Second)
			sc.commitAll()
			is.Equal(len(effectsOf[domain.Start](sc)), 1)
		})
	}
}
