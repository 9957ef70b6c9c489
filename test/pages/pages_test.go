// Package pages_test checks the documentation against the source: the tests and
// log messages that it names exist, and all metrics, fields and log events are
// described.
package pages_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

type (
	// source holds the names and texts in Go files that pages refer to.
	source struct {
		tests    map[string]bool            // as package.TestName
		cases    map[string]map[string]bool // string literals in a package's tests
		metrics  map[string]bool
		events   map[string]bool // values of the key event in log lines
		messages map[string]bool // string literals outside of tests
	}

	// matrix is a table of FAULTS.md: a row for each fault, a column for each
	// step, and in the cells the tests of a fault during a step.
	matrix struct {
		title string
		steps []string
		rows  [][]string
	}
)

const (
	root     = "../.."
	openCell = "not yet"
	countFmt = `%d of %d cells of the requests, %d of %d of the jobs and %d of %d of the configuration say "not yet": %d of %d.`
)

var (
	testName   = regexp.MustCompile("`([a-z]+\\.(?:Test|Fuzz)\\w+)(?:/([^`]+))?`")
	cellFormat = regexp.MustCompile("^`[^`]+`(<br>`[^`]+`)*$")
	metricName = regexp.MustCompile(`cicadawharf_[a-z_]+`)
	pageLink   = regexp.MustCompile(`\]\(([^)#]+)?(?:#([^)]+))?\)`)
	heading    = regexp.MustCompile(`(?m)^#+ (.+)$`)

	// The steps and faults that the matrices must contain.
	requiredSteps = [][]string{
		strings.Fields("admit claim choose connect send wait answer account"),
		strings.Fields("submit commit queue reserve start run checkpoint reclaim finish record report"),
		strings.Fields("check swap watch relay adopt"),
	}
	requiredFaults = []string{
		"entry host killed", "entry host frozen and resumed", "link cut, both ways", "link cut, one way", "connection silent",
		"store down", "store slow", "store's answer lost after the write", "lease lapsed while its holder is paused",
		"worker dead", "worker that fails everything", "endpoint leaving", "endpoint killed", "endpoint hanging",
		"endpoint answering late", "endpoint answering half", "zone cut from zones", "zone cut from the platform",
		"operators racing", "cancellations in waves", "flood of the least urgent", "flood of the most urgent",
		"sizes and run times wrong", "two together",
	}
)

