package launch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/launch"
)

var began = time.Date(2026, time.March, 1, 12, 0, 0, 0, time.UTC)

// contacts returns what is known of worker w, and nothing of any other.
func contacts(co launch.Contact) func(string) launch.Contact {
	return func(worker string) launch.Contact {
		if worker == "w" {
			return co
		}
		return launch.Contact{}
	}
}

// taskAt returns a task of job j.
func taskAt(index int) batch.TaskID { return batch.TaskID{Job: "j", Index: index} }

// lostCall returns a ledger with a call to worker w both copies of which were lost, a second
// after it was made.
func lostCall(task int) (*launch.Ledger, *launch.Call) {
	le := &launch.Ledger{}
	ca := le.Begin("w", taskAt(task), 1)
	ca.Send(began, 1)
	ca.Return(began.Add(time.Second), true, 2)
	return le, ca
}

// TestNextAttemptAfterCall guards against a next attempt on another worker while a copy of
// the last start may take effect, and against one that waits although none can.
func TestNextAttemptAfterCall(t *testing.T) {
	heard := func(at time.Duration) launch.Contact {
		return launch.Contact{InTouch: true, Born: 1, HeardAt: began.Add(at)}
	}
	silent := launch.Contact{Born: 1, HeardAt: began.Add(2 * time.Second)}
	alive := silent
	alive.Alive = true
	restarted := heard(3 * time.Second)
	restarted.Born = 2
	restartedLater := heard(time.Second + launch.Patience)
	restartedLater.Born = 2
	for _, tc := range []struct {
		name     string
		at       time.Duration
		contact  launch.Contact
		change   func(ca *launch.Call)
		anywhere bool
	}{
		{"lost, in touch", 2 * time.Second, heard(2 * time.Second), nil, false},
		{"lost long ago, not heard of since", 7 * time.Second, heard(5 * time.Second), nil, false},
		{"lost long ago, heard of since", 7 * time.Second, heard(time.Second + launch.Patience), nil, true},
		{"lost, silent", 20 * time.Second, silent, nil, false},
		{"lost, silent until nothing can run", 24 * time.Second, silent, nil, true},
		{"lost, heard of after all copies have arrived", 14 * time.Second, launch.Contact{HeardAt: began.Add(13 * time.Second)}, nil, true},
		{"lost, worker gone", 2 * time.Second, launch.Contact{Gone: true}, nil, true},
		{"lost, restarted and in touch", 3 * time.Second, restarted, nil, false},
		{"lost long ago, restarted and in touch", 7 * time.Second, restartedLater, nil, true},
		{"carried out, in touch", 2 * time.Second, heard(2 * time.Second), (*launch.Call).See, false},
		{"carried out long ago, in touch", 7 * time.Second, heard(time.Second + launch.Patience), (*launch.Call).See, true},
		{"carried out, restarted and in touch", 3 * time.Second, restarted, (*launch.Call).See, false},
		{"carried out, silent", 20 * time.Second, silent, (*launch.Call).See, false},
		{"carried out, silent but alive", 20 * time.Second, alive, (*launch.Call).See, true},
		{"lost, silent but alive", 20 * time.Second, alive, nil, false},
		{"made again, not returned", 30 * time.Second, silent, func(ca *launch.Call) { ca.Send(began.Add(2*time.Second), 1) }, false},
		{"made again and confirmed", 2 * time.Second, heard(time.Second), func(ca *launch.Call) {
			ca.Send(began.Add(time.Second), 1)
			ca.Return(began.Add(2*time.Second), false, 0)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			le, ca := lostCall(3)
			if tc.change != nil {
				tc.change(ca)
			}
			now := began.Add(tc.at)
			choice := launch.Choice{Worker: "w"}
			if tc.anywhere {
				choice = launch.Choice{Anywhere: true}
			}
			is.Equal(le.Next(now, taskAt(3), contacts(tc.contact)), choice)
			is.Equal(le.Next(now, taskAt(2), contacts(tc.contact)), launch.Choice{Anywhere: true})
		})
	}
}

// TestCallsToTwoWorkers guards against a next attempt on either of two workers to which
// starts of a task were lost.
func TestCallsToTwoWorkers(t *testing.T) {
	is := is.New(t)
	le, _ := lostCall(0)
	ca := le.Begin("v", taskAt(0), 2)
	ca.Send(began, 1)
	ca.Return(began, false, 1)
	is.Equal(le.Next(began, taskAt(0), contacts(launch.Contact{})), launch.Choice{})
	is.Equal(le.Next(began, taskAt(0), contacts(launch.Contact{Gone: true})), launch.Choice{Worker: "v"})
}

