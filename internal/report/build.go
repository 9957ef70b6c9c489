package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/wire"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// Input is the input of Build.
	Input struct {
		Accounts     []*wire.Account // duplicate and stale copies are harmless
		Jobs         []jobs.Record   // of every zone, of any day
		Declarations *spec.Declarations
		Missing      []string // hosts, zones and archives that couldn't be read
		Now          time.Time
		Since        time.Time // when the first declarations were applied; zero if unknown
	}

	// builder accumulates the rows of a report.
	builder struct {
		day  Day
		in   Input
		rows map[sumKey]*rowSum
	}

	// sumKey identifies a row of the report.
	sumKey struct {
		workspace string
		service   string
	}

	// rowSum is a row whose code counts aren't sorted yet.
	rowSum struct {
		Row
		ended map[codes.Code]int64
	}
)

// abandonAfter is the time without a snapshot after which the requests in
// progress on a host are counted as unknown. It is the longest timeout that
// the declarations may give a service, so none of them is still running.
const abandonAfter = time.Hour

// Build returns the report of a day.
func Build(day Day, in Input) Daily {
	bu := &builder{day: day, in: in, rows: make(map[sumKey]*rowSum)}
	accounts := bu.mergedAccounts()
	for _, ac := range accounts {
		bu.addAccount(ac, accounts)
	}
	for _, rc := range in.Jobs {
		bu.addJob(rc)
	}
	da := Daily{Day: day.Name, Until: minTime(in.Now, day.End), Rows: bu.sortedRows()}
	da.TimeZone = day.Start.Location().String()
	da.Outcomes = sumOutcomes(da.Rows)
	da.Usage = sumUsage(da.Rows)
	da.Fleet = bu.fleet()
	da.Gaps = bu.gaps(accounts)
	return da
}

// mergedAccounts returns one account for each incarnation of a host, with its rows
// of the day.
func (bu *builder) mergedAccounts() []*wire.Account {
	acs := NewAccountStore()
	for _, ac := range bu.in.Accounts {
		acs.Merge(ac)
	}
	return acs.Accounts(bu.day.Name)
}

// addAccount adds the rows of an account. Work without an outcome counts as unknown
// if the host has ended or has sent no snapshot for abandonAfter, else as in
// progress.
func (bu *builder) addAccount(ac *wire.Account, all []*wire.Account) {
	ended := isReplaced(ac, all) || bu.sinceSnapshot(ac) > abandonAfter && !isClosed(ac)
	for _, wr := range ac.GetRows() {
		su := bu.row(wr.GetWorkspace(), wr.GetService())
		su.Offered += wr.GetOffered()
		su.SlotTime += TextDuration(wr.GetSlotNanos())
		su.RegionBytes += wr.GetRegionBytes()
		su.Repeats += wr.GetRepeats()
		open := wr.GetOffered()
		for cd, n := range wr.GetEnded() {
			su.addEnded(codes.Code(cd), n)
			open -= n
		}
		if ended || isClosed(ac) {
			su.addEnded(codes.OutcomeUnknown, open)
		} else {
			su.InProgress += open
		}
	}
}

// addJob adds a job to the row of its workspace if it was submitted on the day.
func (bu *builder) addJob(rc jobs.Record) {
	if rc.Submitted.Before(bu.day.Start) || !rc.Submitted.Before(bu.day.End) {
		return
	}
	su := bu.row(rc.Workspace, "")
	su.Offered++
	if rc.UsesAccelerators() {
		su.Held += TextDuration(rc.AcceleratorTime)
		su.Lost += TextDuration(rc.LostTime)
		su.Reclaimed += TextDuration(rc.PreemptedTime)
	}
	su.QueueTime += TextDuration(rc.QueueTime(bu.in.Now))
	su.Repeats += int64(max(rc.Attempt-1-rc.Step, 0))
	switch {
	case rc.Active():
		su.InProgress++
	case rc.Code.Class() == codes.InProgress:
		su.addEnded(codes.InternalFailure, 1)
	default:
		su.addEnded(rc.Code, 1)
	}
}

func (bu *builder) row(workspace, service string) *rowSum {
	key := sumKey{workspace: workspace, service: service}
	su := bu.rows[key]
	if su == nil {
		su = &rowSum{Row: Row{Workspace: workspace, Service: service}, ended: make(map[codes.Code]int64)}
		bu.rows[key] = su
	}
	return su
}

// addEnded counts n pieces of work that ended with a code.
func (su *rowSum) addEnded(cd codes.Code, n int64) {
	if n == 0 {
		return
	}
	su.ended[cd] += n
	switch cd.Class() {
	case codes.Done:
		su.Done += n
	case codes.Failed:
		su.Failed += n
	case codes.NotRun:
		su.NotRun += n
	default:
		su.Unknown += n
	}
}

