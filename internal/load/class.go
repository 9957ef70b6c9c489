package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// schedule generates the arrivals of all classes in order of time.
type schedule struct {
	classes []Class
	rnds    []*rand.Rand    // random source of each class
	due     []time.Duration // next arrival of each class, since began
	began   time.Time
	length  time.Duration // of the run
}

// maxDelay is the maximum service time that a class may request.
const maxDelay = time.Minute

// ParseClass parses and checks a class in the form
// workspace=W,caller=C,rate=R[,priority=P][,delay=D][,repeatable=true|false]. The
// keys may be in any order.
func ParseClass(text string) (Class, error) {
	var cl Class
	var seen []string
	for field := range strings.SplitSeq(text, ",") {
		key, value, ok := strings.Cut(field, "=")
		if !ok || value == "" {
			return cl, merry.Errorf("class %q: %q is not key=value", text, field)
		}
		for _, other := range seen {
			if other == key {
				return cl, merry.Errorf("class %q: %s is given twice", text, key)
			}
		}
		seen = append(seen, key)
		if err := cl.set(key, value); err != nil {
			return cl, merry.Prependf(err, "class %q", text)
		}
	}
	return cl, cl.Check()
}

// set sets the field with the given key. It does not check the range of the value,
// see Check.
func (cl *Class) set(key, value string) error {
	var err error
	switch key {
	case "workspace":
		cl.Workspace = value
	case "caller":
		cl.Caller = value
	case "rate":
		cl.Rate, err = strconv.ParseFloat(value, 64)
	case "priority":
		cl.Priority = value
	case "delay":
		cl.Delay, err = time.ParseDuration(value)
	case "repeatable":
		if value != "true" && value != "false" {
			return merry.Errorf("repeatable %q must be true or false", value)
		}
		repeatable := value == "true"
		cl.Repeatable = &repeatable
	default:
		return merry.Errorf("unknown key %q", key)
	}
	if err != nil {
		return merry.Errorf("%s %q can't be read", key, value)
	}
	return nil
}

// Check returns an error if the class is invalid.
func (cl Class) Check() error {
	_, priority := jobs.ParsePriority(cl.Priority)
	switch {
	case !spec.ValidName(cl.Workspace):
		return merry.Errorf("workspace %q is not a valid name", cl.Workspace)
	case !spec.ValidName(cl.Caller):
		return merry.Errorf("caller %q is not a valid name", cl.Caller)
	case math.IsNaN(cl.Rate) || cl.Rate <= 0 || cl.Rate > MaxRate:
		return merry.Errorf("rate %v must be positive and at most %d", cl.Rate, MaxRate)
	case !priority:
		return merry.Errorf("priority %q must be low, normal or urgent", cl.Priority)
	case cl.Delay < 0 || cl.Delay > maxDelay:
		return merry.Errorf("delay %v must be between 0s and %v", cl.Delay, maxDelay)
	}
	return nil
}

// newSchedule returns the schedule of a run. Each class has a random source of
// its own, so that its arrivals do not depend on the other classes.
func newSchedule(cfg Config, began time.Time) *schedule {
	sc := &schedule{classes: cfg.Classes, began: began, length: cfg.Duration}
	for i := range cfg.Classes {
		sc.rnds = append(sc.rnds, rand.New(rand.NewPCG(cfg.Seed, uint64(i))))
		sc.due = append(sc.due, 0)
		sc.advance(i)
	}
	return sc
}

// next returns the next arrival of any class, and false after the last one.
func (sc *schedule) next() (arrival, bool) {
	first := 0
	for i, du := range sc.due {
		if du < sc.due[first] {
			first = i
		}
	}
	if sc.due[first] >= sc.length {
		return arrival{}, false
	}
	ar := arrival{class: first, due: sc.began.Add(sc.due[first])}
	sc.advance(first)
	return ar, true
}

// advance draws the time of the next arrival of a class. The interval between two
// arrivals is distributed exponentially.
func (sc *schedule) advance(class int) {
	gap := sc.rnds[class].ExpFloat64() / sc.classes[class].Rate
	sc.due[class] += time.Duration(min(gap*float64(time.Second), float64(2*sc.length)))
}
