package procs_test

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// commandCase is one invocation of the command line. It prints a single line on
// standard error that begins with errLine, or nothing if errLine is empty.
type commandCase struct {
	name    string
	args    []string
	code    int
	out     string // part of standard output; if empty, nothing may be printed
	errLine string
}

func (cc commandCase) run(t *testing.T) {
	is := is.New(t)
	cr := command(t, cc.args...)
	t.Logf("%v: %+v", cc.args, cr)
	is.Equal(cr.code, cc.code)
	is.Equal(cr.out == "", cc.out == "")
	is.True(strings.Contains(cr.out, cc.out))
	if cc.errLine == "" {
		is.Equal(cr.errOut, "")
		return
	}
	is.Equal(strings.Count(cr.errOut, "\n"), 1)
	is.True(strings.HasPrefix(cr.errOut, cc.errLine))
}

// TestCommandLine checks the exit code and the output of each command, and that a
// failure is reported in a single line that says what is wrong.
func TestCommandLine(t *testing.T) {
	sy := start(t)
	address := sy.hosts[0].http
	good := sy.write(t, "good.yaml", declarations(7))
	unknown := sy.write(t, "unknown.yaml", strings.Replace(declarations(7), "    racks:", "    rakcs:", 1))
	bad := sy.write(t, "bad.yaml", strings.Replace(declarations(7), "workers: 4", "workers: many", 1))
	settings := sy.write(t, "settings.yaml", "host:\n  name: UPPER\n  zone: lima\n  region: lima\n"+
		"  httpAddress: 127.0.0.1:1\n  peerAddress: 127.0.0.1:2\nstore:\n  addresses: [127.0.0.1:3]\n")
	missing := filepath.Join(sy.dir, "missing.yaml")
	submit := func(flags ...string) []string {
		args := []string{"submit", "--address", address, "--workspace", workspace, "--run-time", "1s", "--repeatable", "true"}
		return append(append(args, flags...), "--", "sleep", "100ms")
	}
	for _, cc := range []commandCase{
		{"version", []string{"version"}, 0, "cicadawharf ", ""},
		{"check", []string{"check", good}, 0, "valid\n", ""},
		{"status", []string{"status", "--address", address}, 0, sy.hosts[0].host, ""},
		{"job", submit("--wait", "30s"), 0, "2001 jobDone", "cicadawharf submit: waiting for job lima."},
		{"call", []string{"call", orders, "/sacks", "--address", address, "--workspace", workspace, "--data", "wax"}, 0, "wax", "cicadawharf call: 2000 requestDone, status 200, request "},
		{"report", []string{"report", "--address", address}, 0, workspace, ""},

		{"unknown workspace", []string{"call", orders, "/", "--address", address, "--workspace", "none"}, 1, "", "cicadawharf call: 4001 unknownWorkspace: "},
		{"unknown service", []string{"call", "none", "/", "--address", address, "--workspace", workspace}, 1, "", "cicadawharf call: 4002 unknownService: "},
		{"unknown job", []string{"jobs", "lima.none", "--address", address}, 1, "", "cicadawharf jobs: 4020 jobNotFound: "},
		{"shape", submit("--accelerators", "8", "--tasks", "5"), 1, "", "cicadawharf submit: 4017 shapeNeverFits: "},
		{"stale revision", []string{"apply", good, "--expect", "7", "--address", address}, 1, "", "cicadawharf apply: 4022 revisionConflict: revision 1 "},
		{"unreachable host", []string{"status", "--address", freeAddress(t)}, 1, "", "cicadawharf status: no entry host could be reached"},

		{"no command", nil, 2, "", "cicadawharf: a command is required"},
		{"unknown command", []string{"sevre"}, 2, "", `cicadawharf: unknown command "sevre"`},
		{"unknown flag", []string{"status", "--adress", address}, 2, "", "cicadawharf status: unknown flag --adress;"},
		{"missing argument", []string{"apply", "--address", address}, 2, "", "cicadawharf apply: argument file is missing"},
		{"missing file", []string{"apply", missing, "--address", address}, 2, "", "cicadawharf apply: " + missing + ": no such file"},
		{"missing settings", []string{"serve", missing}, 2, "", "cicadawharf serve: " + missing + ": no such file"},
		{"unknown field", []string{"check", unknown}, 2, "", unknown + `:5:5: unknown key "rakcs"`},
		{"bad field", []string{"apply", bad, "--address", address}, 2, "", bad + ":6:33: "},
		{"bad settings", []string{"serve", settings}, 2, "", settings + ":2:9: "},
	} {
		t.Run(cc.name, cc.run)
	}
	t.Run("refusal as JSON", func(t *testing.T) { checkRefusalJSON(t, address, good) })
	t.Run("port is taken", func(t *testing.T) { checkTakenPort(t, sy) })
}

// checkRefusalJSON checks that the JSON output contains the code of a refusal.
func checkRefusalJSON(t *testing.T, address, file string) {
	is := is.New(t)
	cr := command(t, "apply", file, "--expect", "7", "--output", "json", "--address", address)
	is.Equal(cr.code, 1)
	var ad client.Applied
	is.NoErr(json.Unmarshal([]byte(cr.out), &ad))
	is.Equal(ad.Code, codes.RevisionConflict)
	is.Equal(ad.Class, codes.NotRun)
	is.Equal(ad.Revision, int64(1))
}

// checkTakenPort checks that a host exits with an error if it can't listen.
func checkTakenPort(t *testing.T, sy *system) {
	is := is.New(t)
	eh := sy.hosts[0]
	file := sy.write(t, "taken.yaml", fmt.Sprintf("host:\n  name: second\n  zone: lima\n  region: lima\n"+
		"  httpAddress: %s\n  peerAddress: %s\nstore:\n  addresses: [%s]\n", eh.http, freeAddress(t), sy.store))
	cr := command(t, "serve", file)
	is.Equal(cr.code, 1)
	is.Equal(strings.Count(cr.errOut, "\n"), 1)
	is.True(strings.HasPrefix(cr.errOut, "cicadawharf serve: address for callers: "))
	is.True(strings.Contains(cr.errOut, eh.http))
}
