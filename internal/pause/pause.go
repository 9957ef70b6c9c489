// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits and returns true, or returns false as soon as ctx is done. It does
// not wait if wait is zero or negative.
func For(ctx context.Context, wait time.Duration) bool {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}
