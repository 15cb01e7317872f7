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
	// maxRejections is after how many answers with a 4xx that is not final in itself a call fails.
	maxRejections = 3
	// minLinkBytesPerSecond is the slowest link for which a large body or answer is given time.
	minLinkBytesPerSecond = 1 << 20
	maxResponseBytes      = config.MaxDocument + 1<<20
	connectTimeout        = time.Second
	responseTimeout       = time.Second
	// readExtraTime is granted for the answer to a read, which may be large.
	readExtraTime  = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

const configPath = "/chalkdoor/config"

// Client calls agents as the operators' pages have operators do: after a failure, a 5xx, a 408, a 429
// or a time-out it goes to the next agent with exponential backoff, and sends the same call until the
// answer is final or the context ends.
type Client struct {
	addresses []string
	http      *http.Client
	// ResponseTimeout bounds one attempt, with a further second for each MiB that is sent.
	ResponseTimeout time.Duration
	// InitialBackoff is the pause after the first attempt; it doubles up to 2 s.
	InitialBackoff time.Duration
}

// NewClient returns a client of the agents at some control addresses, IP:PORT, at least one.
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

// checkRedirect follows temporary redirects only: they keep the method and the body.
func checkRedirect(request *http.Request, via []*http.Request) error {
	if request.Response.StatusCode != http.StatusTemporaryRedirect {
		return http.ErrUseLastResponse
	}
	if len(via) > maxRedirects {
		return errors.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// Config reads the newest configuration and its revision. If there is none the error has the kind
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

// Submit sends a configuration or, with patch, a change of items, made for revision ifMatch, and
// returns the committed revision. The error has the kind Invalid, TooLarge or Conflict; OutcomeUnknown
// if the time was over after an agent may have read it, so that only the same call sent again tells
// whether it is committed; or Unavailable if no agent can have read it.
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
	_ = json.Unmarshal(raw, &response) // the status is the acknowledgement, whatever the body
	return response.Revision, nil
}

// Inspect reads one of Resources from the first agent that answers.
func (c *Client) Inspect(ctx context.Context, resource string) ([]byte, error) {
	return c.callWithRetries(ctx, call{method: http.MethodGet, path: "/chalkdoor/ops/" + url.PathEscape(resource)})
}

// call is a request that any agent may answer.
type call struct {
	method, path string
	ifMatch      string // "": without the header
	body         []byte
}

func (c *Client) callWithRetries(ctx context.Context, call call) ([]byte, error) {
	backoff, rejections := c.InitialBackoff, 0
	var lastErr error
	var sent atomic.Bool // also by an attempt that was not answered
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	for i := 0; ; i++ {
		status, answer, err := c.attempt(ctx, c.addresses[i%len(c.addresses)], call)
		switch {
		case err != nil:
			if lastErr == nil || ctx.Err() == nil { // the end of the context says less than what came before
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
					return nil, lastErr
				}
			}
		}
		if !sleep(ctx, backoff) {
			return nil, timeoutError(lastErr, sent.Load() && call.method != http.MethodGet)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRejection returns whether a status is the caller's fault: another attempt is unlikely to help.
func isRejection(status int) bool {
	return status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// timeoutError is the error of a call whose time is over; mayHaveRun: an agent may have carried it out.
func timeoutError(cause error, mayHaveRun bool) error {
	if mayHaveRun {
		return apierror.Wrap(cause, apierror.OutcomeUnknown, "", "send the same again: it may have been taken")
	}
	return apierror.Wrap(cause, apierror.Unavailable, "", "name agents that run, or give more time")
}

// sleep returns false if the context ends before.
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

// responseError returns the error of an answer that is no success, and whether it is final.
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
