package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/cmds"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const sacos = "../../examples/sacos.yaml"

// result is the exit code and the output of a command.
type result struct {
	exit     int
	out, err string
}

func run(t *testing.T, args ...string) result {
	t.Helper()
	return runWith(t, cmds.Runners{}, args...)
}

func runWith(t *testing.T, rn cmds.Runners, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	exit := cmds.Main(t.Context(), args, &out, &errOut, rn)
	return result{exit: exit, out: out.String(), err: errOut.String()}
}

// system is a test server that responds by method and path and records the
// requests and their bodies in order.
type system struct {
	address  string
	requests []string
	bodies   []string
}

// newSystem starts a system with the response bodies for "METHOD path". Its other
// responses are pathNotFound.
func newSystem(t *testing.T, responses map[string]string) *system {
	t.Helper()
	sy := &system{}
	sv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		body, _ := io.ReadAll(rq.Body)
		sy.requests = append(sy.requests, rq.Method+" "+rq.RequestURI)
		sy.bodies = append(sy.bodies, string(body))
		response, ok := responses[rq.Method+" "+rq.URL.Path]
		if !ok {
			response = `{"code":4025}`
		}
		var an client.Answer
		_ = json.Unmarshal([]byte(response), &an)
		if an.Code != 0 {
			rw.Header().Set(client.HeaderCode, strings.Fields(an.Code.String())[0])
			rw.WriteHeader(an.Code.Info().HTTPStatus)
		} else {
			rw.Header().Set(client.HeaderRevision, "7")
			rw.Header().Set(client.HeaderCode, "2000")
		}
		_, _ = io.WriteString(rw, response)
	}))
	t.Cleanup(sv.Close)
	sy.address = sv.Listener.Addr().String()
	return sy
}

