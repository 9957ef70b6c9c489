package report_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

var (
	noon     = time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC)
	july1, _ = report.ParseDay("2026-07-01", time.UTC)
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260701"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func account(host string, incarnation uint64) *report.Account {
	return report.NewAccount(report.AccountConfig{Host: host, Zone: "centro", Incarnation: incarnation})
}

func TestOutcomeCountsOnTheDayOfItsOffer(t *testing.T) {
	is := is.New(t)
	loc, err := time.LoadLocation("America/Lima")
	is.NoErr(err)
	ac := report.NewAccount(report.AccountConfig{Host: "h", Location: func() *time.Location { return loc }})
	beforeMidnight := time.Date(2026, 7, 2, 4, 59, 0, 0, time.UTC) // 23:59 in Lima
	wo := ac.Offer(beforeMidnight, "sacos", "price")
	ac.Offer(beforeMidnight.Add(2*time.Minute), "sacos", "price")
	wo.End(report.Outcome{Code: codes.RequestDone, SlotTime: time.Second, RegionBytes: 7, Repeats: 1})
	wo.End(report.Outcome{Code: codes.RequestDone})
	wo = ac.Offer(beforeMidnight, "sacos", "price")
	wo.End(report.Outcome{Code: codes.JobQueued}) // not an outcome
	is.Equal(ac.RejectedEnds(), int64(2))
	rows := ac.Snapshot(noon).GetRows()
	is.Equal(len(rows), 2)
	is.Equal(rows[0].GetDay(), "2026-07-01")
	is.Equal(rows[0].GetOffered(), int64(2))
	is.Equal(rows[0].GetEnded(), map[int32]int64{int32(codes.RequestDone): 1})
	is.Equal(rows[0].GetSlotNanos(), int64(time.Second))
	is.Equal(rows[1].GetDay(), "2026-07-02")
	is.Equal(rows[1].GetOffered(), int64(1))
}

func TestDaysAtClockChanges(t *testing.T) {
	for _, tc := range []struct {
		zone, day string
		hours     float64
	}{
		{"America/Santiago", "2026-07-01", 24},
		{"America/Santiago", "2026-09-06", 23}, // clock set forward at midnight
		{"America/Santiago", "2026-04-04", 25}, // clock set back at midnight
		{"Europe/Berlin", "2026-03-29", 23},
	} {
		t.Run(tc.zone+tc.day, func(t *testing.T) {
			is := is.New(t)
			loc, err := report.Location(&spec.Declarations{TimeZone: tc.zone})
			is.NoErr(err)
			da, err := report.ParseDay(tc.day, loc)
			is.NoErr(err)
			is.Equal(da.End.Sub(da.Start).Hours(), tc.hours)
			is.Equal(report.DayOf(da.Start, loc), tc.day)
			is.True(report.DayOf(da.Start.Add(-time.Nanosecond), loc) < tc.day)
			is.Equal(report.DayOf(da.End.Add(-time.Nanosecond), loc), tc.day)
		})
	}
	_, err := report.ParseDay("yesterday", time.UTC)
	is.New(t).True(err != nil)
}

// TestSnapshotsUnderLoad takes snapshots while requests begin and end. No
// snapshot may have more outcomes than offers.
func TestSnapshotsUnderLoad(t *testing.T) {
	is := is.New(t)
	ac := account("h", 1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 5000 {
				ac.Offer(noon, "w", "s").End(report.Outcome{Code: codes.RequestDone})
			}
		})
	}
	acs := report.NewAccountStore()
	for range 200 {
		for _, wr := range ac.Snapshot(noon).GetRows() {
			is.True(wr.GetEnded()[int32(codes.RequestDone)] <= wr.GetOffered())
		}
		acs.Merge(ac.Snapshot(noon))
	}
	wg.Wait()
	acs.Merge(ac.Close(noon))
	da := report.Build(july1, report.Input{Accounts: acs.Accounts("2026-07-01"), Now: noon})
	is.NoErr(da.Check())
	is.Equal(da.Rows[0].Done, int64(8*5000))
}

func TestRowCountIsLimited(t *testing.T) {
	is := is.New(t)
	ac := account("h", 1)
	for i := range 20000 {
		ac.Offer(noon, strings.Repeat("w", i%7)+time.Duration(i).String(), "s")
	}
	rows := ac.Snapshot(noon).GetRows()
	is.True(len(rows) < 10000)
	sum := int64(0)
	for _, wr := range rows {
		sum += wr.GetOffered()
	}
	is.Equal(sum, int64(20000))
	ac.Forget(noon.AddDate(0, 0, 5))
	is.Equal(len(ac.Snapshot(noon).GetRows()), 0)
}

