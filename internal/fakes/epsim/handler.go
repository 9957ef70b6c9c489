package epsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/pkg/client"
)

type (
	// Answer is the body of the response to a request that has no body and
	// no size header.
	Answer struct {
		Endpoint string `json:"endpoint"`
		Service  string `json:"service"`
		Request  string `json:"request"`
	}

	// FaultsRequest is the body of POST FaultsPath. It replaces the injected
	// faults.
	FaultsRequest struct {
		Faults
		DownFor            time.Duration `json:"downFor"`            // with Down, how long it lasts; nanoseconds
		SilenceConnections bool          `json:"silenceConnections"` // the connections open now
	}

	// behaviour is what a request's headers ask the simulator to do.
	behaviour struct {
		delay  time.Duration
		status int
		size   int // of the response, bytes; negative if not requested
		fault  string
	}
)

// The request headers that select a behaviour, and the response headers.
const (
	HeaderDelay    = "Standin-Delay"    // Go duration
	HeaderStatus   = "Standin-Status"   // HTTP status code
	HeaderSize     = "Standin-Size"     // of the response, bytes
	HeaderFault    = "Standin-Fault"    // one of the Fault constants
	HeaderEndpoint = "Standin-Endpoint" // in responses: name of the endpoint
)

// The faults of a single request.
const (
	FaultHalf       = "half"       // sends half of the response and aborts the connection
	FaultHang       = "hang"       // executes the request and never responds
	FaultDropBefore = "dropBefore" // aborts the connection without executing the request
	FaultDropAfter  = "dropAfter"  // executes the request and aborts the connection instead of responding
)

// The paths by which tests control a simulated endpoint in another process.
const (
	FaultsPath = "/standin/faults"
	RunsPath   = "/standin/runs"
	DrainPath  = "/standin/leave"
)

const (
	maxBodyBytes     = 64 << 20
	maxResponseBytes = 64 << 20
)

func (sv *Server) routes() http.Handler {
	rt := mux.NewRouter().SkipClean(true)
	rt.HandleFunc(plat.ProbePath, sv.serveProbe)
	rt.HandleFunc(RunsPath, sv.serveRuns).Methods(http.MethodGet)
	rt.HandleFunc(DrainPath, sv.serveDrain).Methods(http.MethodPost)
	rt.HandleFunc(FaultsPath, sv.serveFaults).Methods(http.MethodPost)
	rt.PathPrefix("/").HandlerFunc(sv.serveRequest)
	return rt
}

// serveRequest executes a request or refuses it.
func (sv *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	be, err := readBehaviour(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if be.fault == FaultDropBefore {
		panic(http.ErrAbortHandler)
	}
	if isOverLimit(r.Context()) {
		w.Header().Set("Connection", "close")
		sv.refuse(w, plat.RefusedBusy)
		return
	}
	if sv.draining.Load() {
		sv.refuse(w, plat.RefusedDraining)
		return
	}
	if !sv.acquireSlot() {
		sv.refuse(w, plat.RefusedBusy)
		return
	}
	defer sv.releaseSlot()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the caller disconnected, or the body is too large
	}
	sv.execute(w, r, be, body)
}

func (sv *Server) execute(w http.ResponseWriter, r *http.Request, be behaviour, body []byte) {
	request := r.Header.Get(plat.HeaderRequest)
	sv.runs.add(Run{
		Endpoint: sv.cfg.Name, Request: request, Workspace: r.Header.Get(client.HeaderWorkspace),
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(client.HeaderKey), Started: time.Now(),
	})
	sv.cfg.Log.Debug("executing request", "endpoint", sv.cfg.Name, "request", request, "fault", be.fault)
	sv.sleep(be.delay + time.Duration(sv.delay.Load()))
	switch be.fault {
	case FaultHang:
		sv.hang(r.Context())
		panic(http.ErrAbortHandler)
	case FaultDropAfter:
		panic(http.ErrAbortHandler)
	}
	content, contentType := sv.responseBody(request, be, body)
	sv.writeHeaders(w)
	if !bodyAllowed(be.status) {
		w.WriteHeader(be.status)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(be.status)
	if be.fault == FaultHalf {
		_, _ = w.Write(content[:len(content)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(content)
}

// responseBody returns the response body and its content type: the request's
// identifier repeated up to the requested size, or the request's body, or an
// Answer.
func (sv *Server) responseBody(request string, be behaviour, body []byte) (content []byte, contentType string) {
	if be.size >= 0 {
		line := []byte(request + "\n")
		return bytes.Repeat(line, be.size/len(line)+1)[:be.size], "text/plain"
	}
	if len(body) > 0 {
		return body, "application/octet-stream"
	}
	content, _ = json.Marshal(Answer{Endpoint: sv.cfg.Name, Service: sv.cfg.Service, Request: request})
	return content, "application/json"
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse responds that the request was not executed.
func (sv *Server) refuse(w http.ResponseWriter, reason string) {
	sv.writeHeaders(w)
	w.Header().Set(plat.HeaderRefused, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (sv *Server) writeHeaders(w http.ResponseWriter) {
	state := plat.StateLive
	if sv.draining.Load() {
		state = plat.StateDraining
	}
	w.Header().Set(plat.HeaderState, string(state))
	w.Header().Set(HeaderEndpoint, sv.cfg.Name)
}

// sleep delays a request, even if its caller disconnects meanwhile.
func (sv *Server) sleep(delay time.Duration) {
	if delay <= 0 {
		return
	}
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-sv.Closed():
	}
}

// hang blocks until the caller disconnects or the server is closed.
func (sv *Server) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-sv.Closed():
	}
}

func (sv *Server) serveProbe(w http.ResponseWriter, _ *http.Request) {
	sv.writeHeaders(w)
	w.WriteHeader(http.StatusOK)
}

func (sv *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(sv.Runs())
}

func (sv *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	sv.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// serveFaults responds before it sets the faults, which may break the connection
// of the request itself.
func (sv *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultsRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	sv.SetFaults(req.Faults)
	if req.Down && req.DownFor > 0 {
		time.AfterFunc(req.DownFor, func() { sv.listener.setDown(false) })
	}
	if req.SilenceConnections {
		sv.SilenceConnections()
	}
}

// readBehaviour parses the headers that select a behaviour. An invalid value is
// an error, so that a test with a misspelt value fails.
func readBehaviour(hd http.Header) (behaviour, error) {
	be := behaviour{status: http.StatusOK, size: -1, fault: hd.Get(HeaderFault)}
	var err error
	if text := hd.Get(HeaderDelay); text != "" {
		if be.delay, err = time.ParseDuration(text); err != nil {
			return be, err
		}
	}
	if text := hd.Get(HeaderStatus); text != "" {
		if be.status, err = strconv.Atoi(text); err != nil || be.status < 200 || be.status > 999 {
			return be, fmt.Errorf("invalid status code %q", text)
		}
	}
	if text := hd.Get(HeaderSize); text != "" {
		if be.size, err = strconv.Atoi(text); err != nil || be.size < 0 || be.size > maxResponseBytes {
			return be, fmt.Errorf("invalid response size %q", text)
		}
	}
	switch be.fault {
	case "", FaultHalf, FaultHang, FaultDropBefore, FaultDropAfter:
		return be, nil
	default:
		return be, fmt.Errorf("unknown fault %q", be.fault)
	}
}
