package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection, and those that
// the Transport sets.
var hopByHop = []string{
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of hd without hop-by-hop headers, including those
// that its Connection header names.
func endToEnd(hd http.Header) http.Header {
	cp := make(http.Header, len(hd)+2)
	for name, values := range hd {
		cp[name] = values
	}
	for _, value := range hd["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(cp, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(cp, name)
	}
	return cp
}
