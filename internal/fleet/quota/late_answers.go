package quota

import (
	"context"
	"slices"
)

// maxLateAnswers bounds the questions of a tenant that a client waits for after they were decided.
const maxLateAnswers = 8

// lateAnswers are the answers to a question that was decided without them.
type lateAnswers struct{ done chan struct{} } // closed once all have come

// returnLate returns what holders admit after their answer was waited for.
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

// beginLate records that answers are late. Beyond maxLateAnswers, and maxTenantsCached tenants, nobody waits
// for them.
func (c *Client) beginLate(tenant string) *lateAnswers {
	late := &lateAnswers{done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.late[tenant]
	if len(known) < maxLateAnswers && (known != nil || len(c.late) < maxTenantsCached) {
		c.late[tenant] = append(known, late)
	}
	return late
}

// endLate records that late answers have all come.
func (c *Client) endLate(tenant string, late *lateAnswers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(late.done)
	remaining := slices.DeleteFunc(c.late[tenant], func(other *lateAnswers) bool { return other == late })
	if len(remaining) == 0 {
		delete(c.late, tenant)
		return
	}
	c.late[tenant] = remaining
}

// awaitReturned looks whether the amount has been returned since a tenant's question was asked, and waits for the
// late answers of earlier questions: the holders may lack just what those admit. It reports whether the amount
// was there.
func (c *Client) awaitReturned(ctx context.Context, tenant string, amount float64) bool {
	taken, known := c.takeReturned(tenant, amount)
	for !taken && len(known) > 0 {
		select {
		case <-known[0].done:
		case <-ctx.Done():
			return false
		}
		known = known[1:]
		taken, _ = c.takeReturned(tenant, amount)
	}
	return taken
}

// takeReturned takes an amount of what was returned if all of it is there, and returns the late answers that
// may bring more.
func (c *Client) takeReturned(tenant string, amount float64) (taken bool, known []*lateAnswers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeReturnedLocked(tenant, amount), slices.Clone(c.late[tenant])
}
