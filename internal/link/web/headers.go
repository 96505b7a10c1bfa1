package web

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/figpier/figpier"
)

// hopByHopHeaders concern one connection only and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyEndToEnd copies headers except for the hop-by-hop headers, including those that the Connection header names, and the
// headers that only the system may set. The copies share their values, which must not change.
func CopyEndToEnd(to, from http.Header) {
	dropped := map[string]bool{}
	for _, name := range hopByHopHeaders {
		dropped[name] = true
	}
	for _, list := range from["Connection"] {
		for token := range strings.SplitSeq(list, ",") {
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))
			// A list may name thousands of headers that are not there.
			if _, present := from[name]; present {
				dropped[name] = true
			}
		}
	}
	for name, values := range from {
		if !dropped[name] && !figpier.ReservedHeader(name) {
			to[name] = values
		}
	}
}

// FindReservedHeader returns the name of a header that only the system may set, other than the allowed one.
func FindReservedHeader(h http.Header, allowed string) (name string, found bool) {
	for name := range h {
		if figpier.ReservedHeader(name) && name != allowed {
			return name, true
		}
	}
	return "", false
}
