package kvsim

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

// result is the outcome of a call: a response, or the error that the service
// returns instead.
type result struct {
	response any
	err      *kvapi.Error
	isWrite  bool // the call is a write, whether or not it changed anything
}

// handler returns the HTTP handler of one kind of call, which fn executes with mu
// held.
func handler[Req any](sv *Server, count *atomic.Int64, fn func(now time.Time, req Req) result) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		var req Req
		if !decode(w, r, &req) {
			return
		}
		if !sv.applyFaults(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		res := sv.execute(func(now time.Time) result { return fn(now, req) })
		if res.isWrite && sv.dropResponse() {
			panic(http.ErrAbortHandler)
		}
		if res.err != nil {
			writeError(w, *res.err)
			return
		}
		writeJSON(w, http.StatusOK, res.response)
	}
}

// execute applies one call to the state and wakes the watches if it changed
// anything.
func (sv *Server) execute(fn func(now time.Time) result) result {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.expire()
	before := sv.state.revision
	res := fn(sv.clock())
	if sv.state.revision != before {
		sv.notifyWatches()
	}
	return res
}

func (sv *Server) handleRange(_ time.Time, req kvapi.RangeRequest) result {
	return result{response: sv.state.rangeKeys(req)}
}

func (sv *Server) handleTxn(_ time.Time, req kvapi.TxnRequest) result {
	if ke := sv.state.validate(req); ke != nil {
		return result{err: ke}
	}
	return result{response: sv.state.txn(req), isWrite: true}
}

func (sv *Server) handleGrant(now time.Time, req kvapi.GrantRequest) result {
	if req.TTL <= 0 {
		return result{err: &kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: "TTL must be positive"}}
	}
	id := req.ID
	if id == 0 {
		id = sv.state.nextLease
		sv.state.nextLease++
	}
	ttl := time.Duration(req.TTL) * time.Second
	sv.state.leases[id] = lease{ttl: ttl, expires: now.Add(ttl)}
	return result{response: sv.leaseResponse(id, req.TTL), isWrite: true}
}

func (sv *Server) handleKeepAlive(now time.Time, req kvapi.LeaseRequest) result {
	fr := kvapi.Frame[kvapi.LeaseResponse]{Result: sv.leaseResponse(req.ID, 0)}
	if le, ok := sv.state.leases[req.ID]; ok {
		sv.state.leases[req.ID] = lease{ttl: le.ttl, expires: now.Add(le.ttl)}
		fr.Result.TTL = int64(le.ttl / time.Second)
	}
	return result{response: fr, isWrite: true}
}

func (sv *Server) handleRevoke(_ time.Time, req kvapi.LeaseRequest) result {
	if _, ok := sv.state.leases[req.ID]; !ok {
		return result{err: &kvapi.Error{Code: kvapi.CodeNotFound, Message: kvapi.MessageLeaseNotFound}}
	}
	sv.state.endLease(req.ID)
	return result{response: sv.leaseResponse(0, 0), isWrite: true}
}

func (sv *Server) leaseResponse(id, ttl int64) kvapi.LeaseResponse {
	return kvapi.LeaseResponse{Header: kvapi.Header{Revision: sv.state.revision}, ID: id, TTL: ttl}
}

func (sv *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var fr faultsRequest
	if !decode(w, r, &fr) {
		return
	}
	sv.SetFaults(Faults{
		Down: fr.Down, Slow: time.Duration(fr.SlowMillis) * time.Millisecond,
		LoseAnswers: fr.LoseAnswers, RefuseFirst: fr.RefuseFirst, FreezeWatches: fr.FreezeWatches,
	})
	writeJSON(w, http.StatusOK, fr)
}

func (sv *Server) handleSnapshot(w http.ResponseWriter, _ *http.Request) {
	sn := sv.Snapshot()
	sv.mu.Lock()
	sv.saved = &sn
	sv.mu.Unlock()
	writeJSON(w, http.StatusOK, kvapi.Header{Revision: sn.st.revision})
}

func (sv *Server) handleRestore(w http.ResponseWriter, _ *http.Request) {
	sv.mu.Lock()
	sn := sv.saved
	sv.mu.Unlock()
	if sn == nil {
		writeError(w, kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: "no snapshot has been taken"})
		return
	}
	sv.Restore(*sn)
	writeJSON(w, http.StatusOK, kvapi.Header{Revision: sn.st.revision})
}

func (sv *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, sv.Calls())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: kvapi.MessageTooLarge})
		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		writeError(w, kvapi.Error{Code: kvapi.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, ke kvapi.Error) {
	status := http.StatusBadRequest
	if ke.Code == kvapi.CodeNotFound {
		status = http.StatusNotFound
	}
	writeJSON(w, status, ke)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