// TestUsageErrors guards against wrong arguments that are accepted, that let
// flaggy print or exit by itself, or that are reported without the command and
// the flag.
func TestUsageErrors(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "f.yaml")
	is.New(t).NoErr(os.WriteFile(faulty, []byte("zonas: []\ntimeZone: 5\n"), 0o600))
	submit := []string{"submit", "--workspace", "w", "--run-time", "1h", "--repeatable", "true"}
	with := func(args ...string) []string { return append(append([]string{}, submit...), args...) }
	for _, tc := range []struct {
		name string
		args []string
		want string
	}{
		{"no command", nil, "cicadawharf: a command is required"},
		{"unknown command", []string{"sevre"}, `cicadawharf: unknown command "sevre"`},
		{"flaggy's completion is off", []string{"completion", "bash"}, `cicadawharf: unknown command "completion"`},
		{"flaggy's version flag is off", []string{"status", "--version"}, "cicadawharf status: unknown flag --version"},
		{"unknown flag", []string{"check", "--bogus", sacos}, "cicadawharf check: unknown flag --bogus;"},
		{"unknown joined flag", []string{"check", sacos, "--bogus=x"}, "cicadawharf check: unknown flag --bogus;"},
		{"one hyphen", []string{"check", "-output", "json", sacos}, "cicadawharf check: unknown flag -output;"},
		{"test flag", []string{"check", "--test.v", sacos}, "cicadawharf check: unknown flag --test.v;"},
		{"flag without value", []string{"check", sacos, "--output"}, "cicadawharf check: flag --output requires a value"},
		{"unknown output format", []string{"check", sacos, "--output", "xml"}, `cicadawharf check: flag --output: "xml" must be text or json`},
		{"duration without unit", []string{"apply", sacos, "--wait", "10"}, `cicadawharf apply: flag --wait: "10" is not a duration with a unit`},
		{"text for a number", []string{"apply", sacos, "--expect=x"}, `cicadawharf apply: flag --expect: "x" is not an integer`},
		{"huge number", with("--tasks", "99999999999999999999", "--", "run"), `cicadawharf submit: flag --tasks: "99999999999999999999" is not an integer`},
		{"text for a boolean", []string{"check", sacos, "--against=maybe"}, `cicadawharf check: flag --against: "maybe" is not true or false`},
		{"missing argument", []string{"check"}, "cicadawharf check: argument file is missing"},
		{"argument beyond the last one", []string{"check", sacos, "more"}, `cicadawharf check: unexpected argument "more"`},
		{"trailing argument", []string{"check", sacos, "--", "more"}, `cicadawharf check: unexpected argument "more" after --`},
		{"missing file", []string{"check", "none.yaml"}, "cicadawharf check: none.yaml: no such file or directory"},
		{"missing settings", []string{"serve", "none.yaml"}, "cicadawharf serve: none.yaml: no such file or directory"},
		{"invalid file", []string{"check", faulty}, faulty + `:1:1: unknown key "zonas"`},
		{"invalid settings", []string{"serve", faulty}, faulty + `:1:1: unknown key "zonas"`},
		{"host name for an address", []string{"status", "--address", "localhost:1"}, `cicadawharf status: flag --address: address "localhost:1" must be IP:port`},
		{"invalid day", []string{"report", "--day", "today"}, `cicadawharf report: flag --day: "today" is not a day`},
		{"back without zone", []string{"evacuate", "--back"}, "cicadawharf evacuate: flag --back requires a zone"},
		{"no repeatable", []string{"submit", "--workspace", "w", "--run-time", "1h", "--", "run"}, "cicadawharf submit: flag --repeatable is required"},
		{"neither true nor false", []string{"submit", "--workspace", "w", "--run-time", "1h", "--repeatable", "1", "--", "run"}, `cicadawharf submit: flag --repeatable: "1" must be true or false`},
		{"no run time", []string{"submit", "--workspace", "w", "--repeatable", "true", "--", "run"}, "cicadawharf submit: flag --run-time is required"},
		{"no workspace", []string{"submit", "--run-time", "1h", "--repeatable", "true", "--", "run"}, "cicadawharf submit: flag --workspace is required"},
		{"no job command", with(), "cicadawharf submit: the command of the job is missing"},
		{"too many tasks", with("--tasks", "33", "--", "run"), "cicadawharf submit: flag --tasks: must be between 1 and 32"},
		{"unknown adjacency", with("--adjacency", "near", "--", "run"), `cicadawharf submit: flag --adjacency: "near" must be`},
		{"unknown priority", with("--priority", "top", "--", "run"), `cicadawharf submit: flag --priority: "top" must be`},
		{"invalid steps", with("--then", faulty, "--", "run"), faulty + ":1:1: "},
		{"no steps file", with("--then", faulty+".gone", "--", "run"), "cicadawharf submit: flag --then: open "},
		{"negative wait", with("--wait", "-1s", "--", "run"), "cicadawharf submit: flag --wait: must be between"},
		{"wait without id", []string{"jobs", "--wait", "1s"}, "cicadawharf jobs: flag --wait requires the id of a job"},
		{"two bodies", []string{"call", "s", "p", "--workspace", "w", "--data", "a", "--data-file", sacos}, "cicadawharf call: flags --data and --data-file are mutually exclusive"},
		{"header without colon", []string{"call", "s", "p", "--workspace", "w", "--header", "x"}, `cicadawharf call: flag --header: "x" must have the form Name: value`},
		{"privileged base port", []string{"local", "--base-port", "80"}, "cicadawharf local: flag --base-port: must be between"},
		{"unknown kind of simulator", []string{"standin", "disk", "--listen", "127.0.0.1:1"}, `cicadawharf standin: kind "disk" must be`},
		{"no listen", []string{"standin", "store"}, "cicadawharf standin: flag --listen is required"},
		{"no store", []string{"standin", "worker", "--listen", "127.0.0.1:1", "--rack", "r"}, "cicadawharf standin: flag --store is required"},
		{"no service", []string{"standin", "endpoint", "--listen", "127.0.0.1:1"}, "cicadawharf standin: flag --service is required"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rs := run(t, tc.args...)
			is.Equal(rs.exit, cmds.ExitUsage)
			is.Equal(rs.out, "")
			if !strings.HasPrefix(rs.err, tc.want) {
				t.Errorf("got  %s\nwant %s", rs.err, tc.want)
			}
		})
	}
}

