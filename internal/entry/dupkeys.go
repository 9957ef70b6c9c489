package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// jsonScope is an object or array that encloses the current token.
type jsonScope struct {
	keys      map[string]bool // nil in an array
	expectKey bool            // the next token is a key
	entries   int             // keys or elements so far
}

const (
	// maxJSONDepth and maxJSONEntries, of one object or array, bound what decoding a job
	// takes up. No valid job exceeds them.
	maxJSONDepth   = 8
	maxJSONEntries = maxCommandArgs
)

// checkJSON rejects JSON in which an object has the same key twice, for which
// encoding/json would silently use the last one, or that exceeds maxJSONDepth or
// maxJSONEntries. It also rejects content that is not JSON, but accepts content that
// ends between two tokens.
func checkJSON(content []byte) *codes.Error {
	dc := json.NewDecoder(bytes.NewReader(content))
	var scopes []*jsonScope
	for {
		token, err := dc.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return codes.New(codes.BadRequest, "the body is not JSON: %v", err)
		}
		de, isDelim := token.(json.Delim)
		if len(scopes) > 0 && !isEnd(de) {
			if sc := scopes[len(scopes)-1]; !sc.count() {
				return codes.New(codes.BadRequest, "an object or list has more than %d entries", maxJSONEntries)
			}
		}
		if isDelim {
			if scopes = enterOrLeave(scopes, de); len(scopes) > maxJSONDepth {
				return codes.New(codes.BadRequest, "the body is nested deeper than %d levels", maxJSONDepth)
			}
			continue
		}
		if len(scopes) == 0 {
			continue
		}
		if name, duplicate := scopes[len(scopes)-1].visit(token); duplicate {
			return codes.New(codes.BadRequest, "key %q is given more than once", name)
		}
	}
}

func isEnd(de json.Delim) bool { return de == '}' || de == ']' }

// count counts the next token and reports whether the scope may have it.
func (js *jsonScope) count() bool {
	if js.keys == nil || js.expectKey {
		js.entries++
	}
	return js.entries <= maxJSONEntries
}

// enterOrLeave returns the enclosing scopes after a delimiter.
func enterOrLeave(scopes []*jsonScope, de json.Delim) []*jsonScope {
	switch de {
	case '{':
		return append(scopes, &jsonScope{keys: make(map[string]bool), expectKey: true})
	case '[':
		return append(scopes, &jsonScope{})
	}
	scopes = scopes[:len(scopes)-1]
	if len(scopes) > 0 {
		scopes[len(scopes)-1].expectKey = true
	}
	return scopes
}

// visit processes a key or a plain value. For a key, it returns the key and
// whether the object already had it.
func (js *jsonScope) visit(token json.Token) (name string, duplicate bool) {
	if js.keys == nil || !js.expectKey {
		js.expectKey = true
		return "", false
	}
	name, _ = token.(string)
	duplicate = js.keys[name]
	js.keys[name] = true
	js.expectKey = false
	return name, duplicate
}
