package http1

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// EndToEnd returns a copy of a header without the fields that apply to a single connection, including
// those that its Connection fields name.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}
