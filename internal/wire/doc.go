// Package wire holds the protobuf messages that the processes of cicadawharf
// exchange and the values that they keep in the platform's store, generated
// from wire.proto.
package wire

//go:generate sh -c "go build -modfile=../../tools/go.mod -o ../../.cache/ google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=../../.cache/protoc-gen-go --go_out=. --go_opt=paths=source_relative wire.proto"
