package quota

import (
	"context"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// hedgeDelay is how long a holder may take to answer before the next one is asked as well.
	// maxHoldersAsked is the maximum number of holders that are asked.
	hedgeDelay      = 40 * time.Millisecond
	maxHoldersAsked = 4
	// maxAgentsAsked is the maximum number of other agents that are asked to forward a call.
	maxAgentsAsked = 2
	// cutOffAfter is the time without an answer from any holder after which other agents are asked first.
	cutOffAfter = 300 * time.Millisecond
	// admitTimeout bounds the time until a verdict.
	admitTimeout = 200 * time.Millisecond
	// returnedLifetime is how long a returned amount is available to other requests of the tenant.
	returnedLifetime = 500 * time.Millisecond
	// maxDecisionReuse bounds the time for which a rejection is reused without asking again.
	maxDecisionReuse = 30 * time.Millisecond
	// maxTenantsCached is the maximum number of tenants that a client keeps state of.
	maxTenantsCached = 1024
)

// Decision is the result of Client.Admit.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration // set only if the verdict is Exhausted
	// Undecided is set only if the verdict is Unavailable: a holder was reached but could not decide.
	Undecided bool
}

// Client asks the holders of shares to admit requests. It is safe for concurrent use.
type Client struct {
	options Options
	broker  *Broker // the broker of this process
	started time.Time

	mu                sync.Mutex                // guards all fields below
	returned          map[string]returnedAmount // by tenant
	cachedDecisions   map[string]cachedDecision // by tenant
	unresponsiveUntil map[string]time.Duration  // by address, the time until which a process counts as unresponsive
	forwarding        int                       // number of other agents' calls that are being forwarded
	lateAnswers       map[string][]*lateAnswers // by tenant
	// unansweredSince is the time of the first call since a holder last answered one; 0 if there is none.
	unansweredSince time.Duration
}

// returnedAmount is an amount that was admitted but not used.
type returnedAmount struct {
	amount    float64
	expiresAt time.Duration
}

// cachedDecision is a rejection that is reused for requests of at least the same amount.
type cachedDecision struct {
	expiresAt time.Duration
	amount    float64
	decision  Decision
}

// NewClient returns a client. It asks the broker of its own process first, if that admits requests.
func NewClient(options Options, broker *Broker) *Client {
	return &Client{
		options:           options,
		broker:            broker,
		started:           time.Now(),
		returned:          map[string]returnedAmount{},
		cachedDecisions:   map[string]cachedDecision{},
		unresponsiveUntil: map[string]time.Duration{},
		lateAnswers:       map[string][]*lateAnswers{},
	}
}

func (c *Client) now() time.Duration { return time.Since(c.started) }

// Admit asks for an amount of a tenant's quota. If there is no answer within admitTimeout, the verdict is
// Unavailable. An admitted amount that is not used has to be given to Return.
func (c *Client) Admit(ctx context.Context, tenant string, amount float64) Decision {
	if decision, ok := c.decideLocally(tenant, amount); ok {
		return decision
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	response := c.askHolders(ctx, &admitRequest{Tenant: tenant, Amount: amount}, true)
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
		c.cacheDecision(tenant, amount, decision, min(decision.RetryAfter, maxDecisionReuse))
	case decision.Undecided:
		c.cacheDecision(tenant, amount, decision, maxDecisionReuse)
	}
	return decision
}

// askHolders asks the broker of this process if it admits requests. If it doesn't or can't decide,
// askHolders asks other holders and, if the call may be forwarded, other agents.
func (c *Client) askHolders(ctx context.Context, request *admitRequest, mayForward bool) admitResponse {
	if _, ok := c.broker.divisor(); ok {
		if response := c.broker.admit(ctx, request.Tenant, request.Amount); response.isFinal() || ctx.Err() != nil {
			return response
		}
	}
	return c.ask(ctx, request, c.candidates(mayForward))
}

// Return gives back an amount that was admitted but not used. Other requests of the tenant at this agent can
// use it for returnedLifetime.
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

// decideLocally decides on a request if that is possible without asking a holder.
func (c *Client) decideLocally(tenant string, amount float64) (decision Decision, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takeReturnedLocked(tenant, amount) {
		return Decision{Verdict: Admitted}, true
	}
	if cached, found := c.cachedDecisions[tenant]; found && c.now() < cached.expiresAt && amount >= cached.amount {
		return cached.decision, true
	}
	return Decision{}, false
}

// takeReturnedLocked takes an amount from what was returned if all of it is there, and reports whether it was.
func (c *Client) takeReturnedLocked(tenant string, amount float64) bool {
	available := c.returned[tenant]
	if c.now() >= available.expiresAt || available.amount < amount {
		return false
	}
	available.amount -= amount
	c.returned[tenant] = available
	return true
}

// cacheDecision reuses a decision for some time for requests of the tenant of at least the same amount.
func (c *Client) cacheDecision(tenant string, amount float64, decision Decision, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cachedDecisions) >= maxTenantsCached {
		clear(c.cachedDecisions)
	}
	c.cachedDecisions[tenant] = cachedDecision{expiresAt: c.now() + length, amount: amount, decision: decision}
}

// isFinal reports whether no other holder needs to be asked.
func (r *admitResponse) isFinal() bool { return r.Verdict != Unavailable || r.Undecided }

// ask asks the candidates one after another: the next one once the previous one has failed, or has not answered
// for hedgeDelay. Amounts that are admitted by further answers are returned. If a candidate answers Exhausted,
// that is the result only if none of the others that were asked admits the request: they may have what it lacked.
func (c *Client) ask(ctx context.Context, request *admitRequest, order *candidates) admitResponse {
	answers := make(chan admitResponse, order.limit())
	pending := 0
	var lastAsked candidate
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
				c.setUnresponsive(lastAsked.addr)
			}
			next, found := order.next(pending)
			if found {
				lastAsked = next
				pending++
				go func() { answers <- c.askCandidate(next, request) }()
				hedge.Reset(order.delay())
			} else if pending == 0 {
				return admitResponse{Verdict: Unavailable}
			}
		case <-ctx.Done():
			return admitResponse{Verdict: Unavailable}
		}
	}
}

// awaitOthers returns the first pending answer that admits the request, or the rejection if there is none.
func (c *Client) awaitOthers(
	ctx context.Context, rejection admitResponse, answers <-chan admitResponse, pending *int,
) admitResponse {
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

// askCandidate calls one candidate. If the call fails, the verdict is Unavailable.
func (c *Client) askCandidate(target candidate, request *admitRequest) admitResponse {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	response, err := rpc.Call[admitRequest, admitResponse](ctx, c.options.Pool, target.addr, target.call, request)
	if err != nil {
		c.setUnresponsive(target.addr)
		return admitResponse{Verdict: Unavailable}
	}
	if target.call == callAdmit {
		c.holderAnswered()
	}
	return *response
}

// setUnresponsive makes a holder be asked last, and an agent not at all, for unresponsivePause.
func (c *Client) setUnresponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for other, until := range c.unresponsiveUntil {
		if now >= until {
			delete(c.unresponsiveUntil, other)
		}
	}
	c.unresponsiveUntil[addr] = now + unresponsivePause
}
