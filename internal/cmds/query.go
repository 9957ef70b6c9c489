package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// queryOptions holds the flags of status and report.
	queryOptions struct {
		remote
		output
		day   string
		chart string
	}

	// callOptions holds the flags of call.
	callOptions struct {
		remote
		output
		service    string
		path       string
		method     string
		data       string
		dataFile   string
		headers    []string
		repeatable string
		timeout    time.Duration
		priority   string
		key        string
	}

	// versionInfo is the result of version.
	versionInfo struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}
)

func (en *env) statusCommand() *command {
	var op queryOptions
	return &command{
		name:        "status",
		description: "shows the hosts, zones and revision of the running system; for a domain, its scheduler and the evacuated zones",
		flags: func(sc *flaggy.Subcommand) {
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.status(ctx, &op) },
	}
}

func (en *env) status(ctx context.Context, op *queryOptions) error {
	return en.withClient(op, func(cl *client.Client) error {
		st, err := cl.Status(ctx)
		if err != nil {
			return err
		}
		return emit(en, st, writeStatus)
	})
}

func writeStatus(out io.Writer, st client.Status) error {
	if st.Domain != nil {
		return writeDomain(out, st)
	}
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "host %s, revision %d, store %s\n\n", st.Host, st.Revision, choose(st.StoreUp, "up", "down"))
	fmt.Fprintln(tw, "HOST\tZONE\tADDRESS\tREVISION\tREADY\tLEAVING\tREACHABLE")
	for _, ho := range st.Hosts {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%t\t%t\t%t\n", ho.Name, ho.Zone, ho.Address, ho.Revision, ho.Ready, ho.Leaving, ho.Reachable)
	}
	fmt.Fprintln(tw, "\nZONE\tREGION\tSCHEDULER\tEPOCH\tREACHABLE\tWORKERS\tFREE\tWAITING\tRUNNING")
	for _, zn := range st.Zones {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%t\t%d\t%d\t%d\t%d\n", zn.Name, zn.Region, orDash(zn.Scheduler), zn.Epoch,
			zn.Reachable, zn.Workers, zn.FreeAccelerators, zn.Waiting, zn.Running)
	}
	return tw.Flush()
}

func (en *env) reportCommand() *command {
	var op queryOptions
	return &command{
		name:        "report",
		description: "prints the report of a day",
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&op.day, "", "day", "day as YYYY-MM-DD in the time zone of the declarations; the current day by default")
			sc.String(&op.chart, "", "chart", "SVG file to write a chart of the day's work to")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.report(ctx, &op) },
	}
}

func (en *env) report(ctx context.Context, op *queryOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	if _, err := time.Parse(time.DateOnly, op.day); op.day != "" && err != nil {
		return usageErrorf("flag --day: %q is not a day of the form YYYY-MM-DD", op.day)
	}
	cl, err := op.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	body, err := cl.Report(ctx, op.day, !en.json)
	if err != nil {
		return err
	}
	if op.chart != "" {
		if err := writeChart(ctx, cl, op); err != nil {
			return err
		}
	}
	en.emitted = true
	_, err = en.out.Write(body)
	return err
}

// writeChart writes the chart of a day to the file that --chart names.
func writeChart(ctx context.Context, cl *client.Client, op *queryOptions) error {
	body, err := cl.Report(ctx, op.day, false)
	if err != nil {
		return err
	}
	var da report.Daily
	if err := json.Unmarshal(body, &da); err != nil {
		return codes.New(codes.InternalFailure, "the report can't be decoded: %v", err)
	}
	var svg bytes.Buffer
	if err := da.WriteChart(&svg); err != nil {
		return usageErrorf("flag --chart: %v", err)
	}
	if err := os.WriteFile(op.chart, svg.Bytes(), chartMode); err != nil {
		return usageErrorf("flag --chart: %v", err)
	}
	return nil
}

// chartMode is the file mode of a chart, which is readable by all users.
const chartMode = 0o644

func (en *env) callCommand() *command {
	var op callOptions
	return &command{
		name:        "call",
		description: "sends a request to a service; the response goes to standard output, its result code to standard error",
		usage:       "SERVICE PATH",
		positionals: []positional{
			{&op.service, "service", "service to call (required)", true},
			{&op.path, "path", "path with query (required)", true},
		},
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&op.method, "", "method", "HTTP method; by default GET, or POST with a body")
			sc.String(&op.data, "", "data", "body")
			sc.String(&op.dataFile, "", "data-file", "file with the body")
			sc.StringSlice(&op.headers, "", "header", "header as Name: value, may be repeated")
			sc.String(&op.repeatable, "", "repeatable", "whether the request may run twice: true or false; as declared by default")
			sc.Duration(&op.timeout, "", "timeout", "timeout of the request; as declared by default")
			sc.String(&op.priority, "", "priority", "low, normal or urgent")
			sc.String(&op.key, "", "key", "idempotency key")
			op.remote.flags(sc)
			op.output.flags(sc)
		},
		run: func(ctx context.Context) error { return en.call(ctx, &op) },
	}
}

