package kvsim

import "context"

// Test is the part of testing.TB that Start uses.
type Test interface {
	Helper()
	Cleanup(fn func())
	Error(args ...any)
	Fatal(args ...any)
}

// Start runs a server on a free port until a test ends.
func Start(t Test, cf Config) *Server {
	t.Helper()
	cf.Listen = "127.0.0.1:0"
	sv, err := New(cf)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- sv.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = sv.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return sv
}
