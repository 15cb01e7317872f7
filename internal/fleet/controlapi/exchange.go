package controlapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

const (
	// maxSmallBodyBytes is the size of the largest body that is not treated as a large one.
	maxSmallBodyBytes = 64 << 10
	// maxReasonBytes bounds the reason of an error response.
	maxReasonBytes = 1 << 10
)

// exchange is one request and its response.
type exchange struct {
	endpoint  *Endpoint
	writer    http.ResponseWriter
	request   *http.Request
	parameter string // value of the path's parameter, unescaped
}

// withTimeout returns the context for a call to the backend. The context does not end when the
// connection does: a submission that has arrived is still carried out, and a caller that has closed
// only its sending side still gets the response.
func (e *exchange) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(e.request.Context()), timeout)
}

func (e *exchange) respond(status int, body []byte) {
	header := e.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(status)
	_, _ = e.writer.Write(body) // a caller whose connection fails repeats the call
}

func (e *exchange) respondJSON(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		e.respondError(http.StatusInternalServerError, "the answer can't be written")
		return
	}
	e.respond(status, body)
}

func (e *exchange) respondError(status int, reason string) {
	if status == http.StatusServiceUnavailable {
		e.writer.Header().Set("Retry-After", "1")
	}
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
	}
	e.respondJSON(status, errorResponse{Error: reason})
}

// respondFailure responds with the status of an error's kind.
func (e *exchange) respondFailure(err error) { e.respondError(statusOf(err), err.Error()) }

func statusOf(err error) int {
	switch apierror.KindOf(err) {
	case apierror.Invalid:
		return http.StatusBadRequest
	case apierror.NotFound:
		return http.StatusNotFound
	case apierror.Conflict:
		return http.StatusPreconditionFailed
	case apierror.TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// readBody reads the complete body. If ok is false, it has already sent an error response.
func (s *Server) readBody(e *exchange) (body []byte, ok bool) {
	limited := http.MaxBytesReader(e.writer, e.request.Body, e.endpoint.MaxBodyBytes)
	if e.mayHaveLargeBody() {
		select {
		case s.largeBodies <- struct{}{}:
			defer func() { <-s.largeBodies }()
		default:
			// If the body were left unread, the kernel would reset the connection and the response would be lost.
			_, _ = io.Copy(io.Discard, limited)
			e.respondError(http.StatusServiceUnavailable, "other large bodies are being read; come back")
			return nil, false
		}
	}
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(limited); err != nil {
		e.respondBodyError(err)
		return nil, false
	}
	return buffer.Bytes(), true
}

func (e *exchange) mayHaveLargeBody() bool {
	length := e.request.ContentLength // -1 if it is unknown
	return length > maxSmallBodyBytes || length < 0 && e.endpoint.MaxBodyBytes > maxSmallBodyBytes
}

// respondBodyError responds to a request whose body could not be read.
func (e *exchange) respondBodyError(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		limit := strconv.FormatInt(e.endpoint.MaxBodyBytes, 10)
		e.respondError(http.StatusRequestEntityTooLarge, "the body may have "+limit+" bytes; send less at once")
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.respondError(http.StatusRequestTimeout, "the body came too slowly; send it again")
	default:
		e.respondError(http.StatusBadRequest, "the body was cut short; send it again")
	}
}
