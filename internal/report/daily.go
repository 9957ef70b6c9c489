package report

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Daily is the report of one day. Rows hold everything that is counted;
	// both readings are sums over them.
	Daily struct {
		Day      string     `json:"day"`
		TimeZone string     `json:"timeZone"`
		Until    time.Time  `json:"until"` // the report covers the day up to here
		Rows     []Row      `json:"rows"`
		Revenue  []Revenue  `json:"revenue"`  // by workspace
		Capacity []Capacity `json:"capacity"` // by workspace
		Fleet    Fleet      `json:"fleet"`
		Gaps     []Gap      `json:"gaps,omitempty"`
	}

	// Row is what became of the work of one workspace at one service, or of
	// its jobs if the service is empty.
	Row struct {
		Workspace   string      `json:"workspace"`
		Service     string      `json:"service,omitempty"`
		Offered     int64       `json:"offered"`
		Done        int64       `json:"done"`
		Failed      int64       `json:"failed"`
		NotRun      int64       `json:"notRun"`
		Unknown     int64       `json:"unknown"`
		InProgress  int64       `json:"inProgress"`
		Codes       []CodeCount `json:"codes,omitempty"` // of work that has ended, by code
		SlotTime    Span        `json:"slotTime"`
		Held        Span        `json:"held"`      // accelerator time of the jobs
		Lost        Span        `json:"lost"`      // part of Held in attempts that were cut short
		Reclaimed   Span        `json:"reclaimed"` // part of Held in attempts that were stopped for other work
		HeldBack    Span        `json:"heldBack"`  // time of the jobs in the queue
		RegionBytes int64       `json:"regionBytes"`
		Repeats     int64       `json:"repeats"`
	}

	// CodeCount is how often work ended with a code.
	CodeCount struct {
		Code  codes.Code  `json:"code"`
		Name  string      `json:"name"`
		Class codes.Class `json:"class"`
		Count int64       `json:"count"`
	}

	// Revenue reads the rows of a workspace as promises kept.
	Revenue struct {
		Workspace  string      `json:"workspace"`
		Promised   int64       `json:"promised"`
		Delivered  int64       `json:"delivered"`
		Failed     int64       `json:"failed"`
		Refused    int64       `json:"refused"`
		Unknown    int64       `json:"unknown"`
		InProgress int64       `json:"inProgress"`
		Reasons    []CodeCount `json:"reasons,omitempty"` // of the refusals
	}

	// Capacity reads the rows of a workspace as capacity spent.
	Capacity struct {
		Workspace   string `json:"workspace"`
		Ran         int64  `json:"ran"`    // done, failed, or possibly run
		NotRun      int64  `json:"notRun"` // held back and refused
		InProgress  int64  `json:"inProgress"`
		SlotTime    Span   `json:"slotTime"`
		Held        Span   `json:"held"`
		Lost        Span   `json:"lost"`
		Reclaimed   Span   `json:"reclaimed"`
		HeldBack    Span   `json:"heldBack"`
		RegionBytes int64  `json:"regionBytes"`
		Repeats     int64  `json:"repeats"`
	}

	// Fleet sets the accelerator time of all jobs that fell on the day against
	// that of the declared fleet. Records tell only of the last attempt when it
	// began; the time of earlier ones is spread over the time before.
	Fleet struct {
		Accelerators int  `json:"accelerators"`
		Available    Span `json:"available"` // accelerators times the span of the day
		Busy         Span `json:"busy"`
		Idle         Span `json:"idle"`
	}

	// Gap is a host of which counters may be missing.
	Gap struct {
		Host     string    `json:"host"`
		Zone     string    `json:"zone,omitempty"`
		Last     time.Time `json:"last,omitzero"` // of its last snapshot; zero if there is none
		AtMost   Span      `json:"atMost"`        // of counters lost if the host has died
		Replaced bool      `json:"replaced"`      // a later incarnation is known, so it has died
	}

	// Span is a duration that is encoded as text, such as 1h30m0s.
	Span time.Duration
)

// MarshalText implements encoding.TextMarshaler.
func (sp Span) MarshalText() ([]byte, error) { return []byte(time.Duration(sp).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (sp *Span) UnmarshalText(text []byte) error {
	du, err := time.ParseDuration(string(text))
	*sp = Span(du)
	return err
}

// String returns the span in whole seconds.
func (sp Span) String() string { return time.Duration(sp).Round(time.Second).String() }
