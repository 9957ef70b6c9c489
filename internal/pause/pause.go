// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d, and returns false if ctx ended before. A negative time is
// none.
func For(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}
