package wksim_test

import (
	"errors"
	"flag"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/fakes/wksim"
	"github.com/cicadawharf/cicadawharf/internal/worker"
)

const (
	lease             = time.Minute
	checkpointTimeout = time.Second
)

var (
	start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	first = worker.TaskID{Job: "centro.a", Attempt: 1}
	other = worker.TaskID{Job: "centro.b", Attempt: 1}
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260301"); err != nil {
		panic(err)
	}
	m.Run()
}

func newTable() *wksim.Table {
	return wksim.NewTable(wksim.TableConfig{Worker: "w", Incarnation: "b1", Accelerators: 8, UsageLag: 5 * time.Second})
}

func reserve(id worker.TaskID, accelerators int) worker.Command {
	return worker.Command{Op: worker.OpReserve, Task: id, Accelerators: accelerators, Lease: lease}
}

func run(id worker.TaskID, command ...string) worker.Command {
	return worker.Command{Op: worker.OpStart, Task: id, Command: command}
}

func stop(id worker.TaskID, timeout time.Duration) worker.Command {
	return worker.Command{Op: worker.OpStop, Task: id, CheckpointTimeout: timeout}
}

func command(op worker.Op, id worker.TaskID) worker.Command { return worker.Command{Op: op, Task: id} }

// TestCommands performs commands one second apart and checks the result of
// the last one and the first row of the table after a further delay.
func TestCommands(t *testing.T) {
	throttle := worker.Command{Op: worker.OpThrottle, Task: first, Rate: 0.5}
	tests := []struct {
		name       string
		commands   []worker.Command
		after      time.Duration
		reason     string
		phase      worker.Phase // empty for an empty table
		runtime    time.Duration
		checkpoint bool
	}{
		{"reserve", []worker.Command{reserve(first, 8)}, 0, "", worker.PhaseReserved, 0, false},
		{"reserve again", []worker.Command{reserve(first, 8), reserve(first, 8)}, 0, "", worker.PhaseReserved, 0, false},
		{"no capacity", []worker.Command{reserve(first, 5), reserve(other, 4)}, 0, worker.ReasonNoCapacity, worker.PhaseReserved, 0, false},
		{"reservation expires", []worker.Command{reserve(first, 8)}, lease, "", worker.PhaseExpired, 0, false},
		{"expired can't start", []worker.Command{
			{Op: worker.OpReserve, Task: first, Lease: time.Millisecond}, run(first, "forever"),
		}, 0, worker.ReasonEnded, worker.PhaseExpired, 0, false},
		{"start unreserved", []worker.Command{run(first, "forever")}, 0, worker.ReasonNoTask, "", 0, false},
		{"sleep", []worker.Command{reserve(first, 1), run(first, "sleep", "2s")}, 2 * time.Second, "", worker.PhaseSucceeded, 2 * time.Second, false},
		{"fail", []worker.Command{reserve(first, 1), run(first, "fail", "2s")}, time.Hour, "", worker.PhaseFailed, 2 * time.Second, false},
		{"exit zero", []worker.Command{reserve(first, 1), run(first, "exit", "0")}, 0, "", worker.PhaseSucceeded, 0, false},
		{"exit status", []worker.Command{reserve(first, 1), run(first, "exit", "3")}, 0, "", worker.PhaseFailed, 0, false},
		{"a user's program", []worker.Command{reserve(first, 1), run(first, "appraise", "--lot", "7")}, 2 * time.Second, "", worker.PhaseSucceeded, 2 * time.Second, false},
		{"sleep with two durations", []worker.Command{reserve(first, 1), run(first, "sleep", "2s", "3s")}, 0, "", worker.PhaseFailed, 0, false},
		{"forever with an argument", []worker.Command{reserve(first, 1), run(first, "forever", "2s")}, 0, "", worker.PhaseFailed, 0, false},
		{"no command", []worker.Command{reserve(first, 1), run(first)}, 0, "", worker.PhaseFailed, 0, false},
		{"running task expires", []worker.Command{reserve(first, 1), run(first, "forever")}, lease, "", worker.PhaseExpired, lease - time.Second, false},
		{"start again", []worker.Command{reserve(first, 1), run(first, "sleep", "2s"), run(first, "sleep", "2s")}, time.Second, "", worker.PhaseSucceeded, 2 * time.Second, false},
		{"release", []worker.Command{reserve(first, 8), command(worker.OpRelease, first)}, 0, "", "", 0, false},
		{"release started", []worker.Command{reserve(first, 8), run(first, "forever"), command(worker.OpRelease, first)}, 0, worker.ReasonActive, worker.PhaseRunning, time.Second, false},
		{"stop reserved", []worker.Command{reserve(first, 8), stop(first, 0)}, 0, "", worker.PhaseStopped, 0, false},
		{"stop at once", []worker.Command{reserve(first, 8), run(first, "forever"), stop(first, 0)}, 0, "", worker.PhaseStopped, time.Second, false},
		{"stopping", []worker.Command{reserve(first, 8), run(first, "forever"), stop(first, checkpointTimeout)}, 100 * time.Millisecond, "", worker.PhaseStopping, 1100 * time.Millisecond, false},
		{"checkpoint", []worker.Command{reserve(first, 8), run(first, "forever"), stop(first, checkpointTimeout)}, checkpointTimeout, "", worker.PhaseStopped, 1200 * time.Millisecond, true},
		{"checkpoint too slow", []worker.Command{reserve(first, 8), run(first, "forever", "checkpoint=1h"), stop(first, checkpointTimeout)}, checkpointTimeout, "", worker.PhaseStopped, 2 * time.Second, false},
		{"ack active", []worker.Command{reserve(first, 8), command(worker.OpAck, first)}, 0, worker.ReasonActive, worker.PhaseReserved, 0, false},
		{"ack ended", []worker.Command{reserve(first, 8), stop(first, 0), command(worker.OpAck, first)}, 0, "", "", 0, false},
		{"throttle", []worker.Command{reserve(first, 8), run(first, "sleep", "3s"), throttle}, time.Hour, "", worker.PhaseSucceeded, 5 * time.Second, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			now := start
			var reply worker.Reply
			for i, cm := range tc.commands {
				now = start.Add(time.Duration(i) * time.Second)
				var err error
				reply, err = tb.Apply(now, worker.Request{Epoch: 1, Commands: []worker.Command{cm}})
				is.NoErr(err)
			}
			is.Equal(reply.Results, []worker.Result{{OK: tc.reason == "", Reason: tc.reason}})
			now = tb.Advance(now.Add(tc.after))
			rows := tb.Tasks(now)
			if tc.phase == "" {
				is.Equal(len(rows), 0)
				return
			}
			is.Equal(rows[0].Phase, tc.phase)
			is.Equal(rows[0].Runtime, tc.runtime)
			is.Equal(rows[0].Checkpointed, tc.checkpoint)
		})
	}
}

