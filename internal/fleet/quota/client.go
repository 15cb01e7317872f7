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
	// maxAgentsAsked is how many other agents are asked to forward a question.
	maxAgentsAsked = 2
	// cutOffAfter is for how long no holder must have answered any question until other agents are asked
	// first.
	cutOffAfter = 300 * time.Millisecond
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
	// Undecided, of Unavailable: a holder was reached, and could not tell.
	Undecided bool
}

// Client asks members of the core, or their deputies, to admit requests. It is safe for concurrent use.
type Client struct {
	options Options
	broker  *Broker // of this process
	started time.Time

	mu           sync.Mutex                // guards all that follows
	returned     map[string]returnedAmount // by tenant
	paused       map[string]pause          // by tenant
	unresponsive map[string]time.Duration  // until when a holder or agent is asked last
	forwarding   int                       // questions of other agents in progress
	late         map[string][]*lateAnswers // by tenant: of questions that were decided without them
	// unansweredSince is when the first question was asked since a holder has answered one; 0: there is none.
	unansweredSince time.Duration
}

// returnedAmount is what was admitted and not used.
type returnedAmount struct {
	amount    float64
	expiresAt time.Duration
}

// pause is a time in which requests of some size are known to be rejected.
type pause struct {
	until    time.Duration
	amount   float64
	decision Decision
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
		late:         map[string][]*lateAnswers{},
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
	response := c.admitDirectly(ctx, &admitRequest{Tenant: tenant, Amount: amount}, true)
	if response.Verdict == Exhausted && c.awaitReturned(ctx, tenant, amount) {
		return Decision{Verdict: Admitted}
	}
	decision := Decision{
		Verdict:    response.Verdict,
		RetryAfter: time.Duration(response.RetryAfterMs) * time.Millisecond,
		Undecided:  response.Undecided,
	}
	switch {
	case decision.Verdict == Exhausted:
		c.pause(tenant, amount, decision, min(decision.RetryAfter, maxLocalPause))
	case decision.Undecided:
		c.pause(tenant, amount, decision, maxLocalPause)
	}
	return decision
}

// admitDirectly asks the broker of this process if that admits, holders and other agents if not.
func (c *Client) admitDirectly(ctx context.Context, request *admitRequest, mayForward bool) admitResponse {
	if _, ok := c.broker.divisor(); ok {
		if response := c.broker.admit(ctx, request.Tenant, request.Amount); response.isFinal() || ctx.Err() != nil {
			return response
		}
	}
	return c.ask(ctx, request, c.candidates(mayForward))
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
	if c.takeReturnedLocked(tenant, amount) {
		return Decision{Verdict: Admitted}, true
	}
	if paused, found := c.paused[tenant]; found && c.now() < paused.until && amount >= paused.amount {
		return paused.decision, true
	}
	return Decision{}, false
}

// takeReturnedLocked takes an amount of what was admitted and not used, if all of it is there.
func (c *Client) takeReturnedLocked(tenant string, amount float64) bool {
	available := c.returned[tenant]
	if c.now() >= available.expiresAt || available.amount < amount {
		return false
	}
	available.amount -= amount
	c.returned[tenant] = available
	return true
}

// pause has requests of a tenant that are not smaller get the same decision for a moment without asking.
func (c *Client) pause(tenant string, amount float64, decision Decision, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.paused) >= maxTenantsCached {
		clear(c.paused)
	}
	c.paused[tenant] = pause{until: c.now() + length, amount: amount, decision: decision}
}

// isFinal reports whether no other holder has to be asked.
func (r *admitResponse) isFinal() bool { return r.Verdict != Unavailable || r.Undecided }

// ask asks candidates in turn: the next one once the one before has failed, or has not answered for
// hedgeDelay. What one admits after another has is returned. That one is exhausted is the answer only once
// the others that were asked have answered, too: they may have what it lacked.
func (c *Client) ask(ctx context.Context, request *admitRequest, asked *candidates) admitResponse {
	answers := make(chan admitResponse, asked.limit())
	pending := 0
	var latest candidate
	defer func() { c.returnLate(request, answers, pending) }()
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case answer := <-answers:
			pending--
			switch {
			case answer.Verdict == Exhausted && pending > 0:
				return c.awaitOthers(ctx, answer, answers, &pending)
			case answer.isFinal():
				return answer
			}
			hedge.Reset(0)
		case <-hedge.C:
			if pending > 0 {
				c.setUnresponsive(latest.addr)
			}
			next, found := asked.next(pending)
			if found {
				latest = next
				pending++
				go func() { answers <- c.askCandidate(next, request) }()
				hedge.Reset(asked.delay())
			} else if pending == 0 {
				return admitResponse{Verdict: Unavailable}
			}
		case <-ctx.Done():
			return admitResponse{Verdict: Unavailable}
		}
	}
}

// awaitOthers returns the first answer that admits, and the rejection if none of those pending does.
func (c *Client) awaitOthers(ctx context.Context, rejection admitResponse, answers <-chan admitResponse, pending *int) admitResponse {
	for *pending > 0 {
		select {
		case answer := <-answers:
			*pending--
			if answer.Verdict == Admitted {
				return answer
			}
		case <-ctx.Done():
			return rejection
		}
	}
	return rejection
}

// askCandidate asks one candidate.
func (c *Client) askCandidate(asked candidate, request *admitRequest) admitResponse {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	response, err := rpc.Call[admitRequest, admitResponse](ctx, c.options.Pool, asked.addr, asked.call, request)
	if err != nil {
		c.setUnresponsive(asked.addr)
		return admitResponse{Verdict: Unavailable}
	}
	if asked.call == callAdmit {
		c.holderAnswered()
	}
	return *response
}

// setUnresponsive has a holder or agent asked last for some time.
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