// page returns the content of a page, whose name is relative to the root.
func page(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// readSource parses every Go file of the module.
func readSource(t *testing.T) source {
	t.Helper()
	sc := source{
		tests: map[string]bool{}, cases: map[string]map[string]bool{},
		metrics: map[string]bool{}, events: map[string]bool{}, messages: map[string]bool{},
	}
	err := filepath.WalkDir(root, func(path string, de fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".pb.go") {
			return err
		}
		fl, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			sc.add(path, fl)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// add records the names and texts of a parsed file.
func (sc source) add(path string, fl *ast.File) {
	pkg := strings.TrimSuffix(fl.Name.Name, "_test")
	isTest := strings.HasSuffix(path, "_test.go")
	if sc.cases[pkg] == nil {
		sc.cases[pkg] = map[string]bool{}
	}
	ast.Inspect(fl, func(nd ast.Node) bool {
		switch nd := nd.(type) {
		case *ast.FuncDecl:
			if isTest && nd.Recv == nil && (strings.HasPrefix(nd.Name.Name, "Test") || strings.HasPrefix(nd.Name.Name, "Fuzz")) {
				sc.tests[pkg+"."+nd.Name.Name] = true
			}
		case *ast.CallExpr:
			if !isTest && !strings.Contains(path, "fakes") {
				sc.addEvent(nd)
			}
		case *ast.BasicLit:
			sc.addText(pkg, isTest, nd)
		}
		return true
	})
}

// addText records a string literal, and the metrics that it names.
func (sc source) addText(pkg string, isTest bool, li *ast.BasicLit) {
	text, err := strconv.Unquote(li.Value)
	if err != nil || li.Kind != token.STRING {
		return
	}
	if isTest {
		sc.cases[pkg][text] = true
		return
	}
	sc.messages[text] = true
	for _, nm := range metricName.FindAllString(text, -1) {
		sc.metrics[nm] = true
	}
}

// addEvent records the event of a log line: the value of the key "event".
func (sc source) addEvent(ca *ast.CallExpr) {
	for i, ar := range ca.Args[:max(len(ca.Args)-1, 0)] {
		if stringValue(ar) == "event" && stringValue(ca.Args[i+1]) != "" {
			sc.events[stringValue(ca.Args[i+1])] = true
		}
	}
}

// stringValue returns the value of a string literal, or an empty string for any
// other expression.
func stringValue(ex ast.Expr) string {
	if li, ok := ex.(*ast.BasicLit); ok && li.Kind == token.STRING {
		text, _ := strconv.Unquote(li.Value)
		return text
	}
	return ""
}

// readMatrices returns the tables of FAULTS.md.
func readMatrices(content string) []matrix {
	var ms []matrix
	title := ""
	for ln := range strings.Lines(content) {
		ln = strings.TrimSpace(ln)
		switch {
		case strings.HasPrefix(ln, "## "):
			title = strings.TrimPrefix(ln, "## ")
		case strings.HasPrefix(ln, "| fault |"):
			ms = append(ms, matrix{title: title, steps: cellsOf(ln)[1:]})
		case strings.HasPrefix(ln, "| "):
			mx := &ms[len(ms)-1]
			mx.rows = append(mx.rows, cellsOf(ln))
		}
	}
	return ms
}

// cellsOf returns the trimmed cells of a table row.
func cellsOf(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// count returns the numbers of open cells and of all cells.
func (mx matrix) count() (open, all int) {
	for _, rw := range mx.rows {
		for _, ce := range rw[1:] {
			all++
			if ce == openCell {
				open++
			}
		}
	}
	return open, all
}

func TestNamedTestsExist(t *testing.T) {
	sc := readSource(t)
	for _, name := range []string{"docs/FAULTS.md", "docs/FAULTS-PLATFORM.md", "docs/incidents/recorded-days.md", "docs/incidents/2026-12-04-short.md", "docs/OPERATIONS.md", "docs/DESIGN.md"} {
		found := testName.FindAllStringSubmatch(page(t, name), -1)
		is.New(t).True(len(found) > 0)
		for _, fo := range found {
			pkg, _, _ := strings.Cut(fo[1], ".")
			if !sc.tests[fo[1]] {
				t.Errorf("%s: no test %s", name, fo[1])
			}
			if fo[2] != "" && !sc.cases[pkg][fo[2]] {
				t.Errorf("%s: test %s has no case %q", name, fo[1], fo[2])
			}
		}
	}
}

// TestMatrixIsComplete checks that FAULTS.md has every required step and fault, and
// that every cell names tests or is open.
func TestMatrixIsComplete(t *testing.T) {
	is := is.New(t)
	content := page(t, "docs/FAULTS.md")
	ms := readMatrices(content)
	is.Equal(len(ms), len(requiredSteps))
	faults := map[string]bool{}
	for i, mx := range ms {
		is.Equal(mx.steps, requiredSteps[i])
		for _, rw := range mx.rows {
			faults[rw[0]] = true
			if len(rw) != len(mx.steps)+1 {
				t.Errorf("%s: row %q has %d cells", mx.title, rw[0], len(rw)-1)
			}
			for _, ce := range rw[1:] {
				if ce != openCell && !cellFormat.MatchString(ce) {
					t.Errorf("%s: row %q: cell %q is neither tests nor %q", mx.title, rw[0], ce, openCell)
				}
			}
		}
	}
	for _, ft := range requiredFaults {
		if !faults[ft] {
			t.Errorf("no row for the fault %q", ft)
		}
	}
}

// TestCountOfOpenCells checks the counts at the end of FAULTS.md against its tables.
func TestCountOfOpenCells(t *testing.T) {
	var args []any
	open, all := 0, 0
	for _, mx := range readMatrices(page(t, "docs/FAULTS.md")) {
		op, al := mx.count()
		args = append(args, op, al)
		open, all = open+op, all+al
	}
	want := fmt.Sprintf(countFmt, append(args, open, all)...)
	is.New(t).True(strings.HasSuffix(strings.TrimSpace(page(t, "docs/FAULTS.md")), want))
}

func TestMetricsAreDescribed(t *testing.T) {
	described := map[string]bool{}
	for _, nm := range metricName.FindAllString(page(t, "docs/OPERATIONS.md"), -1) {
		described[nm] = true
	}
	is.New(t).Equal(described, readSource(t).metrics)
}

func TestEventsAreDescribed(t *testing.T) {
	content := page(t, "docs/OPERATIONS.md")
	sc := readSource(t)
	is.New(t).True(len(sc.events) > 0)
	for ev := range sc.events {
		if !strings.Contains(content, "| `"+ev+"` |") {
			t.Errorf("event %q is not described", ev)
		}
	}
	_, lines, _ := strings.Cut(content, "## Log lines")
	lines, _, _ = strings.Cut(lines, "## Metrics")
	for ln := range strings.Lines(lines) {
		cells := cellsOf(strings.TrimSpace(ln))
		at := len(cells) - 3 // the message is in the column before level and meaning
		if len(cells) < 3 || cells[at] == "`msg`" || strings.HasPrefix(cells[at], "-") {
			continue
		}
		if !sc.messages[cells[at]] {
			t.Errorf("no log line has the message %q", cells[at])
		}
	}
}

// TestFieldsAreDescribed checks that there is a row for each key of a file.
func TestFieldsAreDescribed(t *testing.T) {
	for _, tc := range []struct {
		page string
		file any
	}{
		{"docs/OPERATIONS.md", setup.Settings{}},
		{"docs/DECLARATIONS.md", spec.Declarations{}},
	} {
		content := page(t, tc.page)
		for key := range keysOf(reflect.TypeOf(tc.file), map[string]bool{}) {
			if !regexp.MustCompile("(?m)^\\| `([\\w.\\[\\]]+\\.)?" + key + "`").MatchString(content) {
				t.Errorf("%s: key %q is not described", tc.page, key)
			}
		}
	}
}

// keysOf collects the YAML keys of a struct's fields, with nested structs
// flattened, into keys.
func keysOf(ty reflect.Type, keys map[string]bool) map[string]bool {
	for ty.Kind() == reflect.Slice {
		ty = ty.Elem()
	}
	for i := range ty.NumField() {
		fd := ty.Field(i)
		el := fd.Type
		for el.Kind() == reflect.Slice {
			el = el.Elem()
		}
		if el.Kind() == reflect.Struct {
			keysOf(el, keys)
			continue
		}
		keys[strings.Split(fd.Tag.Get("yaml"), ",")[0]] = true
	}
	return keys
}

func TestLinksResolve(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	is.New(t).NoErr(err)
	pages = append(pages, filepath.Join(root, "README.md"), filepath.Join(root, "DEVELOPERS.md"))
	for _, pg := range pages {
		content, err := os.ReadFile(pg)
		is.New(t).NoErr(err)
		for _, li := range pageLink.FindAllStringSubmatch(string(content), -1) {
			target := pg
			if li[1] != "" {
				target = filepath.Join(filepath.Dir(pg), li[1])
			}
			linked, err := os.ReadFile(target)
			if err != nil || (li[2] != "" && !anchors(string(linked))[li[2]]) {
				t.Errorf("%s: broken link %s", pg, li[0])
			}
		}
	}
}

// anchors returns the link anchors of a page's headings.
func anchors(content string) map[string]bool {
	names := map[string]bool{}
	strip := regexp.MustCompile(`[^a-z0-9 -]`)
	for _, he := range heading.FindAllStringSubmatch(content, -1) {
		names[strings.ReplaceAll(strip.ReplaceAllString(strings.ToLower(he[1]), ""), " ", "-")] = true
	}
	return names
}
