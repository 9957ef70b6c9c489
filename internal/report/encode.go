package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	columnGap = 2
	jobsLabel = "(jobs)"
)

// WriteJSON writes the report as an indented JSON object.
func (da Daily) WriteJSON(wr io.Writer) error {
	en := json.NewEncoder(wr)
	en.SetIndent("", "  ")
	return en.Encode(da)
}

// WriteText writes the report as aligned tables.
func (da Daily) WriteText(wr io.Writer) error {
	tw := tabwriter.NewWriter(wr, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(tw, "Report of %s (%s), up to %s\n", da.Day, da.TimeZone, da.Until.Format(time.RFC3339))
	da.writeRows(tw)
	da.writeOutcomes(tw)
	da.writeUsage(tw)
	fmt.Fprintf(tw, "\nFleet: %d accelerators, %s available, %s busy, %s idle\n",
		da.Fleet.Accelerators, da.Fleet.Available, da.Fleet.Busy, da.Fleet.Idle)
	for _, ga := range da.Gaps {
		fmt.Fprintln(tw, ga.String())
	}
	return tw.Flush()
}

// String describes the gap in one line.
func (ga Gap) String() string {
	seconds := strconv.FormatFloat(time.Duration(ga.AtMost).Seconds(), 'f', 0, 64)
	switch {
	case ga.Last.IsZero():
		return fmt.Sprintf("No counters received from %s: lost at most %s s of counters", ga.Host, seconds)
	case ga.Replaced:
		return fmt.Sprintf("Lost at most %s s of counters of host %s, whose last snapshot is of %s",
			seconds, ga.Host, ga.Last.Format(time.RFC3339))
	default:
		return fmt.Sprintf("Lost at most %s s of counters of host %s if it has ended, whose last snapshot is of %s; if it is only partitioned, its later counters are still to come",
			seconds, ga.Host, ga.Last.Format(time.RFC3339))
	}
}

func (da Daily) writeRows(wr io.Writer) {
	writeLine(wr, "\nworkspace", "service", "offered", "done", "failed", "notRun", "unknown", "inProgress", "codes")
	for _, rw := range da.Rows {
		service := rw.Service
		if service == "" {
			service = jobsLabel
		}
		writeLine(wr, rw.Workspace, service, rw.Offered, rw.Done, rw.Failed, rw.NotRun, rw.Unknown, rw.InProgress, formatCodes(rw.Codes))
	}
}

func (da Daily) writeOutcomes(wr io.Writer) {
	writeLine(wr, "\nrevenue", "promised", "delivered", "failed", "refused", "unknown", "inProgress", "reasons")
	for _, ou := range da.Outcomes {
		writeLine(wr, ou.Workspace, ou.Offered, ou.Done, ou.Failed, ou.Refused, ou.Unknown, ou.InProgress, formatCodes(ou.Reasons))
	}
}

func (da Daily) writeUsage(wr io.Writer) {
	writeLine(wr, "\ncapacity", "ran", "notRun", "inProgress", "slotTime", "heldBack", "held", "lost", "reclaimed", "regionBytes", "repeats")
	for _, us := range da.Usage {
		writeLine(wr, us.Workspace, us.Ran, us.NotRun, us.InProgress, us.SlotTime, us.QueueTime, us.Held, us.Lost, us.Reclaimed, us.RegionBytes, us.Repeats)
	}
}

// writeLine writes the cells of a table's row, which are separated by tabs.
func writeLine(wr io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, ce := range cells {
		texts[i] = fmt.Sprint(ce)
	}
	fmt.Fprintln(wr, strings.Join(texts, "\t"))
}

// formatCodes formats code counts, such as "4008=2 4017=1".
func formatCodes(cs []CodeCount) string {
	texts := make([]string, len(cs))
	for i, cc := range cs {
		texts[i] = fmt.Sprintf("%d=%d", int(cc.Code), cc.Count)
	}
	return strings.Join(texts, " ")
}
