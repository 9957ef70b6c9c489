package plat

// The interface between an entry host and an endpoint: plain HTTP, with these
// headers. An answer with HeaderRefused says that the request did not run; one
// with HeaderState says where the endpoint stands, whatever else it says.
const (
	HeaderRefused = "Endpoint-Refused" // busy or leaving; the status is 503
	HeaderState   = "Endpoint-State"   // live or leaving
	HeaderRequest = "Cicadawharf-Request"

	// ProbePath answers 200 while the endpoint is live or leaving, with
	// HeaderState, without taking a slot.
	ProbePath = "/healthz"

	RefusedBusy    = "busy"
	RefusedLeaving = "leaving"
)
