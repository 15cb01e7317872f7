package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// unreservedBodyBytes is how much of each body is read before memory is reserved for it: most bodies are
// shorter.
const unreservedBodyBytes = 16 << 10

// errBodyMemory means that the memory for request bodies is used up.
var errBodyMemory = errors.New("the memory for request bodies is used up")

// readBody reads the complete body of a request, which is limited by the configured size, the memory for
// bodies, readBodyTimeout and the request's deadline. Its error is errBodyMemory or a *requestError; after an
// error no memory is reserved.
func (g *Gateway) readBody(w http.ResponseWriter, req *http.Request, r *request, snapshot *relay.Snapshot) error {
	limit := limitsOf(snapshot.Config).bodyBytes
	if req.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if req.ContentLength == 0 {
		return nil
	}
	deadline := time.Now().Add(readBodyTimeout)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // reads from a closed connection fail anyway
	body, reserved, err := g.readReserved(http.MaxBytesReader(nil, req.Body, limit), req.ContentLength, limit)
	if err != nil {
		g.bodyMemory.Release(reserved)
		return bodyError(err, limit)
	}
	_ = controller.SetReadDeadline(time.Time{})
	r.body, r.reservedBytes = body, reserved
	return nil
}

// readReserved reads a body and, unless it is short, reserves memory for it; length is -1 if unknown. The
// caller has to release the reserved bytes, also after an error.
func (g *Gateway) readReserved(source io.Reader, length, limit int64) (body []byte, reserved int64, err error) {
	var buffer bytes.Buffer
	_, err = io.CopyN(&buffer, source, unreservedBodyBytes)
	switch {
	case errors.Is(err, io.EOF): // the body is short
		return buffer.Bytes(), 0, nil
	case err != nil:
		return nil, 0, err
	}
	reservation := length
	if reservation < 0 {
		reservation = limit
	}
	if !g.bodyMemory.TryAcquire(reservation) {
		return nil, 0, errBodyMemory
	}
	_, err = io.Copy(&buffer, source)
	return buffer.Bytes(), reservation, err
}

// bodyError returns the error with which to answer a request whose body could not be read.
func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return err
	case errors.As(err, &tooLarge):
		return bodyTooLarge(limit)
	case isTimeout(err):
		return requestErrorf(http.StatusRequestTimeout, "the body did not come in time")
	}
	return requestErrorf(http.StatusBadRequest, "the body can't be read")
}

func bodyTooLarge(limit int64) error {
	return configDenialf(http.StatusRequestEntityTooLarge, "body over %d bytes", limit)
}
