package spec_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const valid = `timeZone: America/Lima
zones:
  - name: a-1
    region: a
    racks:
      - {name: r1, workers: 2, accelerators: 8, cores: 64, memoryGiB: 128}
      - {name: r2, workers: 4, accelerators: 4, cores: 64, memoryGiB: 128}
services:
  - name: quotes
    slots: 8
    connections: 60
    repeatable: true
workspaces:
  - name: w
    guarantees:
      - zone: a-1
        shape: {tasks: 2, accelerators: 8}
        count: 1
    services:
      - {name: quotes, slots: 4}
`

func TestParseExamples(t *testing.T) {
	for _, file := range []string{"sacos.yaml", "velas.yaml"} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../../examples/" + file)
			is.NoErr(err)
			doc, err := spec.Parse(file, data)
			is.NoErr(err)
			workers := 0
			for _, zn := range doc.Declarations.Zones {
				workers += zn.Workers()
			}
			is.Equal(workers, 48)
			is.Equal(len(doc.Declarations.Zones), 3)
			is.Equal(len(doc.Declarations.Workspaces), 4)
		})
	}
}

func TestParseDefaultsAndPositions(t *testing.T) {
	is := is.New(t)
	doc, err := spec.Parse("f.yaml", []byte(valid))
	is.NoErr(err)
	de := doc.Declarations
	is.Equal(de.Workspaces[0].Weight, 1)
	is.Equal(de.Workspaces[0].Quota, 0) // no limit
	is.Equal(de.Workspaces[0].Guarantees[0].Shape.Adjacency, spec.SameZone)
	is.Equal(de.Services[0].Spill, spec.SpillNone)
	is.Equal(de.Services[0].Timeout, 30*time.Second)
	is.Equal(de.Services[0].MaxBody, int64(1<<20))

	for _, tc := range []struct {
		path         string
		line, column int
	}{
		{"$", 1, 1},
		{"$.timeZone", 1, 11},
		{"$.zones[0]", 3, 5},
		{"$.zones[0].racks[1]", 7, 9},
		{"$.zones[0].racks[1].workers", 7, 29},
		{"$.workspaces[0].guarantees", 15, 5},
		{"$.workspaces[0].guarantees[0]", 16, 9},
		{"$.workspaces[0].guarantees[0].shape.adjacency", 17, 9},
		{"$.workspaces[0].guarantees[7].count", 15, 5},
		{"$.nowhere", 1, 1},
		{"", 1, 1},
	} {
		line, column := doc.Position(tc.path)
		is.Equal([2]int{line, column}, [2]int{tc.line, tc.column}) // position of the path
	}
}

