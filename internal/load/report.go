package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Report is the result of a run. Times are in milliseconds.
	Report struct {
		Seed     uint64           `json:"seed"`
		Seconds  float64          `json:"seconds"` // duration for which requests were sent
		Classes  []ClassReport    `json:"classes"`
		Fairness []FairnessReport `json:"equalDemands,omitempty"`
	}

	// ClassReport is the result of one class.
	ClassReport struct {
		Class
		Offered    int64        `json:"offered"`  // due, including withheld ones
		Withheld   int64        `json:"withheld"` // not sent because of the limit on concurrency
		Done       int64        `json:"done"`
		Failed     int64        `json:"failed"`
		NotRun     int64        `json:"notRun"`
		Unknown    int64        `json:"unknown"` // outcome unknown
		Codes      []CodeCount  `json:"codes"`
		Latency    Distribution `json:"latencyMillis"`    // of requests that are done
		Refusal    Distribution `json:"refusalMillis"`    // of requests that did not run
		RetryAfter Distribution `json:"retryAfterMillis"` // given by responses
	}

	// CodeCount is the number of requests with one result code. Code zero stands
	// for requests without a result code.
	CodeCount struct {
		Code  codes.Code  `json:"code"`
		Name  string      `json:"name"`
		Class codes.Class `json:"class"`
		Count int64       `json:"count"`
	}

	// Distribution summarizes durations, in milliseconds.
	Distribution struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50"`
		P90   float64 `json:"p90"`
		P99   float64 `json:"p99"`
		P999  float64 `json:"p999"`
		Max   float64 `json:"max"`
	}

	// FairnessReport is the fairness among classes of equal demand, see
	// EqualDemands, by the fraction of their requests that are done.
	FairnessReport struct {
		Callers []string `json:"callers"` // of the classes, as workspace/caller
		Jain    float64  `json:"jain"`    // Jain's fairness index
	}

	// tally accumulates the outcomes of one class.
	tally struct {
		mu         sync.Mutex
		withheld   int64
		codes      []CodeCount
		latency    *hdrhistogram.Histogram
		refusal    *hdrhistogram.Histogram
		retryAfter *hdrhistogram.Histogram
	}
)

const (
	maxLatency        = 10 * time.Minute // maximum value of a histogram; longer times are recorded as this
	significantDigits = 3                // of the values in a histogram

	noCode = "noCode" // CodeCount.Name of code zero
)

func newTally() *tally {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return &tally{latency: histogram(), refusal: histogram(), retryAfter: histogram()}
}

// withhold counts a request that was due but not sent.
func (ta *tally) withhold() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.withheld++
}

// add records the outcome of a request that was sent.
func (ta *tally) add(oc outcome) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.count(oc)
	switch oc.class {
	case codes.Done:
		record(ta.latency, oc.latency)
	case codes.NotRun:
		record(ta.refusal, oc.latency)
	}
	if oc.retryAfter > 0 {
		record(ta.retryAfter, oc.retryAfter)
	}
}

// count counts an outcome by code and class. mu must be held.
func (ta *tally) count(oc outcome) {
	at := slices.IndexFunc(ta.codes, func(cc CodeCount) bool { return cc.Code == oc.code && cc.Class == oc.class })
	if at < 0 {
		name := noCode
		if oc.code != 0 {
			name = oc.code.Info().Name
		}
		at = len(ta.codes)
		ta.codes = append(ta.codes, CodeCount{Code: oc.code, Name: name, Class: oc.class})
	}
	ta.codes[at].Count++
}

func record(hi *hdrhistogram.Histogram, du time.Duration) {
	_ = hi.RecordValue(min(max(du, time.Microsecond), maxLatency).Microseconds())
}

