package relay

import (
	"context"
	"errors"

	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

type (
	// Cause is the reason why an attempt got no complete response.
	Cause uint8

	// Failure is the error of an attempt without a complete response.
	Failure struct {
		Code  codes.Code
		Cause Cause
		Err   error // the underlying error; may be nil
	}
)

// The causes. The request did not run if the cause is one of CauseDial to
// CauseNotSent. For CauseDeadline and CauseCallerDisconnected, Failure.Code says
// whether it may have run.
const (
	CauseDial               Cause = iota + 1 // the endpoint is unreachable
	CauseConnections                         // all permitted connections are in use
	CauseNoFreeSlot                          // the endpoint refused because it has no free slot
	CauseDraining                            // the endpoint refused because it is draining
	CauseNotSent                             // the connection failed before the first byte was sent
	CauseNoResponse                          // the connection failed before a response
	CauseTruncated                           // the response ended early or is invalid, see errInvalidResponse
	CauseMismatch                            // the response belongs to another request
	CauseDeadline                            // the deadline passed
	CauseCallerDisconnected                  // the caller disconnected
)

var causeCodes = [...]codes.Code{
	CauseDial:               codes.NoEndpoint,
	CauseConnections:        codes.EndpointBusy,
	CauseNoFreeSlot:         codes.EndpointBusy,
	CauseDraining:           codes.NoEndpoint,
	CauseNotSent:            codes.NoEndpoint,
	CauseNoResponse:         codes.OutcomeUnknown,
	CauseTruncated:          codes.AnswerBroken,
	CauseMismatch:           codes.OutcomeUnknown,
	CauseDeadline:           codes.DeadlineInFlight,
	CauseCallerDisconnected: codes.CallerLeft,
}

var causeNames = [...]string{
	CauseDial:               "dial",
	CauseConnections:        "connections",
	CauseNoFreeSlot:         "busy",
	CauseDraining:           "leaving",
	CauseNotSent:            "unsent",
	CauseNoResponse:         "lost",
	CauseTruncated:          "broken",
	CauseMismatch:           "mismatch",
	CauseDeadline:           "deadline",
	CauseCallerDisconnected: "caller",
}

// String returns the name of the cause for logs, or "none" for an unknown one.
func (ca Cause) String() string {
	if int(ca) < len(causeNames) && ca != 0 {
		return causeNames[ca]
	}
	return "none"
}

// Error implements error.
func (fa *Failure) Error() string {
	if fa.Err == nil {
		return fa.Cause.String()
	}
	return fa.Cause.String() + ": " + fa.Err.Error()
}

// Unwrap returns the underlying error.
func (fa *Failure) Unwrap() error { return fa.Err }

// newFailure returns a failure with the usual code of its cause.
func newFailure(ca Cause, err error) *Failure {
	return &Failure{Code: causeCodes[ca], Cause: ca, Err: err}
}

// failureNotSent returns the failure of a request of which no byte was sent.
func failureNotSent(ctx context.Context, ca Cause, err error) *Failure {
	switch ended := ctx.Err(); {
	case errors.Is(ended, context.DeadlineExceeded):
		return &Failure{Code: codes.DeadlinePassed, Cause: CauseDeadline, Err: err}
	case ended != nil:
		return &Failure{Code: codes.CallerGone, Cause: CauseCallerDisconnected, Err: err}
	}
	return newFailure(ca, err)
}

// failureMaybeSent returns the failure of a request that may have reached the
// endpoint.
func failureMaybeSent(ctx context.Context, ca Cause, err error) *Failure {
	switch ended := ctx.Err(); {
	case errors.Is(ended, context.DeadlineExceeded):
		return newFailure(CauseDeadline, err)
	case ended != nil:
		return newFailure(CauseCallerDisconnected, err)
	}
	return newFailure(ca, err)
}

// failureTruncated returns the failure of a response that ended early. The
// endpoint has run the request. The code is AnswerBroken, also after the
// deadline, unless the caller disconnected.
func failureTruncated(ctx context.Context, err error) *Failure {
	fa := failureMaybeSent(ctx, CauseTruncated, err)
	if fa.Cause == CauseDeadline {
		fa.Code = codes.AnswerBroken
	}
	return fa
}