func TestMalformedCallsAreRejected(t *testing.T) {
	tests := map[string]worker.Request{
		"epoch":                  {},
		"wait":                   {Epoch: 1, Wait: -1},
		"op":                     {Epoch: 1, Commands: []worker.Command{command("fly", first)}},
		"job":                    {Epoch: 1, Commands: []worker.Command{command(worker.OpStart, worker.TaskID{})}},
		"no lease":               {Epoch: 1, Commands: []worker.Command{command(worker.OpReserve, first)}},
		"rate":                   {Epoch: 1, Commands: []worker.Command{{Op: worker.OpThrottle, Task: first, Rate: 2}}},
		"second of two commands": {Epoch: 1, Commands: []worker.Command{reserve(first, 1), command("fly", first)}},
	}
	for name, req := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			_, err := tb.Apply(start, req)
			is.True(errors.Is(err, worker.ErrRefused))
			is.Equal(len(tb.Tasks(start)), 0)
		})
	}
}

func TestRenewalExtendsLease(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	_, err := tb.Apply(start, worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 4)}})
	is.NoErr(err)
	renewed := start.Add(lease / 2)
	_, err = tb.Apply(renewed, worker.Request{Epoch: 1, Lease: lease})
	is.NoErr(err)
	_, err = tb.Apply(renewed, worker.Request{Epoch: 1, Lease: time.Nanosecond}) // a shorter lease doesn't move the end back
	is.NoErr(err)
	is.Equal(tb.Tasks(tb.Advance(renewed.Add(lease - 1)))[0].Phase, worker.PhaseReserved)
	is.Equal(tb.Tasks(tb.Advance(renewed.Add(lease)))[0].Phase, worker.PhaseExpired)
}

