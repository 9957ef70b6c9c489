package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// JobFilter selects the jobs to list.
type JobFilter struct {
	Workspace string // empty for all workspaces
	Active    bool   // only jobs that have not ended
}

// Submit submits a job. With an idempotency key, it may be repeated after a
// code of class Unknown; it then returns the job recorded under the key, if
// there is one.
func (cl *Client) Submit(ctx context.Context, req SubmitRequest, key string) (Job, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Job{}, merry.Prepend(err, "encode the job")
	}
	header := cl.header()
	header.Set("Content-Type", "application/json")
	if key != "" {
		header.Set(HeaderKey, key)
	}
	return roundTrip[Job](ctx, cl, call{
		method: http.MethodPost, path: "/v1/jobs", header: header, body: body, indeterminate: codes.SubmitUnknown,
	})
}

// Job returns a job. With a positive wait it returns once the job has ended, or
// after that time with the job's state by then.
func (cl *Client) Job(ctx context.Context, id string, wait time.Duration) (Job, error) {
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + url.QueryEscape(wait.String())
	}
	return roundTrip[Job](ctx, cl, cl.getCall(path, wait))
}

// Jobs lists the jobs that match a filter.
func (cl *Client) Jobs(ctx context.Context, fi JobFilter) (JobList, error) {
	query := url.Values{}
	if fi.Workspace != "" {
		query.Set("workspace", fi.Workspace)
	}
	if fi.Active {
		query.Set("active", "true")
	}
	path := "/v1/jobs"
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return roundTrip[JobList](ctx, cl, cl.getCall(path, 0))
}

// Cancel requests the cancellation of a job and returns its current state.
func (cl *Client) Cancel(ctx context.Context, id string) (Job, error) {
	return roundTrip[Job](ctx, cl, call{
		method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id), header: cl.header(), indeterminate: codes.CancelUnknown,
	})
}

// roundTrip sends a call and decodes the response.
func roundTrip[T any](ctx context.Context, cl *Client, ca call) (T, error) {
	rp, err := cl.do(ctx, ca)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](rp, ca)
}

// getCall returns a read-only call that asks the system to wait at most the
// given time.
func (cl *Client) getCall(path string, wait time.Duration) call {
	return call{
		method: http.MethodGet, path: path, header: cl.header(), readOnly: true, timeout: wait, indeterminate: codes.OutcomeUnknown,
	}
}

// header returns the headers common to all requests.
func (cl *Client) header() http.Header {
	header := http.Header{}
	setHeader(header, HeaderWorkspace, cl.cfg.Workspace)
	setHeader(header, HeaderCaller, cl.cfg.Caller)
	return header
}

func setHeader(header http.Header, key, value string) {
	if value != "" {
		header.Set(key, value)
	}
}
