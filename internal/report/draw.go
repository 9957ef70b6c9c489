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
	// Input is all that a report is drawn from.
	Input struct {
		Accounts     []*wire.Account // doubled and stale copies do no harm
		Jobs         []jobs.Record   // of every zone, of any day
		Declarations *spec.Declarations
		Missing      []string // hosts and zones that could not be asked
		Now          time.Time
		Since        time.Time // when the system began; zero if that is not known
	}

	// drawing collects rows.
	drawing struct {
		day  Day
		in   Input
		rows map[workKey]*rowSum
	}

	workKey struct {
		workspace string
		service   string
	}

	rowSum struct {
		Row
		ended map[codes.Code]int64
	}
)

const (
	// SnapshotEvery is the interval at which hosts copy their accounts to
	// each other.
	SnapshotEvery = 5 * time.Second

	// abandonAfter is the silence after which the requests in progress at a
	// host are given up as unknown. No request may take that long.
	abandonAfter = time.Hour
)

// Draw returns the report of a day.
func Draw(day Day, in Input) Daily {
	dr := &drawing{day: day, in: in, rows: make(map[workKey]*rowSum)}
	accounts := dr.merged()
	for _, ac := range accounts {
		dr.addAccount(ac, accounts)
	}
	for _, rc := range in.Jobs {
		dr.addJob(rc)
	}
	da := Daily{Day: day.Name, Until: earlier(in.Now, day.End), Rows: dr.sorted()}
	da.TimeZone = day.Start.Location().String()
	da.Revenue = readRevenue(da.Rows)
	da.Capacity = readCapacity(da.Rows)
	da.Fleet = dr.fleet()
	da.Gaps = dr.gaps(accounts)
	return da
}

func (dr *drawing) merged() []*wire.Account {
	le := NewLedger()
	for _, ac := range dr.in.Accounts {
		le.Merge(ac)
	}
	return le.Accounts(dr.day.Name)
}

func (dr *drawing) addAccount(ac *wire.Account, all []*wire.Account) {
	dead := replaced(ac, all) || dr.silence(ac) > abandonAfter && !closed(ac)
	for _, wr := range ac.GetRows() {
		su := dr.row(wr.GetWorkspace(), wr.GetService())
		su.Offered += wr.GetOffered()
		su.SlotTime += Span(wr.GetSlotNanos())
		su.RegionBytes += wr.GetRegionBytes()
		su.Repeats += wr.GetRepeats()
		left := wr.GetOffered()
		for cd, n := range wr.GetEnded() {
			su.end(codes.Code(cd), n)
			left -= n
		}
		if dead || closed(ac) {
			su.end(codes.OutcomeUnknown, left)
		} else {
			su.InProgress += left
		}
	}
}

func (dr *drawing) addJob(rc jobs.Record) {
	if rc.Submitted.Before(dr.day.Start) || !rc.Submitted.Before(dr.day.End) {
		return
	}
	su := dr.row(rc.Workspace, "")
	su.Offered++
	if rc.Accelerated() {
		su.Held += Span(rc.Held)
		su.Lost += Span(rc.Lost)
		su.Reclaimed += Span(rc.Reclaimed)
	}
	su.HeldBack += Span(rc.Waiting(dr.in.Now))
	su.Repeats += int64(max(rc.Attempt-1-rc.Step, 0))
	switch {
	case rc.Active():
		su.InProgress++
	case rc.Code.Class() == codes.InProgress:
		su.end(codes.InternalFailure, 1)
	default:
		su.end(rc.Code, 1)
	}
}

func (dr *drawing) row(workspace, service string) *rowSum {
	key := workKey{workspace: workspace, service: service}
	su := dr.rows[key]
	if su == nil {
		su = &rowSum{Row: Row{Workspace: workspace, Service: service}, ended: make(map[codes.Code]int64)}
		dr.rows[key] = su
	}
	return su
}

