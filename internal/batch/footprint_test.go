package batch_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestFootprintCountsWhatStepsName guards against jobs that are accepted as small ones
// although their steps hold long names or lists.
func TestFootprintCountsWhatStepsName(t *testing.T) {
	is := is.New(t)
	plain := batch.Job{Steps: []batch.Step{{}}}.Footprint(1)
	const size = 10_000
	for _, sp := range []batch.Step{
		{After: make([]int, size)}, {Label: strings.Repeat("x", size)}, {DataRack: strings.Repeat("x", size)},
	} {
		is.True(batch.Job{Steps: []batch.Step{sp}}.Footprint(1) >= plain+size)
	}
}
