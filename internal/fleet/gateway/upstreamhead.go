package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
)

// headBufferBytes is the initial size of the buffer for a request's head; most heads fit into it.
const headBufferBytes = 512

// clientPriority is the priority of an attempt that keeps the Priority field of the client.
const clientPriority = -1

// upstreamFields are the header fields that the gateway sets for one attempt.
type upstreamFields struct {
	instanceID    string // of the server
	priority      int    // from 0, the most urgent, to 9, or clientPriority
	timeout       time.Duration
	lastEventID   string // the event after which a stream continues; "" to start from the beginning
	expectVersion string // the version of the weights that the server must have; "" for any
}

// upstreamHead returns the head of a request as it is sent to a server, up to the empty line. The
// target is written as the client sent it: http.Request would write it in another form.
func (r *request) upstreamHead(fields *upstreamFields) []byte {
	header := http1.EndToEnd(r.header)
	header.Del("Content-Length")
	header.Del("Host")
	for _, name := range endToEndFields {
		if values, ok := r.header[name]; ok {
			header[name] = values
		}
	}
	header.Set(headerDeadline, strconv.FormatInt(max(fields.timeout.Milliseconds(), 1), 10))
	header.Set(headerExpectInstance, fields.instanceID)
	header.Set(headerAttemptID, r.attemptID) // even if the client's Connection field names it
	if fields.priority != clientPriority {
		header.Set(headerPriority, strconv.Itoa(fields.priority))
	}
	r.setTenant(header)
	if fields.lastEventID != "" {
		header.Set(headerLastEventID, fields.lastEventID)
	}
	if fields.expectVersion != "" {
		header.Set(headerExpectVersion, fields.expectVersion)
	}
	if len(r.body) > 0 || r.method != http.MethodGet && r.method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	var head bytes.Buffer
	head.Grow(headBufferBytes)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, r.host)
	_ = header.Write(&head) // a bytes.Buffer returns no error
	head.WriteString("\r\n")
	return head.Bytes()
}
