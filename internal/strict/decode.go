package strict

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// decoder walks a syntax tree and the target value in parallel. It reports
// faults to the document and records the positions of values there.
type decoder struct {
	doc *Document
}

var durationType = reflect.TypeFor[time.Duration]()

// value decodes a node into a value. The caller has recorded its position.
func (de decoder) value(path string, nd ast.Node, into reflect.Value) {
	if reason := unsupported(nd); reason != "" {
		de.doc.reportAt(nodePosition(nd), "%s", reason)
		return
	}
	switch {
	case into.Type() == durationType:
		de.duration(nd, into)
	case into.Kind() == reflect.Struct:
		de.mapping(path, nd, into)
	case into.Kind() == reflect.Slice:
		de.sequence(path, nd, into)
	default:
		de.scalar(nd, into)
	}
}

func (de decoder) mapping(path string, nd ast.Node, into reflect.Value) {
	entries, ok := entriesOf(nd)
	if !ok {
		de.reportType(nd, "a mapping of keys to values")
		return
	}
	seen := make(map[string]bool, len(entries))
	for _, en := range entries {
		key, ok := de.key(en)
		if !ok {
			continue
		}
		pos := nodePosition(en)
		fd, known := field(into, key)
		switch {
		case seen[key]:
			de.doc.reportAt(pos, "duplicate key %q", key)
			continue
		case !known:
			de.doc.reportAt(pos, "unknown key %q; valid keys are %s", key, strings.Join(keys(into.Type()), ", "))
			continue
		}
		seen[key] = true
		de.entry(Key(path, key), en, fd)
	}
}

// entry decodes the value of a key and records its position: that of the value
// for a scalar, that of the key for a mapping or sequence.
func (de decoder) entry(path string, en *ast.MappingValueNode, into reflect.Value) {
	pos := nodePosition(en)
	if isScalar(en.Value) {
		pos = nodePosition(en.Value)
	}
	de.doc.positions[path] = pos
	if en.Value == nil || en.Value.Type() == ast.NullType {
		de.doc.reportAt(nodePosition(en), "key %q has no value", path[strings.LastIndex(path, ".")+1:])
		return
	}
	de.value(path, en.Value, into)
}

// key returns the text of a key. A key that is not plain text is reported.
func (de decoder) key(en *ast.MappingValueNode) (string, bool) {
	if sn, ok := en.Key.(*ast.StringNode); ok {
		return sn.Value, true
	}
	de.doc.reportAt(nodePosition(en), "a key must be plain text")
	return "", false
}

func (de decoder) sequence(path string, nd ast.Node, into reflect.Value) {
	sq, ok := nd.(*ast.SequenceNode)
	if !ok {
		de.reportType(nd, "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(sq.Values), len(sq.Values))
	for i, vl := range sq.Values {
		item := Index(path, i)
		if vl == nil || vl.Type() == ast.NullType {
			de.doc.reportAt(nodePosition(sq), "element %d of the list has no value", i+1)
			continue
		}
		de.doc.positions[item] = nodePosition(vl)
		de.value(item, vl, list.Index(i))
	}
	into.Set(list)
}

func (de decoder) duration(nd ast.Node, into reflect.Value) {
	text, ok := textOf(nd)
	if !ok {
		de.reportType(nd, "a duration with a unit, such as 30s")
		return
	}
	du, err := time.ParseDuration(text)
	if err != nil {
		de.doc.reportAt(nodePosition(nd), "%q is not a duration with a unit, such as 30s", text)
		return
	}
	into.SetInt(int64(du))
}

func (de decoder) scalar(nd ast.Node, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		text, ok := textOf(nd)
		if !ok {
			de.reportType(nd, "text, quoted if it looks like a value of another type")
			return
		}
		into.SetString(text)
	case reflect.Bool:
		bn, ok := nd.(*ast.BoolNode)
		if !ok {
			de.reportType(nd, "true or false")
			return
		}
		into.SetBool(bn.Value)
	case reflect.Int, reflect.Int64:
		num, ok := intOf(nd)
		if !ok || into.OverflowInt(num) {
			de.reportType(nd, "an integer")
			return
		}
		into.SetInt(num)
	case reflect.Float64:
		num, ok := floatOf(nd)
		if !ok {
			de.reportType(nd, "a number")
			return
		}
		into.SetFloat(num)
	default:
		panic("strict: cannot decode into " + into.Type().String())
	}
}

func (de decoder) reportType(nd ast.Node, want string) {
	de.doc.reportAt(nodePosition(nd), "the value must be %s", want)
}

// unsupported returns why a node is not supported, or an empty string if it is.
func unsupported(nd ast.Node) string {
	switch nd.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		return "anchors, aliases and merges are not supported"
	case ast.TagType:
		return "tags are not supported"
	case ast.DirectiveType:
		return "directives are not supported"
	default:
		return ""
	}
}

func isScalar(nd ast.Node) bool {
	_, ok := nd.(ast.ScalarNode)
	return ok && nd.Type() != ast.NullType
}

func entriesOf(nd ast.Node) ([]*ast.MappingValueNode, bool) {
	switch nd := nd.(type) {
	case *ast.MappingNode:
		return nd.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{nd}, true
	default:
		return nil, false
	}
}

func textOf(nd ast.Node) (string, bool) {
	switch nd := nd.(type) {
	case *ast.StringNode:
		return nd.Value, true
	case *ast.LiteralNode:
		return nd.Value.Value, true
	default:
		return "", false
	}
}

func intOf(nd ast.Node) (int64, bool) {
	in, ok := nd.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch num := in.Value.(type) {
	case int64:
		return num, true
	case uint64:
		return int64(num), num <= 1<<63-1
	default:
		return 0, false
	}
}

// field returns the field with the yaml tag key of the struct into.
func field(into reflect.Value, key string) (reflect.Value, bool) {
	idx := slices.Index(keys(into.Type()), key)
	if idx < 0 {
		return reflect.Value{}, false
	}
	return into.Field(idx), true
}

// keys returns the yaml keys of the fields of a struct type, in their order.
func keys(ty reflect.Type) []string {
	ks := make([]string, ty.NumField())
	for i := range ks {
		ks[i], _, _ = strings.Cut(ty.Field(i).Tag.Get("yaml"), ",")
	}
	return ks
}

func floatOf(nd ast.Node) (float64, bool) {
	if fn, ok := nd.(*ast.FloatNode); ok {
		return fn.Value, true
	}
	num, ok := intOf(nd)
	return float64(num), ok
}
