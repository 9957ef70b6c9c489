package procs_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
)

// TestSpillBeyondNearestZone checks that requests spill to another region when
// the other zone of their own region is reachable but has no endpoints either.
func TestSpillBeyondNearestZone(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	sy.apply(t, "any.yaml", declarationsWithSpill("any"))
	eh := sy.servePuno(t)
	awaitSpill(t, eh)
	for _, address := range sy.endpoints[:endpointsPerZone] { // lima's
		rs, err := http.Post("http://"+address+epsim.DrainPath, "", nil)
		is.NoErr(err)
		is.NoErr(rs.Body.Close())
	}
	checkSpill(t, sy, eh, "/far", cusco)
}
