package quota

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// maxForwarding bounds the questions of other agents that one agent forwards at a time.
const maxForwarding = 32

// candidate is who is asked to admit a request, and by which call.
type candidate struct{ addr, call string }

// candidates is the order in which a request's question is asked: holders of shares, and other agents that
// may reach one where no holder answers. It is used by one goroutine.
type candidates struct {
	holders    []string // those that lately did not answer come last
	agents     func() []string
	isCutOff   bool     // no holder has answered lately: other agents come in turn with them
	forwarders []string // the other agents, once the first is due
	agentsDue  bool     // agents was called
	asked      int      // holders
	forwarded  int
}

// limit is how many candidates there are at most.
func (c *candidates) limit() int { return len(c.holders) + maxAgentsAsked }

// next returns the next candidate, and whether there is one. While holders may still answer, other agents are
// asked only by one that is cut off: a holder that is slow has too much to do, and would be asked again.
func (c *candidates) next(pending int) (candidate, bool) {
	if c.isCutOff && c.forwarded <= c.asked || pending == 0 && c.asked == len(c.holders) {
		if addr, found := c.nextAgent(); found {
			return candidate{addr: addr, call: callForward}, true
		}
	}
	if c.asked < len(c.holders) {
		c.asked++
		return candidate{addr: c.holders[c.asked-1], call: callAdmit}, true
	}
	return candidate{}, false
}

// delay is how long the candidate that was asked last may take before the next one is asked as well. An agent
// that is cut off asks a holder at the same time as another agent, to learn when it is no longer.
func (c *candidates) delay() time.Duration {
	if c.isCutOff && c.asked == 0 {
		return 0
	}
	return hedgeDelay
}

func (c *candidates) nextAgent() (addr string, found bool) {
	if c.agents != nil && !c.agentsDue {
		c.agentsDue = true
		c.forwarders = c.agents()
	}
	if c.forwarded >= min(len(c.forwarders), maxAgentsAsked) {
		return "", false
	}
	c.forwarded++
	return c.forwarders[c.forwarded-1], true
}

// candidates returns whom to ask. Other agents are among them if the question may be forwarded.
func (c *Client) candidates(mayForward bool) *candidates {
	holders := slices.DeleteFunc(c.options.Core.HolderAddrs(), func(addr string) bool { return addr == c.options.SelfAddr })
	c.mu.Lock()
	defer c.mu.Unlock()
	responsive, unresponsive := c.partitionLocked(holders)
	ordered := append(responsive, unresponsive...)
	now := c.now()
	asked := &candidates{
		holders:  ordered[:min(len(ordered), maxHoldersAsked)],
		isCutOff: c.unansweredSince > 0 && now-c.unansweredSince > cutOffAfter,
	}
	if c.unansweredSince == 0 {
		c.unansweredSince = now
	}
	if mayForward {
		asked.agents = func() []string { return c.agentsToAsk(holders) }
	}
	return asked
}

// agentsToAsk returns the other agents that are no holders and did answer lately, or were not asked.
func (c *Client) agentsToAsk(holders []string) []string {
	others := slices.DeleteFunc(c.options.Core.AgentAddrs(), func(addr string) bool {
		return addr == c.options.SelfAddr || slices.Contains(holders, addr)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	responsive, _ := c.partitionLocked(others)
	return responsive
}

// partitionLocked divides addresses by whether they lately did not answer.
func (c *Client) partitionLocked(addrs []string) (responsive, unresponsive []string) {
	now := c.now()
	for _, addr := range addrs {
		if now < c.unresponsive[addr] {
			unresponsive = append(unresponsive, addr)
		} else {
			responsive = append(responsive, addr)
		}
	}
	return responsive, unresponsive
}

// holderAnswered records that a holder has answered.
func (c *Client) holderAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince = 0
}

// RegisterHandlers adds the call of other agents to the process's table.
func (c *Client) RegisterHandlers(table *rpc.Mux) {
	rpc.HandleUnary(table, callForward, c.handleForward)
}

// handleForward asks a holder for an agent that reaches none. It asks no other agent, so that a question
// makes one hop at most.
func (c *Client) handleForward(ctx context.Context, request *admitRequest) (*admitResponse, error) {
	if !c.beginForwarding() {
		return &admitResponse{Verdict: Unavailable}, nil
	}
	defer c.endForwarding()
	ctx, cancel := context.WithTimeout(ctx, admitTimeout/2)
	defer cancel()
	response := c.admitDirectly(ctx, request, false)
	return &response, nil
}

// beginForwarding reports whether another agent's question is forwarded now.
func (c *Client) beginForwarding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.forwarding >= maxForwarding {
		return false
	}
	c.forwarding++
	return true
}

func (c *Client) endForwarding() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarding--
}