func (en *env) call(ctx context.Context, op *callOptions) error {
	if err := op.check(en); err != nil {
		return err
	}
	body, err := op.body()
	if err != nil {
		return err
	}
	co, err := op.options()
	if err != nil {
		return err
	}
	cl, err := op.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	cr, err := cl.Call(ctx, op.service, op.method, op.path, body, co)
	en.emitted = true // only the endpoint's response goes to standard output
	if err != nil {
		return en.emitOutcome(err, cr)
	}
	if _, err := en.out.Write(cr.Body); err != nil {
		return err
	}
	return en.emitOutcome(nil, cr)
}

// emitOutcome writes the result code of a request to standard error, but leaves
// a failure to finish in text output. It returns the error of a request that did
// not succeed.
func (en *env) emitOutcome(failure error, cr client.CallAnswer) error {
	ce := &codes.Error{Code: cr.Code}
	if failure != nil && !errors.As(failure, &ce) {
		return failure
	}
	if en.json {
		inf := ce.Code.Info()
		err := writeJSON(en.errOut, client.Answer{
			Code: ce.Code, Name: inf.Name, Class: inf.Class, Detail: ce.Detail, Request: cr.Request,
			RetryAfterMillis: ce.RetryAfter.Milliseconds(),
		})
		if err != nil {
			return err
		}
	} else if failure == nil {
		fmt.Fprintf(en.errOut, "%s call: %s, status %d, request %s\n", program, ce.Code, cr.Status, orDash(cr.Request))
	}
	if failure == nil && cr.Code.Class() == codes.Done {
		return nil
	}
	return ce
}

// body returns the body of the request and sets its default method.
func (op *callOptions) body() ([]byte, error) {
	var body []byte
	switch {
	case op.data != "" && op.dataFile != "":
		return nil, usageErrorf("flags --data and --data-file are mutually exclusive")
	case op.data != "":
		body = []byte(op.data)
	case op.dataFile != "":
		data, err := readFile(op.dataFile)
		if err != nil {
			return nil, err
		}
		body = data
	}
	if op.method == "" {
		op.method = choose(body == nil, http.MethodGet, http.MethodPost)
	}
	return body, nil
}

// options validates the flags and returns the options of the request.
func (op *callOptions) options() (client.CallOptions, error) {
	co := client.CallOptions{Timeout: op.timeout, Priority: op.priority, Key: op.key, Header: http.Header{}}
	if op.workspace == "" {
		return co, usageErrorf("flag --workspace is required")
	}
	if op.timeout < 0 {
		return co, usageErrorf("flag --timeout: must not be negative")
	}
	if _, ok := jobs.ParsePriority(op.priority); !ok {
		return co, usageErrorf("flag --priority: %q must be low, normal or urgent", op.priority)
	}
	if op.repeatable != "" {
		repeatable, err := parseBool("repeatable", op.repeatable)
		if err != nil {
			return co, err
		}
		co.Repeatable = &repeatable
	}
	for _, he := range op.headers {
		name, value, ok := strings.Cut(he, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return co, usageErrorf("flag --header: %q must have the form Name: value", he)
		}
		co.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return co, nil
}

func (en *env) versionCommand() *command {
	var op output
	return &command{
		name:        "version",
		description: "prints the version",
		flags:       op.flags,
		run: func(context.Context) error {
			if err := op.check(en); err != nil {
				return err
			}
			return emit(en, version(), func(out io.Writer, vi versionInfo) error {
				_, err := fmt.Fprintf(out, "%s %s %s\n", program, vi.Version, vi.Go)
				return err
			})
		},
	}
}

func version() versionInfo {
	vi := versionInfo{Version: "unknown", Go: runtime.Version()}
	if bi, ok := debug.ReadBuildInfo(); ok && bi.Main.Version != "" {
		vi.Version = bi.Main.Version
	}
	return vi
}

func choose[T any](yes bool, a, b T) T {
	if yes {
		return a
	}
	return b
}

func isCode(err error, cd codes.Code) bool {
	var ce *codes.Error
	return errors.As(err, &ce) && ce.Code == cd
}
