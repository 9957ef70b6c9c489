package strict

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

type (
	// nesting tracks the open nesting levels of a file and their keys while its
	// tokens are scanned. Block levels are told apart by their columns, flow
	// levels by their brackets. Both kinds are counted, so that no form of
	// nesting evades the limit.
	nesting struct {
		blocks []block
		flows  []int // number of keys in each open bracket
	}

	// block is one open block level.
	block struct {
		column int
		keys   int
	}
)

const (
	// maxNesting limits the nesting depth of a file, since the parser is
	// recursive.
	maxNesting = 64
	// maxKeys limits the keys of one mapping, since the parser takes time
	// quadratic in their number.
	maxKeys = 256
)

// MaxTokens returns an upper limit of the number of tokens of a file, without the memory
// that the lexer takes up. It counts each character that may be a token by itself, and
// one token for the text between two of those or between two lines.
func MaxTokens(data []byte) int {
	count, inText := 0, false
	for i, ch := range data {
		switch {
		case ch == '\n', ch == '\r':
			inText = false
		case ch == ' ':
		case ch == '&', ch == '*', ch == '!', ch == '?': // more text may follow its name
			count += 2
			inText = false
		case ch == '|', ch == '>', ch == '%': // with texts, which may be empty
			count += 3
			inText = false
		case isIndicator(data, i):
			count++
			inText = false
		case !inText:
			count++
			inText = true
		}
	}
	return count
}

// isIndicator reports whether the character at a position may end a token.
func isIndicator(data []byte, at int) bool {
	switch ch := data[at]; ch {
	case '{', '}', '[', ']', ',', ':', '\t', '#', '\'', '"', '@', '`':
		return true
	case '-', '.':
		isThird := at >= 2 && data[at-1] == ch && data[at-2] == ch
		return isThird || at+1 == len(data) || data[at+1] <= ' '
	default:
		return false
	}
}

// checkLimits returns the first token that exceeds a limit and a description
// of the limit, or nil if there is none.
func checkLimits(tokens token.Tokens) (*token.Token, string) {
	var ns nesting
	for _, tk := range tokens {
		ns.track(tk)
		if len(ns.flows)+len(ns.blocks) > maxNesting {
			return tk, fmt.Sprintf("the file is nested deeper than %d levels", maxNesting)
		}
		if ns.keys() > maxKeys {
			return tk, fmt.Sprintf("a mapping has more than %d keys", maxKeys)
		}
	}
	return nil, ""
}

// track updates the nesting levels and key counts by the next token.
func (ns *nesting) track(tk *token.Token) {
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		ns.flows = append(ns.flows, 0)
	case token.SequenceEndType, token.MappingEndType:
		ns.flows = ns.flows[:max(len(ns.flows)-1, 0)]
	case token.MappingValueType:
		ns.countKey(tk)
	case token.MappingKeyType:
		ns.countKeyAt(tk.Position.Column)
	case token.SequenceEntryType, token.TagType, token.AnchorType:
		ns.openBlock(tk.Position.Column)
	}
}

// countKey counts a key, given the token of its colon.
func (ns *nesting) countKey(tk *token.Token) {
	column := tk.Position.Column
	if tk.Prev != nil && tk.Prev.Position.Line == tk.Position.Line {
		column = tk.Prev.Position.Column
	}
	ns.countKeyAt(column)
}

// countKeyAt counts a key that begins at a column.
func (ns *nesting) countKeyAt(column int) {
	if len(ns.flows) > 0 {
		ns.flows[len(ns.flows)-1]++
		return
	}
	ns.openBlock(column)
	ns.blocks[len(ns.blocks)-1].keys++
}

// openBlock opens the block level of a column and closes those further right.
func (ns *nesting) openBlock(column int) {
	for len(ns.blocks) > 0 && ns.blocks[len(ns.blocks)-1].column > column {
		ns.blocks = ns.blocks[:len(ns.blocks)-1]
	}
	if len(ns.blocks) == 0 || ns.blocks[len(ns.blocks)-1].column < column {
		ns.blocks = append(ns.blocks, block{column: column})
	}
}

// keys returns the number of keys of the innermost open mapping.
func (ns *nesting) keys() int {
	if len(ns.flows) > 0 {
		return ns.flows[len(ns.flows)-1]
	}
	if len(ns.blocks) > 0 {
		return ns.blocks[len(ns.blocks)-1].keys
	}
	return 0
}
