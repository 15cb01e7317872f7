package quota

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// maxForwarding bounds the number of calls that an agent forwards for other agents at a time.
const maxForwarding = 32

// candidate is a process to ask for admission, and the name of the call.
type candidate struct{ addr, call string }

// candidates is the order in which processes are asked to admit one request: the holders of shares and, where no
// holder answers, other agents that may reach one. It is used by one goroutine.
type candidates struct {
	holders      []string        // those that did not answer recently come last
	listAgents   func() []string // returns the other agents; nil if the call must not be forwarded
	isCutOff     bool            // no holder has answered recently: other agents and holders are asked in turn
	forwarders   []string        // result of listAgents, once that was called
	agentsListed bool            // listAgents was called
	holdersAsked int             // number of holders that were asked
	agentsAsked  int             // number of other agents that were asked
}

// limit returns the maximum number of candidates.
func (c *candidates) limit() int { return len(c.holders) + maxAgentsAsked }

// next returns the next candidate, if there is one. While holders may still answer, other agents are asked only
// if this one is cut off: a slow holder is overloaded, and a forwarded call would only add to its load.
func (c *candidates) next(pending int) (candidate, bool) {
	if c.isCutOff && c.agentsAsked <= c.holdersAsked || pending == 0 && c.holdersAsked == len(c.holders) {
		if addr, found := c.nextAgent(); found {
			return candidate{addr: addr, call: callForward}, true
		}
	}
	if c.holdersAsked < len(c.holders) {
		c.holdersAsked++
		return candidate{addr: c.holders[c.holdersAsked-1], call: callAdmit}, true
	}
	return candidate{}, false
}

// delay returns how long the last candidate may take to answer before the next one is asked as well. An agent that
// is cut off asks a holder at the same time as another agent, to learn when it is no longer cut off.
func (c *candidates) delay() time.Duration {
	if c.isCutOff && c.holdersAsked == 0 {
		return 0
	}
	return hedgeDelay
}

func (c *candidates) nextAgent() (addr string, found bool) {
	if c.listAgents != nil && !c.agentsListed {
		c.agentsListed = true
		c.forwarders = c.listAgents()
	}
	if c.agentsAsked >= min(len(c.forwarders), maxAgentsAsked) {
		return "", false
	}
	c.agentsAsked++
	return c.forwarders[c.agentsAsked-1], true
}

// candidates returns the processes to ask. They include other agents if the call may be forwarded.
func (c *Client) candidates(mayForward bool) *candidates {
	holders := slices.DeleteFunc(c.options.Core.HolderAddrs(), func(addr string) bool {
		return addr == c.options.SelfAddr
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	responsive, unresponsive := c.partitionLocked(holders)
	ordered := append(responsive, unresponsive...)
	now := c.now()
	order := &candidates{
		holders:  ordered[:min(len(ordered), maxHoldersAsked)],
		isCutOff: c.unansweredSince > 0 && now-c.unansweredSince > cutOffAfter,
	}
	if c.unansweredSince == 0 {
		c.unansweredSince = now
	}
	if mayForward {
		order.listAgents = func() []string { return c.agentsToAsk(holders) }
	}
	return order
}

// agentsToAsk returns the other agents that hold no share, except those that did not answer recently.
func (c *Client) agentsToAsk(holders []string) []string {
	others := slices.DeleteFunc(c.options.Core.AgentAddrs(), func(addr string) bool {
		return addr == c.options.SelfAddr || slices.Contains(holders, addr)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	responsive, _ := c.partitionLocked(others)
	return responsive
}

// partitionLocked separates the addresses of processes that did not answer recently from the others.
func (c *Client) partitionLocked(addrs []string) (responsive, unresponsive []string) {
	now := c.now()
	for _, addr := range addrs {
		if now < c.unresponsiveUntil[addr] {
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

// RegisterHandlers adds the handler of the calls by other agents to the process's table.
func (c *Client) RegisterHandlers(table *rpc.Mux) {
	rpc.HandleUnary(table, callForward, c.handleForward)
}

// handleForward asks holders on behalf of an agent that reaches none. It asks no other agent, so a call is
// forwarded at most once.
func (c *Client) handleForward(ctx context.Context, request *admitRequest) (*admitResponse, error) {
	if !c.beginForwarding() {
		return &admitResponse{Verdict: Unavailable}, nil
	}
	defer c.endForwarding()
	ctx, cancel := context.WithTimeout(ctx, admitTimeout/2)
	defer cancel()
	response := c.askHolders(ctx, request, false)
	return &response, nil
}

// beginForwarding reports whether there is room for forwarding another agent's call, and counts the call if so.
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
