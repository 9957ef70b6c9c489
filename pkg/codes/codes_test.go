package codes_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// classByThousand maps the first digit of a code to its class.
var classByThousand = map[int]codes.Class{
	1: codes.InProgress,
	2: codes.Done,
	3: codes.Failed,
	4: codes.NotRun,
	5: codes.Unknown,
}

// TestTableIsConsistent guards against a code that is out of order, reuses a name
// or belongs to another class than its first digit says.
func TestTableIsConsistent(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	last := codes.Code(0)
	for _, inf := range codes.All() {
		is.True(inf.Code > last) // codes ascend
		last = inf.Code
		is.True(!seen[inf.Name]) // names are unique
		seen[inf.Name] = true
		is.Equal(classByThousand[int(inf.Code)/1000], inf.Class)
		is.True(inf.Meaning != "" && inf.Action != "")
	}
}

// TestDocumentMatchesTable guards against docs/CODES.md and the table of codes
// drifting apart.
func TestDocumentMatchesTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CODES.md")
	is.NoErr(err)
	var documented []string
	for ln := range strings.Lines(string(page)) {
		if strings.HasPrefix(ln, "| ") && len(ln) > 2 && ln[2] >= '0' && ln[2] <= '9' {
			documented = append(documented, strings.TrimSpace(ln))
		}
	}
	var coded []string
	for _, inf := range codes.All() {
		retryable := "no"
		if inf.Retryable {
			retryable = "yes"
		}
		coded = append(coded, fmt.Sprintf("| %d | %s | %s | %d | %s | %s | %s |",
			int(inf.Code), inf.Name, inf.Class, inf.HTTPStatus, retryable, inf.Meaning, inf.Action))
	}
	is.Equal(documented, coded)
}

// TestOf guards against a wrapped error that loses its code, and against an error
// without a code that counts as work that has not run.
func TestOf(t *testing.T) {
	is := is.New(t)
	is.True(codes.Of(nil) == nil)
	wrapped := fmt.Errorf("outer: %w", codes.New(codes.Overloaded, "queue of %d", 3))
	is.Equal(codes.Of(wrapped).Code, codes.Overloaded)
	is.Equal(codes.Of(fmt.Errorf("plain")).Code, codes.InternalFailure)
	is.Equal(codes.Code(7).Class(), codes.Unknown) // an undefined code guarantees nothing
}
