package cmds_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/cmds"
	"github.com/cicadawharf/cicadawharf/internal/load"
)

// TestLoadUsage guards against a load that starts although a flag is missing or
// invalid, above all against another machine.
func TestLoadUsage(t *testing.T) {
	class := "--class=workspace=w,caller=c,rate=1"
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"address of another machine", []string{"--service", "s", class, "--address", "10.1.0.4:7080"}, "not of this machine"},
		{"host name for an address", []string{"--service", "s", class, "--address", "localhost:7080"}, "must be IP:port"},
		{"no service", []string{class}, "a service is required"},
		{"no class", []string{"--service", "s"}, "0 classes"},
		{"invalid class", []string{"--service", "s", "--class", "rate=1"}, "flag --class"},
		{"excessive duration", []string{"--service", "s", class, "--duration", "1h"}, "duration"},
		{"zero concurrency", []string{"--service", "s", class, "--concurrency", "0"}, "concurrency"},
		{"path without slash", []string{"--service", "s", class, "--path", "quotes"}, "path"},
		{"unknown output format", []string{"--service", "s", class, "--output", "xml"}, "flag --output"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rs := run(t, append([]string{"load"}, tc.args...)...)
			is.Equal(rs.exit, cmds.ExitUsage)
			is.True(strings.Contains(rs.err, tc.want)) // standard error
			is.Equal(rs.out, "")
		})
	}
}

// TestLoadReportsCountsAsJSON guards against a report that counts fewer or more
// successes than the server received requests.
func TestLoadReportsCountsAsJSON(t *testing.T) {
	is := is.New(t)
	sy := newSystem(t, map[string]string{"POST /v1/services/quotes/offer": `{"endpoint":"e"}`})
	rs := run(t, "load", "--address", sy.address, "--service", "quotes", "--path", "/offer", "--duration", "300ms",
		"--concurrency", "1", "--class", "workspace=w,caller=c,rate=100", "--output", "json")
	is.Equal(rs.exit, cmds.ExitOK)
	var rp load.Report
	is.NoErr(json.Unmarshal([]byte(rs.out), &rp))
	is.True(rp.Classes[0].Done > 0)
	is.Equal(rp.Classes[0].Done, int64(len(sy.requests)))
}
