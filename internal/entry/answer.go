package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	typeJSON = "application/json"
	typeYAML = "application/yaml"
	typeText = "text/plain; charset=utf-8"

	// defaultRetryAfter is given with retryable codes that name no time.
	defaultRetryAfter = time.Second
)

// newAnswer returns the body of an answer of the system's own.
func newAnswer(request string, er *codes.Error) client.Answer {
	inf := er.Code.Info()
	return client.Answer{
		Code: er.Code, Name: inf.Name, Class: inf.Class, Detail: er.Detail,
		RetryAfterMillis: er.RetryAfter.Milliseconds(), Request: request,
	}
}

// withRetry completes the time to come back of a code that has one.
func (sr *Server) withRetry(er *codes.Error) *codes.Error {
	if !er.Code.Info().Retryable {
		return er
	}
	wait := er.RetryAfter
	if wait <= 0 {
		wait = defaultRetryAfter + time.Duration(sr.random(int64(defaultRetryAfter)))
	}
	return er.WithRetryAfter(wait)
}

func (sr *Server) random(limit int64) int64 {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.rnd.Int64N(limit)
}

// setOutcome writes the headers that every answer carries.
func setOutcome(hd http.Header, request string, cd codes.Code, retryAfter time.Duration) {
	hd.Set(client.HeaderRequest, request)
	hd.Set(client.HeaderCode, strconv.Itoa(int(cd)))
	hd.Set(client.HeaderClass, cd.Class().String())
	if retryAfter > 0 {
		hd.Set(client.HeaderRetryAfter, strconv.FormatInt(retryAfter.Milliseconds(), 10))
		seconds := (retryAfter + time.Second - 1) / time.Second
		hd.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

// writeError answers with a code that the system gives.
func (sr *Server) writeError(w http.ResponseWriter, request string, er *codes.Error) {
	er = sr.withRetry(er)
	if closesConnection(er.Code) {
		w.Header().Set("Connection", "close")
	}
	sr.writeJSON(w, request, er, newAnswer(request, er))
}

// writeJSON answers with a body that tells of a code.
func (sr *Server) writeJSON(w http.ResponseWriter, request string, er *codes.Error, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		sr.cfg.Log.Error("answer can't be encoded", "event", "answer", "request", request, "error", err)
		er = codes.New(codes.InternalFailure, "the answer can't be encoded")
		content, _ = json.Marshal(newAnswer(request, er))
	}
	sr.writeBody(w, request, er, typeJSON, append(content, '\n'))
}

func (sr *Server) writeBody(w http.ResponseWriter, request string, er *codes.Error, kind string, content []byte) {
	if sr.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	setOutcome(w.Header(), request, er.Code, er.RetryAfter)
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(er.Code.Info().HTTPStatus)
	_, _ = w.Write(content)
}

// closesConnection tells whether more of the request may be on its way, which
// is not waited for.
func closesConnection(cd codes.Code) bool {
	switch cd {
	case codes.BodyTooLarge, codes.HeaderTooLarge, codes.SlowSender, codes.Stopping:
		return true
	default:
		return false
	}
}
