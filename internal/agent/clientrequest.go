package agent

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"chalkdoor.example/chalkdoor/policy"
)

const (
	// maxTimeoutMs bounds the timeout that a client may set.
	maxTimeoutMs = 60_000
	// maxTokenLength bounds a request ID and an idempotency key, in bytes.
	maxTokenLength = 128
	// maxWorkHintUs is the exclusive upper bound of a valid work hint, in microseconds.
	maxWorkHintUs = 1e12
	// unreservedBody is the size in bytes up to which a body is read without reserving memory, so that a client
	// that only announces a long body reserves nothing.
	unreservedBody = 4 << 10
)

// errBodyMemory reports that the memory budget is too low for a request's body.
var errBodyMemory = errors.New("no memory for a body")

// singleValueHeaders are the header fields that the agent interprets. Their meaning is ambiguous if they are
// repeated.
var singleValueHeaders = []string{"Request-Id", "Request-Class", "Tenant", "Request-Timeout-Ms", "Idempotency-Key",
	"Client-Retry", "Work-Hint", "Request-Info"}

// clientRequest is a client's request after validation.
type clientRequest struct {
	id          string
	method      string
	target      string // byte for byte as received
	host        string
	header      http.Header
	body        []byte
	class       int     // index in the settings
	tenant      int     // index in the settings
	key         uint64  // hash for affinity; 0 if there is none
	workHintMs  float64 // the client's estimate of the request's work
	hasWorkHint bool
	isRetry     bool
	timeout     time.Duration // as set by the client
	deadline    time.Time
	response    chan response // has capacity 1, so that the loop never waits for a client
}

// requestError is the error of a request that can't be used, with the HTTP status of the response. The status is
// never that of a rejection, which would ask the client to send the same request again.
type requestError struct {
	status  int
	message string
}

func (e *requestError) Error() string { return e.message }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

func badRequestf(format string, args ...any) error {
	return requestErrorf(http.StatusBadRequest, format, args...)
}

// parseRequest validates the head of a client's request. Its errors are *requestError. It accepts what usual
// clients send: a backend would reject anything else, or close the connection, and the agent would take that
// backend for faulty.
func (f *frontend) parseRequest(req *http.Request, now time.Time) (*clientRequest, error) {
	if err := checkFraming(req); err != nil {
		return nil, err
	}
	for _, name := range singleValueHeaders {
		if len(req.Header[name]) > 1 {
			return nil, badRequestf("%s more than once", name)
		}
	}
	request := &clientRequest{
		id:       req.Header.Get("Request-Id"),
		method:   req.Method,
		target:   req.RequestURI,
		host:     req.Host,
		header:   req.Header,
		response: make(chan response, 1),
	}
	if err := f.parseClass(req, request); err != nil {
		return nil, err
	}
	// ParseUint accepts no sign.
	timeoutMs, err := strconv.ParseUint(req.Header.Get("Request-Timeout-Ms"), 10, 32)
	if err != nil || timeoutMs == 0 || timeoutMs > maxTimeoutMs {
		return nil, badRequestf("Request-Timeout-Ms is no whole number from 1 to %d", maxTimeoutMs)
	}
	request.timeout = time.Duration(timeoutMs) * time.Millisecond
	request.deadline = now.Add(request.timeout)
	request.workHintMs, request.hasWorkHint = parseWorkHint(req.Header.Get("Work-Hint"))
	request.isRetry = f.config.Settings.Clients.MarksRetry && req.Header.Get("Client-Retry") == "1"
	if dir, last := path.Split(req.URL.EscapedPath()); len(dir) > 1 && last != "" {
		request.key = hashString(last)
	}
	return request, nil
}

// checkFraming checks what doesn't depend on the request's class.
func checkFraming(req *http.Request) error {
	switch {
	case req.ProtoMajor != 1 || req.ProtoMinor != 1:
		return requestErrorf(http.StatusHTTPVersionNotSupported, "the protocol version is not spoken here")
	case len(req.TransferEncoding) > 0 || len(req.Header["Transfer-Encoding"]) > 0:
		// net/http drops a Content-Length beside a Transfer-Encoding, so a request with both can't be recognized.
		// What follows may be a request hidden in the body, and is never read.
		return requestErrorf(http.StatusLengthRequired, "a body needs Content-Length, and no Transfer-Encoding")
	case req.ContentLength > maxRequestBody:
		return requestErrorf(http.StatusRequestEntityTooLarge, "body over %d bytes", maxRequestBody)
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return requestErrorf(http.StatusMethodNotAllowed, "method %s is not allowed", req.Method)
	case !strings.HasPrefix(req.RequestURI, "/") || strings.ContainsFunc(req.RequestURI, isInvalidTargetRune):
		return badRequestf("the target is no path")
	}
	return nil
}

// parseClass reads the request's class and tenant and checks what depends on the class.
func (f *frontend) parseClass(req *http.Request, request *clientRequest) error {
	var ok bool
	if request.class, ok = f.classes[req.Header.Get("Request-Class")]; !ok {
		return badRequestf("unknown Request-Class")
	}
	if len(f.tenants) > 0 {
		if request.tenant, ok = f.tenants[req.Header.Get("Tenant")]; !ok {
			return badRequestf("unknown Tenant")
		}
	}
	if !isToken(request.id) {
		return badRequestf("Request-Id is no token of 1 to %d characters", maxTokenLength)
	}
	_, hasKey := req.Header["Idempotency-Key"]
	idempotency := f.config.Settings.Classes[request.class].Idempotency
	switch {
	case (idempotency == policy.Idempotent) != (req.Method == http.MethodGet):
		return badRequestf("method %s does not fit the class", req.Method)
	case hasKey != (idempotency == policy.Deduplicated):
		return badRequestf("Idempotency-Key does not fit the class")
	case hasKey && !isToken(req.Header.Get("Idempotency-Key")):
		return badRequestf("Idempotency-Key is no token of 1 to %d characters", maxTokenLength)
	case req.Method == http.MethodGet && req.ContentLength != 0:
		return badRequestf("GET with a body")
	}
	return nil
}

// parseWorkHint reads a work hint in microseconds. The hint is only the client's estimate, so an invalid one is
// ignored.
func parseWorkHint(text string) (workMs float64, ok bool) {
	if text == "" {
		return 0, false
	}
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0) || us >= maxWorkHintUs {
		return 0, false
	}
	return us / 1000, true
}

// readBody reads the entire body. parseRequest has checked its size. The caller must release the reserved bytes
// to the memory budget, even after an error.
func (f *frontend) readBody(req *http.Request, request *clientRequest) (reserved int64, err error) {
	size := int(req.ContentLength)
	if size == 0 {
		return 0, nil
	}
	request.body = make([]byte, min(size, unreservedBody))
	_, err = io.ReadFull(req.Body, request.body)
	if err == nil && size > unreservedBody {
		if !f.loop.memoryBudget.TryAcquire(int64(size)) {
			return 0, errBodyMemory
		}
		reserved = int64(size)
		request.body = append(make([]byte, 0, size), request.body...)[:size]
		_, err = io.ReadFull(req.Body, request.body[unreservedBody:])
	}
	if err != nil {
		return reserved, badRequestf("body can't be read")
	}
	return reserved, nil
}

// isToken reports whether s is valid as an ID or a key.
func isToken(s string) bool {
	return len(s) <= maxTokenLength && httpguts.ValidHeaderFieldName(s)
}

// isInvalidTargetRune reports whether a request target can contain a character only in escaped form.
func isInvalidTargetRune(r rune) bool { return r <= ' ' || r > '~' || r == '#' }
