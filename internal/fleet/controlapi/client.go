package controlapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

const (
	maxRedirects = 2
	// maxRejections is the number of rejections after which a call fails. See isRejection.
	maxRejections = 3
	// minLinkBytesPerSecond is the bandwidth of the slowest link that is given enough time for a large body.
	minLinkBytesPerSecond = 1 << 20
	maxResponseBytes      = config.MaxDocument + 1<<20
	connectTimeout        = time.Second
	responseTimeout       = time.Second
	// readExtraTime is added to the time limit of a read, because its response may be large.
	readExtraTime  = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

const configPath = "/chalkdoor/config"

// Client calls agents in the way that the operators' documentation describes: after a connection
// failure, a time-out, or a response with status 5xx, 408 or 429, it sends the same call to the next
// agent, with exponential backoff, until a response is final or the context ends. It gives up after
// maxRejections other responses that are not final.
type Client struct {
	addresses []string
	http      *http.Client
	// ResponseTimeout bounds one attempt. A second is added for each MiB that is sent, and for a read.
	ResponseTimeout time.Duration
	// InitialBackoff is the pause after the first attempt. Later pauses double, up to 2 s.
	InitialBackoff time.Duration
}

// NewClient returns a client for the agents at the given control addresses, IP:PORT. There must be at
// least one address.
func NewClient(addresses []string) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		addresses:       addresses,
		ResponseTimeout: responseTimeout,
		InitialBackoff:  initialBackoff,
		http: &http.Client{
			Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
			CheckRedirect: checkRedirect,
		},
	}
}

// checkRedirect allows only temporary redirects, since they preserve the method and the body.
func checkRedirect(request *http.Request, via []*http.Request) error {
	if request.Response.StatusCode != http.StatusTemporaryRedirect {
		return http.ErrUseLastResponse
	}
	if len(via) > maxRedirects {
		return errors.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// Config reads the newest configuration and its revision. If there is none, the error has the kind
// apierror.NotFound.
func (c *Client) Config(ctx context.Context) (raw []byte, revision int64, err error) {
	raw, err = c.callWithRetries(ctx, call{method: http.MethodGet, path: configPath})
	if err != nil {
		return nil, 0, err
	}
	var document revisionResponse
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, 0, apierror.Wrap(err, apierror.Unavailable, "revision", "ask another agent")
	}
	return raw, document.Revision, nil
}

// Submit sends a complete configuration or, if patch is true, a change of some of its items, and returns
// the committed revision. ifMatch is the revision that the submission is based on. The error has the
// kind Invalid, TooLarge or Conflict if an agent refused the submission. If the context ends first, the
// kind is Unavailable if no agent can have read the submission. Otherwise it is OutcomeUnknown: the
// caller learns whether it is committed only by sending it again unchanged. It is OutcomeUnknown, too, if
// agents rejected the submission and another one may have carried it out.
func (c *Client) Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) (revision int64, err error) {
	method := http.MethodPut
	if patch {
		method = http.MethodPatch
	}
	raw, err := c.callWithRetries(ctx, call{method: method, path: configPath, ifMatch: strconv.FormatInt(ifMatch, 10), body: body})
	if err != nil {
		return 0, err
	}
	var response revisionResponse
	_ = json.Unmarshal(raw, &response) // the status acknowledges the submission, even if the body is malformed
	return response.Revision, nil
}

// Inspect reads one of Resources from the first agent that answers.
func (c *Client) Inspect(ctx context.Context, resource string) ([]byte, error) {
	return c.callWithRetries(ctx, call{method: http.MethodGet, path: "/chalkdoor/ops/" + url.PathEscape(resource)})
}

// call is a request that can be sent to any agent.
type call struct {
	method, path string
	ifMatch      string // value of the If-Match header; empty to omit the header
	body         []byte
}

func (c *Client) callWithRetries(ctx context.Context, call call) ([]byte, error) {
	backoff, rejections := c.InitialBackoff, 0
	var lastErr error
	var connections atomic.Int64 // got by all attempts; an agent may have read the call on each
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections.Add(1) }})
	mayHaveRun := false // whether an agent may have carried out the call without saying so
	for i := 0; ; i++ {
		earlierConnections := connections.Load()
		status, answer, err := c.attempt(ctx, c.addresses[i%len(c.addresses)], call)
		switch {
		case err != nil:
			if lastErr == nil || ctx.Err() == nil { // an earlier error says more than the end of the context
				lastErr = err
			}
		case status >= 200 && status < 300:
			return answer, nil
		default:
			var final bool
			if final, lastErr = responseError(status, answer); final {
				return nil, lastErr
			}
			if isRejection(status) {
				if rejections++; rejections == maxRejections {
					return nil, rejectionError(lastErr, mayHaveRun && call.method != http.MethodGet)
				}
			}
		}
		if connections.Load() > earlierConnections && (err != nil || !isRejection(status)) {
			mayHaveRun = true
		}
		if !sleep(ctx, backoff) {
			return nil, timeoutError(lastErr, connections.Load() > 0 && call.method != http.MethodGet)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRejection reports whether a status means that the caller is at fault, so that another attempt is
// unlikely to help.
func isRejection(status int) bool {
	return status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// outcomeUnknown returns the error for a call that failed for a cause but that an agent may have carried out.
func outcomeUnknown(cause error) error {
	return apierror.Wrap(cause, apierror.OutcomeUnknown, "", "send the same again: it may have been taken")
}

// rejectionError returns the error for a call that was rejected maxRejections times, the last time with err.
// mayHaveRun is true if an agent may have carried it out in another attempt.
func rejectionError(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return outcomeUnknown(err)
	}
	return err
}

// timeoutError returns the error for a call whose context has ended. mayHaveRun is true if an agent may
// have carried it out.
func timeoutError(cause error, mayHaveRun bool) error {
	if mayHaveRun {
		return outcomeUnknown(cause)
	}
	return apierror.Wrap(cause, apierror.Unavailable, "", "name agents that run, or give more time")
}

// sleep waits for a pause. It returns false if the context ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends a call to one agent.
func (c *Client) attempt(ctx context.Context, address string, call call) (status int, answer []byte, err error) {
	timeout := c.ResponseTimeout + time.Duration(len(call.body))*time.Second/minLinkBytesPerSecond
	if call.method == http.MethodGet {
		timeout += readExtraTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return 0, nil, err
	}
	if call.ifMatch != "" {
		request.Header.Set("If-Match", call.ifMatch)
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(answer) > maxResponseBytes {
		err = errors.Errorf("the answer has more than %d bytes", maxResponseBytes)
	}
	return response.StatusCode, answer, err
}

// responseError returns the error for a response that is not a success, and whether it is final.
func responseError(status int, answer []byte) (final bool, err error) {
	var response errorResponse
	if json.Unmarshal(answer, &response) != nil || response.Error == "" {
		response.Error = http.StatusText(status)
	}
	kind, remedy := apierror.Unavailable, ""
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		kind, final = apierror.Invalid, true
	case http.StatusConflict, http.StatusPreconditionFailed:
		kind, final, remedy = apierror.Conflict, true, "read the configuration anew, then decide"
	case http.StatusRequestEntityTooLarge:
		kind, final = apierror.TooLarge, true
	case http.StatusNotFound:
		kind = apierror.NotFound
	}
	return final, apierror.New(kind, "", remedy, "%s (%d)", response.Error, status)
}
