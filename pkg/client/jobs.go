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

// JobFilter picks the jobs of a listing.
type JobFilter struct {
	Workspace string // empty for all
	Active    bool   // only those that have not ended
}

// Submit asks for a job to be run. With an idempotency key it may be repeated
// after a code of class Unknown, and gives the job that stands.
func (cl *Client) Submit(ctx context.Context, req SubmitRequest, key string) (Job, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Job{}, merry.Prepend(err, "submit")
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

// Job returns a job. With a positive wait the answer comes as soon as the job
// has ended, or with its state after that time.
func (cl *Client) Job(ctx context.Context, id string, wait time.Duration) (Job, error) {
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + url.QueryEscape(wait.String())
	}
	return roundTrip[Job](ctx, cl, cl.getCall(path, wait))
}

// Jobs lists jobs.
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

// Cancel asks for the end of a job and returns it as it stands.
func (cl *Client) Cancel(ctx context.Context, id string) (Job, error) {
	return roundTrip[Job](ctx, cl, call{
		method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id), header: cl.header(), indeterminate: codes.CancelUnknown,
	})
}

// roundTrip makes a call and decodes the answer.
func roundTrip[T any](ctx context.Context, cl *Client, ca call) (T, error) {
	rp, err := cl.do(ctx, ca)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](rp, ca)
}

// getCall returns a call that has no effect.
func (cl *Client) getCall(path string, wait time.Duration) call {
	return call{
		method: http.MethodGet, path: path, header: cl.header(), readOnly: true, timeout: wait, indeterminate: codes.OutcomeUnknown,
	}
}

// header returns the headers of every request.
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
