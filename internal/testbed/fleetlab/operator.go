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
	operatorWait  = time.Second            // for an answer
	firstPause    = 50 * time.Millisecond  // after a failure, growing
	longestPause  = 400 * time.Millisecond // of the pauses
	maxConfigRead = 16 << 20
	maxHops       = 2
)

// Operator sends configurations and keeps what became of them.
type Operator struct {
	control func() []string // the agents' addresses
	now     func() time.Duration
	seen    *seen
	http    *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	current *Doc // the newest that was acknowledged
}

func newOperator(control func() []string, now func() time.Duration, s *seen, seed uint64) *Operator {
	return &Operator{control: control, now: now, seen: s, rng: rand.New(rand.NewPCG(seed, 3)),
		http: &http.Client{Timeout: operatorWait, Transport: &http.Transport{IdleConnTimeout: 5 * time.Second}, CheckRedirect: func(r *http.Request, via []*http.Request) error {
			if len(via) > maxHops {
				return errors.New("redirected too often")
			}
			return nil
		}}}
}

// Current is the newest configuration that was acknowledged to this operator; nil before.
func (o *Operator) Current() *Doc {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// Put sends a whole configuration on top of a version until it has a clear answer. It returns
// its status.
func (o *Operator) Put(ctx context.Context, base int, d *Doc) (int, error) {
	return o.change(ctx, http.MethodPut, &Change{Base: base, Doc: d, Valid: true}, d)
}

// Patch sends a change of the newest configuration, whose revision it draws.
func (o *Operator) Patch(ctx context.Context, p Patch) (int, error) {
	cur := o.Current()
	if cur == nil {
		return 0, errors.New("there is no configuration yet")
	}
	if p.Revision == 0 {
		p.Revision = cur.Revision + 1 + o.draw(3)
	}
	return o.change(ctx, http.MethodPatch, &Change{Base: cur.Revision, Doc: cur.patched(&p), Valid: true}, p)
}

// PutInvalid sends what has to be refused.
func (o *Operator) PutInvalid(ctx context.Context, base int, d *Doc) (int, error) {
	return o.change(ctx, http.MethodPut, &Change{Base: base, Doc: d}, d)
}

func (o *Operator) draw(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rng.IntN(n)
}

// change sends until there is a clear answer or ctx ends.
func (o *Operator) change(ctx context.Context, method string, c *Change, body any) (int, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "configuration")
	}
	o.seen.mu.Lock()
	c.Sent = o.now()
	o.seen.Changes = append(o.seen.Changes, c)
	o.seen.mu.Unlock()
	status, by, _, err := o.insist(ctx, method, strconv.Itoa(c.Base), text)
	if err != nil {
		return 0, errors.Wrapf(err, "configuration %d", c.Doc.Revision)
	}
	o.seen.mu.Lock()
	if status/100 == 2 {
		c.Acked, c.By = o.now(), by
	} else {
		c.Over = status
	}
	o.seen.mu.Unlock()
	if status/100 == 2 {
		o.mu.Lock()
		if o.current == nil || o.current.Revision < c.Doc.Revision {
			o.current = c.Doc
		}
		o.mu.Unlock()
	}
	return status, nil
}

// ReadBack reads the newest configuration.
func (o *Operator) ReadBack(ctx context.Context) ([]byte, error) {
	status, _, text, err := o.insist(ctx, http.MethodGet, "", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("status %d", status)
	}
	return text, nil
}

// insist calls one agent after the other until one answers clearly.
func (o *Operator) insist(ctx context.Context, method, match string, body []byte) (status int, by string, text []byte, err error) {
	pause, odd := firstPause, 0
	last := errors.New("no agent to call")
	for {
		list := o.control()
		if len(list) > 0 {
			status, by, text, err = o.call(ctx, list[o.draw(len(list))], method, match, body)
			switch {
			case err != nil:
				last = err
			case status/100 == 2, status == 400, status == 409, status == 412, status == 413, status == 422:
				return status, by, text, nil
			case status/100 == 4 && status != 408 && status != 429:
				if odd++; odd == 3 {
					return status, by, text, nil
				}
				last = errors.Errorf("status %d of %s", status, by)
			default:
				last = errors.Errorf("status %d of %s", status, by)
			}
		}
		t := time.NewTimer(pause)
		pause = min(pause*2, longestPause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return 0, "", nil, errors.Wrap(last, "no clear answer")
		}
	}
}

func (o *Operator) call(ctx context.Context, addr, method, match string, body []byte) (int, string, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/chalkdoor/config", bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, errors.Wrap(err, "operator")
	}
	if match != "" {
		req.Header.Set("If-Match", match)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := o.http.Do(req)
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

func (o *Operator) close() { o.http.CloseIdleConnections() }

// revisionOf is the version of a configuration read back.
func revisionOf(text []byte) (int, error) {
	var d struct {
		Revision int `json:"revision"`
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return 0, errors.Wrap(err, "configuration read back")
	}
	return d.Revision, nil
}
