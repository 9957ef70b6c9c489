package wksim

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/internal/worker"
)

type (
	// FaultsRequest is the body of POST FaultsPath. It replaces the injected
	// faults.
	FaultsRequest struct {
		Faults
		Restart     bool `json:"restart"`     // restart with an empty table
		ForgetEpoch bool `json:"forgetEpoch"` // with Restart: also reset the largest epoch
	}

	// outcome is the result of a call.
	outcome struct {
		reply worker.Reply
		err   error
	}
)

// The paths by which tests control a simulated worker in another process.
const (
	FaultsPath = "/standin/faults"
	RunsPath   = "/standin/runs"
)

const (
	maxRequestBytes = 8 << 20
	maxWait         = time.Minute
)

func (sv *Server) routes() http.Handler {
	rt := mux.NewRouter()
	rt.HandleFunc(worker.TasksPath, sv.serveTasks).Methods(http.MethodPost)
	rt.HandleFunc(FaultsPath, sv.serveFaults).Methods(http.MethodPost)
	rt.HandleFunc(RunsPath, sv.serveRuns).Methods(http.MethodGet)
	return rt
}

func (sv *Server) serveTasks(w http.ResponseWriter, r *http.Request) {
	var req worker.Request
	if !readJSON(w, r, &req) {
		return
	}
	sv.waitWhileFrozen()
	oc := sv.apply(req)
	if oc.err == nil && len(req.Commands) == 0 && oc.reply.Version == req.Version {
		oc = sv.wait(r, req, oc)
		sv.waitWhileFrozen()
	}
	if sv.dropResponse() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case oc.err == nil:
		writeJSON(w, http.StatusOK, oc.reply)
	case errors.Is(oc.err, worker.ErrStaleEpoch):
		writeJSON(w, http.StatusConflict, oc.reply)
	default:
		http.Error(w, oc.err.Error(), http.StatusBadRequest)
	}
}

func (sv *Server) apply(req worker.Request) outcome {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	version, epoch := sv.table.version, sv.table.epoch
	reply, err := sv.table.Apply(sv.cfg.Clock(), req)
	if sv.table.version != version || sv.table.epoch != epoch {
		sv.broadcast()
	}
	sv.cfg.Log.Debug("worker call", "worker", sv.cfg.Name, "holder", req.Leader,
		"epoch", req.Epoch, "commands", len(req.Commands), "version", reply.Version, "error", err)
	return outcome{reply: reply, err: err}
}

// wait blocks until the table's version differs from the request's, or until
// the wait time is over. Leases were renewed on arrival and are not renewed
// again.
func (sv *Server) wait(r *http.Request, req worker.Request, oc outcome) outcome {
	deadline := time.NewTimer(min(req.Wait, maxWait))
	defer deadline.Stop()
	req.Lease = 0
	for {
		changed, next := sv.nextChange()
		select {
		case <-changed:
		case <-next:
		case <-deadline.C:
			return sv.apply(req)
		case <-r.Context().Done():
			return oc
		case <-sv.Closed():
			return oc
		}
		oc = sv.apply(req)
		if oc.err != nil || oc.reply.Version != req.Version {
			return oc
		}
	}
}

// nextChange returns a channel that is closed when a call changes the table,
// and one that fires at the next time-driven change.
func (sv *Server) nextChange() (<-chan struct{}, <-chan time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	at, found := sv.table.Next()
	if !found {
		return sv.changed, nil
	}
	return sv.changed, time.After(max(0, at.Sub(sv.cfg.Clock())))
}

// waitWhileFrozen blocks a call while the worker is frozen. The call is
// performed afterwards even if its caller has disconnected, as in a process
// that was suspended.
func (sv *Server) waitWhileFrozen() {
	for {
		sv.mu.Lock()
		frozen, changed := sv.faults.Frozen, sv.changed
		sv.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-sv.Closed():
			panic(http.ErrAbortHandler)
		}
	}
}

func (sv *Server) dropResponse() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faults.DropAfter <= 0 {
		return false
	}
	sv.faults.DropAfter--
	return true
}

func (sv *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.Restart {
		sv.Restart(req.ForgetEpoch)
	}
	sv.SetFaults(req.Faults)
	w.WriteHeader(http.StatusNoContent)
}

func (sv *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, sv.Runs())
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