// TestHelp guards against a command that the general help doesn't list or that
// has no help of its own.
func TestHelp(t *testing.T) {
	all := run(t, "--help")
	is.New(t).Equal(all.exit, cmds.ExitOK)
	for _, name := range []string{"serve", "check", "apply", "status", "evacuate", "submit", "jobs", "cancel", "call", "report", "local", "standin", "version"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(all.out, "    "+name+" "))
			rs := run(t, name, "--help")
			is.Equal(rs.exit, cmds.ExitOK)
			is.Equal(rs.err, "")
			is.True(strings.HasPrefix(rs.out, name+" - "))
			is.Equal(run(t, name, "-h"), rs)
		})
	}
	is.New(t).True(strings.Contains(run(t, "submit", "--help").out, "--accelerators"))
}

// TestCheck guards against an exit code or output that does not tell a valid file
// from an invalid one.
func TestCheck(t *testing.T) {
	is := is.New(t)
	is.Equal(run(t, "check", sacos), result{out: "valid\n"})
	is.Equal(run(t, "check", "--output=json", sacos).out, "{\n  \"valid\": true\n}\n")

	faulty := filepath.Join(t.TempDir(), "f.yaml")
	is.NoErr(os.WriteFile(faulty, []byte("zonas: []\n"), 0o600))
	rs := run(t, "check", faulty, "--output", "json")
	is.Equal(rs.exit, cmds.ExitUsage)
	is.True(strings.Contains(rs.out, `"valid": false`))
	is.True(strings.Contains(rs.out, `"column": 1`))
}

// TestCheckAgainst guards against a comparison in the wrong direction and against
// a file that is only checked locally.
func TestCheckAgainst(t *testing.T) {
	is := is.New(t)
	velas, err := os.ReadFile("../../examples/velas.yaml")
	is.NoErr(err)
	sy := newSystem(t, map[string]string{
		"POST /v1/declarations/check": `{"code":2003}`, "GET /v1/declarations": string(velas),
	})
	rs := run(t, "check", "--against", "--address", sy.address, sacos)
	is.Equal(rs.exit, cmds.ExitOK)
	is.True(strings.HasPrefix(rs.out, "valid, 19 changes against revision 7\nchanged timeZone America/Santiago\nadded zone centro-1\n"))
	is.Equal(sy.requests, []string{"POST /v1/declarations/check", "GET /v1/declarations"})
}

// TestApply guards against a file that replaces a revision other than the one
// expected, and against errors that are not passed on to the output and exit code.
func TestApply(t *testing.T) {
	for name, tc := range map[string]struct {
		responses map[string]string
		args      []string
		exit      int
		out, err  string
		uri       string
	}{
		"over the revision found": {
			map[string]string{"PUT /v1/declarations": `{"code":2002,"revision":8}`, "GET /v1/declarations": "x"},
			[]string{"--wait", "10s"},
			0, "2002 applied, revision 8\n", "", "PUT /v1/declarations?expect=7&wait=10s",
		},
		"first": {
			map[string]string{"PUT /v1/declarations": `{"code":2002,"revision":1}`, "GET /v1/declarations": `{"code":4014}`},
			nil, 0, "2002 applied, revision 1\n", "", "PUT /v1/declarations?expect=0",
		},
		"conflict": {
			map[string]string{"PUT /v1/declarations": `{"code":4022,"detail":"revision 9 is in force","revision":9}`},
			[]string{"--expect", "8"},
			1, "", "cicadawharf apply: 4022 revisionConflict: revision 9 is in force\n", "PUT /v1/declarations?expect=8",
		},
		"faults": {
			map[string]string{"PUT /v1/declarations": `{"code":4023,"faults":[{"line":3,"column":4,"message":"m"}]}`},
			[]string{"--expect", "8"},
			1, "", sacos + ":3:4: m\ncicadawharf apply: 4023 invalidDeclarations\n", "PUT /v1/declarations?expect=8",
		},
		"partial": {
			map[string]string{"PUT /v1/declarations": `{"code":3005,"detail":"zone sur-1 silent","revision":9}`},
			[]string{"--expect", "8"},
			1, "3005 partialRollout, revision 9\n", "cicadawharf apply: 3005 partialRollout: zone sur-1 silent\n", "PUT /v1/declarations?expect=8",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sy := newSystem(t, tc.responses)
			rs := run(t, append([]string{"apply", sacos, "--address", sy.address}, tc.args...)...)
			is.Equal(rs, result{exit: tc.exit, out: tc.out, err: tc.err})
			is.Equal(sy.requests[len(sy.requests)-1], tc.uri)
		})
	}
}

