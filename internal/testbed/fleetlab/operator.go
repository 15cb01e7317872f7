package fleetlab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	operatorTimeout = time.Second            // timeout of one call
	minBackoff      = 50 * time.Millisecond  // delay after the first failure; it doubles with each further one
	maxBackoff      = 400 * time.Millisecond // maximum delay
	maxConfigRead   = 16 << 20               // maximum size of a response
	maxRedirects    = 2
)

// Operator changes the configuration through the agents and records the outcome of each change. Its methods may be
// called concurrently.
type Operator struct {
	controlAddrs func() []string // returns the agents' control addresses
	now          func() time.Duration
	recorder     *recorder
	client       *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	current *Document // newest acknowledged configuration; nil if there is none
}

func newOperator(controlAddrs func() []string, now func() time.Duration, recorder *recorder, seed uint64) *Operator {
	return &Operator{controlAddrs: controlAddrs, now: now, recorder: recorder, random: rand.New(rand.NewPCG(seed, 3)),
		client: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{IdleConnTimeout: 5 * time.Second}, CheckRedirect: func(r *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return errors.New("redirected too often")
			}
			return nil
		}}}
}

// Current returns the newest configuration that was acknowledged to this operator; nil if there is none.
func (o *Operator) Current() *Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// Put replaces the configuration whose revision is base. It retries until the outcome is known or ctx ends, and returns
// the status.
func (o *Operator) Put(ctx context.Context, base int, d *Document) (int, error) {
	return o.submit(ctx, http.MethodPut, &ConfigChange{BaseRevision: base, Doc: d, Valid: true}, d)
}

// Patch changes items of the newest configuration. If the revision of the patch is 0, it chooses a random higher one.
func (o *Operator) Patch(ctx context.Context, p Patch) (int, error) {
	cur := o.Current()
	if cur == nil {
		return 0, errors.New("there is no configuration yet")
	}
	if p.Revision == 0 {
		p.Revision = cur.Revision + 1 + o.randomIntN(3)
	}
	return o.submit(ctx, http.MethodPatch, &ConfigChange{BaseRevision: cur.Revision, Doc: cur.withPatch(&p), Valid: true}, p)
}

// PutInvalid sends a configuration that agents have to reject.
func (o *Operator) PutInvalid(ctx context.Context, base int, d *Document) (int, error) {
	return o.submit(ctx, http.MethodPut, &ConfigChange{BaseRevision: base, Doc: d}, d)
}

func (o *Operator) randomIntN(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.IntN(n)
}

// submit records a change and sends it until the outcome is known or ctx ends.
func (o *Operator) submit(ctx context.Context, method string, c *ConfigChange, body any) (int, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "configuration")
	}
	o.recorder.mu.Lock()
	c.SentAt = o.now()
	o.recorder.Changes = append(o.recorder.Changes, c)
	o.recorder.mu.Unlock()
	status, by, _, err := o.callUntilAnswered(ctx, method, strconv.Itoa(c.BaseRevision), text)
	if err != nil {
		return 0, errors.Wrapf(err, "configuration %d", c.Doc.Revision)
	}
	o.recorder.mu.Lock()
	if status/100 == 2 {
		c.AckedAt, c.AckedBy = o.now(), by
	} else {
		c.RejectStatus = status
	}
	o.recorder.mu.Unlock()
	if status/100 == 2 {
		o.mu.Lock()
		if o.current == nil || o.current.Revision < c.Doc.Revision {
			o.current = c.Doc
		}
		o.mu.Unlock()
	}
	return status, nil
}

// ReadBack reads the newest configuration as JSON.
func (o *Operator) ReadBack(ctx context.Context) ([]byte, error) {
	status, _, text, err := o.callUntilAnswered(ctx, http.MethodGet, "", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("status %d", status)
	}
	return text, nil
}

// callUntilAnswered calls random agents until one gives a definite answer: success, or a status that a retry cannot
// change. Other 4xx statuses except 408 and 429 count as definite from the third one on.
func (o *Operator) callUntilAnswered(ctx context.Context, method, match string, body []byte) (status int, by string, text []byte, err error) {
	backoff, unexpected := minBackoff, 0
	last := errors.New("no agent to call")
	for {
		list := o.controlAddrs()
		if len(list) > 0 {
			status, by, text, err = o.call(ctx, list[o.randomIntN(len(list))], method, match, body)
			switch {
			case err != nil:
				last = err
			case status/100 == 2, status == 400, status == 409, status == 412, status == 413, status == 422:
				return status, by, text, nil
			case status/100 == 4 && status != 408 && status != 429:
				if unexpected++; unexpected == 3 {
					return status, by, text, nil
				}
				last = errors.Errorf("status %d from %s", status, by)
			default:
				last = errors.Errorf("status %d from %s", status, by)
			}
		}
		timer := time.NewTimer(backoff)
		backoff = min(backoff*2, maxBackoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, "", nil, errors.Wrap(last, "no definite answer")
		}
	}
}

// call makes one call and follows redirects. It returns the status, the IP of the agent that answered, and the body.
func (o *Operator) call(ctx context.Context, addr, method, match string, body []byte) (int, string, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/chalkdoor/config", bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, errors.Wrap(err, "operator")
	}
	if match != "" {
		req.Header.Set("If-Match", match)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, "", nil, errors.Wrap(err, "operator")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigRead))
	if err != nil {
		return 0, "", nil, errors.Wrap(err, "operator")
	}
	return resp.StatusCode, ipOf(resp.Request.URL.Host), text, nil
}

func (o *Operator) close() { o.client.CloseIdleConnections() }

// revisionOf returns the revision of a configuration in JSON.
func revisionOf(text []byte) (int, error) {
	var d struct {
		Revision int `json:"revision"`
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return 0, errors.Wrap(err, "configuration read back")
	}
	return d.Revision, nil
}
