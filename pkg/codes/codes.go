// Package codes defines the numbered result codes of cicadawharf.
//
// Every request, job and operator command ends with exactly one code, and
// every code belongs to exactly one class. The class says whether the work was
// executed: NotRun guarantees that it was not, and Unknown means that it may
// have been. Whatever can't be proved is Unknown.
//
// The first digit of a code gives its class. docs/CODES.md lists all codes.
package codes

import (
	"errors"
	"fmt"
	"time"
)

// Class groups codes by what is known about the execution of the work. It is
// encoded as its camelCase name.
type Class uint8

// Code is a result code, a number of four decimal digits.
type Code int

// Info describes one code. Each Info is a row of docs/CODES.md.
type Info struct {
	Code       Code
	Name       string // camelCase, stable, for scripts
	Class      Class
	HTTPStatus int    // status of the response that carries the code
	Retryable  bool   // the response carries Retry-After
	Meaning    string // one sentence
	Action     string // what the caller should do
}

// Error is a result code with its details, as a Go error.
type Error struct {
	Code       Code
	Detail     string        // human-readable description of the failure
	RetryAfter time.Duration // delay before a retry; zero if a retry is pointless
}

// The classes of codes.
const (
	InProgress Class = iota + 1 // the work has not ended
	Done                        // it ended with success
	Failed                      // it was executed, at least in part, without success
	NotRun                      // it was not executed
	Unknown                     // it may have been executed
)

// The result codes. docs/CODES.md gives the meaning of each.
const (
	JobAccepted Code = 1000
	JobQueued   Code = 1001
	JobRunning  Code = 1002

	RequestDone Code = 2000
	JobDone     Code = 2001
	Applied     Code = 2002
	Unchanged   Code = 2003
	ZoneEmptied Code = 2004
	ZoneServes  Code = 2005

	EndpointError  Code = 3000
	AnswerBroken   Code = 3001
	JobFailed      Code = 3002
	JobCancelled   Code = 3003
	AttemptsUsed   Code = 3004
	PartialRollout Code = 3005

	BadRequest         Code = 4000
	UnknownWorkspace   Code = 4001
	UnknownService     Code = 4002
	ServiceNotAllowed  Code = 4003
	BodyTooLarge       Code = 4004
	HeaderTooLarge     Code = 4005
	SlowSender         Code = 4006
	DeadlinePassed     Code = 4007
	Overloaded         Code = 4008
	NoEndpoint         Code = 4009
	EndpointBusy       Code = 4010
	StoreUnavailable   Code = 4011
	NoScheduler        Code = 4012
	Stopping           Code = 4013
	NotReady           Code = 4014
	ZoneUnreachable    Code = 4015
	ShapeTooLarge      Code = 4016
	ShapeNeverFits     Code = 4017
	QuotaExceeded      Code = 4018
	CancelledUnstarted Code = 4019
	JobNotFound        Code = 4020
	KeyMismatch        Code = 4021
	RevisionConflict   Code = 4022
	InvalidDeclaration Code = 4023
	CallerGone         Code = 4024
	PathNotFound       Code = 4025
	MethodNotAllowed   Code = 4026
	QueueFull          Code = 4027
	WriteForbidden     Code = 4028

	OutcomeUnknown   Code = 5000
	SubmitUnknown    Code = 5001
	DuplicateKey     Code = 5002
	AttemptLost      Code = 5003
	CallerLeft       Code = 5004
	ApplyUnknown     Code = 5005
	CancelUnknown    Code = 5006
	InternalFailure  Code = 5007
	DeadlineInFlight Code = 5008
	CancelledInDoubt Code = 5009
	EvacuateUnknown  Code = 5010
)

// statusClientClosedRequest is the non-standard status, introduced by nginx,
// of a request whose client has closed the connection. It only appears in the
// log.
const statusClientClosedRequest = 499

