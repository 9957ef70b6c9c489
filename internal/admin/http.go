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
	// requestTimeout bounds a request.
	requestTimeout = 8 * time.Second
	// retryAfter is after which operators may ask again if the store can't be reached.
	retryAfter = time.Second
)

// New returns the handler.
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

// evacuate serves the requests that set or delete the mark of a zone.
func (ha *handler) evacuate(set bool) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		ctx, cancel := context.WithTimeout(rq.Context(), requestTimeout)
		defer cancel()
		zone := mux.Vars(rq)["zone"]
		changed, err := ha.setEvacuation(ctx, zone, set)
		ha.cfg.Log.Info("operator's request", "event", "evacuation", "zone", zone, "back", !set, "changed", changed, "error", err)
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

// setEvacuation checks a request before it is carried out.
func (ha *handler) setEvacuation(ctx context.Context, zone string, set bool) (bool, error) {
	switch {
	case !spec.ValidName(zone):
		return false, codes.New(codes.BadRequest, "%q is not the name of a zone", zone)
	case ha.cfg.Layout.EvacuationPrefix == "":
		return false, codes.New(codes.BadRequest, "the settings of this host have no timing.evacuate, so no zone is ever emptied")
	default:
		return ha.mark(ctx, zone, set)
	}
}

// errorHandler serves requests that nothing is served for.
func (ha *handler) errorHandler(cd codes.Code) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ha.writeError(wr, codes.New(cd, "%s %s", rq.Method, rq.URL.Path))
	})
}

// writeError writes a refusal, with the time after which to ask again.
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
		ha.cfg.Log.Info("the operator was gone before the answer", "event", "answerLost", "error", err)
	}
}

// answer returns the common part of every body.
func answer(er *codes.Error) client.Answer {
	inf := er.Code.Info()
	return client.Answer{
		Code: er.Code, Name: inf.Name, Class: inf.Class, Detail: er.Detail, RetryAfterMillis: er.RetryAfter.Milliseconds(),
	}
}
