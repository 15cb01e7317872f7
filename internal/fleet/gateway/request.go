package gateway

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// The header fields of the protocol.
const (
	headerAttemptID      = "Chalkdoor-Attempt-Id"
	headerDeadline       = "Chalkdoor-Deadline-Ms"
	headerPromptPrefix   = "Chalkdoor-Prompt-Prefix"
	headerTokenCount     = "Chalkdoor-Token-Count"
	headerModel          = "Chalkdoor-Model"
	headerServerSeal     = "Chalkdoor-Server-Seal"
	headerExpectInstance = "Chalkdoor-Expect-Instance"
	headerInstanceID     = "Chalkdoor-Instance-Id"
	headerServerLoad     = "Chalkdoor-Server-Load"
	headerNotRun         = "Chalkdoor-Not-Run"
	headerLastEventID    = "Last-Event-Id"
	headerPriority       = "Priority"
)

// endToEndFields are what a client says of its request. They reach the server as they came, also
// where Connection names them.
var endToEndFields = []string{headerModel, headerTokenCount, headerPromptPrefix, headerLastEventID}

const (
	// maxPromptParts bounds the parts of a prompt, maxRequestTimeout the time that a client may give.
	maxPromptParts, maxRequestTimeout = 64, 10 * time.Minute
	// unreservedBodyBytes is read before memory is asked for.
	unreservedBodyBytes = 16 << 10
)

// request is one try of a client.
type request struct {
	balancer.Request
	attemptID     string
	method        string
	target        string // as it came, byte for byte
	host          string
	header        http.Header
	body          []byte
	reservedBytes int64
	receivedAt    time.Time
	deadline      time.Time
	lastEventID   string // Last-Event-Id of the client
}

// requestError is what is wrong with a request, and the status that says so.
type requestError struct {
	status  int
	message string
}

func (b *requestError) Error() string { return b.message }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

var errBodyMemory = errors.New("no memory for a body")

// parse finds the route of a request and what the request tells of itself.
func (d *Gateway) parse(req *http.Request, snap *relay.Snapshot, arrived time.Time) (*request, error) {
	if !req.ProtoAtLeast(1, 1) {
		// The end of a stream would be that of the connection, and a cut one would look whole.
		return nil, requestErrorf(http.StatusHTTPVersionNotSupported, "speak HTTP/1.1")
	}
	target := req.RequestURI
	if len(target) >= 7 && strings.EqualFold(target[:7], "http://") { // the absolute form
		rest := target[7:]
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return nil, requestErrorf(http.StatusBadRequest, "the target has no path")
		}
		target = rest[i:]
	}
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, requestErrorf(http.StatusBadRequest, "the target is no path")
	}
	route := snap.Config.Match(req.Host, path)
	if route == nil {
		return nil, requestErrorf(http.StatusNotFound, "no route for this host and path")
	}
	h := req.Header
	for _, name := range []string{headerAttemptID, headerDeadline, headerPromptPrefix, headerTokenCount, headerModel, headerLastEventID} {
		if len(h[name]) > 1 {
			return nil, requestErrorf(http.StatusBadRequest, "%s more than once", name)
		}
	}
	r := &request{attemptID: h.Get(headerAttemptID), method: req.Method, target: target, host: req.Host, header: h, receivedAt: arrived,
		lastEventID: h.Get(headerLastEventID)}
	if r.attemptID == "" {
		return nil, requestErrorf(http.StatusBadRequest, "%s is missing", headerAttemptID)
	}
	r.Route, r.Model = route, h.Get(headerModel)
	r.LatencyTarget = time.Duration(route.SetpointMs) * time.Millisecond
	left := min(time.Duration(route.TimeoutMs)*time.Millisecond, maxRequestTimeout)
	if ms, err := strconv.ParseFloat(h.Get(headerDeadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(min(ms, float64(maxRequestTimeout.Milliseconds()))*float64(time.Millisecond)))
	}
	r.deadline = arrived.Add(left)
	in, out, _ := strings.Cut(h.Get(headerTokenCount), ",")
	r.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(in)) // a guess: none is 0
	r.MaxOutputTokens, _ = strconv.Atoi(strings.TrimSpace(out))
	r.PromptTokens, r.MaxOutputTokens = max(r.PromptTokens, 0), max(r.MaxOutputTokens, 0)
	r.Segments = parsePromptParts(h.Get(headerPromptPrefix))
	r.Service = d.chooseService(route)
	return r, nil
}