var (
	table = []Info{
		{JobAccepted, "jobAccepted", InProgress, 202, false, "The job is recorded and will be run.", "Poll its state, or wait for its end."},
		{JobQueued, "jobQueued", InProgress, 200, false, "The job waits for workers.", "Poll again, or wait for its end."},
		{JobRunning, "jobRunning", InProgress, 200, false, "The whole gang of the job is starting or running.", "Poll again, or wait for its end."},

		{RequestDone, "requestDone", Done, 200, false, "The endpoint ran the request, and its complete response follows with its status.", "Use the response."},
		{JobDone, "jobDone", Done, 200, false, "Every task of the job ended with success.", "Collect the results."},
		{Applied, "applied", Done, 200, false, "The declarations are accepted under a new revision.", "Nothing."},
		{Unchanged, "unchanged", Done, 200, false, "The same declarations are already in force.", "Nothing."},
		{ZoneEmptied, "zoneEmptied", Done, 200, false, "The availability zone is marked for evacuation.", "See the status for the work that still runs there."},
		{ZoneServes, "zoneServes", Done, 200, false, "The availability zone is not marked for evacuation.", "Nothing."},

		{EndpointError, "endpointError", Failed, 502, false, "The endpoint ran the request and responded with a server error, which follows.", "Read the response of the service."},
		{AnswerBroken, "answerBroken", Failed, 502, false, "The endpoint ran the request, but its response was truncated; the connection to the caller is closed.", "Repeat the request if that is safe."},
		{JobFailed, "jobFailed", Failed, 200, false, "A task of the job ended with an error.", "Read the error, fix the job and resubmit it."},
		{JobCancelled, "jobCancelled", Failed, 200, false, "The job was cancelled after it had started.", "Nothing."},
		{AttemptsUsed, "attemptsUsed", Failed, 200, false, "Every permitted attempt of the job was interrupted by failing workers.", "Resubmit it."},
		{PartialRollout, "partialRollout", Failed, 200, false, "The declarations are accepted, but some hosts have not reported them in time.", "Ask for the status later."},

		{BadRequest, "badRequest", NotRun, 400, false, "A header, parameter or body is missing, malformed or contradictory.", "Correct the request."},
		{UnknownWorkspace, "unknownWorkspace", NotRun, 403, false, "The workspace is not declared.", "Correct the name, or have it declared."},
		{UnknownService, "unknownService", NotRun, 404, false, "The service is not declared.", "Correct the name, or have it declared."},
		{ServiceNotAllowed, "serviceNotAllowed", NotRun, 403, false, "The workspace may not use the service.", "Have the use declared."},
		{BodyTooLarge, "bodyTooLarge", NotRun, 413, false, "The body exceeds the size limit.", "Send less."},
		{HeaderTooLarge, "headerTooLarge", NotRun, 431, false, "The headers exceed the size limit.", "Send less."},
		{SlowSender, "slowSender", NotRun, 408, false, "The body did not arrive within the time limit.", "Send it faster."},
		{DeadlinePassed, "deadlinePassed", NotRun, 504, true, "The deadline passed, or would have, before the request could be sent.", "Allow more time, or retry."},
		{Overloaded, "overloaded", NotRun, 429, true, "The share of the workspace or caller is used up.", "Retry after the time given."},
		{NoEndpoint, "noEndpoint", NotRun, 503, true, "No endpoint of the service can be reached.", "Retry after the time given."},
		{EndpointBusy, "endpointBusy", NotRun, 503, true, "Every endpoint tried has rejected the request because it has no free slot.", "Retry after the time given."},
		{StoreUnavailable, "storeUnavailable", NotRun, 503, true, "The platform's store is unresponsive, and the work may not start without it.", "Retry after the time given."},
		{NoScheduler, "noScheduler", NotRun, 503, true, "The availability zone has no scheduler at the moment.", "Retry after the time given."},
		{Stopping, "stopping", NotRun, 503, true, "The entry host is being shut down.", "Retry immediately; the load balancer picks another host."},
		{NotReady, "notReady", NotRun, 503, true, "The entry host has no declarations yet.", "Retry after the time given."},
		{ZoneUnreachable, "zoneUnreachable", NotRun, 503, true, "The availability zone that is responsible can't be reached.", "Retry after the time given."},
		{ShapeTooLarge, "shapeTooLarge", NotRun, 422, false, "The shape exceeds a limit, such as 32 tasks in a gang, or half of a scheduler's memory.", "Submit a smaller job."},
		{ShapeNeverFits, "shapeNeverFits", NotRun, 422, false, "The shape does not fit the workers of the zone, even if all are idle.", "Submit another shape, or to another zone."},
		{QuotaExceeded, "quotaExceeded", NotRun, 422, false, "The job alone is larger than the quota of its workspace.", "Submit a smaller job, or have the quota raised."},
		{CancelledUnstarted, "cancelledUnstarted", NotRun, 200, false, "The job was cancelled before any part of it started.", "Nothing."},
		{JobNotFound, "jobNotFound", NotRun, 404, false, "No job of this name is recorded.", "Correct the name."},
		{KeyMismatch, "keyMismatch", NotRun, 422, false, "The idempotency key was used before with other content.", "Use a new key."},
		{RevisionConflict, "revisionConflict", NotRun, 409, false, "Other declarations were accepted in the meantime, and these were rejected.", "Compare with the revision in force and apply again."},
		{InvalidDeclaration, "invalidDeclarations", NotRun, 422, false, "The declarations are invalid and were rejected.", "Correct the faults listed."},
		{CallerGone, "callerGone", NotRun, statusClientClosedRequest, false, "The caller closed its connection before the request was sent on.", "Nothing."},
		{PathNotFound, "pathNotFound", NotRun, 404, false, "The path is not part of the API.", "See docs/API.md."},
		{MethodNotAllowed, "methodNotAllowed", NotRun, 405, false, "The path does not support this method.", "See docs/API.md."},
		{QueueFull, "queueFull", NotRun, 429, true, "The queue is full, or the scheduler has no memory for further jobs.", "Retry after the time given."},
		{WriteForbidden, "writeForbidden", NotRun, 403, false, "The platform does not permit this write to its store.", "Ask the platform for the permission, or have a client with the permission write the key."},

		{OutcomeUnknown, "outcomeUnknown", Unknown, 502, false, "The request was forwarded, and the connection failed before a response.", "Find out by the service's own means before repeating it."},
		{SubmitUnknown, "submitUnknown", Unknown, 503, false, "The job may have been recorded; the store's response was lost.", "Query the job by its name, or submit again with the same key."},
		{DuplicateKey, "duplicateKey", Unknown, 409, false, "A request with this idempotency key was accepted before and may have run; this one was not forwarded.", "Find out by the service's own means."},
		{AttemptLost, "attemptLost", Unknown, 200, false, "The job may not be repeated, and contact with its running attempt was permanently lost.", "Find out by the job's own means before resubmitting it."},
		{CallerLeft, "callerLeft", Unknown, statusClientClosedRequest, false, "The caller closed its connection while the request was at the endpoint.", "Find out by the service's own means before repeating it."},
		{ApplyUnknown, "applyUnknown", Unknown, 503, false, "The store failed while the declarations were being replaced.", "Apply the same file again; that is safe."},
		{CancelUnknown, "cancelUnknown", Unknown, 503, false, "The cancellation may not have been recorded.", "Cancel again; that is safe."},
		{InternalFailure, "internalFailure", Unknown, 500, false, "An internal error of the system.", "Report it with the log line that carries the same identifier."},
		{DeadlineInFlight, "deadlineInFlight", Unknown, 504, false, "The deadline passed while the request was at the endpoint.", "Find out by the service's own means before repeating it."},
		{CancelledInDoubt, "cancelledInDoubt", Unknown, 200, false, "The job was cancelled, and it is unknown whether any part of it ran.", "Find out by the job's own means."},
		{EvacuateUnknown, "evacuateUnknown", Unknown, 503, false, "The store failed while the evacuation state of an availability zone was being changed.", "Send the same request again; that is safe."},
	}
	byCode     = indexTable()
	classNames = [...]string{InProgress: "inProgress", Done: "done", Failed: "failed", NotRun: "notRun", Unknown: "unknown"}
)

