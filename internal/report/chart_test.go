package report_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/report"
)

func TestChartShowsRevenue(t *testing.T) {
	is := is.New(t)
	da := report.Build(july1, exampleInput())
	var sb strings.Builder
	is.NoErr(da.WriteChart(&sb))
	is.True(strings.HasPrefix(sb.String(), "<svg"))
	for _, re := range da.Revenue {
		is.Equal(strings.Contains(sb.String(), ">"+re.Workspace+"<"), re.Promised > 0)
	}

	var empty report.Daily
	is.True(empty.WriteChart(&sb) != nil)
}
