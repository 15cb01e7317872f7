package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// clientWriteTimeout is how long one write to a client may take.
const clientWriteTimeout = 10 * time.Second

// clientResponse is the response to a client, over all attempts of its request.
type clientResponse struct {
	writer        http.ResponseWriter
	controller    *http.ResponseController
	headerSent    bool
	events        eventSequence     // the events that the client has received
	failure       *bufferedResponse // the latest server error that may be relayed; nil if there is none
	retryAfter    time.Duration     // the latest Retry-After of a server; 0 if none sent one
	retryReserved bool              // the retry budget has already counted the next attempt
}

// bufferedResponse is a complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// newClientResponse returns the response to a client. lastEventID is the ID of the last event that the
// client has received, "" if it has received none.
func newClientResponse(w http.ResponseWriter, lastEventID string) *clientResponse {
	return &clientResponse{
		writer:     w,
		controller: http.NewResponseController(w),
		events:     newEventSequence(lastEventID),
	}
}

// writeBuffered sends a complete response of a server.
func (c *clientResponse) writeBuffered(response *bufferedResponse) {
	header := c.writer.Header()
	copyEndToEndHeader(header, response.header)
	length := response.header.Get("Content-Length")
	if length == "" || len(response.body) > 0 { // otherwise it is a response to HEAD, or empty
		length = strconv.Itoa(len(response.body))
	}
	header.Set("Content-Length", length)
	c.writer.WriteHeader(response.status)
	_, _ = c.writer.Write(response.body) // an error only means that the client has disconnected
}

// writeEvents sends events to the client. If no header was sent yet, it first sends that of the server.
func (c *clientResponse) writeEvents(upstream *http.Response, events []byte) error {
	if err := c.controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
		return errors.Wrap(err, "set the write deadline of a client")
	}
	if !c.headerSent {
		c.headerSent = true
		copyEndToEndHeader(c.writer.Header(), upstream.Header)
		c.writer.Header().Del("Content-Length")
		c.writer.WriteHeader(upstream.StatusCode)
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return c.controller.Flush()
}

// copyEndToEndHeader copies all fields that are not hop-by-hop.
func copyEndToEndHeader(to, from http.Header) {
	for name, values := range http1.EndToEnd(from) {
		to[name] = values
	}
}

// parseLoad parses the load that a server reports: the numbers of running requests, of waiting requests and
// of slots, separated by commas. It returns nil if the field is invalid.
func parseLoad(field string) *balancer.Load {
	texts := strings.Split(field, ",")
	if len(texts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, text := range texts {
		number, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || number < 0 {
			return nil
		}
		numbers[i] = number
	}
	return &balancer.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}