// TestNextAttemptAfterFailure guards against a next attempt on the worker on which the last one
// has failed, and against one elsewhere while a copy of its start may arrive.
func TestNextAttemptAfterFailure(t *testing.T) {
	is := is.New(t)
	le, ca := lostCall(0)
	ca.See()
	ca.Fail()
	inTouch := func(at time.Duration) func(string) launch.Contact {
		return contacts(launch.Contact{InTouch: true, Born: 1, HeardAt: began.Add(at)})
	}
	is.Equal(le.Next(began.Add(2*time.Second), taskAt(0), inTouch(2*time.Second)), launch.Choice{})
	is.True(le.Next(began.Add(7*time.Second), taskAt(0), inTouch(time.Second+launch.Patience)).Anywhere)
}

// TestEndWaitsForCopies guards against an end that is acknowledged while a copy may arrive,
// and against one that waits for a copy that none can be.
func TestEndWaitsForCopies(t *testing.T) {
	returned := began.Add(time.Second)
	for name, tc := range map[string]struct {
		change func(le *launch.Ledger, ca *launch.Call)
		until  time.Time // zero if the end waits for nothing
	}{
		"both copies lost": {nil, returned.Add(launch.MaxDelay)},
		"one carried out":  {func(_ *launch.Ledger, ca *launch.Call) { ca.See() }, returned.Add(launch.MaxDelay)},
		"one answered":     {func(_ *launch.Ledger, ca *launch.Call) { ca.Answer() }, returned.Add(launch.MaxDelay)},
		"both answered": {func(_ *launch.Ledger, ca *launch.Call) {
			ca.Answer()
			ca.Answer()
		}, time.Time{}},
		"made again": {func(_ *launch.Ledger, ca *launch.Call) {
			ca.Send(began.Add(2*time.Second), 1)
			ca.Return(began.Add(3*time.Second), false, 1)
		}, began.Add(3*time.Second + launch.MaxDelay)},
		"pruned": {func(le *launch.Ledger, _ *launch.Call) { le.Prune(began.Add(2 * time.Second)) }, returned.Add(launch.MaxDelay)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			le, ca := lostCall(0)
			if tc.change != nil {
				tc.change(le, ca)
			}
			now := began.Add(3 * time.Second)
			is.Equal(le.ArrivesUntil(now, "w", taskAt(0)), tc.until)
			is.True(le.ArrivesUntil(now, "v", taskAt(0)).IsZero())
			is.True(le.ArrivesUntil(now, "w", taskAt(1)).IsZero())
			is.True(le.ArrivesUntil(began.Add(20*time.Second), "w", taskAt(0)).IsZero())
		})
	}
}

// TestStoreNamesRepeatableCalls guards against a call whose copies a successor does not learn
// of, and against one that the store names although no copy can arrive any more.
func TestStoreNamesRepeatableCalls(t *testing.T) {
	is := is.New(t)
	le := &launch.Ledger{}
	ca := le.Begin("w", taskAt(0), 1)
	ca.Send(began, 1)
	is.Equal(len(le.Repeatable(began, "j")), 0)
	is.True(le.MakeRepeatable(ca))
	is.True(!le.MakeRepeatable(ca))
	is.Equal(le.Repeatable(began, "j"), []*launch.Call{ca})
	is.True(ca.MayRepeat())
	ca.Repeat()
	is.True(!ca.MayRepeat())
	ca.Return(began.Add(time.Second), true, 1)
	is.Equal(len(le.Repeatable(began.Add(12*time.Second), "j")), 1)
	is.Equal(len(le.Repeatable(began.Add(time.Second+launch.MaxDelay), "j")), 0)
	ca.Answer()
	is.Equal(len(le.Repeatable(began.Add(2*time.Second), "j")), 0)
}

// TestAdoptedRepeatableCall guards against a successor that takes a call, of which the store
// names that several copies were sent, for settled since one was carried out.
func TestAdoptedRepeatableCall(t *testing.T) {
	is := is.New(t)
	le := &launch.Ledger{}
	ca := le.Begin("w", taskAt(0), 1)
	is.True(le.MakeRepeatable(ca))
	ca.Adopt(began, began.Add(time.Second))
	ca.See()
	is.Equal(le.ArrivesUntil(began.Add(2*time.Second), "w", taskAt(0)), began.Add(time.Second+launch.MaxDelay))
	inTouch := contacts(launch.Contact{InTouch: true, Born: 7, HeardAt: began.Add(time.Second)})
	is.Equal(le.Next(began.Add(2*time.Second), taskAt(0), inTouch), launch.Choice{Worker: "w"})
}

