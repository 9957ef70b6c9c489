package zone

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/sched"
	"github.com/cicadawharf/cicadawharf/internal/store"
	"github.com/cicadawharf/cicadawharf/internal/wire"
)

// ledger keeps the buckets of a zone's jobs in the store under one epoch. Each
// value names the epoch and the number of its write, so that a lost answer is
// settled by reading the value again.
type ledger struct {
	ctx     context.Context
	store   store.Store
	zone    string
	epoch   int64
	buckets []shelf
	done    func(sched.WriteDone)
}

// shelf is one bucket: its last revision, and whether that is certain.
type shelf struct {
	revision store.Revision
	write    int64 // number of the write that the revision belongs to
	doubtful bool  // a later write may stand
}

// valueLimit leaves room for the store's own count of key and value.
const valueLimit = store.MaxValue - 4096

func bucketKey(zone string, bucket int) string { return fmt.Sprintf("jobs/%s/%d", zone, bucket) }

// newerEpochError says that a bucket was written under a larger epoch.
type newerEpochError struct{ epoch int64 }

// Error implements error.
func (ne *newerEpochError) Error() string {
	return fmt.Sprintf("written under the larger epoch %d", ne.epoch)
}

// openLedger reads every bucket and rewrites it under the new epoch, which
// fences every earlier holder.
func openLedger(ctx context.Context, st store.Store, zone string, epoch int64) (*ledger, []jobs.Record, error) {
	ld := &ledger{ctx: ctx, store: st, zone: zone, epoch: epoch, buckets: make([]shelf, Buckets)}
	var rcs []jobs.Record
	for i := range ld.buckets {
		loaded, err := ld.fence(i)
		if err != nil {
			return nil, nil, merry.Prependf(err, "bucket %d", i)
		}
		rcs = append(rcs, loaded...)
	}
	return ld, rcs, nil
}

func (ld *ledger) fence(bucket int) ([]jobs.Record, error) {
	en, _, err := ld.store.Get(ld.ctx, bucketKey(ld.zone, bucket))
	if err != nil {
		return nil, err
	}
	var jb wire.JobBucket
	if err := proto.Unmarshal(en.Value, &jb); err != nil {
		return nil, merry.Wrap(err)
	}
	if jb.GetEpoch() > ld.epoch {
		return nil, merry.Wrap(&newerEpochError{epoch: jb.GetEpoch()})
	}
	ld.buckets[bucket].revision = en.Revision
	var rcs []jobs.Record
	for _, wj := range jb.GetJobs() {
		rcs = append(rcs, jobs.FromWire(wj))
	}
	return rcs, ld.swap(bucket, 0, jb.GetJobs())
}

// write replaces a bucket in the background and reports how it went. The core
// has one write of a bucket on its way at most.
func (ld *ledger) write(ef sched.Write) {
	go func() {
		wjs := make([]*wire.Job, 0, len(ef.Jobs))
		for _, rc := range ef.Jobs {
			wjs = append(wjs, jobs.ToWire(rc))
		}
		err := ld.swap(ef.Bucket, ef.Seq, wjs)
		if ld.ctx.Err() != nil {
			return
		}
		ld.done(sched.WriteDone{Bucket: ef.Bucket, Seq: ef.Seq, Result: resultOf(err)})
	}()
}

func resultOf(err error) sched.WriteResult {
	switch {
	case err == nil:
		return sched.WriteSucceeded
	case errors.Is(err, store.ErrConflict):
		return sched.WriteConflict
	case errors.Is(err, store.ErrTooLarge):
		return sched.WriteTooLarge
	case errors.Is(err, store.ErrUnavailable):
		return sched.WriteFailed
	default:
		return sched.WriteUnknown
	}
}

func (ld *ledger) swap(bucket int, write int64, wjs []*wire.Job) error {
	sh := &ld.buckets[bucket]
	if sh.doubtful {
		if err := ld.settle(bucket); err != nil {
			return err
		}
	}
	value, err := proto.Marshal(&wire.JobBucket{Epoch: ld.epoch, Write: write, Jobs: wjs})
	if err != nil {
		return merry.Wrap(err)
	}
	if len(value) > valueLimit {
		return merry.Prependf(store.ErrTooLarge, "%d bytes", len(value))
	}
	rq := store.SwapRequest{Key: bucketKey(ld.zone, bucket), Value: value, Expect: sh.revision}
	mine := func(en store.Entry) bool { return ld.wrote(en, write) }
	en, err := store.SwapSettled(ld.ctx, ld.store, rq, mine)
	if err != nil {
		sh.doubtful = errors.Is(err, store.ErrLost)
		return err
	}
	sh.revision = en.Revision
	sh.write = write
	return nil
}

// settle finds out which of this epoch's writes stands. A write that was
// answered before must still be there, or a later one; anything else was
// written by another scheduler. Only a failed read leaves the doubt, and since
// nothing was sent then, the write at hand has had no effect.
func (ld *ledger) settle(bucket int) error {
	en, _, err := ld.store.Get(ld.ctx, bucketKey(ld.zone, bucket))
	if err != nil {
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	var jb wire.JobBucket
	if err := proto.Unmarshal(en.Value, &jb); err != nil || jb.GetEpoch() != ld.epoch {
		return merry.Prepend(store.ErrConflict, "another epoch has written the bucket")
	}
	ld.buckets[bucket] = shelf{revision: en.Revision, write: jb.GetWrite()}
	return nil
}

// wrote tells whether an entry is the value of a write of this epoch.
func (ld *ledger) wrote(en store.Entry, write int64) bool {
	var jb wire.JobBucket
	if proto.Unmarshal(en.Value, &jb) != nil {
		return false
	}
	return jb.GetEpoch() == ld.epoch && jb.GetWrite() == write
}
