package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

type (
	// Config configures a Client.
	Config struct {
		Addresses []string      // IP:port of interchangeable servers
		Timeout   time.Duration // of one call, or of opening a watch
		Log       *slog.Logger
	}

	// Client is a Store that calls the service over HTTP. Each method call is
	// at most one HTTP request. It is safe for concurrent use.
	Client struct {
		addresses []string
		timeout   time.Duration
		log       *slog.Logger
		transport *http.Transport
		preferred atomic.Uint32 // address to try first: an index modulo len(addresses)
		closeOnce sync.Once
	}
)

const (
	defaultTimeout = 2 * time.Second

	// idleTimeout limits the reuse of idle connections. A middlebox that has
	// lost the state of a connection silently drops what is sent on it.
	idleTimeout = 5 * time.Second

	maxIdleConnections = 8
	maxResponseBytes   = 256 << 20
	maxHeaderBytes     = 64 << 10
)

// New returns a client of the service without connecting to it.
func New(cf Config) *Client {
	timeout := cf.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	log := cf.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	dialTimeout := timeout / time.Duration(max(1, len(cf.Addresses)))
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		addresses: append([]string(nil), cf.Addresses...),
		timeout:   timeout,
		log:       log,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    maxIdleConnections,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Close closes the idle connections. Calls in progress continue.
func (cl *Client) Close() {
	cl.closeOnce.Do(cl.transport.CloseIdleConnections)
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Entry, Revision, error) {
	rep, err := cl.read(ctx, kindGet, kvapi.RangeRequest{Key: []byte(key)})
	if err != nil {
		return Entry{}, 0, err
	}
	return firstEntry(key, rep.KVs), Revision(rep.Header.Revision), nil
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	req := kvapi.RangeRequest{Key: []byte(prefix), RangeEnd: kvapi.PrefixEnd(prefix)}
	if prefix == "" {
		req.Key = []byte{0}
	}
	rep, err := cl.read(ctx, kindList, req)
	if err != nil {
		return nil, 0, err
	}
	ents := make([]Entry, 0, len(rep.KVs))
	for _, kv := range rep.KVs {
		ents = append(ents, toEntry(kv))
	}
	return ents, Revision(rep.Header.Revision), nil
}

// Swap implements Store.
func (cl *Client) Swap(ctx context.Context, req SwapRequest) (Entry, error) {
	if len(req.Value) > MaxValue {
		return Entry{}, wrap(ErrTooLarge, kindSwap, nil)
	}
	var rep kvapi.TxnResponse
	if err := cl.call(ctx, kindSwap, kvapi.PathTxn, toTxn(req), &rep); err != nil {
		return Entry{}, err
	}
	if !rep.Succeeded {
		return failedSwap(req.Key, rep)
	}
	ent := Entry{Key: req.Key, Value: req.Value, Revision: Revision(rep.Header.Revision), Lease: req.Lease}
	if req.Value == nil {
		ent.Revision, ent.Lease = 0, 0
	}
	return ent, nil
}

// Grant implements Store. The service accepts whole seconds, so ttl is rounded up.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var rep kvapi.LeaseResponse
	err := cl.call(ctx, kindGrant, kvapi.PathGrant, kvapi.GrantRequest{TTL: seconds}, &rep)
	if err != nil {
		return 0, err
	}
	if rep.ID == 0 {
		return 0, wrap(ErrOutcomeUnknown, kindGrant, errors.New("response has no lease ID"))
	}
	return LeaseID(rep.ID), nil
}

// Renew implements Store. It is one message of the service's streaming call.
func (cl *Client) Renew(ctx context.Context, id LeaseID) error {
	var rep kvapi.Frame[kvapi.LeaseResponse]
	err := cl.call(ctx, kindRenew, kvapi.PathKeepAlive, kvapi.LeaseRequest{ID: int64(id)}, &rep)
	if err != nil {
		return err
	}
	if rep.Error != nil {
		return classify(kindRenew, http.StatusInternalServerError, *rep.Error)
	}
	if rep.Result.TTL <= 0 {
		return wrap(ErrLeaseExpired, kindRenew, nil)
	}
	return nil
}

