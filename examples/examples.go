// Package sacos carries the example declarations, so that a program can begin
// with them wherever it is started.
package sacos

import _ "embed"

// Name is the file's path in the repository, for messages.
const Name = "examples/sacos.yaml"

// Declarations is the content of the file.
//
//go:embed sacos.yaml
var Declarations []byte
