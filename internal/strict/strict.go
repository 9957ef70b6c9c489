// Package strict decodes YAML files into structs and reports all faults of a
// file at once, each with its position.
//
// Unknown and duplicate keys, values of the wrong type, empty values, multiple
// documents, anchors, aliases, merges and tags are faults. Durations need a
// unit. Decoding never panics on a malformed file, and files that exceed the
// limits on size and nesting are rejected before they are parsed.
package strict

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

type (
	// Fault is an error in a file, with its position.
	Fault struct {
		File    string
		Line    int // from 1
		Column  int // from 1
		Message string
	}

	// Faults lists the faults of a file, sorted by position.
	Faults []Fault

	// Document is a decoded file. It maps the YAML paths of the file, such as
	// $.zones[1].name, to positions and collects faults.
	Document struct {
		file      string
		positions map[string]position
		faults    Faults
	}

	// position is a place in a file.
	position struct {
		line   int // from 1
		column int // from 1
	}
)

const (
	// Root is the path of a whole document.
	Root = "$"

	// maxBytes limits the size of a file.
	maxBytes = 4 << 20
	// maxFaults limits the number of faults listed for one file.
	maxFaults = 1000
)

// Decode decodes data into the struct that into points to, whose fields are
// named by yaml tags. The name of the file is only used in messages. Faults are
// collected in the document; fields with faults keep their previous values.
func Decode(file string, data []byte, into any) *Document {
	doc := &Document{file: file, positions: map[string]position{Root: {line: 1, column: 1}}}
	body, ok := doc.parse(data)
	if !ok {
		return doc
	}
	de := decoder{doc: doc}
	de.value(Root, body, reflect.ValueOf(into).Elem())
	return doc
}

// Has reports whether the file has a value at path.
func (doc *Document) Has(path string) bool {
	_, ok := doc.positions[path]
	return ok
}

// Position returns the line and column of the value at path, or of the innermost
// enclosing value if the file has none there.
func (doc *Document) Position(path string) (line, column int) {
	for {
		if pos, ok := doc.positions[path]; ok {
			return pos.line, pos.column
		}
		idx := strings.LastIndexAny(path, ".[")
		if idx <= 0 {
			return 1, 1
		}
		path = path[:idx]
	}
}

// Fault returns a fault at path without adding it to the document.
func (doc *Document) Fault(path, message string) Fault {
	line, column := doc.Position(path)
	return Fault{File: doc.file, Line: line, Column: column, Message: message}
}

// Report adds a fault at path to the document.
func (doc *Document) Report(path, format string, args ...any) {
	doc.faults = append(doc.faults, doc.Fault(path, fmt.Sprintf(format, args...)))
}

// Err returns the collected Faults, sorted by position, or nil if there are
// none. Those beyond the first maxFaults are replaced by one fault that states
// their number.
func (doc *Document) Err() error {
	if len(doc.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(doc.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(doc.faults) <= maxFaults {
		return slices.Clone(doc.faults)
	}
	fs := slices.Clone(doc.faults[:maxFaults+1])
	fs[maxFaults].Message = fmt.Sprintf("%d further faults are not listed", len(doc.faults)-maxFaults)
	return fs
}

// Error implements error. The text has one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, ft := range fs {
		lines[i] = ft.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault as file:line:column: message.
func (ft Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", ft.File, ft.Line, ft.Column, ft.Message)
}

// Key returns the path of a key in the mapping at path.
func Key(path, key string) string { return path + "." + key }

// Index returns the path of element i of the sequence at path.
func Index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func (doc *Document) reportAt(pos position, format string, args ...any) {
	doc.faults = append(doc.faults, Fault{
		File: doc.file, Line: pos.line, Column: pos.column, Message: fmt.Sprintf(format, args...),
	})
}

// parse returns the body of the only document of a file. It reports a file that
// exceeds a limit, has a syntax error, or has no or multiple documents.
func (doc *Document) parse(data []byte) (ast.Node, bool) {
	if len(data) > maxBytes {
		doc.Report(Root, "the file is larger than %d bytes", maxBytes)
		return nil, false
	}
	tokens := lexer.Tokenize(string(data))
	if tk, reason := checkLimits(tokens); tk != nil {
		doc.reportAt(tokenPosition(tk), "%s", reason)
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		doc.reportSyntax(err)
		return nil, false
	}
	return doc.singleBody(file)
}

// singleBody returns the body of the only document of a file. It reports a
// file with no or multiple documents.
func (doc *Document) singleBody(file *ast.File) (ast.Node, bool) {
	bodies := make([]ast.Node, 0, 1)
	for _, dc := range file.Docs {
		if dc.Body == nil || dc.Body.Type() == ast.CommentType {
			continue
		}
		bodies = append(bodies, dc.Body)
	}
	switch {
	case len(bodies) == 0:
		doc.Report(Root, "the file is empty")
		return nil, false
	case len(bodies) > 1:
		doc.reportAt(nodePosition(bodies[1]), "the file holds more than one document")
		return nil, false
	}
	return bodies[0], true
}

func (doc *Document) reportSyntax(err error) {
	var ye yaml.Error
	if !errors.As(err, &ye) || ye.GetToken() == nil {
		doc.Report(Root, "%s", firstLine(err.Error()))
		return
	}
	doc.reportAt(tokenPosition(ye.GetToken()), "%s", firstLine(ye.GetMessage()))
}

func tokenPosition(tk *token.Token) position {
	if tk == nil || tk.Position == nil {
		return position{line: 1, column: 1}
	}
	return position{line: max(tk.Position.Line, 1), column: max(tk.Position.Column, 1)}
}

// nodePosition returns the position where a node begins. A block mapping begins
// at its first key, although its token is the colon.
func nodePosition(nd ast.Node) position {
	switch nd := nd.(type) {
	case *ast.MappingNode:
		if !nd.IsFlowStyle && len(nd.Values) > 0 {
			return nodePosition(nd.Values[0])
		}
	case *ast.MappingValueNode:
		return tokenPosition(nd.Key.GetToken())
	}
	return tokenPosition(nd.GetToken())
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