// TestLeaseStartsWhenCallWasSent delivers a reservation, sent when the worker's
// clock read 10 s, at various times. A lease counted from its arrival would hold
// accelerators for longer than the scheduler assumes.
func TestLeaseStartsWhenCallWasSent(t *testing.T) {
	const sent = 10 * time.Second
	tests := []struct {
		name        string
		incarnation string
		arrives     time.Duration // by the worker's clock
		reason      string
		ends        time.Duration
	}{
		{"in time", "b1", sent + time.Second, "", sent + lease},
		{"clock estimated too high", "b1", sent - time.Second, "", sent - time.Second + lease},
		{"at the end of its lease", "b1", sent + lease, worker.ReasonLate, 0},
		{"of another incarnation", "b0", sent, worker.ReasonLate, 0},
		{"without a clock", "", sent + lease, "", sent + 2*lease},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			tb.Advance(start)
			reply, err := tb.Apply(start.Add(tc.arrives), worker.Request{
				Epoch: 1, Incarnation: tc.incarnation, Sent: sent, Commands: []worker.Command{reserve(first, 4)},
			})
			is.NoErr(err)
			is.Equal(reply.Clock, tc.arrives)
			is.Equal(reply.Results[0].Reason, tc.reason)
			at, held := tb.Next()
			is.Equal(held, tc.reason == "")
			is.True(!held || at.Equal(start.Add(tc.ends)))
		})
	}
}

func TestUsageIsReportedWithLag(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	_, err := tb.Apply(start, worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 4), run(first, "forever")}})
	is.NoErr(err)
	is.Equal(tb.Tasks(start.Add(4 * time.Second))[0].Usage, 0.0)
	is.Equal(tb.Tasks(start.Add(5 * time.Second))[0].Usage, 4.0)
}

func TestDrainingKeepsReservations(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	_, err := tb.Apply(start, worker.Request{Epoch: 1, Commands: []worker.Command{reserve(first, 1)}})
	is.NoErr(err)
	tb.SetDraining(true)
	reply, err := tb.Apply(start, worker.Request{Epoch: 1, Commands: []worker.Command{
		reserve(other, 1), reserve(first, 1), run(first, "forever"),
	}})
	is.NoErr(err)
	is.True(reply.Draining)
	is.Equal(reply.Results, []worker.Result{{Reason: worker.ReasonDraining}, {OK: true}, {OK: true}})
}

func TestRunsSurviveAckAndRestart(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	_, err := tb.Apply(start, worker.Request{Epoch: 4, Commands: []worker.Command{
		reserve(first, 1), run(first, "exit", "0"), command(worker.OpAck, first), reserve(other, 1), run(other, "forever"),
	}})
	is.NoErr(err)
	tb.Restart(start.Add(time.Second), "b2", false)
	runs := tb.Runs()
	is.Equal(len(runs), 2)
	is.Equal(runs[0].Phase, worker.PhaseSucceeded)
	is.Equal(runs[1].Phase, worker.PhaseFailed)
	is.Equal(runs[1].Ended, start.Add(time.Second))
	reply, err := tb.Apply(start, worker.Request{Epoch: 3})
	is.True(errors.Is(err, worker.ErrStaleEpoch))
	is.Equal(reply.Epoch, int64(4))
	is.Equal(reply.Incarnation, "b2")
}