func (bu *builder) sortedRows() []Row {
	rows := make([]Row, 0, len(bu.rows))
	for _, su := range bu.rows {
		su.Codes = countCodes(su.ended)
		rows = append(rows, su.Row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
	return rows
}

// fleet sums the accelerator time that jobs used on the day.
func (bu *builder) fleet() Fleet {
	var fl Fleet
	if bu.in.Declarations != nil {
		for _, zn := range bu.in.Declarations.Zones {
			for _, rk := range zn.Racks {
				fl.Accelerators += rk.Workers * rk.Accelerators
			}
		}
	}
	fl.Available = TextDuration(bu.day.overlap(bu.in.Since, bu.in.Now)) * TextDuration(fl.Accelerators)
	for _, rc := range bu.in.Jobs {
		fl.Busy += TextDuration(bu.busyTime(rc))
	}
	fl.Idle = max(fl.Available-fl.Busy, 0)
	return fl
}

// busyTime returns the accelerator time that a job used on the day. That of the
// last attempt is exact; the rest of the held time is spread evenly.
func (bu *builder) busyTime(rc jobs.Record) time.Duration {
	total := time.Duration(rc.CurrentStep().Shape.Total())
	if rc.Started.IsZero() || !rc.UsesAccelerators() {
		return 0
	}
	switch rc.State {
	case jobs.Starting, jobs.Running, jobs.Stopping:
		last := bu.day.overlap(rc.Started, bu.in.Now) * total
		return last + bu.spread(rc.AcceleratorTime, rc.Submitted, rc.Started)
	case jobs.Ended:
		last := max(rc.Ended.Sub(rc.Started), 0) * total
		if last > rc.AcceleratorTime { // it was queued again after its last attempt
			return bu.spread(rc.AcceleratorTime, rc.Submitted, rc.Ended)
		}
		return bu.day.overlap(rc.Started, rc.Ended)*total + bu.spread(rc.AcceleratorTime-last, rc.Submitted, rc.Started)
	default:
		return bu.spread(rc.AcceleratorTime, rc.Submitted, bu.in.Now)
	}
}

// spread returns the part of held that falls on the day, if it was held evenly
// between two moments.
func (bu *builder) spread(held time.Duration, from, to time.Time) time.Duration {
	period := to.Sub(from)
	if held <= 0 || period <= 0 {
		return 0
	}
	return time.Duration(float64(held) * float64(bu.day.overlap(from, to)) / float64(period))
}

// gaps returns the hosts whose counters of the day may be incomplete. A host that
// has no rows of the day and whose last snapshot was before it is left out, and so
// is one whose last snapshot was after it, since that is complete for the day.
func (bu *builder) gaps(accounts []*wire.Account) []Gap {
	var gs []Gap
	known := make(map[string]bool)
	for _, ac := range accounts {
		known[ac.GetHost()] = true
		at := time.Unix(0, ac.GetAtNanos())
		ofDay := len(ac.GetRows()) > 0 || !at.Before(bu.day.Start)
		if isClosed(ac) || bu.sinceSnapshot(ac) <= SnapshotEvery || !ofDay || !at.Before(bu.day.End) {
			continue
		}
		gs = append(gs, Gap{
			Host: ac.GetHost(), Zone: ac.GetZone(), Last: at.In(bu.day.Start.Location()),
			AtMost: TextDuration(SnapshotEvery), Replaced: isReplaced(ac, accounts),
		})
	}
	for _, name := range bu.in.Missing {
		if !known[name] {
			gs = append(gs, Gap{Host: name, AtMost: TextDuration(bu.day.Elapsed(bu.in.Now))})
		}
	}
	slices.SortStableFunc(gs, func(a, b Gap) int { return cmp.Compare(a.Host, b.Host) })
	return gs
}

// sinceSnapshot returns the time since the last snapshot of an account.
func (bu *builder) sinceSnapshot(ac *wire.Account) time.Duration {
	return bu.in.Now.Sub(time.Unix(0, ac.GetAtNanos()))
}

// isClosed reports whether an account is complete, because its host has shut down
// gracefully.
func isClosed(ac *wire.Account) bool { return ac.GetSequence() == closedSequence }

// isReplaced reports whether a later incarnation of the host is known.
func isReplaced(ac *wire.Account, all []*wire.Account) bool {
	for _, ot := range all {
		if ot.GetHost() == ac.GetHost() && ot.GetIncarnation() > ac.GetIncarnation() {
			return true
		}
	}
	return false
}

// countCodes converts counts by code to a sorted list.
func countCodes(ended map[codes.Code]int64) []CodeCount {
	var cs []CodeCount
	for cd, n := range ended {
		cs = append(cs, CodeCount{Code: cd, Name: cd.Info().Name, Class: cd.Class(), Count: n})
	}
	slices.SortFunc(cs, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return cs
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
