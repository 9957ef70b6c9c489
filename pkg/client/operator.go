package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// InForce holds the declarations in force.
type InForce struct {
	Revision int64
	Content  []byte // YAML as applied
}

const (
	// HeaderOperator carries the name of the operator who applies declarations.
	HeaderOperator = "Cicadawharf-Operator"

	// AnyRevision applies declarations unconditionally.
	AnyRevision = -1

	pathDeclarations = "/v1/declarations"
	pathEvacuations  = "/v1/evacuations"
	contentTypeYAML  = "application/yaml"
)

// Apply replaces the declarations if the revision in force equals expect. With
// a positive wait, the system waits at most that long for all hosts to load
// them; if some have not, the code of the result is PartialRollout. After a
// refusal, the result holds the faults and the revision in force, next to the
// error.
func (cl *Client) Apply(ctx context.Context, content []byte, expect int64, wait time.Duration) (Applied, error) {
	query := url.Values{}
	if expect != AnyRevision {
		query.Set("expect", strconv.FormatInt(expect, 10))
	}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	path := pathDeclarations
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	header := cl.header()
	header.Set("Content-Type", contentTypeYAML)
	setHeader(header, HeaderOperator, cl.cfg.Operator)
	return cl.applied(ctx, call{
		method: http.MethodPut, path: path, header: header, body: content, timeout: wait, indeterminate: codes.ApplyUnknown,
	})
}

// Check validates declarations as Apply would, against the configuration and
// fleet of the running system, without applying them. After a refusal, the
// result holds the faults, next to the error.
func (cl *Client) Check(ctx context.Context, content []byte) (Applied, error) {
	header := cl.header()
	header.Set("Content-Type", contentTypeYAML)
	return cl.applied(ctx, call{
		method: http.MethodPost, path: pathDeclarations + "/check", header: header, body: content,
		readOnly: true, indeterminate: codes.OutcomeUnknown,
	})
}

// Declarations returns the declarations in force.
func (cl *Client) Declarations(ctx context.Context) (InForce, error) {
	ca := cl.getCall(pathDeclarations, 0)
	rp, err := cl.do(ctx, ca)
	if err != nil {
		return InForce{}, err
	}
	if rp.status != http.StatusOK {
		return InForce{}, responseError(rp, ca)
	}
	revision, err := strconv.ParseInt(rp.header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return InForce{}, codes.New(ca.indeterminate, "the response has no valid revision: %v", err)
	}
	return InForce{Revision: revision, Content: rp.body}, nil
}

// Status returns the state of the system as known to the responding host.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	return roundTrip[Status](ctx, cl, cl.getCall("/v1/status", 0))
}

// Evacuate requests the evacuation of an availability zone or, with back,
// returns the zone to service. Both are idempotent.
func (cl *Client) Evacuate(ctx context.Context, zone string, back bool) (Evacuated, error) {
	method := http.MethodPut
	if back {
		method = http.MethodDelete
	}
	return roundTrip[Evacuated](ctx, cl, call{
		method: method, path: pathEvacuations + "/" + url.PathEscape(zone), header: cl.header(), repeatable: true,
		indeterminate: codes.EvacuateUnknown,
	})
}

// Evacuations lists the availability zones that are marked for evacuation.
func (cl *Client) Evacuations(ctx context.Context) (EvacuationList, error) {
	return roundTrip[EvacuationList](ctx, cl, cl.getCall(pathEvacuations, 0))
}

// Report returns the report of a day as JSON or as text. The day has the form
// YYYY-MM-DD; an empty one stands for the current day.
func (cl *Client) Report(ctx context.Context, day string, asText bool) ([]byte, error) {
	path := "/v1/report"
	if day != "" {
		path += "?day=" + url.QueryEscape(day)
	}
	ca := cl.getCall(path, 0)
	ca.header.Set("Accept", "application/json")
	if asText {
		ca.header.Set("Accept", "text/plain")
	}
	rp, err := cl.do(ctx, ca)
	if err != nil {
		return nil, err
	}
	if rp.status != http.StatusOK {
		return nil, responseError(rp, ca)
	}
	return rp.body, nil
}

// applied sends a call whose response body is Applied, also after a refusal.
func (cl *Client) applied(ctx context.Context, ca call) (Applied, error) {
	rp, err := cl.do(ctx, ca)
	if err != nil {
		return Applied{}, err
	}
	ap, err := decode[Applied](rp, ca)
	if err == nil {
		return ap, nil
	}
	if json.Unmarshal(rp.body, &ap) != nil {
		return Applied{}, err
	}
	return ap, err
}
