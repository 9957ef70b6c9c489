// Package sacos embeds the example declarations of sacos.yaml, so that a program
// can use them regardless of its working directory.
package sacos

import _ "embed"

// Name is the path of the declarations file in the repository, for use in
// messages.
const Name = "examples/sacos.yaml"

// Declarations is the content of the declarations file.
//
//go:embed sacos.yaml
var Declarations []byte