// reparse has a request that was read go by a newer configuration.
func (d *Gateway) reparse(req *http.Request, snap *relay.Snapshot, old *request) (*request, error) {
	r, err := d.parse(req, snap, old.receivedAt)
	if err == nil {
		r.body, r.reservedBytes = old.body, old.reservedBytes
	}
	return r, err
}

// parsePromptParts reads the parts of a prompt. What can't be read ends them: they are a hint.
func parsePromptParts(text string) []balancer.Segment {
	if text == "" {
		return nil
	}
	var out []balancer.Segment
	for part := range strings.SplitSeq(text, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(n)
		if !ok || err != nil || tokens < 0 || len(out) == maxPromptParts {
			break
		}
		x, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			f := fnv.New64a()
			f.Write([]byte(id))
			x = f.Sum64()
		}
		out = append(out, balancer.Segment{ID: x, Tokens: tokens})
	}
	return out
}

// chooseService draws the service of a request by the route's weights.
func (d *Gateway) chooseService(route *config.Route) string {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	sum := 0.0
	for _, s := range route.Splits {
		sum += s.Weight
	}
	at := d.draw() * sum
	for _, s := range route.Splits {
		if at -= s.Weight; at < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	for _, s := range route.Splits {
		if s.Weight > 0 {
			return s.Service
		}
	}
	return route.Splits[0].Service
}

// readBody reads the whole body within the limits and the request's time.
func (d *Gateway) readBody(w http.ResponseWriter, req *http.Request, r *request, snap *relay.Snapshot) error {
	most := snap.Config.Limits.BodyBytes
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	if req.ContentLength > most {
		return requestErrorf(http.StatusRequestEntityTooLarge, "body over %d bytes", most)
	}
	if req.ContentLength == 0 {
		return nil
	}
	by := time.Now().Add(readBodyTimeout)
	if r.deadline.Before(by) {
		by = r.deadline
	}
	_ = http.NewResponseController(w).SetReadDeadline(by)
	var buf bytes.Buffer
	src := http.MaxBytesReader(nil, req.Body, most)
	_, err := io.CopyN(&buf, src, unreservedBodyBytes)
	if err == nil {
		want := req.ContentLength
		if want < 0 {
			want = most
		}
		if !d.bodyMemory.TryAcquire(want) {
			return errBodyMemory
		}
		r.reservedBytes = want
		_, err = io.Copy(&buf, src)
	} else if errors.Is(err, io.EOF) {
		err = nil
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		d.bodyMemory.Release(r.reservedBytes)
		return requestErrorf(http.StatusRequestEntityTooLarge, "body over %d bytes", most)
	case isTimeout(err):
		d.bodyMemory.Release(r.reservedBytes)
		return requestErrorf(http.StatusRequestTimeout, "the body did not come in time")
	case err != nil:
		d.bodyMemory.Release(r.reservedBytes)
		return requestErrorf(http.StatusBadRequest, "the body can't be read")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	r.body = buf.Bytes()
	return nil
}

// head is the request's head as it goes to a server. The target is what the client sent:
// http.Request would write another form of it.
func (r *request) head(instance string, priority int, left time.Duration, last, version string) []byte {
	h := http1.EndToEnd(r.header)
	h.Del("Content-Length")
	h.Del("Host")
	for _, name := range endToEndFields {
		if values, ok := r.header[name]; ok {
			h[name] = values
		}
	}
	h.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(headerExpectInstance, instance)
	h.Set(headerAttemptID, r.attemptID) // also where Connection names it
	if priority >= 0 {
		h.Set(headerPriority, strconv.Itoa(priority))
	}
	if last != "" {
		h.Set(headerLastEventID, last)
	}
	if version != "" {
		h.Set(headerExpectVersion, version)
	}
	if len(r.body) > 0 || r.method != http.MethodGet && r.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	var out bytes.Buffer
	out.Grow(512)
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, r.host)
	_ = h.Write(&out) // a buffer takes all
	out.WriteString("\r\n")
	return out.Bytes()
}