// All returns every code in ascending order.
func All() []Info { return append([]Info(nil), table...) }

// Lookup returns the description of a code.
func Lookup(cd Code) (Info, bool) {
	inf, ok := byCode[cd]
	return inf, ok
}

// Of returns the Error that err wraps, nil for a nil error. An error without a
// code is returned as InternalFailure with its text as the detail.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var ce *Error
	if errors.As(err, &ce) {
		return ce
	}
	return &Error{Code: InternalFailure, Detail: err.Error()}
}

// New returns an error with a code and a formatted detail.
func New(cd Code, format string, args ...any) *Error {
	return &Error{Code: cd, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of er with the delay before a retry.
func (er *Error) WithRetryAfter(wait time.Duration) *Error {
	cp := *er
	cp.RetryAfter = wait
	return &cp
}

// Error implements error. The text has the form "4008 overloaded: detail".
func (er *Error) Error() string {
	if er.Detail == "" {
		return er.Code.String()
	}
	return er.Code.String() + ": " + er.Detail
}

// Info returns the description of cd. A number without an entry in the table is
// described as InternalFailure, so that a response always has a class and a
// status.
func (cd Code) Info() Info {
	if inf, ok := byCode[cd]; ok {
		return inf
	}
	return byCode[InternalFailure]
}

// Class returns the class of cd.
func (cd Code) Class() Class { return cd.Info().Class }

// String returns the number and the name, such as "4008 overloaded".
func (cd Code) String() string { return fmt.Sprintf("%d %s", int(cd), cd.Info().Name) }

// String returns the camelCase name of the class.
func (cl Class) String() string {
	if int(cl) < len(classNames) && cl != 0 {
		return classNames[cl]
	}
	return fmt.Sprintf("class%d", uint8(cl))
}

// MarshalText implements encoding.TextMarshaler.
func (cl Class) MarshalText() ([]byte, error) { return []byte(cl.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (cl *Class) UnmarshalText(text []byte) error {
	for i, nm := range classNames {
		if nm != "" && nm == string(text) {
			*cl = Class(i)
			return nil
		}
	}
	return fmt.Errorf("unknown result class %q", text)
}

func indexTable() map[Code]Info {
	idx := make(map[Code]Info, len(table))
	for _, inf := range table {
		idx[inf.Code] = inf
	}
	return idx
}