// TestMergeInAnyOrder lets hosts count work, send copies and restart. Whatever
// the order in which the copies are merged, no copied count is lost or counted
// twice.
func TestMergeInAnyOrder(t *testing.T) {
	outcomes := []codes.Code{codes.RequestDone, codes.EndpointError, codes.Overloaded, codes.OutcomeUnknown}
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		hosts := []*report.Account{account("a", 1), account("b", 1), account("b", 2)}
		openWork := make([][]*report.Work, len(hosts))
		var copies []*wire.Account
		offered, ended := int64(0), int64(0)
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			idx := rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				openWork[idx] = append(openWork[idx], hosts[idx].Offer(noon, rapid.SampledFrom([]string{"v", "w"}).Draw(rt, "workspace"), "s"))
				offered++
			case 1:
				if n := len(openWork[idx]); n > 0 {
					openWork[idx][n-1].End(report.Outcome{Code: rapid.SampledFrom(outcomes).Draw(rt, "code"), Repeats: 1})
					openWork[idx] = openWork[idx][:n-1]
					ended++
				}
			default:
				copies = append(copies, hosts[idx].Snapshot(noon))
			}
		}
		stale := rapid.SampledFrom(append(copies, hosts[0].Snapshot(noon))).Draw(rt, "stale")
		for _, ac := range hosts {
			copies = append(copies, ac.Snapshot(noon))
		}
		acs := report.NewAccountStore()
		for i, ac := range rapid.Permutation(append(copies, stale, stale)).Draw(rt, "order") {
			acs.Merge(ac)
			merged := report.Build(july1, report.Input{Accounts: append(acs.Accounts("2026-07-01"), copies[:i%len(copies)]...), Now: noon})
			is.NoErr(merged.Check()) // after every merge
		}
		da := report.Build(july1, report.Input{Accounts: acs.Accounts("2026-07-01"), Now: noon})
		is.NoErr(da.Check())
		var sum report.Row
		for _, rw := range da.Rows {
			sum.Offered += rw.Offered
			sum.InProgress += rw.InProgress
			sum.Unknown += rw.Unknown
			sum.Repeats += rw.Repeats
		}
		is.Equal(sum.Offered, offered)
		is.Equal(sum.Repeats, ended)
		is.Equal(sum.InProgress, int64(len(openWork[0])+len(openWork[2]))) // work of b's first incarnation counts as unknown
	})
}

func exampleInput() report.Input {
	ac := account("h1", 1)
	ac.Offer(noon, "sacos", "price").End(report.Outcome{Code: codes.RequestDone, SlotTime: 2 * time.Second, RegionBytes: 100})
	ac.Offer(noon, "sacos", "price").End(report.Outcome{Code: codes.Overloaded})
	ac.Offer(noon, "sacos", "price")
	ac.Offer(noon, "sacos", "").End(report.Outcome{Code: codes.ShapeNeverFits})
	shape := spec.Shape{Tasks: 2, Accelerators: 8}
	job := func(edit func(*jobs.Record)) jobs.Record {
		rc := jobs.Record{Spec: jobs.Spec{Workspace: "sacos", Shape: shape}, State: jobs.Queued, Submitted: noon.Add(-2 * time.Hour)}
		edit(&rc)
		return rc
	}
	return report.Input{
		Accounts: []*wire.Account{ac.Snapshot(noon)},
		Jobs: []jobs.Record{
			job(func(*jobs.Record) {}),
			job(func(rc *jobs.Record) { // ran for an hour, after an attempt that was cut short
				rc.Started, rc.Attempt = noon.Add(-90*time.Minute), 2
				rc.AcceleratorTime, rc.LostTime = 20*time.Hour, 4*time.Hour
				*rc = rc.WithEnd(noon.Add(-30*time.Minute), codes.JobDone, "")
			}),
			job(func(rc *jobs.Record) { // submitted the day before and still running
				rc.Submitted = july1.Start.Add(-time.Hour)
				rc.Started, rc.Attempt, rc.State = rc.Submitted, 1, jobs.Running
			}),
		},
		Declarations: &spec.Declarations{Zones: []spec.Zone{{Racks: []spec.Rack{{Workers: 4, Accelerators: 8}}}}},
		Missing:      []string{"h9"},
		Now:          noon,
	}
}

