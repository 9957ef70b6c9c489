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

// bucketStore keeps the buckets of a zone's jobs in the store under one epoch.
// Each value contains the epoch and the sequence number of its write, so that
// the outcome of a write whose reply was lost is found by reading the value.
type bucketStore struct {
	ctx       context.Context // ends with the term
	store     store.Store
	zone      string
	epoch     int64
	buckets   []bucketState
	onWritten func(sched.WriteDone) // called with the result of each write
}

// bucketState is the last known revision of a bucket.
type bucketState struct {
	revision      store.Revision
	writeSeq      int64 // sequence number of the write that produced the revision
	indeterminate bool  // a later write may have taken effect
}

// maxBucketBytes leaves room for the key and the encoding, which count towards
// the store's limit.
const maxBucketBytes = store.MaxValue - 4096

func bucketKey(zone string, bucket int) string { return fmt.Sprintf("jobs/%s/%d", zone, bucket) }

// newerEpochError says that a bucket was written under a larger epoch.
type newerEpochError struct{ epoch int64 }

// Error implements error.
func (ne *newerEpochError) Error() string {
	return fmt.Sprintf("written under the larger epoch %d", ne.epoch)
}

// openBuckets reads every bucket and rewrites it under the new epoch, so that
// writes of earlier leaders fail. It returns the records of all buckets.
func openBuckets(ctx context.Context, st store.Store, zone string, epoch int64) (*bucketStore, []jobs.Record, error) {
	bs := &bucketStore{ctx: ctx, store: st, zone: zone, epoch: epoch, buckets: make([]bucketState, Buckets)}
	var rcs []jobs.Record
	for i := range bs.buckets {
		loaded, err := bs.fenceAndLoad(i)
		if err != nil {
			return nil, nil, merry.Prependf(err, "bucket %d", i)
		}
		rcs = append(rcs, loaded...)
	}
	return bs, rcs, nil
}

// fenceAndLoad reads a bucket, writes it back under the epoch, and returns its
// records.
func (bs *bucketStore) fenceAndLoad(bucket int) ([]jobs.Record, error) {
	en, _, err := bs.store.Get(bs.ctx, bucketKey(bs.zone, bucket))
	if err != nil {
		return nil, err
	}
	var jb wire.JobBucket
	if err := proto.Unmarshal(en.Value, &jb); err != nil {
		return nil, merry.Wrap(err)
	}
	if jb.GetEpoch() > bs.epoch {
		return nil, merry.Wrap(&newerEpochError{epoch: jb.GetEpoch()})
	}
	bs.buckets[bucket].revision = en.Revision
	var rcs []jobs.Record
	for _, wj := range jb.GetJobs() {
		rcs = append(rcs, jobs.FromWire(wj))
	}
	return rcs, bs.swap(bucket, 0, jb.GetJobs())
}

// write replaces a bucket in the background and passes the result to onWritten,
// unless the term has ended. The core has at most one write of a bucket in
// flight.
func (bs *bucketStore) write(ef sched.Write) {
	go func() {
		wjs := make([]*wire.Job, 0, len(ef.Jobs))
		for _, rc := range ef.Jobs {
			wjs = append(wjs, jobs.ToWire(rc))
		}
		err := bs.swap(ef.Bucket, ef.Seq, wjs)
		if bs.ctx.Err() != nil {
			return
		}
		bs.onWritten(sched.WriteDone{Bucket: ef.Bucket, Seq: ef.Seq, Result: writeResult(err)})
	}()
}

// writeResult returns the result of a write for the core.
func writeResult(err error) sched.WriteResult {
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

// swap replaces a bucket if its revision in the store is the last known one. If
// the outcome of an earlier write is unknown, it first reads the revision.
func (bs *bucketStore) swap(bucket int, seq int64, wjs []*wire.Job) error {
	st := &bs.buckets[bucket]
	if st.indeterminate {
		if err := bs.resolveIndeterminate(bucket); err != nil {
			return err
		}
	}
	value, err := proto.Marshal(&wire.JobBucket{Epoch: bs.epoch, Write: seq, Jobs: wjs})
	if err != nil {
		return merry.Wrap(err)
	}
	if len(value) > maxBucketBytes {
		return merry.Prependf(store.ErrTooLarge, "%d bytes", len(value))
	}
	rq := store.SwapRequest{Key: bucketKey(bs.zone, bucket), Value: value, Expect: st.revision}
	isOwn := func(en store.Entry) bool { return bs.isOwnWrite(en, seq) }
	en, err := store.SwapAndResolve(bs.ctx, bs.store, rq, isOwn)
	if err != nil {
		st.indeterminate = errors.Is(err, store.ErrOutcomeUnknown)
		return err
	}
	st.revision = en.Revision
	st.writeSeq = seq
	return nil
}

// resolveIndeterminate reads which of this epoch's writes took effect last. A
// value of another epoch was written by another scheduler, since a successful
// write of this epoch is replaced only by later ones of it; it is reported as
// store.ErrConflict. A failed read is reported as store.ErrUnavailable: the bucket
// stays indeterminate, and the write for which it was read is not sent.
func (bs *bucketStore) resolveIndeterminate(bucket int) error {
	en, _, err := bs.store.Get(bs.ctx, bucketKey(bs.zone, bucket))
	if err != nil {
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	var jb wire.JobBucket
	if err := proto.Unmarshal(en.Value, &jb); err != nil || jb.GetEpoch() != bs.epoch {
		return merry.Prepend(store.ErrConflict, "another epoch has written the bucket")
	}
	bs.buckets[bucket] = bucketState{revision: en.Revision, writeSeq: jb.GetWrite()}
	return nil
}

// isOwnWrite reports whether an entry was written by the given write of this
// epoch.
func (bs *bucketStore) isOwnWrite(en store.Entry, seq int64) bool {
	var jb wire.JobBucket
	if proto.Unmarshal(en.Value, &jb) != nil {
		return false
	}
	return jb.GetEpoch() == bs.epoch && jb.GetWrite() == seq
}
