package plat

// Headers and paths of the plain HTTP interface between an entry host and an
// endpoint. A response with HeaderRefused means that the request did not run.
// Any response may carry HeaderState, the state of the endpoint.
const (
	HeaderRefused = "Endpoint-Refused" // busy or leaving; the status is 503
	HeaderState   = "Endpoint-State"   // live or leaving
	HeaderRequest = "Cicadawharf-Request"

	// ProbePath returns 200 and HeaderState while the endpoint is live or
	// draining. It takes no slot.
	ProbePath = "/healthz"

	RefusedBusy     = "busy"
	RefusedDraining = "leaving"
)
