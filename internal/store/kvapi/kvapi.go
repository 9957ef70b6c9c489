// Package kvapi defines the messages of the platform's key-value service. They
// are the subset of the JSON gateway of etcd v3 that this system uses.
//
// Numbers of 64 bits are encoded as strings and bytes as base64. The service
// omits fields with a zero value, so every field may be absent.
package kvapi

type (
	// Header is part of every response and holds the store's revision.
	Header struct {
		Revision int64 `json:"revision,string,omitempty"`
	}

	// KeyValue is one key with its value and revisions.
	KeyValue struct {
		Key            []byte `json:"key,omitempty"`
		CreateRevision int64  `json:"create_revision,string,omitempty"`
		ModRevision    int64  `json:"mod_revision,string,omitempty"`
		Version        int64  `json:"version,string,omitempty"` // number of writes since the key was created
		Value          []byte `json:"value,omitempty"`
		Lease          int64  `json:"lease,string,omitempty"`
	}

	// RangeRequest reads one key, or those from Key up to but not including
	// RangeEnd.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}

	// RangeResponse is the response to a RangeRequest, in key order.
	RangeResponse struct {
		Header Header     `json:"header"`
		KVs    []KeyValue `json:"kvs,omitempty"`
		Count  int64      `json:"count,string,omitempty"`
	}

	// PutRequest sets one key.
	PutRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value,omitempty"`
		Lease int64  `json:"lease,string,omitempty"`
	}

	// DeleteRequest deletes one key.
	DeleteRequest struct {
		Key []byte `json:"key"`
	}

	// Compare is one condition of a transaction.
	Compare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	// RequestOp is one operation of a transaction: one of the fields is set.
	RequestOp struct {
		Range  *RangeRequest  `json:"request_range,omitempty"`
		Put    *PutRequest    `json:"request_put,omitempty"`
		Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	}

	// ResponseOp is the response to one RequestOp.
	ResponseOp struct {
		Range  *RangeResponse `json:"response_range,omitempty"`
		Put    *WriteResponse `json:"response_put,omitempty"`
		Delete *WriteResponse `json:"response_delete_range,omitempty"`
	}

	// WriteResponse is the response to a PutRequest or DeleteRequest.
	WriteResponse struct {
		Header Header `json:"header"`
	}

	// TxnRequest performs Success if every condition holds, else Failure.
	TxnRequest struct {
		Compare []Compare   `json:"compare,omitempty"`
		Success []RequestOp `json:"success,omitempty"`
		Failure []RequestOp `json:"failure,omitempty"`
	}

	// TxnResponse is the response to a TxnRequest.
	TxnResponse struct {
		Header    Header       `json:"header"`
		Succeeded bool         `json:"succeeded,omitempty"`
		Responses []ResponseOp `json:"responses,omitempty"`
	}

	// LeaseRequest identifies a lease to renew or revoke.
	LeaseRequest struct {
		ID int64 `json:"ID,string"`
	}

	// GrantRequest creates a lease.
	GrantRequest struct {
		TTL int64 `json:"TTL,string"` // seconds
		ID  int64 `json:"ID,string,omitempty"`
	}

	// LeaseResponse is the response to the calls on leases. A TTL of zero means
	// that the lease has ended.
	LeaseResponse struct {
		Header Header `json:"header"`
		ID     int64  `json:"ID,string,omitempty"`
		TTL    int64  `json:"TTL,string,omitempty"` // seconds
	}

	// WatchRequest opens a stream of changes.
	WatchRequest struct {
		Create WatchCreate `json:"create_request"`
	}

	// WatchCreate selects the changes to send.
	WatchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string,omitempty"`
	}

	// WatchResponse is one message of a stream of changes. CompactRevision isn't
	// zero if the changes from the requested revision on are no longer available.
	WatchResponse struct {
		Header          Header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision int64   `json:"compact_revision,string,omitempty"`
		Events          []Event `json:"events,omitempty"`
	}

	// Event is one change of a key.
	Event struct {
		Type string   `json:"type,omitempty"` // EventPut, EventDelete, or absent for EventPut
		KV   KeyValue `json:"kv"`
	}

	// Error is the body of a response other than 200, and the Error of a Frame.
	Error struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}

	// Frame wraps each message of a streaming call: a result or an error.
	Frame[T any] struct {
		Result T      `json:"result"`
		Error  *Error `json:"error,omitempty"`
	}
)

// Paths of the calls.
const (
	PathRange       = "/v3/kv/range"
	PathTxn         = "/v3/kv/txn"
	PathGrant       = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
	PathRevokeAlias = "/v3/kv/lease/revoke" // second path of the same call as PathRevoke
	PathWatch       = "/v3/watch"
)

// Enum values of the messages.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	EventPut    = "PUT"
	EventDelete = "DELETE"
)

// Values of Error.Code, which are those of gRPC.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Parts of Error.Message by which errors are distinguished.
const (
	MessageLeaseNotFound = "etcdserver: requested lease not found"
	MessageTooLarge      = "etcdserver: request is too large"
	MessageCompacted     = "etcdserver: mvcc: required revision has been compacted"
)

// PrefixEnd returns the exclusive end of the range of all keys with a prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // no upper bound
}
