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
	maxRedirects          = 2
	maxRejections         = 3       // tries that end with a 4xx that is not clear by itself
	minLinkBytesPerSecond = 1 << 20 // bytes a second that a link carries at least
	maxResponseBytes      = config.MaxDocument + 1<<20
	initialBackoff        = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
)

// Client calls agents as the protocol has operators do: it goes to the next agent after a failure,
// a 5xx, a 408, a 429 or a second of silence, with a growing pause, and sends the same again until
// the answer is clear or the context ends.
type Client struct {
	addresses []string
	http      *http.Client
	// ResponseTimeout is how long an agent may be silent, with a second more for each MiB that is sent.
	ResponseTimeout time.Duration
	// InitialBackoff is the first pause; it doubles up to 2 s.
	InitialBackoff time.Duration
}

// NewClient returns a client of the agents with the given control addresses, IP:PORT, at least one.
func NewClient(agents []string) *Client {
	return &Client{addresses: agents, ResponseTimeout: time.Second, InitialBackoff: initialBackoff, http: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true},
		CheckRedirect: func(r *http.Request, via []*http.Request) error {
			if r.Response.StatusCode != http.StatusTemporaryRedirect {
				return http.ErrUseLastResponse
			}
			if len(via) > maxRedirects {
				return errors.Errorf("more than %d redirects", maxRedirects)
			}
			return nil
		},
	}}
}

// Config reads the newest configuration and its revision. Where there is none the error is a fault
// of kind NotFound.
func (c *Client) Config(ctx context.Context) (raw []byte, revision int64, err error) {
	if raw, err = c.callWithRetries(ctx, http.MethodGet, "/chalkdoor/config", "", nil); err != nil {
		return nil, 0, err
	}
	var head struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, 0, apierror.Wrap(err, apierror.Unavailable, "revision", "ask another agent")
	}
	return raw, head.Revision, nil
}

// Submit sends a configuration, or (patch) a change of items, on top of version ifMatch, and
// returns the revision that was acknowledged. An error is a fault: Invalid, OutcomeTooLarge, Conflict, or
// Unclear when time ran out
// after an agent may have read it (the same has to be sent again to learn whether it was taken), or
// Unavailable when none did.
func (c *Client) Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) (revision int64, err error) {
	method := http.MethodPut
	if patch {
		method = http.MethodPatch
	}
	answer, err := c.callWithRetries(ctx, method, "/chalkdoor/config", strconv.FormatInt(ifMatch, 10), body)
	if err != nil {
		return 0, err
	}
	var taken struct {
		Revision int64 `json:"revision"`
	}
	_ = json.Unmarshal(answer, &taken) // a 200 is the acknowledgement, whatever its body
	return taken.Revision, nil
}

// Inspect reads one of Resources from the first agent that answers.
func (c *Client) Inspect(ctx context.Context, what string) ([]byte, error) {
	return c.callWithRetries(ctx, http.MethodGet, "/chalkdoor/ops/"+url.PathEscape(what), "", nil)
}

func (c *Client) callWithRetries(ctx context.Context, method, path, ifMatch string, body []byte) ([]byte, error) {
	pause, refused := c.InitialBackoff, 0
	var last error
	var sent atomic.Bool // also by a try whose answer never came
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	for i := 0; ; i++ {
		status, answer, err := c.attempt(ctx, method, "http://"+c.addresses[i%len(c.addresses)]+path, ifMatch, body)
		switch {
		case err != nil:
			if last == nil || ctx.Err() == nil {
				last = err
			}
		case status >= 200 && status < 300:
			return answer, nil
		default:
			clear, err := responseError(status, answer)
			if last = err; clear {
				return nil, err
			}
			if status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
				if refused++; refused == maxRejections {
					return nil, err
				}
			}
		}
		wait := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			wait.Stop()
			if sent.Load() && method != http.MethodGet {
				return nil, apierror.Wrap(last, apierror.OutcomeUnknown, "", "send the same again: it may have been taken")
			}
			return nil, apierror.Wrap(last, apierror.Unavailable, "", "name agents that run, or give more time")
		case <-wait.C:
		}
		pause = min(2*pause, maxBackoff)
	}
}

func (c *Client) attempt(ctx context.Context, method, to, ifMatch string, body []byte) (int, []byte, error) {
	silence := c.ResponseTimeout + time.Duration(len(body))*time.Second/minLinkBytesPerSecond
	if method == http.MethodGet {
		silence += time.Second // answers may be large too
	}
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
		r.Header.Set("Content-Type", "application/json")
	}
	a, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes+1))
	if err == nil && len(answer) > maxResponseBytes {
		err = errors.Errorf("the answer has more than %d bytes", maxResponseBytes)
	}
	return a.StatusCode, answer, err
}

// responseError makes an error of an answer that is no success, and tells whether it ends the call.
func responseError(status int, answer []byte) (clear bool, err error) {
	var said struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(answer, &said) != nil || said.Error == "" {
		said.Error = http.StatusText(status)
	}
	kind, remedy := apierror.Unavailable, ""
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		kind, clear = apierror.Invalid, true
	case http.StatusConflict, http.StatusPreconditionFailed:
		kind, clear, remedy = apierror.Conflict, true, "read the configuration anew, then decide"
	case http.StatusRequestEntityTooLarge:
		kind, clear = apierror.TooLarge, true
	case http.StatusNotFound:
		kind = apierror.NotFound
	}
	return clear, apierror.New(kind, "", remedy, "%s (%d)", said.Error, status)
}