func newReport(cfg Config, took time.Duration, tallies []*tally) Report {
	rp := Report{Seed: cfg.Seed, Seconds: took.Seconds()}
	for i, ta := range tallies {
		rp.Classes = append(rp.Classes, ta.report(cfg.Classes[i]))
	}
	for _, group := range EqualDemands(cfg.Classes) {
		var fr FairnessReport
		var shares []float64
		for _, at := range group {
			cr := rp.Classes[at]
			fr.Callers = append(fr.Callers, cr.Workspace+"/"+cr.Caller)
			shares = append(shares, float64(cr.Done)/float64(max(cr.Offered, 1)))
		}
		fr.Jain = JainIndex(shares)
		rp.Fairness = append(rp.Fairness, fr)
	}
	return rp
}

func (ta *tally) report(cl Class) ClassReport {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	cr := ClassReport{
		Class: cl, Offered: ta.withheld, Withheld: ta.withheld, Codes: slices.Clone(ta.codes),
		Latency: distribution(ta.latency), Refusal: distribution(ta.refusal), RetryAfter: distribution(ta.retryAfter),
	}
	slices.SortFunc(cr.Codes, func(a, b CodeCount) int { return int(a.Code) - int(b.Code) })
	for _, cc := range cr.Codes {
		cr.Offered += cc.Count
		switch cc.Class {
		case codes.Done:
			cr.Done += cc.Count
		case codes.Failed:
			cr.Failed += cc.Count
		case codes.NotRun:
			cr.NotRun += cc.Count
		default:
			cr.Unknown += cc.Count
		}
	}
	return cr
}

func distribution(hi *hdrhistogram.Histogram) Distribution {
	millis := func(value int64) float64 { return float64(value) / 1000 }
	return Distribution{
		Count: hi.TotalCount(), P50: millis(hi.ValueAtQuantile(50)), P90: millis(hi.ValueAtQuantile(90)),
		P99: millis(hi.ValueAtQuantile(99)), P999: millis(hi.ValueAtQuantile(99.9)), Max: millis(hi.Max()),
	}
}

// JainIndex returns Jain's fairness index: 1 if all values are equal, and 1/n if
// only one of n values is positive. It returns 0 if no value is positive.
func JainIndex(values []float64) float64 {
	var sum, squares float64
	for _, va := range values {
		sum += va
		squares += va * va
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}

// WriteText writes the report as tables.
func (rp Report) WriteText(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "seed %d, %.1f s; times in ms\n\n", rp.Seed, rp.Seconds)
	fmt.Fprintln(tw, "WORKSPACE\tCALLER\tRATE\tOFFERED\tDONE\tFAILED\tNOT RUN\tUNKNOWN\tWITHHELD\tP50\tP90\tP99\tP99.9\tMAX")
	for _, cr := range rp.Classes {
		la := cr.Latency
		fmt.Fprintf(tw, "%s\t%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", cr.Workspace, cr.Caller, cr.Rate,
			cr.Offered, cr.Done, cr.Failed, cr.NotRun, cr.Unknown, cr.Withheld, la.P50, la.P90, la.P99, la.P999, la.Max)
	}
	fmt.Fprintln(tw, "\nWORKSPACE\tCALLER\tCODE\tCLASS\tCOUNT")
	for _, cr := range rp.Classes {
		for _, cc := range cr.Codes {
			fmt.Fprintf(tw, "%s\t%s\t%d %s\t%s\t%d\n", cr.Workspace, cr.Caller, int(cc.Code), cc.Name, cc.Class, cc.Count)
		}
	}
	fmt.Fprintln(tw, "\nWORKSPACE\tCALLER\tREFUSAL P50\tP99\tRETRY-AFTER P50\tMAX")
	for _, cr := range rp.Classes {
		if cr.Refusal.Count > 0 {
			fmt.Fprintf(tw, "%s\t%s\t%.2f\t%.2f\t%.0f\t%.0f\n", cr.Workspace, cr.Caller,
				cr.Refusal.P50, cr.Refusal.P99, cr.RetryAfter.P50, cr.RetryAfter.Max)
		}
	}
	for _, fr := range rp.Fairness {
		fmt.Fprintf(tw, "\nJain's index over the %d classes of equal demand from %s on: %.4f\n", len(fr.Callers), fr.Callers[0], fr.Jain)
	}
	return tw.Flush()
}
