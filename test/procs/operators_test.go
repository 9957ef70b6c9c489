package procs_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

const concurrentOperators = 6

// TestOperatorsRace checks that of several operators who apply declarations to the
// same revision at once, exactly one succeeds and every host uses what it applied.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	inf, err := sy.hosts[0].client().Declarations(context.Background())
	is.NoErr(err)
	winning := inf.Revision + 1

	files := make([]string, concurrentOperators)
	results := make([]commandResult, concurrentOperators)
	for i := range files {
		files[i] = sy.write(t, fmt.Sprintf("operator-%d.yaml", i), declarations(i+2))
	}
	var group sync.WaitGroup
	for i := range files {
		group.Go(func() {
			results[i] = command(t, "apply", files[i], "--expect", fmt.Sprint(inf.Revision),
				"--operator", fmt.Sprintf("operator-%d", i), "--address", sy.hosts[i%len(sy.hosts)].http)
		})
	}
	group.Wait()

	winners := 0
	content := ""
	for i, cr := range results {
		if cr.code == 0 {
			winners++
			content = declarations(i + 2)
			is.Equal(cr.out, fmt.Sprintf("2002 applied, revision %d\n", winning))
			is.Equal(cr.errOut, "")
			continue
		}
		t.Logf("%s", cr.errOut)
		is.Equal(cr.code, 1)
		is.Equal(cr.out, "")
		is.Equal(strings.Count(cr.errOut, "\n"), 1)
		is.True(strings.HasPrefix(cr.errOut, "cicadawharf apply: 4022 revisionConflict: "))
		is.True(strings.Contains(cr.errOut, fmt.Sprintf("revision %d ", winning)) ||
			strings.Contains(cr.errOut, fmt.Sprintf("revision %d\n", winning)))
	}
	is.Equal(winners, 1)
	for _, eh := range sy.hosts {
		eventually(t, eh.host+" uses the applied declarations", func() error {
			inf, err := eh.client().Declarations(context.Background())
			if err == nil && (inf.Revision != winning || string(inf.Content) != content) {
				err = fmt.Errorf("revision %d:\n%s", inf.Revision, inf.Content)
			}
			return err
		})
	}
}
