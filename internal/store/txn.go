package store

import (
	"context"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

type (
	// Txn atomically changes several keys if each key of Expect has the given
	// revision, zero for a missing key. Keys that aren't in Expect are written
	// unconditionally.
	Txn struct {
		Expect  []Expectation
		Puts    []Put
		Deletes []string
	}

	// Expectation is a key and its required revision.
	Expectation struct {
		Key      string
		Revision Revision
	}

	// Put is a key and its new value.
	Put struct {
		Key   string
		Value []byte
		Lease LeaseID // zero for none
	}

	// TxnStore is a Store with transactions.
	TxnStore interface {
		Store
		// Commit performs one transaction and returns the store's revision after
		// it. On ErrConflict it had no effect, and the returned entries are the
		// current ones of the keys of Expect, a missing one with Revision zero.
		Commit(ctx context.Context, tx Txn) (Revision, []Entry, error)
		// WatchBatched is like Watch but may deliver the changes of each interval
		// together. It is for prefixes that change continuously.
		WatchBatched(ctx context.Context, prefix string, after Revision, interval time.Duration, fn func(Entry) error) error
	}
)

// MaxTxn is the largest number of expectations, puts and deletes together that
// the platform's service accepts in one Txn. Callers must split larger changes.
const MaxTxn = 32

// WatchBatched implements TxnStore. It doesn't batch changes, since a stream
// costs no further calls.
func (cl *Client) WatchBatched(ctx context.Context, prefix string, after Revision, _ time.Duration, fn func(Entry) error) error {
	return cl.Watch(ctx, prefix, after, fn)
}

// Commit implements TxnStore.
func (cl *Client) Commit(ctx context.Context, tx Txn) (Revision, []Entry, error) {
	var rep kvapi.TxnResponse
	if err := cl.call(ctx, kindCommit, kvapi.PathTxn, tx.toAPI(), &rep); err != nil {
		return 0, nil, err
	}
	if rep.Succeeded {
		return Revision(rep.Header.Revision), nil, nil
	}
	var ents []Entry
	for i, re := range rep.Responses {
		if re.Range != nil && i < len(tx.Expect) {
			ents = append(ents, firstEntry(tx.Expect[i].Key, re.Range.KVs))
		}
	}
	return 0, ents, wrap(ErrConflict, kindCommit, nil)
}

func (tx Txn) toAPI() kvapi.TxnRequest {
	var req kvapi.TxnRequest
	for _, ex := range tx.Expect {
		key := []byte(ex.Key)
		req.Compare = append(req.Compare, kvapi.Compare{
			Key: key, Target: kvapi.TargetMod, Result: kvapi.ResultEqual, ModRevision: int64(ex.Revision),
		})
		req.Failure = append(req.Failure, kvapi.RequestOp{Range: &kvapi.RangeRequest{Key: key}})
	}
	for _, pu := range tx.Puts {
		op := kvapi.PutRequest{Key: []byte(pu.Key), Value: pu.Value, Lease: int64(pu.Lease)}
		req.Success = append(req.Success, kvapi.RequestOp{Put: &op})
	}
	for _, key := range tx.Deletes {
		req.Success = append(req.Success, kvapi.RequestOp{Delete: &kvapi.DeleteRequest{Key: []byte(key)}})
	}
	return req
}
