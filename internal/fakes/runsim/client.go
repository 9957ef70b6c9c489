package runsim

import (
	"context"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// Client makes calls to a fleet in real time. It implements runner.Client and
// is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	fleet *Fleet
}

// pollStep is how often a poll that waits checks for an end.
const pollStep = 5 * time.Millisecond

// NewClient returns a client of a fleet, which must not be used beside it but
// within With.
func NewClient(fl *Fleet) *Client { return &Client{fleet: fl} }

// With gives access to the fleet.
func (cl *Client) With(fn func(now time.Time, fl *Fleet)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	cl.fleet.Advance(now)
	fn(now, cl.fleet)
}

// Poll implements runner.Client.
func (cl *Client) Poll(ctx context.Context, wk runner.Worker, rq runner.PollRequest) (runner.Status, error) {
	until := time.Now().Add(rq.Wait)
	for {
		var st runner.Status
		var err error
		cl.With(func(now time.Time, fl *Fleet) { st, err = fl.Poll(now, wk.ID, rq) })
		if err != nil || len(st.Ended) > 0 || !time.Now().Before(until) {
			return st, err
		}
		rq.Acked, rq.Deadline = 0, 0 // these count when the call arrives
		if !pause.For(ctx, pollStep) {
			return runner.Status{}, runner.ErrOutcomeUnknown
		}
	}
}

// Start implements runner.Client.
func (cl *Client) Start(_ context.Context, wk runner.Worker, rq runner.StartRequest) (err error) {
	cl.With(func(now time.Time, fl *Fleet) { err = fl.Start(now, wk.ID, rq) })
	return err
}

// Stop implements runner.Client.
func (cl *Client) Stop(_ context.Context, wk runner.Worker, rq runner.StopRequest) (err error) {
	cl.With(func(now time.Time, fl *Fleet) { err = fl.Stop(now, wk.ID, rq) })
	return err
}
