package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// level is an object or array that the walk is inside of.
type level struct {
	keys   map[string]bool // nil in an array
	isName bool            // the next token is a name
}

// checkKeys refuses JSON whose objects have the same key twice, of which the
// decoder would silently take the last.
func checkKeys(content []byte) *codes.Error {
	dc := json.NewDecoder(bytes.NewReader(content))
	var levels []*level
	for {
		token, err := dc.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return codes.New(codes.BadRequest, "the body is not JSON: %v", err)
		}
		if de, ok := token.(json.Delim); ok {
			levels = walk(levels, de)
			continue
		}
		if len(levels) == 0 {
			continue
		}
		if name, doubled := levels[len(levels)-1].visit(token); doubled {
			return codes.New(codes.BadRequest, "key %q is doubled", name)
		}
	}
}

// walk enters or leaves an object or array.
func walk(levels []*level, de json.Delim) []*level {
	switch de {
	case '{':
		return append(levels, &level{keys: make(map[string]bool), isName: true})
	case '[':
		return append(levels, &level{})
	}
	levels = levels[:len(levels)-1]
	if len(levels) > 0 {
		levels[len(levels)-1].isName = true
	}
	return levels
}

// visit takes a name or a plain value.
func (le *level) visit(token json.Token) (name string, doubled bool) {
	if le.keys == nil || !le.isName {
		le.isName = true
		return "", false
	}
	name, _ = token.(string)
	doubled = le.keys[name]
	le.keys[name] = true
	le.isName = false
	return name, doubled
}
