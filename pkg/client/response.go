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

// maxResponseBytes bounds the body of a response, which is read into memory.
const maxResponseBytes = 256 << 20

var (
	errNoAddress        = errors.New("no address is configured")
	errResponseTooLarge = fmt.Errorf("the response is larger than %d bytes", maxResponseBytes)
)

// bodyOf returns a reader of the call's body, nil if it has none.
func bodyOf(ca call) io.Reader {
	if ca.body == nil {
		return nil
	}
	return bytes.NewReader(ca.body)
}

// readAll reads the whole body of a response. A truncated or oversized body is
// an error.
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

// indeterminateError returns the error of a call that was sent and whose
// response was lost or truncated. A result code among the headers received
// takes precedence over the call's indeterminate code.
func indeterminateError(rp response, ca call, err error) error {
	if rp.status == 0 {
		return codes.New(ca.indeterminate, "no response: %v", err)
	}
	cd := codeOf(rp.header)
	switch {
	case cd == 0:
		return codes.New(ca.indeterminate, "the response was truncated: %v", err)
	case cd.Class() == codes.Done, cd.Class() == codes.InProgress:
		return codes.New(truncatedCode(ca), "the response was truncated: %v", err)
	default:
		return withRetryAfter(codes.New(cd, "the response was truncated: %v", err), rp.header)
	}
}

// truncatedCode returns the code of a call that was executed but whose response
// was truncated.
func truncatedCode(ca call) codes.Code {
	if ca.indeterminate == codes.OutcomeUnknown {
		return codes.AnswerBroken
	}
	return ca.indeterminate
}

// responseError returns the error of an unsuccessful response of the system. A
// code in the headers takes precedence over one in the body.
func responseError(rp response, ca call) *codes.Error {
	var an Answer
	decoded := json.Unmarshal(rp.body, &an) == nil
	cd := codeOf(rp.header)
	if cd == 0 && decoded {
		cd = an.Code
	}
	if cd == 0 {
		return codes.New(ca.indeterminate, "response with status %d and no result code", rp.status)
	}
	er := &codes.Error{Code: cd}
	if decoded {
		er.Detail = an.Detail
		er.RetryAfter = time.Duration(an.RetryAfterMillis) * time.Millisecond
	}
	return withRetryAfter(er, rp.header)
}

// withRetryAfter returns er with the retry-after time of the headers, unless it
// has one already.
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

// codeOf returns the result code in the headers of a response, zero for none.
func codeOf(header http.Header) codes.Code {
	num, err := strconv.Atoi(header.Get(HeaderCode))
	if err != nil || num < 0 {
		return 0
	}
	return codes.Code(num)
}

// decode decodes the JSON body of a successful response. If that fails, the
// outcome of the call is unknown.
func decode[T any](rp response, ca call) (T, error) {
	var out T
	if rp.status < 200 || rp.status > 299 {
		return out, responseError(rp, ca)
	}
	if err := json.Unmarshal(rp.body, &out); err != nil {
		return out, codes.New(ca.indeterminate, "the response can't be decoded: %v", err)
	}
	return out, nil
}