// Revoke implements Store.
func (cl *Client) Revoke(ctx context.Context, id LeaseID) error {
	var rep kvapi.LeaseResponse
	return cl.call(ctx, kindRevoke, kvapi.PathRevoke, kvapi.LeaseRequest{ID: int64(id)}, &rep)
}

func (cl *Client) read(ctx context.Context, ck callKind, req kvapi.RangeRequest) (kvapi.RangeResponse, error) {
	var rep kvapi.RangeResponse
	err := cl.call(ctx, ck, kvapi.PathRange, req, &rep)
	return rep, err
}

// call makes one call within the timeout and decodes its response.
func (cl *Client) call(ctx context.Context, ck callKind, path string, req, rep any) error {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	res, err := cl.send(ctx, ck, path, req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		cl.failOver()
		return ck.recordFailure(wrap(ck.noReplyError(), ck, err))
	}
	if res.StatusCode != http.StatusOK {
		return ck.recordFailure(classify(ck, res.StatusCode, decodeError(data)))
	}
	if err := json.Unmarshal(data, rep); err != nil {
		return ck.recordFailure(wrap(ck.noReplyError(), ck, err))
	}
	return nil
}

// failOver closes the idle connections and prefers the next address after a call
// without a reply, since further calls to that address may get none either.
func (cl *Client) failOver() {
	cl.preferred.Add(1)
	cl.transport.CloseIdleConnections()
}

func toTxn(req SwapRequest) kvapi.TxnRequest {
	key := []byte(req.Key)
	op := kvapi.RequestOp{Put: &kvapi.PutRequest{Key: key, Value: req.Value, Lease: int64(req.Lease)}}
	if req.Value == nil {
		op = kvapi.RequestOp{Delete: &kvapi.DeleteRequest{Key: key}}
	}
	return kvapi.TxnRequest{
		Compare: []kvapi.Compare{{
			Key: key, Target: kvapi.TargetMod, Result: kvapi.ResultEqual, ModRevision: int64(req.Expect),
		}},
		Success: []kvapi.RequestOp{op},
		Failure: []kvapi.RequestOp{{Range: &kvapi.RangeRequest{Key: key}}},
	}
}

// failedSwap returns ErrConflict and the current entry, which the service read in
// the transaction that didn't swap.
func failedSwap(key string, rep kvapi.TxnResponse) (Entry, error) {
	err := wrap(ErrConflict, kindSwap, nil)
	if len(rep.Responses) == 0 || rep.Responses[0].Range == nil {
		return Entry{Key: key}, err
	}
	return firstEntry(key, rep.Responses[0].Range.KVs), err
}

// firstEntry returns the entry of key in the response to a read of that key.
func firstEntry(key string, kvs []kvapi.KeyValue) Entry {
	if len(kvs) == 0 {
		return Entry{Key: key}
	}
	return toEntry(kvs[0])
}

// toEntry converts a key that exists. The service omits an empty value, but a nil
// Value stands for a deleted key.
func toEntry(kv kvapi.KeyValue) Entry {
	value := kv.Value
	if value == nil {
		value = []byte{}
	}
	return Entry{Key: string(kv.Key), Value: value, Revision: Revision(kv.ModRevision), Lease: LeaseID(kv.Lease)}
}

// wrap returns an error that wraps one of the Err values, and a cause if it isn't
// nil.
func wrap(sentinel error, ck callKind, cause error) error {
	ws := []merry.Wrapper{merry.NoCaptureStack(), merry.PrependMessage(string(ck))}
	if cause != nil {
		ws = append(ws, merry.WithCause(cause))
	}
	return merry.Wrap(sentinel, ws...)
}
