package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/domain"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// TestManyJobsBeginBehindAFarStore places a hundred and forty jobs at once,
// whose attempts have to be in a store that answers after 90 ms. Commits that
// waited for each other would take ten times that.
func TestManyJobsBeginBehindAFarStore(t *testing.T) {
	const (
		count    = 140
		far      = 90 * time.Millisecond
		step     = 5 * time.Millisecond
		allBegun = 600 * time.Millisecond
	)
	is := is.New(t)
	now := start
	co := domain.New(now, domain.Config{Token: 1, Policy: newWorld(1).policy, Workers: []runner.Worker{
		{ID: "w1", Address: "w1:1", Service: "svc", Born: 1, Capacity: batch.Resources{Accelerators: count}},
	}})
	answers := map[time.Time][]domain.Committed{}
	starts, commits, known := 0, map[string]int{}, false
	var take func(ev domain.Event)
	take = func(ev domain.Event) {
		for _, ef := range co.Handle(now, ev) {
			switch ef := ef.(type) {
			case domain.Look:
				if !known { // later looks wait for an end
					known = true
					take(domain.Looked{Call: ef, Look: runner.Look{Born: 1}})
				}
			case domain.Start:
				starts++
			case domain.Commit:
				answers[now.Add(far)] = append(answers[now.Add(far)], domain.Committed{Seq: ef.Seq})
				for _, rc := range ef.Records {
					commits[rc.ID]++
				}
			}
		}
	}
	take(domain.Ticked{})
	for i := range count {
		take(domain.Accepted{Job: batch.Job{ID: fmt.Sprintf("j%03d", i), Queue: queueOf(1), Steps: []batch.Step{oneAccelerator(1)}}})
	}
	for now.Before(start.Add(allBegun)) {
		now = now.Add(step)
		for _, an := range answers[now] {
			take(an)
		}
		take(domain.Prompted{})
	}
	is.Equal(starts, count)
	is.Equal(len(commits), count)
}