// TestAdoptedCall guards against work that is kept on its worker after a takeover although
// no start of it was lost.
func TestAdoptedCall(t *testing.T) {
	is := is.New(t)
	le := &launch.Ledger{}
	ca := le.Begin("w", taskAt(0), 1)
	ca.Adopt(began, began.Add(time.Second))
	inTouch, silent := contacts(launch.Contact{InTouch: true}), contacts(launch.Contact{})
	is.True(le.Next(began, taskAt(0), inTouch).Anywhere)
	is.Equal(le.Next(began.Add(20*time.Second), taskAt(0), silent), launch.Choice{Worker: "w"})
	is.Equal(le.ArrivesUntil(began, "w", taskAt(0)), began.Add(launch.MaxDelay))
	ca.See()
	is.True(le.ArrivesUntil(began, "w", taskAt(0)).IsZero())
	is.True(le.Next(began, taskAt(0), silent).Anywhere)
}

// TestAdoptedCallThatIsMadeAgain guards against a successor that makes a start again, loses
// its reply, too, and then takes its worker for another incarnation than the one it called.
func TestAdoptedCallThatIsMadeAgain(t *testing.T) {
	is := is.New(t)
	le := &launch.Ledger{}
	ca := le.Begin("w", taskAt(0), 1)
	ca.Adopt(began, began)
	ca.Send(began, 7)
	ca.Return(began.Add(time.Second), true, 2)
	inTouch := contacts(launch.Contact{InTouch: true, Born: 7, HeardAt: began.Add(2 * time.Second)})
	is.Equal(le.Next(began.Add(2*time.Second), taskAt(0), inTouch), launch.Choice{Worker: "w"})
}

// TestWithdrawnOnce guards against giving up a call that is not open, or twice.
func TestWithdrawnOnce(t *testing.T) {
	is := is.New(t)
	le := &launch.Ledger{}
	ca := le.Begin("w", taskAt(0), 1)
	is.True(!ca.Withdraw())
	ca.Send(began, 1)
	is.True(ca.Withdraw())
	is.True(!ca.Withdraw())
	ca.Return(began, false, 1)
	is.True(!ca.Settled())
	is.Equal(le.Find("w", taskAt(0), 1), ca)
	is.True(!le.MayBar(began.Add(launch.MaxDelay+launch.MaxLease), taskAt(0)))
}

// TestOnlyCopyThatRanIsSettled guards against waiting for a call without a reply whose only
// copy was carried out, as a list of its worker has shown before or after the call returned.
func TestOnlyCopyThatRanIsSettled(t *testing.T) {
	is := is.New(t)
	for _, seenFirst := range []bool{false, true} {
		le := &launch.Ledger{}
		ca := le.Begin("w", taskAt(0), 1)
		ca.Send(began, 1)
		if seenFirst {
			ca.See()
		}
		ca.Return(began, false, 1)
		ca.See()
		is.True(ca.Settled())
		ca.Send(began, 1)
		is.True(!ca.Settled())
	}
}

// TestNoCopyBesideNextAttempt generates calls with the times at which their copies truly
// arrive at a worker that stays silent. It guards against a next attempt elsewhere before
// the last copy has arrived and its lease is over.
func TestNoCopyBesideNextAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		le := &launch.Ledger{}
		now, free := began, began
		for i := range rapid.IntRange(1, 5).Draw(t, "calls") {
			ca := le.Begin("w", taskAt(0), i+1)
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				ca.Send(now, 1)
				settled := rapid.Bool().Draw(t, "settled")
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				lost := 0
				if !settled {
					lost = 2
				}
				ca.Return(now, true, lost)
				if !settled { // the second copy was sent at any time until then
					free = now.Add(launch.MaxDelay + launch.MaxLease)
				}
			}
		}
		at := now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "later")) * time.Millisecond)
		silent := contacts(launch.Contact{HeardAt: began})
		if got := le.Next(at, taskAt(0), silent).Anywhere; got == at.Before(free) {
			t.Fatalf("anywhere is %v %v after the last start, a copy may run until %v after it", got, at.Sub(now), free.Sub(now))
		}
	})
}
