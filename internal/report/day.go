package report

import (
	"fmt"
	"time"
	_ "time/tzdata" // days must be cut alike on hosts without time zone files

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Day is one day in the time zone of the declarations.
type Day struct {
	Name  string // as 2006-01-02
	Start time.Time
	End   time.Time // of the day; the first moment of the next
}

const (
	// DayFormat is the layout of the names of days.
	DayFormat = time.DateOnly

	// retainDays is for how many days before the present one counters are
	// kept.
	retainDays = 2

	// transitionStep divides every shift of a time zone's offset.
	transitionStep = 15 * time.Minute
)

// Location returns the time zone of the declarations, UTC if none is named.
// It reads the time zone's table; callers on the path of requests keep it.
func Location(de *spec.Declarations) (*time.Location, error) {
	if de == nil {
		return time.UTC, nil
	}
	return time.LoadLocation(de.TimeZone)
}

// DayOf returns the name of the day on which a moment falls.
func DayOf(at time.Time, loc *time.Location) string { return at.In(loc).Format(DayFormat) }

// ParseDay returns the day of a name.
func ParseDay(name string, loc *time.Location) (Day, error) {
	at, err := time.Parse(DayFormat, name)
	if err != nil {
		return Day{}, fmt.Errorf("day %q is not of the form 2006-01-02", name)
	}
	next := at.AddDate(0, 0, 1)
	return Day{Name: name, Start: startOfDay(at, loc), End: startOfDay(next, loc)}, nil
}

// startOfDay returns the first moment of a date. Where the clock is put forward
// at startOfDay, the day begins later than at zero o'clock.
func startOfDay(date time.Time, loc *time.Location) time.Time {
	name := date.Format(DayFormat)
	at := time.Date(date.Year(), date.Month(), date.Day(), 0, 0, 0, 0, loc)
	for DayOf(at, loc) < name {
		at = at.Add(transitionStep)
	}
	return at
}

// Span returns the part of the day that has passed.
func (da Day) Span(now time.Time) time.Duration {
	return da.overlap(da.Start, now)
}

// overlap returns how much of the time between two moments is of the day.
func (da Day) overlap(from, to time.Time) time.Duration {
	if from.Before(da.Start) {
		from = da.Start
	}
	if to.After(da.End) {
		to = da.End
	}
	return max(to.Sub(from), 0)
}

func oldestRetainedDay(now time.Time, loc *time.Location) string {
	return now.In(loc).AddDate(0, 0, -retainDays).Format(DayFormat)
}