// TestSubmit guards against flags that are lost in the request, arguments of the
// job's command that are taken for flags of submit, and a failed job that is
// reported as a success.
func TestSubmit(t *testing.T) {
	is := is.New(t)
	sy := newSystem(t, map[string]string{
		"POST /v1/jobs":    `{"code":1000,"class":"inProgress","id":"z.1","state":"queued"}`,
		"GET /v1/jobs/z.1": `{"code":3002,"id":"z.1","state":"ended","detail":"task 0 failed"}`,
	})
	args := []string{
		"submit", "--address=" + sy.address, "--workspace", "w", "--run-time", "90m", "--repeatable", "false",
		"--tasks", "4", "--accelerators=8", "--adjacency", "rack", "--checkpoint", "--output", "json",
	}
	rs := run(t, append(args, "--", "sort", "--help", "--tasks", "1")...)
	is.Equal(rs.exit, cmds.ExitOK)
	var jb client.Job
	is.NoErr(json.Unmarshal([]byte(rs.out), &jb))
	is.Equal(jb.Code, codes.JobAccepted)
	var req client.SubmitRequest
	is.NoErr(json.Unmarshal([]byte(sy.bodies[0]), &req))
	is.Equal(req.Command, []string{"sort", "--help", "--tasks", "1"})
	is.Equal([2]int{req.Shape.Tasks, req.Shape.Accelerators}, [2]int{4, 8})
	is.Equal(req.RunTime, "1h30m0s")
	is.Equal(*req.Repeatable, false)
	is.True(req.Checkpoint)

	rs = run(t, append(args, "--then", "../../examples/steps.yaml", "--", "sort")...)
	is.Equal(rs.exit, cmds.ExitOK)
	is.NoErr(json.Unmarshal([]byte(sy.bodies[1]), &req))
	is.Equal(len(req.Then), 2)
	is.Equal(req.Then[1].Command, []string{"publish", "--lot", "7"})

	rs = run(t, append(args, "--wait", "1h", "--", "sort")...)
	is.Equal(rs.exit, cmds.ExitFailure)
	is.True(strings.Contains(rs.err, "cicadawharf submit: 3002 jobFailed: task 0 failed\n"))
}

// TestClientErrors guards against the output of an error without its result code
// and retry-after time, as text and as JSON.
func TestClientErrors(t *testing.T) {
	is := is.New(t)
	sy := newSystem(t, map[string]string{"GET /v1/jobs": `{"code":4012,"retryAfterMillis":2000}`})
	rs := run(t, "jobs", "--address", sy.address)
	is.Equal(rs, result{exit: 1, err: "cicadawharf jobs: 4012 noScheduler (retry after 2s)\n"})
	rs = run(t, "jobs", "--address", sy.address, "--output", "json")
	var an client.Answer
	is.NoErr(json.Unmarshal([]byte(rs.out), &an))
	is.Equal(an.Class, codes.NotRun)

	rs = run(t, "status", "--address", "127.0.0.1:1")
	is.Equal(rs.exit, cmds.ExitFailure)
	is.True(strings.HasPrefix(rs.err, "cicadawharf status: no entry host could be reached, nothing was sent: "))
}