func TestBuild(t *testing.T) {
	is := is.New(t)
	da := report.Build(july1, exampleInput())
	is.NoErr(da.Check())
	is.Equal(len(da.Rows), 2)
	jr, pr := da.Rows[0], da.Rows[1]
	is.Equal([]int64{jr.Offered, jr.Done, jr.Failed, jr.NotRun, jr.Unknown, jr.InProgress}, []int64{3, 1, 0, 1, 0, 1})
	is.Equal([]int64{pr.Offered, pr.Done, pr.Failed, pr.NotRun, pr.Unknown, pr.InProgress}, []int64{3, 1, 0, 1, 0, 1})
	is.Equal(jr.Held, report.TextDuration(20*time.Hour))
	is.Equal(jr.Repeats, int64(1))
	is.Equal(da.Outcomes[0].Offered, int64(6))
	is.Equal(da.Outcomes[0].Reasons, []report.CodeCount{
		{Code: codes.Overloaded, Name: "overloaded", Class: codes.NotRun, Count: 1},
		{Code: codes.ShapeNeverFits, Name: "shapeNeverFits", Class: codes.NotRun, Count: 1},
	})
	is.Equal(da.Usage[0].Lost, report.TextDuration(4*time.Hour))
	is.Equal(da.Fleet, report.Fleet{
		Accelerators: 32, Available: report.TextDuration(32 * 12 * time.Hour),
		Busy: report.TextDuration(20*time.Hour + 16*12*time.Hour), Idle: report.TextDuration(32*12*time.Hour - 20*time.Hour - 16*12*time.Hour),
	})
	is.Equal(len(da.Gaps), 1)

	var buf bytes.Buffer
	is.NoErr(da.WriteJSON(&buf))
	var decoded report.Daily
	is.NoErr(json.Unmarshal(buf.Bytes(), &decoded))
	is.NoErr(decoded.Check())
	is.Equal(decoded, da)
	buf.Reset()
	is.NoErr(da.WriteText(&buf))
	is.True(strings.Contains(buf.String(), "No counters received from h9: "))
	is.True(strings.Contains(buf.String(), "4008=1 4017=1"))
}

// TestAvailableTimeBeginsWithTheFirstDeclarations guards against accelerator time
// that is reported as available before the first declarations were applied.
func TestAvailableTimeBeginsWithTheFirstDeclarations(t *testing.T) {
	is := is.New(t)
	in := exampleInput()
	in.Jobs = nil
	in.Since = noon.Add(-5 * time.Second)
	is.Equal(report.Build(july1, in).Fleet.Available, report.TextDuration(32*5*time.Second))
	in.Since = july1.Start.Add(-time.Hour)
	is.Equal(report.Build(july1, in).Fleet.Available, report.TextDuration(32*12*time.Hour))
}

// TestCheckFindsEveryKindOfFault corrupts one count of a report at a time.
func TestCheckFindsEveryKindOfFault(t *testing.T) {
	for name, corrupt := range map[string]func(*report.Daily){
		"offered":  func(da *report.Daily) { da.Rows[0].Offered++ },
		"class":    func(da *report.Daily) { da.Rows[0].Done++; da.Rows[0].InProgress-- },
		"negative": func(da *report.Daily) { da.Rows[0].Unknown--; da.Rows[0].InProgress++ },
		"code":     func(da *report.Daily) { da.Rows[0].Codes[0].Count++ },
		"revenue":  func(da *report.Daily) { da.Outcomes[0].Refused++ },
		"promised": func(da *report.Daily) { da.Outcomes[0].Offered++ },
		"capacity": func(da *report.Daily) { da.Usage[0].SlotTime++ },
		"ran":      func(da *report.Daily) { da.Usage[0].Ran++ },
		"missing":  func(da *report.Daily) { da.Usage = nil },
	} {
		t.Run(name, func(t *testing.T) {
			da := report.Build(july1, exampleInput())
			corrupt(&da)
			is.New(t).True(da.Check() != nil)
		})
	}
}

func TestGapsListHostsThatEnded(t *testing.T) {
	is := is.New(t)
	killed, closed, restarted, old := account("killed", 1), account("closed", 1), account("r", 1), account("old", 1)
	restartedAgain := account("r", 2)
	for _, ac := range []*report.Account{killed, closed, restarted, restartedAgain} {
		ac.Offer(noon, "w", "s")
	}
	before := noon.Add(-time.Minute)
	da := report.Build(july1, report.Input{Now: noon, Accounts: []*wire.Account{
		killed.Snapshot(before), closed.Close(before), restarted.Snapshot(before),
		restartedAgain.Snapshot(noon.Add(-time.Second)), old.Snapshot(july1.Start.Add(-time.Hour)),
	}})
	is.NoErr(da.Check())
	is.Equal(len(da.Gaps), 2)
	is.Equal(da.Gaps[0].Host, "killed")
	is.True(!da.Gaps[0].Replaced)
	is.Equal(da.Gaps[1].Host, "r")
	is.True(da.Gaps[1].Replaced)
	is.Equal(da.Gaps[1].AtMost, report.TextDuration(report.SnapshotEvery))
	is.Equal(da.Rows[0].InProgress, int64(2)) // the killed host may only be partitioned
	is.Equal(da.Rows[0].Unknown, int64(2))
	is.True(strings.Contains(da.Gaps[1].String(), "at most 5 s of counters of host r"))
}
