package gateway

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

const (
	// maxPromptSegments is how many segments of a prompt are read from a request; further ones are ignored.
	maxPromptSegments = 64
	// maxRequestTimeout is the longest time-out of a request, whatever its route and its client allow.
	maxRequestTimeout = 10 * time.Minute
)

// request is a client's request as it was received.
type request struct {
	balancer.Request
	attemptID     string // chosen by the client, sent to each server
	method        string
	target        string // the request target, byte for byte
	host          string
	header        http.Header
	body          []byte
	reservedBytes int64 // bytes of the gateway's body memory that are reserved for body
	receivedAt    time.Time
	deadline      time.Time
	lastEventID   string // the last event of the stream that the client resumes; "" if it resumes none
	config        *config.Document
	hidesKeys     bool           // the API keys and tenant names that the client sent must not reach a server
	tenant        *config.Tenant // nil if the request needs no tenant and has no known API key
}

// requestError says what is invalid about a request, and has the HTTP status of the response.
type requestError struct {
	status   int
	message  string
	byConfig bool // whether another configuration might allow the request
}

func (e *requestError) Error() string { return e.message }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status: status, message: fmt.Sprintf(format, args...)}
}

// parseRequest matches a request to its route and reads its header fields. Its error is a *requestError.
func parseRequest(req *http.Request, snapshot *relay.Snapshot, receivedAt time.Time) (*request, error) {
	if !req.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunks: a stream would end with the connection, and a truncated one would
		// look complete.
		return nil, requestErrorf(http.StatusHTTPVersionNotSupported, "speak HTTP/1.1")
	}
	target, err := originForm(req.RequestURI)
	if err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(target, "?")
	route := snapshot.Config.Match(req.Host, path)
	if route == nil {
		return nil, configDenialf(http.StatusNotFound, "no route for this host and path")
	}
	header := req.Header
	if err := checkFields(header); err != nil {
		return nil, err
	}
	tenant, err := authenticate(header, snapshot.Config, route)
	if err != nil {
		return nil, err
	}
	r := &request{
		attemptID:   header.Get(headerAttemptID),
		method:      req.Method,
		target:      target,
		host:        req.Host,
		header:      header,
		receivedAt:  receivedAt,
		lastEventID: header.Get(headerLastEventID),
		config:      snapshot.Config,
		hidesKeys:   snapshot.Config.HasTenants(),
		tenant:      tenant,
	}
	timeout := time.Duration(route.TimeoutMs) * time.Millisecond
	r.deadline = receivedAt.Add(clientTimeout(header.Get(headerDeadline), min(timeout, maxRequestTimeout)))
	r.Route, r.Model = route, header.Get(headerModel)
	r.LatencyTarget = time.Duration(route.LatencyTargetMs) * time.Millisecond
	r.PromptTokens, r.MaxOutputTokens = parseTokenCount(header.Get(headerTokenCount))
	r.Segments = parsePromptSegments(header.Get(headerPromptPrefix))
	r.Service = chooseService(route)
	if snapshot.Config.HasTenants() {
		r.Ranked, r.Rank = true, snapshot.Config.Rank(tenant, route)
	}
	return r, nil
}

// reparse parses a received request again, by a newer configuration. Its body is kept.
func reparse(req *http.Request, snapshot *relay.Snapshot, received *request) (*request, error) {
	r, err := parseRequest(req, snapshot, received.receivedAt)
	if err == nil {
		r.body, r.reservedBytes = received.body, received.reservedBytes
	}
	return r, err
}

// originForm removes the scheme and the authority from a request target that has them (RFC 9112,
// sections 3.2.1 and 3.2.2). It changes nothing else of the target.
func originForm(target string) (string, error) {
	const scheme = "http://"
	if len(target) >= len(scheme) && strings.EqualFold(target[:len(scheme)], scheme) {
		authorityAndPath := target[len(scheme):]
		pathStart := strings.IndexByte(authorityAndPath, '/')
		if pathStart < 0 {
			return "", requestErrorf(http.StatusBadRequest, "the target has no path")
		}
		target = authorityAndPath[pathStart:]
	}
	if !strings.HasPrefix(target, "/") {
		return "", requestErrorf(http.StatusBadRequest, "the target is no path")
	}
	return target, nil
}

// checkFields returns an error if a field that has to be unique is repeated, or if the attempt ID is missing.
func checkFields(header http.Header) error {
	for _, name := range uniqueFields {
		if len(header[name]) > 1 {
			return requestErrorf(http.StatusBadRequest, "%s more than once", name)
		}
	}
	if header.Get(headerAttemptID) == "" {
		return requestErrorf(http.StatusBadRequest, "%s is missing", headerAttemptID)
	}
	return nil
}

// clientTimeout parses the time that a client allows for its request, in milliseconds. It returns at most
// limit, and exactly limit for a value that is not a positive number.
func clientTimeout(field string, limit time.Duration) time.Duration {
	milliseconds, err := strconv.ParseFloat(field, 64)
	if err != nil || !(milliseconds > 0) { // NaN compares as false
		return limit
	}
	milliseconds = min(milliseconds, float64(maxRequestTimeout.Milliseconds()))
	return min(limit, time.Duration(milliseconds*float64(time.Millisecond)))
}

// parseTokenCount parses the client's estimate of the number of tokens in its prompt and in the response.
// The estimate is a hint: a number that is missing or invalid counts as 0.
func parseTokenCount(field string) (prompt, output int) {
	promptText, outputText, _ := strings.Cut(field, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(promptText))
	output, _ = strconv.Atoi(strings.TrimSpace(outputText))
	return max(prompt, 0), max(output, 0)
}

// parsePromptSegments parses the segments of a prompt, "ID:TOKENS" separated by commas. They are a hint:
// parsing stops at the first invalid one. An ID that is not a hexadecimal number is hashed.
func parsePromptSegments(field string) []balancer.Segment {
	if field == "" {
		return nil
	}
	var segments []balancer.Segment
	for entry := range strings.SplitSeq(field, ",") {
		idText, tokensText, ok := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(tokensText)
		if !ok || err != nil || tokens < 0 || len(segments) == maxPromptSegments {
			break
		}
		id, err := strconv.ParseUint(idText, 16, 64)
		if err != nil {
			hash := fnv.New64a()
			hash.Write([]byte(idText))
			id = hash.Sum64()
		}
		segments = append(segments, balancer.Segment{ID: id, Tokens: tokens})
	}
	return segments
}
