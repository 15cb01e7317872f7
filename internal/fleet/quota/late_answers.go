package quota

import (
	"context"
	"slices"
)

// maxLateAnswers is the maximum number of calls of a tenant whose late answers a client waits for.
const maxLateAnswers = 8

// lateAnswers stands for the answers to a call that arrive after the call was decided.
type lateAnswers struct{ done chan struct{} } // closed when all have arrived

// returnLate returns the amounts that holders admit in late answers.
func (c *Client) returnLate(request *admitRequest, answers <-chan admitResponse, pending int) {
	if pending == 0 {
		return
	}
	late := c.beginLate(request.Tenant)
	go func() {
		defer c.endLate(request.Tenant, late)
		for range pending {
			if answer := <-answers; answer.Verdict == Admitted {
				c.Return(request.Tenant, request.Amount)
			}
		}
	}()
}

// beginLate records that the answers to a call are late. Beyond maxLateAnswers calls of a tenant, and
// maxTenantsCached tenants, it does not: later calls do not wait for these answers.
func (c *Client) beginLate(tenant string) *lateAnswers {
	late := &lateAnswers{done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	registered := c.lateAnswers[tenant]
	if len(registered) < maxLateAnswers && (registered != nil || len(c.lateAnswers) < maxTenantsCached) {
		c.lateAnswers[tenant] = append(registered, late)
	}
	return late
}

// endLate records that all late answers to a call have arrived.
func (c *Client) endLate(tenant string, late *lateAnswers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(late.done)
	remaining := slices.DeleteFunc(c.lateAnswers[tenant], func(other *lateAnswers) bool { return other == late })
	if len(remaining) == 0 {
		delete(c.lateAnswers, tenant)
		return
	}
	c.lateAnswers[tenant] = remaining
}

// awaitReturned takes an amount from what was returned if all of it is there. Otherwise it waits for the late
// answers to earlier calls, as these may admit just the amount that the holders lack now. It reports whether it
// has taken the amount.
func (c *Client) awaitReturned(ctx context.Context, tenant string, amount float64) bool {
	taken, late := c.takeReturned(tenant, amount)
	for !taken && len(late) > 0 {
		select {
		case <-late[0].done:
		case <-ctx.Done():
			return false
		}
		late = late[1:]
		taken, _ = c.takeReturned(tenant, amount)
	}
	return taken
}

// takeReturned takes an amount from what was returned if all of it is there, and reports whether it was. It also
// returns the late answers that may bring more.
func (c *Client) takeReturned(tenant string, amount float64) (taken bool, late []*lateAnswers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeReturnedLocked(tenant, amount), slices.Clone(c.lateAnswers[tenant])
}
