// Package wire contains the protobuf messages, generated from wire.proto, that
// the processes of cicadawharf exchange or keep in the platform's store.
package wire

//go:generate sh -c "go build -modfile=../../tools/go.mod -o ../../.cache/ google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=../../.cache/protoc-gen-go --go_out=. --go_opt=paths=source_relative wire.proto"