func TestOverlaps(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	task := func(attempt, index, from, to int) wksim.Run {
		rn := wksim.Run{Task: worker.TaskID{Job: "j", Attempt: attempt, Index: index}, Started: at(from)}
		if to > 0 {
			rn.Ended = at(to)
		}
		return rn
	}
	tests := []struct {
		name string
		runs []wksim.Run
		want int
	}{
		{"gang", []wksim.Run{task(1, 0, 0, 5), task(1, 1, 0, 5)}, 0},
		{"in turn", []wksim.Run{task(1, 0, 0, 5), task(2, 0, 5, 9)}, 0},
		{"same task", []wksim.Run{task(1, 0, 0, 5), task(1, 0, 4, 9)}, 1},
		{"two attempts", []wksim.Run{task(1, 0, 0, 5), task(2, 1, 4, 9)}, 1},
		{"first never ends", []wksim.Run{task(1, 0, 0, 0), task(2, 0, 50, 60)}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(len(wksim.Overlaps(tc.runs)), tc.want)
		})
	}
}

// TestTableProperties performs random calls and checks the invariants of the
// package after each.
func TestTableProperties(t *testing.T) {
	ids := []worker.TaskID{first, other, {Job: "centro.a", Attempt: 2}, {Job: "centro.a", Attempt: 1, Index: 1}}
	command := rapid.Custom(func(rt *rapid.T) worker.Command {
		return worker.Command{
			Op: rapid.SampledFrom([]worker.Op{
				worker.OpReserve, worker.OpReserve, worker.OpStart, worker.OpStart,
				worker.OpRelease, worker.OpStop, worker.OpAck, worker.OpThrottle,
			}).Draw(rt, "op"),
			Task:              rapid.SampledFrom(ids).Draw(rt, "task"),
			Accelerators:      rapid.IntRange(0, 8).Draw(rt, "accelerators"),
			Lease:             time.Duration(rapid.IntRange(1, 20).Draw(rt, "lease")) * time.Second,
			CheckpointTimeout: time.Duration(rapid.IntRange(0, 2).Draw(rt, "checkpoint timeout")) * time.Second,
			Rate:              rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "rate"),
			Command:           rapid.SampledFrom([][]string{{"sleep", "3s"}, {"fail", "1s"}, {"forever"}, {"exit", "3"}}).Draw(rt, "command"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		tb := newTable()
		now, epoch := start, int64(1)
		rt.Repeat(map[string]func(*rapid.T){
			"call": func(rt *rapid.T) {
				req := worker.Request{Epoch: rapid.Int64Range(1, 5).Draw(rt, "epoch"), Commands: rapid.SliceOfN(command, 0, 4).Draw(rt, "commands")}
				before, runs := tb.Tasks(now), tb.Runs()
				reply, err := tb.Apply(now, req)
				is.True(reply.Epoch >= epoch) // the epoch never decreases
				if req.Epoch < epoch {
					is.True(errors.Is(err, worker.ErrStaleEpoch))
					is.True(reflect.DeepEqual(before, tb.Tasks(now)))
					is.True(reflect.DeepEqual(runs, tb.Runs()))
				}
				epoch = reply.Epoch
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "millis")) * time.Millisecond)
				tb.Advance(now)
				at, changes := tb.Next()
				is.True(!changes || at.After(now)) // Advance has applied every change that was due
			},
			"": func(*rapid.T) {
				held := 0
				for _, ta := range tb.Tasks(now) {
					if !ta.Phase.Ended() {
						held += ta.Accelerators
					}
				}
				is.True(held <= 8)
				is.Equal(tb.Free(), 8-held)
				if _, changes := tb.Next(); !changes {
					is.Equal(held, 0) // every task that holds accelerators has a finite lease
				}
			},
		})
		at, _ := tb.Next()
		tb.Advance(at.Add(time.Hour))
		is.Equal(tb.Free(), 8)
	})
}