// end enters n pieces of work that ended with a code.
func (su *rowSum) end(cd codes.Code, n int64) {
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

func (dr *drawing) sorted() []Row {
	rows := make([]Row, 0, len(dr.rows))
	for _, su := range dr.rows {
		su.Codes = countCodes(su.ended)
		rows = append(rows, su.Row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
	return rows
}

// fleet sums the accelerator time that fell on the day.
func (dr *drawing) fleet() Fleet {
	var fl Fleet
	if dr.in.Declarations != nil {
		for _, zn := range dr.in.Declarations.Zones {
			for _, rk := range zn.Racks {
				fl.Accelerators += rk.Workers * rk.Accelerators
			}
		}
	}
	fl.Available = Span(dr.day.overlap(dr.in.Since, dr.in.Now)) * Span(fl.Accelerators)
	for _, rc := range dr.in.Jobs {
		fl.Busy += Span(dr.busy(rc))
	}
	fl.Idle = max(fl.Available-fl.Busy, 0)
	return fl
}

// busy returns the accelerator time of a job that fell on the day. That of the
// last attempt is exact; what is left of the time held is spread evenly.
func (dr *drawing) busy(rc jobs.Record) time.Duration {
	total := time.Duration(rc.Present().Shape.Total())
	if rc.Started.IsZero() || !rc.Accelerated() {
		return 0
	}
	switch rc.State {
	case jobs.Starting, jobs.Running, jobs.Stopping:
		last := dr.day.overlap(rc.Started, dr.in.Now) * total
		return last + dr.spread(rc.Held, rc.Submitted, rc.Started)
	case jobs.Ended:
		last := max(rc.Ended.Sub(rc.Started), 0) * total
		if last > rc.Held { // it waited again after its last attempt
			return dr.spread(rc.Held, rc.Submitted, rc.Ended)
		}
		return dr.day.overlap(rc.Started, rc.Ended)*total + dr.spread(rc.Held-last, rc.Submitted, rc.Started)
	default:
		return dr.spread(rc.Held, rc.Submitted, dr.in.Now)
	}
}

// spread returns the part of a time held that falls on the day if it was held
// evenly between two moments.
func (dr *drawing) spread(held time.Duration, from, to time.Time) time.Duration {
	span := to.Sub(from)
	if held <= 0 || span <= 0 {
		return 0
	}
	return time.Duration(float64(held) * float64(dr.day.overlap(from, to)) / float64(span))
}

// gaps lists the hosts of which counters may be missing, apart from those
// whose last word came before the day.
func (dr *drawing) gaps(accounts []*wire.Account) []Gap {
	var gs []Gap
	held := make(map[string]bool)
	for _, ac := range accounts {
		held[ac.GetHost()] = true
		at := time.Unix(0, ac.GetAtNanos())
		ofDay := len(ac.GetRows()) > 0 || !at.Before(dr.day.Start)
		if closed(ac) || dr.silence(ac) <= SnapshotEvery || !ofDay || !at.Before(dr.day.End) {
			continue
		}
		gs = append(gs, Gap{
			Host: ac.GetHost(), Zone: ac.GetZone(), Last: at.In(dr.day.Start.Location()),
			AtMost: Span(SnapshotEvery), Replaced: replaced(ac, accounts),
		})
	}
	for _, name := range dr.in.Missing {
		if !held[name] {
			gs = append(gs, Gap{Host: name, AtMost: Span(dr.day.Span(dr.in.Now))})
		}
	}
	slices.SortStableFunc(gs, func(a, b Gap) int { return cmp.Compare(a.Host, b.Host) })
	return gs
}

func (dr *drawing) silence(ac *wire.Account) time.Duration {
	return dr.in.Now.Sub(time.Unix(0, ac.GetAtNanos()))
}

func closed(ac *wire.Account) bool { return ac.GetSequence() == closedSequence }

// replaced tells whether a later incarnation of the same host is known.
func replaced(ac *wire.Account, all []*wire.Account) bool {
	for _, ot := range all {
		if ot.GetHost() == ac.GetHost() && ot.GetIncarnation() > ac.GetIncarnation() {
			return true
		}
	}
	return false
}

func countCodes(ended map[codes.Code]int64) []CodeCount {
	var cs []CodeCount
	for cd, n := range ended {
		cs = append(cs, CodeCount{Code: cd, Name: cd.Info().Name, Class: cd.Class(), Count: n})
	}
	slices.SortFunc(cs, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return cs
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
