package report

import (
	"fmt"
	"time"
	_ "time/tzdata" // hosts without time zone files must use the same days

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Day is one day in the time zone of the declarations.
type Day struct {
	Name  string // in the format 2006-01-02
	Start time.Time
	End   time.Time // start of the next day
}

const (
	// DayFormat is the layout of Day.Name.
	DayFormat = time.DateOnly

	// retainDays is the number of days before the current one whose counters
	// are kept.
	retainDays = 2

	// transitionStep is a unit of time zone transitions: every change of a UTC
	// offset is a multiple of it.
	transitionStep = 15 * time.Minute
)

// Location returns the time zone of the declarations, or UTC if there are none.
// The error reports an unknown time zone. Location loads the time zone's table,
// so callers in the request path must cache the result.
func Location(de *spec.Declarations) (*time.Location, error) {
	if de == nil {
		return time.UTC, nil
	}
	return time.LoadLocation(de.TimeZone)
}

// DayOf returns the name of the day that contains a moment.
func DayOf(at time.Time, loc *time.Location) string { return at.In(loc).Format(DayFormat) }

// ParseDay returns the day with a name. The error reports a name that isn't in the
// format DayFormat.
func ParseDay(name string, loc *time.Location) (Day, error) {
	at, err := time.Parse(DayFormat, name)
	if err != nil {
		return Day{}, fmt.Errorf("day %q is not in the format 2006-01-02", name)
	}
	next := at.AddDate(0, 0, 1)
	return Day{Name: name, Start: startOfDay(at, loc), End: startOfDay(next, loc)}, nil
}

// startOfDay returns the first moment of a date. Where the clock is set forward
// at midnight, the day begins later than 00:00.
func startOfDay(date time.Time, loc *time.Location) time.Time {
	name := date.Format(DayFormat)
	at := time.Date(date.Year(), date.Month(), date.Day(), 0, 0, 0, 0, loc)
	for DayOf(at, loc) < name {
		at = at.Add(transitionStep)
	}
	return at
}

// Elapsed returns the duration of the part of the day before now.
func (da Day) Elapsed(now time.Time) time.Duration {
	return da.overlap(da.Start, now)
}

// overlap returns the duration of the part of the day between two moments.
func (da Day) overlap(from, to time.Time) time.Duration {
	if from.Before(da.Start) {
		from = da.Start
	}
	if to.After(da.End) {
		to = da.End
	}
	return max(to.Sub(from), 0)
}

// oldestRetainedDay returns the name of the first day whose counters are kept.
func oldestRetainedDay(now time.Time, loc *time.Location) string {
	return now.In(loc).AddDate(0, 0, -retainDays).Format(DayFormat)
}
