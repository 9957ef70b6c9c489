package report_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/report"
)

func TestChartShowsOutcomes(t *testing.T) {
	is := is.New(t)
	da := report.Build(july1, exampleInput())
	var sb strings.Builder
	is.NoErr(da.WriteChart(&sb))
	is.True(strings.HasPrefix(sb.String(), "<svg"))
	for _, ou := range da.Outcomes {
		is.Equal(strings.Contains(sb.String(), ">"+ou.Workspace+"<"), ou.Offered > 0)
	}

	var empty report.Daily
	is.True(empty.WriteChart(&sb) != nil)
}
