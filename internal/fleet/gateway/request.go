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
	hID       = "Chalkdoor-Attempt-Id"
	hDeadline = "Chalkdoor-Deadline-Ms"
	hPrefix   = "Chalkdoor-Prompt-Prefix"
	hTokens   = "Chalkdoor-Token-Count"
	hModel    = "Chalkdoor-Model"
	hSeal     = "Chalkdoor-Server-Seal"
	hExpect   = "Chalkdoor-Expect-Instance"
	hInstance = "Chalkdoor-Instance-Id"
	hLoad     = "Chalkdoor-Server-Load"
	hNotRun   = "Chalkdoor-Not-Run"
	hLast     = "Last-Event-Id"
	hPriority = "Priority"
)

// clientFields are what a client says of its request. They reach the server as they came, also
// where Connection names them.
var clientFields = []string{hModel, hTokens, hPrefix, hLast}

const (
	// maxParts bounds the parts of a prompt, maxDeadline the time that a client may give.
	maxParts, maxDeadline = 64, 10 * time.Minute
	// freeBody is read before memory is asked for.
	freeBody = 16 << 10
)

// request is one try of a client.
type request struct {
	balancer.Request
	id       string
	method   string
	target   string // as it came, byte for byte
	host     string
	header   http.Header
	body     []byte
	held     int64
	arrived  time.Time
	deadline time.Time
	last     string // Last-Event-Id of the client
}

// bad is what is wrong with a request, and the status that says so.
type bad struct {
	status int
	text   string
}

func (b *bad) Error() string { return b.text }

func badf(status int, format string, args ...any) error {
	return &bad{status, fmt.Sprintf(format, args...)}
}

var errNoMemory = errors.New("no memory for a body")

// parse finds the route of a request and what the request tells of itself.
func (d *Door) parse(req *http.Request, snap *relay.Snapshot, arrived time.Time) (*request, error) {
	if !req.ProtoAtLeast(1, 1) {
		// The end of a stream would be that of the connection, and a cut one would look whole.
		return nil, badf(http.StatusHTTPVersionNotSupported, "speak HTTP/1.1")
	}
	target := req.RequestURI
	if len(target) >= 7 && strings.EqualFold(target[:7], "http://") { // the absolute form
		rest := target[7:]
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return nil, badf(http.StatusBadRequest, "the target has no path")
		}
		target = rest[i:]
	}
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(path, "/") {
		return nil, badf(http.StatusBadRequest, "the target is no path")
	}
	route := snap.Config.Match(req.Host, path)
	if route == nil {
		return nil, badf(http.StatusNotFound, "no route for this host and path")
	}
	h := req.Header
	for _, name := range []string{hID, hDeadline, hPrefix, hTokens, hModel, hLast} {
		if len(h[name]) > 1 {
			return nil, badf(http.StatusBadRequest, "%s more than once", name)
		}
	}
	r := &request{id: h.Get(hID), method: req.Method, target: target, host: req.Host, header: h, arrived: arrived,
		last: h.Get(hLast)}
	if r.id == "" {
		return nil, badf(http.StatusBadRequest, "%s is missing", hID)
	}
	r.Route, r.Model = route, h.Get(hModel)
	r.LatencyTarget = time.Duration(route.SetpointMs) * time.Millisecond
	left := min(time.Duration(route.TimeoutMs)*time.Millisecond, maxDeadline)
	if ms, err := strconv.ParseFloat(h.Get(hDeadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(min(ms, float64(maxDeadline.Milliseconds()))*float64(time.Millisecond)))
	}
	r.deadline = arrived.Add(left)
	in, out, _ := strings.Cut(h.Get(hTokens), ",")
	r.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(in)) // a guess: none is 0
	r.MaxOutputTokens, _ = strconv.Atoi(strings.TrimSpace(out))
	r.PromptTokens, r.MaxOutputTokens = max(r.PromptTokens, 0), max(r.MaxOutputTokens, 0)
	r.Segments = parts(h.Get(hPrefix))
	r.Service = d.service(route)
	return r, nil
}

// reparse has a request that was read go by a newer configuration.
func (d *Door) reparse(req *http.Request, snap *relay.Snapshot, old *request) (*request, error) {
	r, err := d.parse(req, snap, old.arrived)
	if err == nil {
		r.body, r.held = old.body, old.held
	}
	return r, err
}

// parts reads the parts of a prompt. What can't be read ends them: they are a hint.
func parts(text string) []balancer.Segment {
	if text == "" {
		return nil
	}
	var out []balancer.Segment
	for part := range strings.SplitSeq(text, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(n)
		if !ok || err != nil || tokens < 0 || len(out) == maxParts {
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

// service draws the service of a request by the route's weights.
func (d *Door) service(route *config.Route) string {
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
func (d *Door) readBody(w http.ResponseWriter, req *http.Request, r *request, snap *relay.Snapshot) error {
	most := snap.Config.Limits.BodyBytes
	if most <= 0 {
		most = maxBody
	}
	if req.ContentLength > most {
		return badf(http.StatusRequestEntityTooLarge, "body over %d bytes", most)
	}
	if req.ContentLength == 0 {
		return nil
	}
	by := time.Now().Add(bodyTime)
	if r.deadline.Before(by) {
		by = r.deadline
	}
	_ = http.NewResponseController(w).SetReadDeadline(by)
	var buf bytes.Buffer
	src := http.MaxBytesReader(nil, req.Body, most)
	_, err := io.CopyN(&buf, src, freeBody)
	if err == nil {
		want := req.ContentLength
		if want < 0 {
			want = most
		}
		if !d.memory.TryAcquire(want) {
			return errNoMemory
		}
		r.held = want
		_, err = io.Copy(&buf, src)
	} else if errors.Is(err, io.EOF) {
		err = nil
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		d.memory.Release(r.held)
		return badf(http.StatusRequestEntityTooLarge, "body over %d bytes", most)
	case timedOut(err):
		d.memory.Release(r.held)
		return badf(http.StatusRequestTimeout, "the body did not come in time")
	case err != nil:
		d.memory.Release(r.held)
		return badf(http.StatusBadRequest, "the body can't be read")
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
	for _, name := range clientFields {
		if values, ok := r.header[name]; ok {
			h[name] = values
		}
	}
	h.Set(hDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(hExpect, instance)
	h.Set(hID, r.id) // also where Connection names it
	if priority >= 0 {
		h.Set(hPriority, strconv.Itoa(priority))
	}
	if last != "" {
		h.Set(hLast, last)
	}
	if version != "" {
		h.Set(hExpectVersion, version)
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
