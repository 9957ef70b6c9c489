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

	// defaultRetryAfter is the minimum retry-after time of retryable codes that
	// come without one. Up to the same time is added at random.
	defaultRetryAfter = time.Second
)

// newAnswer returns the body of a response with a code that the system itself
// gives, as opposed to an endpoint.
func newAnswer(request string, er *codes.Error) client.Answer {
	inf := er.Code.Info()
	return client.Answer{
		Code: er.Code, Name: inf.Name, Class: inf.Class, Detail: er.Detail,
		RetryAfterMillis: er.RetryAfter.Milliseconds(), Request: request,
	}
}

// withRetryAfter sets the retry-after time of a retryable code that has none.
func (sr *Server) withRetryAfter(er *codes.Error) *codes.Error {
	if !er.Code.Info().Retryable {
		return er
	}
	wait := er.RetryAfter
	if wait <= 0 {
		wait = defaultRetryAfter + time.Duration(sr.random(int64(defaultRetryAfter)))
	}
	return er.WithRetryAfter(wait)
}

// random returns a random number from 0 to limit-1.
func (sr *Server) random(limit int64) int64 {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.rnd.Int64N(limit)
}

// setOutcomeHeaders sets the headers that every response carries.
func setOutcomeHeaders(hd http.Header, request string, cd codes.Code, retryAfter time.Duration) {
	hd.Set(client.HeaderRequest, request)
	hd.Set(client.HeaderCode, strconv.Itoa(int(cd)))
	hd.Set(client.HeaderClass, cd.Class().String())
	if retryAfter > 0 {
		hd.Set(client.HeaderRetryAfter, strconv.FormatInt(retryAfter.Milliseconds(), 10))
		seconds := (retryAfter + time.Second - 1) / time.Second
		hd.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

// writeError writes an error response with a code that the system itself gives.
func (sr *Server) writeError(w http.ResponseWriter, request string, er *codes.Error) {
	er = sr.withRetryAfter(er)
	if closesConnection(er.Code) {
		w.Header().Set("Connection", "close")
	}
	sr.writeJSON(w, request, er, newAnswer(request, er))
}

// writeJSON writes a response with a JSON body and the headers of a code.
func (sr *Server) writeJSON(w http.ResponseWriter, request string, er *codes.Error, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		sr.cfg.Log.Error("response can't be encoded", "event", "answer", "request", request, "error", err)
		er = codes.New(codes.InternalFailure, "the response can't be encoded")
		content, _ = json.Marshal(newAnswer(request, er))
	}
	sr.writeBody(w, request, er, typeJSON, append(content, '\n'))
}

// writeBody writes a response with the given content and the headers of a code.
func (sr *Server) writeBody(w http.ResponseWriter, request string, er *codes.Error, contentType string, content []byte) {
	if sr.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	setOutcomeHeaders(w.Header(), request, er.Code, er.RetryAfter)
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	limitWrite(w)
	w.WriteHeader(er.Code.Info().HTTPStatus)
	_, _ = w.Write(content)
}

// limitWrite bounds the writing of a response, so that a caller that does not read it
// does not keep the connection.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
}

// closesConnection reports whether the connection is closed after a response
// with this code, because the rest of the request, which may still be in
// transit, is not read.
func closesConnection(cd codes.Code) bool {
	switch cd {
	case codes.BodyTooLarge, codes.HeaderTooLarge, codes.SlowSender, codes.Stopping:
		return true
	default:
		return false
	}
}
