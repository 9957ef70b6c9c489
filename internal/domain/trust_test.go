package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestLastAttemptOfAGangIsNotKeptOut lets a gang of two workers that has failed
// twice on one of three wait beside small work on another one. The worker that it
// did not accept was among those that were kept for it, so that small work followed
// small work on the third one and the gang waited for ever.
func TestLastAttemptOfAGangIsNotKeptOut(t *testing.T) {
	is := is.New(t)
	wo := calm(3)
	small, pl := single("small", 2, 1, 2*time.Second)
	wo.submit(small, pl)
	wo.run(time.Second)
	gang, pl := single("gang", 1, 2, time.Second)
	gang.Steps[0].Gang = true
	gang.Steps[0].Needs.Accelerators = 8
	wo.submit(gang, pl)
	wo.records["gang"] = batch.Record{ID: "gang", State: batch.Running, Units: []batch.UnitRecord{
		{Attempt: 2, Failures: 2, FailedOn: []string{"w11"}},
	}}
	wo.elect()
	for i := range 20 {
		jb, pl := single(fmt.Sprintf("s%03d", i), 2, 1, 2*time.Second)
		wo.submit(jb, pl)
		wo.run(time.Second)
	}
	is.Equal(wo.state("gang"), batch.Done)
	is.Equal(wo.check(), nil)
}
