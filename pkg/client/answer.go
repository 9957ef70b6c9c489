package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// maxResponseBytes bounds the body of an answer in memory.
const maxResponseBytes = 256 << 20

var (
	errNoAddress        = errors.New("no address is configured")
	errResponseTooLarge = fmt.Errorf("answer is larger than %d bytes", maxResponseBytes)
)

// bodyOf returns the body of a request, nil for none.
func bodyOf(ca call) io.Reader {
	if ca.body == nil {
		return nil
	}
	return bytes.NewReader(ca.body)
}

// readAll reads a body to its end; a body that ends early is an error.
func readAll(rs *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body, nil
}

// indeterminateError returns the error of a call that was sent and whose answer did not
// arrive whole. A code in the headers that did arrive is the account.
func indeterminateError(rp reply, ca call, err error) error {
	if rp.status == 0 {
		return codes.New(ca.indeterminate, "no answer: %v", err)
	}
	cd := codeOf(rp.header)
	switch {
	case cd == 0:
		return codes.New(ca.indeterminate, "the answer ended early: %v", err)
	case cd.Class() == codes.Done, cd.Class() == codes.InProgress:
		return codes.New(truncatedCode(ca), "the answer ended early: %v", err)
	default:
		return withRetryAfter(codes.New(cd, "the answer ended early: %v", err), rp.header)
	}
}

// truncatedCode returns the code of a call that was done while its answer ended
// early.
func truncatedCode(ca call) codes.Code {
	if ca.indeterminate == codes.OutcomeUnknown {
		return codes.AnswerBroken
	}
	return ca.indeterminate
}

// responseError returns the error of an answer of the system that is not a success.
func responseError(rp reply, ca call) *codes.Error {
	var an Answer
	decoded := json.Unmarshal(rp.body, &an) == nil
	cd := codeOf(rp.header)
	if cd == 0 && decoded {
		cd = an.Code
	}
	if cd == 0 {
		return codes.New(ca.indeterminate, "answer with status %d and no result code", rp.status)
	}
	er := &codes.Error{Code: cd}
	if decoded {
		er.Detail = an.Detail
		er.RetryAfter = time.Duration(an.RetryAfterMillis) * time.Millisecond
	}
	return withRetryAfter(er, rp.header)
}

// withRetryAfter adds the time to come back from the headers if there is none yet.
func withRetryAfter(er *codes.Error, header http.Header) *codes.Error {
	if er.RetryAfter > 0 {
		return er
	}
	if millis, err := strconv.ParseInt(header.Get(HeaderRetryAfter), 10, 64); err == nil && millis > 0 {
		return er.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	if seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32); err == nil && seconds > 0 {
		return er.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return er
}

// codeOf returns the result code of an answer's headers, zero for none.
func codeOf(header http.Header) codes.Code {
	num, err := strconv.Atoi(header.Get(HeaderCode))
	if err != nil || num < 0 {
		return 0
	}
	return codes.Code(num)
}

// decode reads the JSON of a successful answer. A body of another form leaves
// open what the system did.
func decode[T any](rp reply, ca call) (T, error) {
	var out T
	if rp.status < 200 || rp.status > 299 {
		return out, responseError(rp, ca)
	}
	if err := json.Unmarshal(rp.body, &out); err != nil {
		return out, codes.New(ca.indeterminate, "answer can't be read: %v", err)
	}
	return out, nil
}
