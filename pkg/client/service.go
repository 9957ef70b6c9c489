package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// CallOptions are the options of one request to a service.
	CallOptions struct {
		Repeatable *bool         // nil for the default of the service's declaration
		Timeout    time.Duration // zero for the default of the service's declaration
		Priority   string        // low, normal or urgent; empty for normal
		Key        string        // idempotency key
		Header     http.Header   // forwarded to the endpoint
	}

	// CallAnswer is the complete response of an endpoint.
	CallAnswer struct {
		Code    codes.Code // RequestDone, or EndpointError for a server error
		Request string     // identifier in the log
		Status  int
		Header  http.Header
		Body    []byte
	}
)

// Call sends a request to a service and returns the complete response of its
// endpoint. A server error of the endpoint is such a response and no error.
// The path may include a query. The error is an *UnreachableError if nothing
// was sent, otherwise a *codes.Error, whose class tells whether the request may
// have run.
func (cl *Client) Call(ctx context.Context, service, method, path string, body []byte, op CallOptions) (CallAnswer, error) {
	ca := cl.serviceCall(service, method, path, body, op)
	rp, err := cl.do(ctx, ca)
	if err != nil {
		return CallAnswer{}, err
	}
	cr := CallAnswer{
		Code: codeOf(rp.header), Request: rp.header.Get(HeaderRequest),
		Status: rp.status, Header: rp.header, Body: rp.body,
	}
	switch cr.Code {
	case codes.RequestDone, codes.EndpointError:
		return cr, nil
	default:
		return cr, responseError(rp, ca)
	}
}

func (cl *Client) serviceCall(service, method, path string, body []byte, op CallOptions) call {
	header := op.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for key, vs := range cl.header() {
		header[key] = vs
	}
	setHeader(header, HeaderPriority, op.Priority)
	setHeader(header, HeaderKey, op.Key)
	if op.Repeatable != nil {
		header.Set(HeaderRepeatable, strconv.FormatBool(*op.Repeatable))
	}
	if op.Timeout > 0 {
		header.Set(HeaderTimeout, op.Timeout.String())
	}
	return call{
		method: method,
		path:   "/v1/services/" + url.PathEscape(service) + "/" + strings.TrimPrefix(path, "/"),
		header: header, body: body,
		repeatable:    op.Repeatable != nil && *op.Repeatable,
		timeout:       op.Timeout,
		indeterminate: codes.OutcomeUnknown,
	}
}
