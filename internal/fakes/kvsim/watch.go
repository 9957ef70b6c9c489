package kvsim

import (
	"encoding/json"
	"net/http"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

// watcher is an open watch stream.
type watcher struct {
	req     kvapi.WatchCreate
	after   int64         // the largest revision sent
	frozen  bool          // sends no events
	aborted chan struct{} // closed when the stream is aborted
}

// abortWatches aborts every stream. The caller holds mu.
func (sv *Server) abortWatches() {
	for wa := range sv.watchers {
		close(wa.aborted)
		delete(sv.watchers, wa)
	}
}

func (sv *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	sv.counters.watch.Add(1)
	var req kvapi.WatchRequest
	if !decode(w, r, &req) {
		return
	}
	if !sv.applyFaults(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	wa, first := sv.openWatch(req.Create)
	defer sv.closeWatch(wa)
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	send := func(wr kvapi.WatchResponse) bool {
		if enc.Encode(kvapi.Frame[kvapi.WatchResponse]{Result: wr}) != nil {
			return false
		}
		return rc.Flush() == nil
	}
	if !send(first) || first.Canceled {
		return
	}
	for {
		wr, changed := sv.nextChanges(wa)
		if len(wr.Events) > 0 && !send(wr) {
			return
		}
		select {
		case <-changed:
		case <-wa.aborted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-sv.Closed():
			return
		}
	}
}

// openWatch registers a stream and returns its first message.
func (sv *Server) openWatch(req kvapi.WatchCreate) (*watcher, kvapi.WatchResponse) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.expire()
	wa := &watcher{req: req, after: req.StartRevision - 1, frozen: sv.faults.FreezeWatches, aborted: make(chan struct{})}
	if req.StartRevision == 0 {
		wa.after = sv.state.revision
	}
	sv.watchers[wa] = struct{}{}
	first := kvapi.WatchResponse{Header: kvapi.Header{Revision: sv.state.revision}, Created: true}
	if wa.after < sv.state.compacted {
		first.Canceled = true
		first.CompactRevision = sv.state.compacted + 1
	}
	return wa, first
}

func (sv *Server) closeWatch(wa *watcher) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	delete(sv.watchers, wa)
}

// nextChanges returns the events to send now and a channel that is closed at
// the next change.
func (sv *Server) nextChanges(wa *watcher) (kvapi.WatchResponse, <-chan struct{}) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	wr := kvapi.WatchResponse{Header: kvapi.Header{Revision: sv.state.revision}}
	if wa.frozen {
		return wr, sv.changed
	}
	wr.Events = sv.state.changesSince(wa.after, wa.req.Key, wa.req.RangeEnd)
	wa.after = max(wa.after, sv.state.revision)
	return wr, sv.changed
}
