package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

// headers holds the validated values of a caller's headers.
type headers struct {
	workspace  string
	caller     string
	key        string
	repeatable *bool         // nil if not given
	timeout    time.Duration // zero if not given
	priority   jobs.Priority
}

const (
	maxNameLength = 128
	maxKeyLength  = 128

	// headerHop names the zone that forwarded a request. It is only trusted in
	// requests that arrive at Config.ForwardListener.
	headerHop = "Cicadawharf-Hop"
)

// singleValued lists the headers that may be given at most once.
var singleValued = []string{
	client.HeaderWorkspace, client.HeaderCaller, client.HeaderRepeatable, client.HeaderTimeout,
	client.HeaderPriority, client.HeaderKey, client.HeaderOperator, "Content-Type",
}

// parseHeaders parses and validates the headers of a caller.
func parseHeaders(r *http.Request) (headers, *codes.Error) {
	var hd headers
	for _, name := range singleValued {
		if len(r.Header[http.CanonicalHeaderKey(name)]) > 1 {
			return hd, codes.New(codes.BadRequest, "header %s is given more than once", name)
		}
	}
	hd.workspace = r.Header.Get(client.HeaderWorkspace)
	hd.caller = r.Header.Get(client.HeaderCaller)
	hd.key = r.Header.Get(client.HeaderKey)
	for _, lh := range []struct {
		name, value string
		limit       int
	}{
		{client.HeaderWorkspace, hd.workspace, maxNameLength},
		{client.HeaderCaller, hd.caller, maxNameLength},
		{client.HeaderKey, hd.key, maxKeyLength},
	} {
		_, given := r.Header[http.CanonicalHeaderKey(lh.name)]
		if given && !isVisibleASCII(lh.value, lh.limit) {
			return hd, codes.New(codes.BadRequest, "header %s must have 1 to %d visible ASCII characters", lh.name, lh.limit)
		}
	}
	if er := hd.parseOptions(r.Header); er != nil {
		return hd, er
	}
	return hd, hd.parseTimeout(r.Header)
}

// parseOptions parses and validates the headers with a fixed set of values.
func (hd *headers) parseOptions(raw http.Header) *codes.Error {
	switch value := raw.Get(client.HeaderRepeatable); value {
	case "":
	case "true", "false":
		repeatable := value == "true"
		hd.repeatable = &repeatable
	default:
		return codes.New(codes.BadRequest, "header %s must be true or false", client.HeaderRepeatable)
	}
	var ok bool
	if hd.priority, ok = jobs.ParsePriority(raw.Get(client.HeaderPriority)); !ok {
		return codes.New(codes.BadRequest, "header %s must be low, normal or urgent", client.HeaderPriority)
	}
	return nil
}

func (hd *headers) parseTimeout(raw http.Header) *codes.Error {
	value := raw.Get(client.HeaderTimeout)
	if value == "" {
		return nil
	}
	timeout, err := time.ParseDuration(value)
	switch {
	case err != nil:
		return codes.New(codes.BadRequest, "header %s is not a duration such as 800ms", client.HeaderTimeout)
	case timeout <= 0:
		return codes.New(codes.DeadlinePassed, "header %s leaves no time", client.HeaderTimeout)
	}
	hd.timeout = timeout
	return nil
}

// headerBytes returns the size in bytes of the request line and the headers as
// sent.
func headerBytes(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + 2*separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// isVisibleASCII reports whether text has 1 to limit visible ASCII characters.
func isVisibleASCII(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	return !strings.ContainsFunc(text, func(ch rune) bool { return ch <= ' ' || ch > '~' })
}
