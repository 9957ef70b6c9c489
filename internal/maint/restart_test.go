package maint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/maint"
)

// TestNextIncarnationIsNotDown has a worker come back under its ID after the upkeep of
// its machine, and delivers a list from before that. It guards against reporting the
// next incarnation as down, whose work would be taken for ended, and against a worker
// that isn't reported although it was not seen to restart.
func TestNextIncarnationIsNotDown(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted=%v", restarted), func(t *testing.T) {
			is := is.New(t)
			now, born := start, int64(1)
			co := maint.New(now, maint.Config{
				Waves:       []maint.Wave{{Number: 1, Machines: []string{"m1"}, Duration: time.Minute, MaxDown: 1}},
				WorkerState: func(string) maint.WorkerState { return maint.WorkerState{Idle: true, Born: born} },
			})
			up := maint.Machine{ID: "m1", Worker: "w1", Up: true}
			ordered := false
			for _, ef := range co.Handle(now, maint.MachinesListed{Sent: now, Machines: []maint.Machine{up}}) {
				_, isOrder := ef.(maint.Order)
				ordered = ordered || isOrder
			}
			is.True(ordered)
			co.Handle(now, maint.OrderCompleted{Order: maint.Order{Machine: "m1", Wave: 1}})
			now = now.Add(upkeepTime)
			if restarted {
				born = 2
			}
			downs := 0
			list := maint.MachinesListed{Sent: now.Add(-tick), Machines: []maint.Machine{{ID: "m1"}}}
			for _, ef := range co.Handle(now, list) {
				if _, ok := ef.(maint.WorkerDown); ok {
					downs++
				}
			}
			is.Equal(downs == 1, !restarted)
		})
	}
}
