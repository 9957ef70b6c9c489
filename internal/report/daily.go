package report

import (
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Daily is the report of one day. Rows hold all counts; Outcomes and Usage
	// are sums over them.
	Daily struct {
		Day      string        `json:"day"`
		TimeZone string        `json:"timeZone"`
		Until    time.Time     `json:"until"` // end of the reported part of the day
		Rows     []Row         `json:"rows"`
		Outcomes []OutcomeSums `json:"revenue"`  // by workspace
		Usage    []UsageSums   `json:"capacity"` // by workspace
		Fleet    Fleet         `json:"fleet"`
		Gaps     []Gap         `json:"gaps,omitempty"`
	}

	// Row counts the work of one workspace at one service, or its jobs if the
	// service is empty.
	Row struct {
		Workspace   string       `json:"workspace"`
		Service     string       `json:"service,omitempty"`
		Offered     int64        `json:"offered"`
		Done        int64        `json:"done"`
		Failed      int64        `json:"failed"`
		NotRun      int64        `json:"notRun"`
		Unknown     int64        `json:"unknown"`
		InProgress  int64        `json:"inProgress"`
		Codes       []CodeCount  `json:"codes,omitempty"` // of ended work, by code
		SlotTime    TextDuration `json:"slotTime"`
		Held        TextDuration `json:"held"`      // accelerator time of the jobs, also on other days
		Lost        TextDuration `json:"lost"`      // part of Held in attempts whose work was lost
		Reclaimed   TextDuration `json:"reclaimed"` // part of Held in attempts that were preempted
		QueueTime   TextDuration `json:"heldBack"`  // time that the jobs spent in the queue
		RegionBytes int64        `json:"regionBytes"`
		Repeats     int64        `json:"repeats"`
	}

	// CodeCount is the number of times that work ended with a code.
	CodeCount struct {
		Code  codes.Code  `json:"code"`
		Name  string      `json:"name"`
		Class codes.Class `json:"class"`
		Count int64       `json:"count"`
	}

	// OutcomeSums sums the rows of a workspace by outcome, as its callers see it.
	OutcomeSums struct {
		Workspace  string      `json:"workspace"`
		Offered    int64       `json:"promised"`
		Done       int64       `json:"delivered"`
		Failed     int64       `json:"failed"`
		Refused    int64       `json:"refused"`
		Unknown    int64       `json:"unknown"`
		InProgress int64       `json:"inProgress"`
		Reasons    []CodeCount `json:"reasons,omitempty"` // of Refused, by code
	}

	// UsageSums sums the rows of a workspace by the capacity that they used.
	UsageSums struct {
		Workspace   string       `json:"workspace"`
		Ran         int64        `json:"ran"`    // done, failed, or outcome unknown
		NotRun      int64        `json:"notRun"` // rejected or cancelled before it ran
		InProgress  int64        `json:"inProgress"`
		SlotTime    TextDuration `json:"slotTime"`
		Held        TextDuration `json:"held"`
		Lost        TextDuration `json:"lost"`
		Reclaimed   TextDuration `json:"reclaimed"`
		QueueTime   TextDuration `json:"heldBack"`
		RegionBytes int64        `json:"regionBytes"`
		Repeats     int64        `json:"repeats"`
	}

	// Fleet compares the accelerator time that all jobs used on the day with
	// that of the declared fleet. A record has the start time of the last
	// attempt only, so the time of earlier attempts is spread evenly over the
	// time before it.
	Fleet struct {
		Accelerators int          `json:"accelerators"`
		Available    TextDuration `json:"available"` // accelerators times the reported part of the day
		Busy         TextDuration `json:"busy"`
		Idle         TextDuration `json:"idle"`
	}

	// Gap is a host whose counters may be incomplete, or another source of counts
	// that couldn't be read.
	Gap struct {
		Host     string       `json:"host"` // name of the host, or of the entry of Input.Missing
		Zone     string       `json:"zone,omitempty"`
		Last     time.Time    `json:"last,omitzero"` // time of its last snapshot; zero if there is none
		AtMost   TextDuration `json:"atMost"`        // longest period of counters lost if the host has ended
		Replaced bool         `json:"replaced"`      // a later incarnation is known, so this one has ended
	}

	// TextDuration is a duration that is encoded as text, such as 1h30m0s.
	TextDuration time.Duration
)

// MarshalText implements encoding.TextMarshaler.
func (td TextDuration) MarshalText() ([]byte, error) { return []byte(time.Duration(td).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (td *TextDuration) UnmarshalText(text []byte) error {
	du, err := time.ParseDuration(string(text))
	*td = TextDuration(du)
	return err
}

// String returns the duration rounded to whole seconds.
func (td TextDuration) String() string { return time.Duration(td).Round(time.Second).String() }
