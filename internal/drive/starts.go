package drive

import (
	"context"
	"sync"

	"github.com/cicadawharf/cicadawharf/internal/domain"
)

// openStarts holds the calls that start attempts and have not returned. Its zero value
// has none.
type openStarts struct {
	mu      sync.Mutex
	cancels map[domain.Withdraw]context.CancelFunc // by the effect that gives a call up
}

func keyOf(st domain.Start) domain.Withdraw {
	return domain.Withdraw{Worker: st.Worker.ID, Task: st.Request.Task, Attempt: st.Request.Attempt}
}

// begin returns the context of a call, which ends when the call is given up.
func (op *openStarts) begin(ctx context.Context, st domain.Start) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	op.mu.Lock()
	defer op.mu.Unlock()
	if op.cancels == nil {
		op.cancels = map[domain.Withdraw]context.CancelFunc{}
	}
	op.cancels[keyOf(st)] = cancel
	return ctx
}

// end forgets a call that has returned.
func (op *openStarts) end(st domain.Start) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if cancel, ok := op.cancels[keyOf(st)]; ok {
		cancel()
		delete(op.cancels, keyOf(st))
	}
}

// withdraw gives up a call.
func (op *openStarts) withdraw(wd domain.Withdraw) {
	op.mu.Lock()
	defer op.mu.Unlock()
	if cancel, ok := op.cancels[wd]; ok {
		cancel()
	}
}
