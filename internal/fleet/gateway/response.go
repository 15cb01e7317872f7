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

// clientWriteTimeout is how long a client may take to read what is written to it at once.
const clientWriteTimeout = 10 * time.Second

// clientResponse is the response to a client, over all attempts of its request.
type clientResponse struct {
	writer        http.ResponseWriter
	controller    *http.ResponseController
	headerSent    bool
	events        eventSequence     // that the client has received
	failure       *bufferedResponse // of the latest server that failed; nil: none
	retryAfter    time.Duration     // that a server has asked for
	retryReserved bool              // the retry budget has counted the next send
}

// bufferedResponse is a complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// newClientResponse returns the response to a client that has received the event with the given ID;
// "" if it has received none.
func newClientResponse(w http.ResponseWriter, lastEventID string) *clientResponse {
	return &clientResponse{
		writer:     w,
		controller: http.NewResponseController(w),
		events:     newEventSequence(lastEventID),
	}
}

// writeBuffered sends a complete response of a server.
func (c *clientResponse) writeBuffered(buffered *bufferedResponse) {
	header := c.writer.Header()
	copyEndToEndHeader(header, buffered.header)
	length := buffered.header.Get("Content-Length")
	if length == "" || len(buffered.body) > 0 { // else it is a response to HEAD, or empty
		length = strconv.Itoa(len(buffered.body))
	}
	header.Set("Content-Length", length)
	c.writer.WriteHeader(buffered.status)
	_, _ = c.writer.Write(buffered.body) // a client that has left needs no error
}

// writeEvents sends events to the client, after the header of the first server if that is still due.
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

// copyEndToEndHeader copies the fields that are not meant for one connection only.
func copyEndToEndHeader(to, from http.Header) {
	for name, values := range http1.EndToEnd(from) {
		to[name] = values
	}
}

// parseLoad reads the load that a server reports: requests running, requests waiting, slots. It
// returns nil for a field that can't be read.
func parseLoad(field string) *balancer.Load {
	parts := strings.Split(field, ",")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return nil
		}
		numbers[i] = number
	}
	return &balancer.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}
