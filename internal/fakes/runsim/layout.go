package runsim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/batch"
	"github.com/cicadawharf/cicadawharf/internal/drive"
	"github.com/cicadawharf/cicadawharf/internal/runner"
	"github.com/cicadawharf/cicadawharf/internal/store"
)

// The keys under which the simulated platform stores its data.
const (
	PolicyKey        = "policy"
	WorkerPrefix     = "workers/"
	EvacuationPrefix = "evacuated/" // followed by an availability zone
)

// Layout returns the storage layout of the simulated platform, which stores the
// policy and the workers as JSON.
func Layout() drive.StoreLayout {
	return drive.StoreLayout{
		PolicyKey: PolicyKey, WorkerPrefix: WorkerPrefix, EvacuationPrefix: EvacuationPrefix, EvacuationValue: []byte("{}"),
		DecodePolicy: func(value []byte) (*batch.Policy, error) {
			var po batch.Policy
			return &po, json.Unmarshal(value, &po)
		},
		DecodeWorker: func(id string, value []byte) (wk runner.Worker, err error) {
			err = json.Unmarshal(value, &wk)
			wk.ID = id
			return wk, err
		},
	}
}

// Put stores a value of the platform as JSON under a new key. The error is
// store.ErrConflict if the key exists.
func Put(ctx context.Context, st store.Store, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return merry.Prepend(err, key)
	}
	_, err = st.Swap(ctx, store.SwapRequest{Key: key, Value: data})
	return merry.Prepend(err, key)
}

// AddWorker starts a worker and adds it to the platform's list of workers, with
// Born set to its start time.
func (cl *Client) AddWorker(ctx context.Context, st store.Store, wk runner.Worker) error {
	cl.With(func(now time.Time, fl *Fleet) { wk.Born = fl.Add(now, wk.ID, wk.Capacity, 1) })
	return Put(ctx, st, WorkerPrefix+wk.ID, wk)
}