// TestParseFaults makes one error at a time in a valid file and guards against
// an error that is accepted, reported twice or reported at a wrong position.
func TestParseFaults(t *testing.T) {
	for _, tc := range []struct{ name, old, replacement, want string }{
		{"unknown key", "    region: a\n", "    region: a\n    regoin: b\n", `f.yaml:5:5: unknown key "regoin"; valid keys are name, region, racks`},
		{"duplicate key", "    region: a\n", "    region: a\n    region: b\n", `f.yaml:5:5: duplicate key "region"`},
		{"missing racks", "    racks:\n      - {name: r1, workers: 2, accelerators: 8, cores: 64, memoryGiB: 128}\n      - {name: r2, workers: 4, accelerators: 4, cores: 64, memoryGiB: 128}\n", "", `f.yaml:3:5: the number of racks must be between 1 and 256`},
		{"unknown time zone", "America/Lima", "America/Limo", `f.yaml:1:11: unknown time zone "America/Limo"`},
		{"time zone of the host", "America/Lima", "Local", `f.yaml:1:11: time zone "Local" is not an IANA name`},
		{"dot in a name", "name: r1", "name: r.1", `f.yaml:6:16: rack name "r.1" must consist of`},
		{"upper-case region", "region: a\n", "region: A\n", `f.yaml:4:13: region "A" must consist of`},
		{"long name", "name: w\n", "name: " + strings.Repeat("w", 64) + "\n", `f.yaml:14:11: workspace name "www`},
		{"number for a name", "name: w\n", "name: 7\n", `f.yaml:14:11: the value must be text`},
		{"duplicate rack", "name: r2", "name: r1", `f.yaml:7:16: rack "r1" is declared twice`},
		{"missing field", "    slots: 8\n", "", `f.yaml:9:5: "slots" is missing`},
		{"zero slots", "slots: 8", "slots: 0", `f.yaml:10:12: slots must be between 1 and 100000`},
		{"fewer connections than slots", "connections: 60", "connections: 7", `f.yaml:11:18: 7 connections are fewer than the 8 slots`},
		{"missing repeatable", "    repeatable: true\n", "", `f.yaml:9:5: "repeatable" is missing`},
		{"unknown spill rule", "repeatable: true\n", "repeatable: true\n    spill: all\n", `f.yaml:13:12: spill "all" must be one of none, region, any`},
		{"duration without unit", "repeatable: true\n", "repeatable: true\n    timeout: 30\n", `f.yaml:13:14: the value must be a duration with a unit`},
		{"invalid duration", "repeatable: true\n", "repeatable: true\n    timeout: soon\n", `f.yaml:13:14: "soon" is not a duration with a unit`},
		{"zero timeout", "repeatable: true\n", "repeatable: true\n    timeout: 0s\n", `f.yaml:13:14: timeout must be between 1ms and 1h0m0s`},
		{"unknown zone", "zone: a-1", "zone: b-1", `f.yaml:16:15: zone "b-1" is not declared`},
		{"unknown service", "{name: quotes", "{name: orders", `f.yaml:20:16: service "orders" is not declared`},
		{"too many tasks", "tasks: 2", "tasks: 33", `f.yaml:17:24: tasks must be between 1 and 32`},
		{"unknown adjacency", "accelerators: 8}\n        count", "accelerators: 8, adjacency: near}\n        count", `f.yaml:17:55: adjacency "near" must be one of worker, rack, zone`},
		{"worker too small", "accelerators: 8}\n        count", "accelerators: 8, adjacency: worker}\n        count", `f.yaml:17:9: a gang of 2 tasks with 8 accelerators each does not fit one worker of zone a-1`},
		{"rack too small", "tasks: 2, accelerators: 8", "tasks: 3, accelerators: 8, adjacency: rack", `f.yaml:17:9: a gang of 3 tasks with 8 accelerators each does not fit one rack of zone a-1`},
		{"too many accelerators per task", "accelerators: 8, cores", "accelerators: 4, cores", `f.yaml:17:41: 8 accelerators per task are more than a worker of zone a-1 has (4)`},
		{"zero count", "count: 1", "count: 0", `f.yaml:18:16: count must be between 1 and`},
		{"guarantees exceed the quota", "  - name: w\n", "  - name: w\n    quota: 15\n", `f.yaml:17:9: the guarantees of workspace w in zone a-1 need 16 accelerators, more than its quota of 15`},
		{"zero quota", "  - name: w\n", "  - name: w\n    quota: 0\n", `f.yaml:15:12: quota must be between 1 and`},
		{"zero weight", "  - name: w\n", "  - name: w\n    weight: 0\n", `f.yaml:15:13: weight must be between 1 and`},
		{"fraction for an integer", "slots: 8", "slots: 8.5", `f.yaml:10:12: the value must be an integer`},
		{"huge number", "slots: 8", "slots: 99999999999999999999", `f.yaml:10:12: the value must be an integer`},
		{"empty value", "slots: 8", "slots:", `f.yaml:10:5: key "slots" has no value`},
		{"alias", "region: a", "region: *a", `f.yaml:4:13: anchors, aliases and merges are not supported`},
		{"two documents", "services:", "---\nservices:", `f.yaml:9:1: the file holds more than one document`},
		{"syntax error", "services:", "services: [", `f.yaml:`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, tc.old)) // the replacement applies
			_, err := spec.Parse("f.yaml", []byte(strings.Replace(valid, tc.old, tc.replacement, 1)))
			var fs spec.Faults
			is.True(errors.As(err, &fs))
			is.Equal(len(fs), 1) // faults
			if !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("got  %s\nwant %s", err, tc.want)
			}
		})
	}
}

func TestParseReportsAllFaultsInOrder(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("slots: 8", "slots: 0", "name: a-1", "name: A", "count: 1", "count: -1").Replace(valid)
	_, err := spec.Parse("f.yaml", []byte(text))
	var fs spec.Faults
	is.True(errors.As(err, &fs))
	lines := make([]int, len(fs))
	for i, ft := range fs {
		lines[i] = ft.Line
	}
	is.Equal(lines, []int{3, 10, 16, 18}) // zone, slots, reference to the zone, count
}

