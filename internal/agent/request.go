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
	// maxTimeoutMs bounds the time that a client may give, in ms.
	maxTimeoutMs = 60_000
	// maxTokenLength bounds an id and a key.
	maxTokenLength = 128
	// unreservedBody is read before the budget is asked for the rest of a body, so that who
	// only claims a long one holds nothing.
	unreservedBody = 4 << 10
)

// singleValueHeaders are the fields with a meaning here: one of them twice means two things.
var singleValueHeaders = []string{"Request-Id", "Request-Class", "Tenant", "Request-Timeout-Ms", "Idempotency-Key",
	"Client-Retry", "Work-Hint", "Request-Info"}

// clientRequest is a client's request as the front took it, and where its answer goes.
type clientRequest struct {
	id          string
	method      string
	target      string // as it came, byte for byte
	host        string
	header      http.Header
	body        []byte
	class       int
	tenant      int
	key         uint64
	workHintMs  float64
	hasWorkHint bool
	isRetry     bool
	timeout     time.Duration // that the client waits
	deadline    time.Time
	response    chan response // of capacity one: the loop never waits for a client
}

// requestError is what is wrong with a request, and the status that says so. It is never a
// refusal: that would tell the client to send the same again.
type requestError struct {
	status  int
	message string
}

func (b *requestError) Error() string { return b.message }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

// parseRequest turns the head of a client's request into a call or tells what is wrong with
// it. What passes is what a usual client sends: a backend turns away or closes on the
// rest, and would be taken for a bad one.
func (f *frontend) parseRequest(req *http.Request, now time.Time) (*clientRequest, error) {
	h := req.Header
	refuse := func(format string, args ...any) (*clientRequest, error) {
		return nil, requestErrorf(http.StatusBadRequest, format, args...)
	}
	switch {
	case req.ProtoMajor != 1 || req.ProtoMinor != 1:
		return nil, requestErrorf(http.StatusHTTPVersionNotSupported, "the protocol version is not spoken here")
	case len(req.TransferEncoding) > 0 || len(h["Transfer-Encoding"]) > 0:
		// net/http drops a Content-Length beside it, so the two can't be told from one;
		// what follows may be a request hidden in the body, and is never read.
		return nil, requestErrorf(http.StatusLengthRequired, "a body needs Content-Length, and no Transfer-Encoding")
	case req.ContentLength > maxRequestBody:
		return nil, requestErrorf(http.StatusRequestEntityTooLarge, "body over %d bytes", maxRequestBody)
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return nil, requestErrorf(http.StatusMethodNotAllowed, "method %s is not allowed", req.Method)
	case !strings.HasPrefix(req.RequestURI, "/") || strings.ContainsFunc(req.RequestURI, isInvalidTargetRune):
		return refuse("the target is no path")
	}
	for _, name := range singleValueHeaders {
		if len(h[name]) > 1 {
			return refuse("%s more than once", name)
		}
	}
	c := &clientRequest{id: h.Get("Request-Id"), method: req.Method, target: req.RequestURI, host: req.Host, header: h,
		response: make(chan response, 1)}
	var ok bool
	if c.class, ok = f.classes[h.Get("Request-Class")]; !ok {
		return refuse("unknown Request-Class")
	}
	if len(f.tenants) > 0 {
		if c.tenant, ok = f.tenants[h.Get("Tenant")]; !ok {
			return refuse("unknown Tenant")
		}
	}
	if !isToken(c.id) {
		return refuse("Request-Id is no token of 1 to %d characters", maxTokenLength)
	}
	_, keyed := h["Idempotency-Key"]
	switch effect := f.config.Settings.Classes[c.class].Idempotency; {
	case (effect == policy.Idempotent) != (req.Method == http.MethodGet):
		return refuse("method %s does not fit the class", req.Method)
	case keyed != (effect == policy.Deduplicated):
		return refuse("Idempotency-Key does not fit the class")
	case keyed && !isToken(h.Get("Idempotency-Key")):
		return refuse("Idempotency-Key is no token of 1 to %d characters", maxTokenLength)
	case req.Method == http.MethodGet && req.ContentLength != 0:
		return refuse("GET with a body")
	}
	// ParseUint takes no sign.
	left, err := strconv.ParseUint(h.Get("Request-Timeout-Ms"), 10, 32)
	if err != nil || left == 0 || left > maxTimeoutMs {
		return refuse("Request-Timeout-Ms is no whole number from 1 to %d", maxTimeoutMs)
	}
	c.timeout = time.Duration(left) * time.Millisecond
	c.deadline = now.Add(c.timeout)
	if text := h.Get("Work-Hint"); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if c.hasWorkHint = err == nil && us > 0 && us < 1e12; c.hasWorkHint { // a guess: a bad one is none
			c.workHintMs = us / 1000
		}
	}
	c.isRetry = f.config.Settings.Clients.MarksRetry && h.Get("Client-Retry") == "1"
	if dir, last := path.Split(req.URL.EscapedPath()); len(dir) > 1 && last != "" {
		c.key = hashString(last)
	}
	return c, nil
}

// readBody reads the whole body, whose length check has bounded. What it takes from
// the budget of memory the caller gives back: held bytes.
func (f *frontend) readBody(req *http.Request, c *clientRequest) (held int64, err error) {
	n := int(req.ContentLength)
	if n == 0 {
		return 0, nil
	}
	c.body = make([]byte, min(n, unreservedBody))
	if _, err = io.ReadFull(req.Body, c.body); err == nil && n > unreservedBody {
		if !f.loop.memoryBudget.TryAcquire(int64(n)) {
			return 0, errBodyMemory
		}
		held = int64(n)
		c.body = append(make([]byte, 0, n), c.body...)[:n]
		_, err = io.ReadFull(req.Body, c.body[unreservedBody:])
	}
	if err != nil {
		return held, requestErrorf(http.StatusBadRequest, "body can't be read")
	}
	return held, nil
}

var errBodyMemory = errors.New("no memory for a body")

// isToken tells whether s is one of the words that ids and keys are.
func isToken(s string) bool {
	return len(s) <= maxTokenLength && httpguts.ValidHeaderFieldName(s)
}

// isInvalidTargetRune tells the characters that no request target holds as they are.
func isInvalidTargetRune(r rune) bool { return r <= ' ' || r > '~' || r == '#' }
