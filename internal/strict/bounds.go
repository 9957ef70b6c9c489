package strict

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

type (
	// bounds counts the open levels of a file over its tokens. Block levels
	// show as columns, flow levels as brackets; both are counted, so that no
	// way of nesting escapes the bound.
	bounds struct {
		blocks []block
		flows  []int // keys of each open bracket
	}

	// block is one open level.
	block struct {
		column int
		keys   int
	}
)

const (
	// maxNesting bounds the depth of a file, since the parser is recursive.
	maxNesting = 64
	// maxKeys bounds the keys of one mapping, since the parser takes time that
	// grows with their square.
	maxKeys = 256
)

// pastBounds returns the first token that is past a bound, and which one.
func pastBounds(tokens token.Tokens) (*token.Token, string) {
	var bo bounds
	for _, tk := range tokens {
		bo.count(tk)
		if len(bo.flows)+len(bo.blocks) > maxNesting {
			return tk, fmt.Sprintf("the file is nested deeper than %d levels", maxNesting)
		}
		if bo.keys() > maxKeys {
			return tk, fmt.Sprintf("a mapping has more than %d keys", maxKeys)
		}
	}
	return nil, ""
}

func (bo *bounds) count(tk *token.Token) {
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		bo.flows = append(bo.flows, 0)
	case token.SequenceEndType, token.MappingEndType:
		bo.flows = bo.flows[:max(len(bo.flows)-1, 0)]
	case token.MappingValueType:
		bo.key(tk)
	case token.MappingKeyType:
		bo.keyAt(tk.Position.Column)
	case token.SequenceEntryType, token.TagType, token.AnchorType:
		bo.open(tk.Position.Column)
	}
}

// key counts a key by its colon.
func (bo *bounds) key(tk *token.Token) {
	column := tk.Position.Column
	if tk.Prev != nil && tk.Prev.Position.Line == tk.Position.Line {
		column = tk.Prev.Position.Column
	}
	bo.keyAt(column)
}

func (bo *bounds) keyAt(column int) {
	if len(bo.flows) > 0 {
		bo.flows[len(bo.flows)-1]++
		return
	}
	bo.open(column)
	bo.blocks[len(bo.blocks)-1].keys++
}

// open enters the block level of a column and leaves those further right.
func (bo *bounds) open(column int) {
	for len(bo.blocks) > 0 && bo.blocks[len(bo.blocks)-1].column > column {
		bo.blocks = bo.blocks[:len(bo.blocks)-1]
	}
	if len(bo.blocks) == 0 || bo.blocks[len(bo.blocks)-1].column < column {
		bo.blocks = append(bo.blocks, block{column: column})
	}
}

// keys returns the number of keys of the innermost mapping.
func (bo *bounds) keys() int {
	if len(bo.flows) > 0 {
		return bo.flows[len(bo.flows)-1]
	}
	if len(bo.blocks) > 0 {
		return bo.blocks[len(bo.blocks)-1].keys
	}
	return 0
}
