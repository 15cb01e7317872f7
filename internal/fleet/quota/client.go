package quota

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// hedgeDelay is how long a holder may take to answer before the next one is asked as well, and
	// maxHoldersAsked how many are.
	hedgeDelay      = 40 * time.Millisecond
	maxHoldersAsked = 4
	// admitTimeout bounds the time until a verdict.
	admitTimeout = 200 * time.Millisecond
	// returnedLifetime is for how long what was not used may be used by other requests of the tenant.
	returnedLifetime = 500 * time.Millisecond
	// maxLocalPause bounds for how long a tenant's requests are rejected without asking.
	maxLocalPause = 30 * time.Millisecond
	// maxTenantsCached bounds the tenants that a client remembers anything of.
	maxTenantsCached = 1024
)

// Decision is the verdict on a request.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // of Exhausted
}

// Client asks members of the core, or their deputies, to admit requests. It is safe for concurrent use.
type Client struct {
	options Options
	broker  *Broker // of this process
	started time.Time

	mu           sync.Mutex                // guards all that follows
	returned     map[string]returnedAmount // by tenant
	paused       map[string]pause          // by tenant
	unresponsive map[string]time.Duration  // until when a holder is asked last
}

// returnedAmount is what was admitted and not used.
type returnedAmount struct {
	amount    float64
	expiresAt time.Duration
}

// pause is a time in which requests of some size are known to be rejected.
type pause struct {
	until, retryAfter time.Duration
	amount            float64
}

// NewClient returns a client that asks the broker of its own process where that admits.
func NewClient(options Options, broker *Broker) *Client {
	return &Client{
		options:      options,
		broker:       broker,
		started:      time.Now(),
		returned:     map[string]returnedAmount{},
		paused:       map[string]pause{},
		unresponsive: map[string]time.Duration{},
	}
}

func (c *Client) now() time.Duration { return time.Since(c.started) }

// Admit asks for an amount of a tenant's quota. It returns after admitTimeout at the latest, then with
// Unavailable. What was admitted and is not used has to be given to Return.
func (c *Client) Admit(ctx context.Context, tenant string, amount float64) Decision {
	if decision, ok := c.decideLocally(tenant, amount); ok {
		return decision
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	var response admitResponse
	if _, ok := c.broker.divisor(); ok {
		response = c.broker.admit(ctx, tenant, amount)
	} else {
		response = c.ask(ctx, &admitRequest{Tenant: tenant, Amount: amount})
	}
	decision := Decision{Verdict: response.Verdict, RetryAfter: time.Duration(response.RetryAfterMs) * time.Millisecond}
	if decision.Verdict == Exhausted {
		c.recordExhausted(tenant, amount, decision.RetryAfter)
	}
	return decision
}

// Return gives back what was admitted and not used: other requests of the tenant may use it at this
// agent for some time.
func (c *Client) Return(tenant string, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	current := c.returned[tenant]
	if now >= current.expiresAt {
		current.amount = 0
	}
	if len(c.returned) >= maxTenantsCached {
		clear(c.returned)
	}
	c.returned[tenant] = returnedAmount{amount: current.amount + amount, expiresAt: now + returnedLifetime}
}

// decideLocally decides where no holder need be asked.
func (c *Client) decideLocally(tenant string, amount float64) (decision Decision, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if available := c.returned[tenant]; now < available.expiresAt && available.amount >= amount {
		available.amount -= amount
		c.returned[tenant] = available
		return Decision{Verdict: Admitted}, true
	}
	if paused, found := c.paused[tenant]; found && now < paused.until && amount >= paused.amount {
		return Decision{Verdict: Exhausted, RetryAfter: paused.retryAfter}, true
	}
	return Decision{}, false
}

// recordExhausted has requests of a tenant that are not smaller rejected for a moment without asking.
func (c *Client) recordExhausted(tenant string, amount float64, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.paused) >= maxTenantsCached {
		clear(c.paused)
	}
	c.paused[tenant] = pause{until: c.now() + min(retryAfter, maxLocalPause), retryAfter: retryAfter, amount: amount}
}

// ask asks holders in turn: the next one once the one before has failed, or has not answered for
// hedgeDelay. What a holder admits after another has is returned.
func (c *Client) ask(ctx context.Context, request *admitRequest) admitResponse {
	holders := c.holdersToAsk()
	answers := make(chan admitResponse, len(holders))
	asked, pending := 0, 0
	defer func() {
		if pending > 0 {
			go c.returnLate(request, answers, pending)
		}
	}()
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case answer := <-answers:
			pending--
			if answer.Verdict != Unavailable {
				return answer
			}
			hedge.Reset(0)
		case <-hedge.C:
			if pending > 0 {
				c.setUnresponsive(holders[asked-1])
			}
			if asked < len(holders) {
				addr := holders[asked]
				asked++
				pending++
				go func() { answers <- c.askHolder(addr, request) }()
				hedge.Reset(hedgeDelay)
			} else if pending == 0 {
				return admitResponse{Verdict: Unavailable}
			}
		case <-ctx.Done():
			return admitResponse{Verdict: Unavailable}
		}
	}
}

// returnLate returns what holders admit after their answer was waited for.
func (c *Client) returnLate(request *admitRequest, answers <-chan admitResponse, pending int) {
	for range pending {
		if answer := <-answers; answer.Verdict == Admitted {
			c.Return(request.Tenant, request.Amount)
		}
	}
}

// holdersToAsk returns the holders in the order in which they are asked: those that did not answer lately
// come last.
func (c *Client) holdersToAsk() []string {
	holders := c.options.Core.HolderAddrs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var ordered, last []string
	for _, addr := range holders {
		if now < c.unresponsive[addr] {
			last = append(last, addr)
		} else {
			ordered = append(ordered, addr)
		}
	}
	ordered = append(ordered, last...)
	return ordered[:min(len(ordered), maxHoldersAsked)]
}

// askHolder asks one holder.
func (c *Client) askHolder(addr string, request *admitRequest) admitResponse {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	response, err := rpc.Call[admitRequest, admitResponse](ctx, c.options.Pool, addr, callAdmit, request)
	if err != nil {
		c.setUnresponsive(addr)
		return admitResponse{Verdict: Unavailable}
	}
	return *response
}

// setUnresponsive has a holder asked last for some time.
func (c *Client) setUnresponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for known, until := range c.unresponsive {
		if now >= until {
			delete(c.unresponsive, known)
		}
	}
	c.unresponsive[addr] = now + unresponsivePause
}
