package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

const (
	// requestTimeout limits the processing of a request.
	requestTimeout = 8 * time.Second
	// retryAfter is the delay after which operators are told to retry while the
	// store is unavailable.
	retryAfter = time.Second
)

// New returns the handler of the operator API.
func New(cf Config) http.Handler {
	ha := &handler{cfg: cf}
	rt := mux.NewRouter()
	rt.HandleFunc("/v1/status", ha.getStatus).Methods(http.MethodGet)
	rt.HandleFunc("/v1/evacuations", ha.getEvacuations).Methods(http.MethodGet)
	rt.HandleFunc("/v1/evacuations/{zone}", ha.evacuate(true)).Methods(http.MethodPut)
	rt.HandleFunc("/v1/evacuations/{zone}", ha.evacuate(false)).Methods(http.MethodDelete)
	rt.NotFoundHandler = ha.errorHandler(codes.PathNotFound)
	rt.MethodNotAllowedHandler = ha.errorHandler(codes.MethodNotAllowed)
	return rt
}

func (ha *handler) getStatus(wr http.ResponseWriter, rq *http.Request) {
	ctx, cancel := context.WithTimeout(rq.Context(), requestTimeout)
	defer cancel()
	ha.write(wr, codes.RequestDone, ha.status(ctx))
}

func (ha *handler) getEvacuations(wr http.ResponseWriter, rq *http.Request) {
	ctx, cancel := context.WithTimeout(rq.Context(), requestTimeout)
	defer cancel()
	evs, err := ha.evacuations(ctx)
	if err != nil {
		ha.writeError(wr, codes.Of(err))
		return
	}
	ha.write(wr, codes.RequestDone, client.EvacuationList{Evacuations: evs})
}

// evacuate serves requests to begin the evacuation of a zone (set) or to end it.
func (ha *handler) evacuate(set bool) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		ctx, cancel := context.WithTimeout(rq.Context(), requestTimeout)
		defer cancel()
		zone := mux.Vars(rq)["zone"]
		changed, err := ha.setEvacuation(ctx, zone, set)
		ha.cfg.Log.Info("evacuation request", "event", "evacuation", "zone", zone, "back", !set, "changed", changed, "error", err)
		if err != nil {
			ha.writeError(wr, codes.Of(err))
			return
		}
		cd := codes.ZoneServes
		if set {
			cd = codes.ZoneEmptied
		}
		body := client.Evacuated{Answer: answer(&codes.Error{Code: cd}), Evacuation: client.Evacuation{Zone: zone, Workers: ha.workerCounter(ctx)(zone)}}
		ha.write(wr, cd, body)
	}
}

// setEvacuation validates a request and then creates or deletes the evacuation
// key of the zone. It reports whether that changed anything.
func (ha *handler) setEvacuation(ctx context.Context, zone string, set bool) (bool, error) {
	switch {
	case !spec.ValidName(zone):
		return false, codes.New(codes.BadRequest, "%q is not a valid zone name", zone)
	case ha.cfg.Layout.EvacuationPrefix == "":
		return false, codes.New(codes.BadRequest, "the settings of this host have no timing.evacuate, so zones are never evacuated")
	default:
		return ha.writeEvacuation(ctx, zone, set)
	}
}

// errorHandler serves unknown paths and methods.
func (ha *handler) errorHandler(cd codes.Code) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ha.writeError(wr, codes.New(cd, "%s %s", rq.Method, rq.URL.Path))
	})
}

// writeError writes an error response, with the retry delay if there is one.
func (ha *handler) writeError(wr http.ResponseWriter, er *codes.Error) {
	if er.RetryAfter > 0 {
		wr.Header().Set(client.HeaderRetryAfter, strconv.FormatInt(er.RetryAfter.Milliseconds(), 10))
	}
	ha.write(wr, er.Code, answer(er))
}

func (ha *handler) write(wr http.ResponseWriter, cd codes.Code, body any) {
	hd := wr.Header()
	hd.Set(client.HeaderCode, strconv.Itoa(int(cd)))
	hd.Set(client.HeaderClass, cd.Class().String())
	hd.Set("Content-Type", "application/json")
	wr.WriteHeader(cd.Info().HTTPStatus)
	if err := json.NewEncoder(wr).Encode(body); err != nil {
		ha.cfg.Log.Info("writing the response failed", "event", "answerLost", "error", err)
	}
}

// answer returns the common part of every response body.
func answer(er *codes.Error) client.Answer {
	inf := er.Code.Info()
	return client.Answer{
		Code: er.Code, Name: inf.Name, Class: inf.Class, Detail: er.Detail, RetryAfterMillis: er.RetryAfter.Milliseconds(),
	}
}
