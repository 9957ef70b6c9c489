package procs_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
)

// TestCheckAgainst checks that the check command compares a file with the applied
// declarations, and warns if running jobs would lose their workspace.
func TestCheckAgainst(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	eh := sy.hosts[0]
	jb := eh.submit(t, gang(eh.zone, true, time.Minute))
	eh.awaitState(t, jb.ID, jobs.Running)

	same := command(t, "check", "--against", "--address", eh.http, sy.write(t, "same.yaml", declarations(9)))
	is.Equal(same.code, 0)
	is.True(strings.Contains(same.out, "changed workspace "+workspace))
	is.True(!strings.Contains(same.out, "warning:"))

	renamed := strings.ReplaceAll(declarations(1), "name: "+workspace+"\n", "name: another\n")
	removed := command(t, "check", "--against", "--address", eh.http, sy.write(t, "removed.yaml", renamed))
	is.Equal(removed.code, 0)
	is.True(strings.Contains(removed.out, "warning: workspace "+workspace+" is removed"))
	is.True(strings.Contains(removed.out, "warning: 1 active jobs belong to workspace "+workspace))
}