// TestParseLimits guards against files whose nesting overflows the stack of the
// recursive parser, or whose number of keys keeps it busy for quadratic time.
func TestParseLimits(t *testing.T) {
	for name, text := range map[string]string{
		"empty":          "",
		"comment":        "# nothing\n",
		"list":           "- a\n",
		"flow depth":     strings.Repeat("[", 200_000),
		"flow map depth": strings.Repeat("{a: ", 200_000),
		"block depth":    strings.Repeat("- ", 200_000),
		"key depth":      strings.Repeat("? ", 100_000),
		"tag depth":      strings.Repeat("!a ", 100_000),
		"anchor depth":   strings.Repeat("&a ", 100_000),
		"size":           strings.Repeat("#", 4<<20+1),
		"keys":           strings.Repeat("a: b\n", 100_000),
		"nested keys":    "a:\n" + strings.Repeat("  b: c\n", 100_000),
		"flow keys":      "{" + strings.Repeat("a: b, ", 100_000),
		"explicit keys":  strings.Repeat("? a\n", 100_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := spec.Parse("f.yaml", []byte(text))
			var fs spec.Faults
			is.True(errors.As(err, &fs))
			is.Equal(len(fs), 1) // faults
		})
	}
}

// TestParseTruncatesFaults guards against an unbounded list of faults for a file
// in which every element is wrong.
func TestParseTruncatesFaults(t *testing.T) {
	is := is.New(t)
	_, err := spec.Parse("f.yaml", []byte(valid+strings.Repeat("  - 7\n", 1500)))
	var fs spec.Faults
	is.True(errors.As(err, &fs))
	is.Equal(len(fs), 1001)
	is.Equal(fs[1000].Message, "500 further faults are not listed")
}

// TestParseManyObjects guards against limits on nesting and keys that reject a
// long list of small objects.
func TestParseManyObjects(t *testing.T) {
	is := is.New(t)
	var sb strings.Builder
	sb.WriteString(valid)
	for i := range 1000 {
		fmt.Fprintf(&sb, "  - name: w%d\n    weight: 2\n    guarantees:\n    - zone: a-1\n      shape: {tasks: 1, accelerators: 1}\n      count: 1\n", i)
	}
	doc, err := spec.Parse("f.yaml", []byte(sb.String()))
	is.NoErr(err)
	is.Equal(len(doc.Declarations.Workspaces), 1001)
}

// TestCompare guards against changes that are missed, reported for equal
// declarations or attributed to another object.
func TestCompare(t *testing.T) {
	is := is.New(t)
	current, err := spec.Parse("a", []byte(valid))
	is.NoErr(err)
	text := strings.NewReplacer("workers: 4", "workers: 5", "name: w\n", "name: v\n").Replace(valid)
	next, err := spec.Parse("b", []byte(text))
	is.NoErr(err)
	is.Equal(spec.Compare(current.Declarations, current.Declarations), nil)
	is.Equal(spec.Compare(current.Declarations, next.Declarations), []spec.Change{
		{Kind: spec.ChangeChanged, Object: spec.ObjectZone, Name: "a-1"},
		{Kind: spec.ChangeAdded, Object: spec.ObjectWorkspace, Name: "v"},
		{Kind: spec.ChangeRemoved, Object: spec.ObjectWorkspace, Name: "w"},
	})
	is.Equal(len(spec.Compare(nil, next.Declarations)), 4) // the time zone, zone, service and workspace
}

// FuzzParse guards against a panic, an accepted file without zones, an error of
// another type than Faults and a fault without a position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &x [*x]\n<<: *x\n"))
	f.Add([]byte("? [a]\n: !!str b\n---\n...\n%YAML 1.2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := spec.Parse("f.yaml", data)
		if err == nil {
			if doc.Declarations == nil || len(doc.Declarations.Zones) == 0 {
				t.Fatal("accepted without a zone")
			}
			return
		}
		var fs spec.Faults
		if !errors.As(err, &fs) || len(fs) == 0 {
			t.Fatalf("error is not Faults: %v", err)
		}
		for _, ft := range fs {
			if ft.Line < 1 || ft.Column < 1 || strings.Contains(ft.Message, "\n") {
				t.Fatalf("malformed fault %+v", ft)
			}
		}
	})
}
