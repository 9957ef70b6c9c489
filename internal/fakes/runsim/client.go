package runsim

import (
	"context"
	"sync"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/pause"
	"github.com/cicadawharf/cicadawharf/internal/runner"
)

// Client calls a fleet in real time. It implements runner.Client and is safe
// for concurrent use.
type Client struct {
	mu    sync.Mutex
	fleet *Fleet
}

// pollInterval is how often a waiting call checks for ended attempts.
const pollInterval = 5 * time.Millisecond

// NewClient returns a client of a fleet. From then on, the fleet must only be
// accessed through With.
func NewClient(fl *Fleet) *Client { return &Client{fleet: fl} }

// With calls fn with the present time and exclusive access to the fleet, after
// advancing the fleet to that time.
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
	for first := true; ; first = false {
		var st runner.Status
		var err error
		expired := false
		cl.With(func(now time.Time, fl *Fleet) {
			expired = !now.Before(until)
			if first || expired || fl.hasNews(wk.ID, rq.Token) {
				st, err = fl.Poll(now, wk.ID, rq)
			}
		})
		if err != nil || len(st.Ended.Ends) > 0 || expired {
			return st, err
		}
		rq.Acked, rq.Deadline = 0, 0 // applied once, when the call arrives
		if !pause.For(ctx, pollInterval) {
			return runner.Status{}, runner.ErrOutcomeUnknown
		}
	}
}

// Start implements runner.Client.
func (cl *Client) Start(_ context.Context, wk runner.Worker, rq runner.StartRequest) (clock time.Duration, err error) {
	cl.With(func(now time.Time, fl *Fleet) {
		err = fl.Start(now, wk.ID, rq)
		clock = fl.Clock(now, wk.ID)
	})
	return clock, err
}

// Stop implements runner.Client.
func (cl *Client) Stop(_ context.Context, wk runner.Worker, rq runner.StopRequest) (err error) {
	cl.With(func(now time.Time, fl *Fleet) { err = fl.Stop(now, wk.ID, rq) })
	return err
}