// TestClientCommands guards against a command that sends another request than its
// arguments ask for, or does not pass on the response, warnings and result code.
func TestClientCommands(t *testing.T) {
	sy := newSystem(t, map[string]string{
		"GET /v1/status":            `{"host":"h1","revision":3,"storeUp":true,"hosts":[{"name":"h1","zone":"z"}],"zones":[{"name":"z"}]}`,
		"GET /v1/report":            "offered 5\n",
		"GET /v1/evacuations":       `{"evacuations":[{"zone":"z1","workers":9,"tasks":4},{"zone":"z2"}]}`,
		"PUT /v1/evacuations/z1":    `{"code":2004,"zone":"z1","workers":0}`,
		"PUT /v1/evacuations/z2":    `{"code":4028,"detail":"the store refuses"}`,
		"DELETE /v1/evacuations/z1": `{"code":2005,"zone":"z1"}`,
		"GET /v1/jobs":              `{"jobs":[{"id":"z.1","state":"running"}],"unreachable":["y"]}`,
		"DELETE /v1/jobs/z.1":       `{"code":1002,"id":"z.1","state":"stopping"}`,
		"POST /v1/services/s/p":     "answer",
		"GET /v1/services/s/bad":    `{"code":3000}`,
		"GET /v1/services/s/no":     `{"code":4008}`,
	})
	for _, tc := range []struct {
		args         []string
		exit         int
		inOut, inErr string
		wantRequest  string
	}{
		{[]string{"status"}, 0, "host h1, revision 3, store up", "", "GET /v1/status"},
		{[]string{"evacuate"}, 0, "z1            9        4\nz2            -        -\n", "", "GET /v1/evacuations"},
		{[]string{"evacuate", "z1"}, 0, "zone z1 is out of service\n", "no worker is listed in zone z1", "PUT /v1/evacuations/z1"},
		{[]string{"evacuate", "z1", "--back"}, 0, "zone z1 is in service\n", "", "DELETE /v1/evacuations/z1"},
		{[]string{"evacuate", "z2"}, 1, "", "4028 writeForbidden: the store refuses", "PUT /v1/evacuations/z2"},
		{[]string{"report", "--day", "2026-12-04"}, 0, "offered 5\n", "", "GET /v1/report?day=2026-12-04"},
		{[]string{"jobs", "--active"}, 0, "z.1  running", "zone y is unreachable", "GET /v1/jobs?active=true"},
		{[]string{"cancel", "z.1"}, 0, "stopping", "", "DELETE /v1/jobs/z.1"},
		{[]string{"call", "s", "p?x=1", "--workspace", "w", "--data", "d"}, 0, "answer", "2000 requestDone, status 200", "POST /v1/services/s/p?x=1"},
		{[]string{"call", "s", "bad", "--workspace", "w"}, 1, `{"code":3000}`, "3000 endpointError", "GET /v1/services/s/bad"},
		{[]string{"call", "s", "no", "--workspace", "w", "--output", "json"}, 1, "", `"code": 4008`, "GET /v1/services/s/no"},
	} {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			is := is.New(t)
			sy.requests = nil
			rs := run(t, append(append([]string{}, tc.args...), "--address", sy.address)...)
			is.Equal(rs.exit, tc.exit)
			if !strings.Contains(rs.out, tc.inOut) || !strings.Contains(rs.err, tc.inErr) {
				t.Errorf("out %q\nerr %q", rs.out, rs.err)
			}
			is.Equal(sy.requests, []string{tc.wantRequest})
		})
	}
}

// TestRunners checks that the settings and flags of commands reach their
// implementations in Runners, and that an error of these sets the exit code.
func TestRunners(t *testing.T) {
	is := is.New(t)
	var (
		se setup.Settings
		lo cmds.LocalOptions
		st cmds.StandinOptions
	)
	rn := cmds.Runners{
		Serve: func(_ context.Context, got setup.Settings, _ io.Writer) error {
			se = got
			return nil
		},
		Local: func(_ context.Context, got cmds.LocalOptions) error {
			lo = got
			return nil
		},
		Standin: func(_ context.Context, got cmds.StandinOptions) error {
			st = got
			return codes.New(codes.StoreUnavailable, "down")
		},
	}
	is.Equal(runWith(t, rn, "serve", "../../examples/entry.yaml"), result{})
	is.Equal(se.Host.Zone, "centro-1")

	t.Chdir(t.TempDir()) // the example is embedded, so the working directory does not matter
	is.Equal(runWith(t, rn, "local", "--once"), result{})
	is.True(lo.Once)
	is.Equal(lo.BasePort, 7080)
	is.True(len(lo.Content) > 0)

	rs := runWith(t, rn, "standin", "worker", "--listen", "127.0.0.1:9", "--store", "127.0.0.1:2", "--store", "127.0.0.1:3",
		"--name", "w1", "--zone", "z", "--rack", "r", "--run-scale", "0.01")
	is.Equal(rs, result{exit: 1, err: "cicadawharf standin: 4011 storeUnavailable: down\n"})
	is.Equal(st.Kind, cmds.StandinWorker)
	is.Equal(st.Store, []string{"127.0.0.1:2", "127.0.0.1:3"})
	is.Equal(st.RunScale, 0.01)
	is.Equal(st.Accelerators, 8)

	rs = runWith(t, rn, "version", "--output", "json")
	is.True(strings.Contains(rs.out, `"go": "go`))
}
