package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// gathering is the collection of what one request needs beyond its holder's own share.
//
// Two holders that gather for one tenant at a time could each hold a part of what is left, and both fail
// though the tenant is within its quota. So gatherings have a rank: one that is drawn from by one of a higher
// rank gives it what it has collected, and looks there again once that has ended; one that is drawn from by
// one of a lower rank answers once it has ended itself, if what is there does not suffice.
type gathering struct {
	tenant string
	amount float64 // that is needed
	rank   uint64  // above 0
	done   chan struct{}

	// Guarded by the broker's mu:
	taken    float64  // collected so far
	complete bool     // it has enough, or has failed: it gives nothing away
	again    []string // holders to draw from once more, when all others were
	recalled int      // of them those that drew lately
}

// maxRecalled is from how many holders that drew lately a gathering draws once more.
const maxRecalled = 2

// newGathering returns a gathering of an amount of which a part is taken.
func newGathering(tenant string, amount, taken float64) *gathering {
	return &gathering{tenant: tenant, amount: amount, taken: taken, rank: rand.Uint64() | 1, done: make(chan struct{})}
}

// collect adds what was drawn, and returns what is still missing.
func (g *gathering) collect(drawn float64) (missing float64) {
	g.taken += drawn
	g.complete = g.complete || g.taken >= g.amount
	return max(g.amount-g.taken, 0)
}

// recall has a holder drawn from once more that lately drew from another one.
func (g *gathering) recall(addr, self string) {
	if addr == "" || addr == self || g.recalled >= maxRecalled || slices.Contains(g.again, addr) {
		return
	}
	g.recalled++
	g.again = append(g.again, addr)
}

// yield gives up to an amount of what was collected to a gathering of another holder, if that has the higher
// rank.
func (g *gathering) yield(amount float64, rank uint64, addr string) float64 {
	if g == nil || g.complete || rank <= g.rank {
		return 0
	}
	yielded := max(min(g.taken, amount), 0)
	if yielded > 0 && !slices.Contains(g.again, addr) {
		g.again = append(g.again, addr)
	}
	g.taken -= yielded
	return yielded
}

// lateDraws are the draws for one tenant that go on after their gathering has ended. What they bring is added
// to the own share.
type lateDraws struct {
	pending int
	done    chan struct{} // closed when none is pending
}

// gather draws what is missing from other holders. If they don't have it, what was taken is returned to the
// own share.
func (b *Broker) gather(ctx context.Context, g *gathering) admitResponse {
	holders := b.options.Core.HolderAddrs()
	others, room := b.planDraws(g.tenant, holders)
	isAlone := len(holders) == 0 || len(holders) == 1 && holders[0] == b.options.SelfAddr
	answered := b.drawAll(ctx, g, others, room)
	return b.finishGathering(g, answered || isAlone)
}

// planDraws returns the holders to draw from, in their order, and how much the own share has room for.
func (b *Broker) planDraws(tenant string, holders []string) (others []string, room float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drawOrderLocked(tenant, holders), b.ledger.Room(b.now(), tenant)
}

// drawAll draws from the other holders in turn until enough is collected: from the next one once the one
// before has answered, or has not for drawHedgeDelay. It reports whether any has answered.
func (b *Broker) drawAll(ctx context.Context, g *gathering, others []string, room float64) (answered bool) {
	draws := make(chan draw, len(others))
	pending := 0
	defer func() { b.returnLate(g.tenant, draws, pending) }()
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	missing := b.collect(g, draw{})
	for missing > 0 && (len(others) > 0 || pending > 0) {
		select {
		case drawn := <-draws:
			pending--
			answered = answered || drawn.answered
			missing = b.collect(g, drawn)
			hedge.Reset(0)
		case <-hedge.C:
			if len(others) == 0 {
				continue
			}
			request := &drawRequest{Tenant: g.tenant, Amount: missing, Extra: room, Rank: g.rank, Addr: b.options.SelfAddr}
			addr := others[0]
			others = others[1:]
			pending++
			go func() { draws <- b.drawFrom(addr, request) }()
			hedge.Reset(drawHedgeDelay)
		case <-ctx.Done():
			return answered
		}
		if missing > 0 && len(others) == 0 && pending == 0 {
			b.awaitLateDraws(ctx, g.tenant)
			missing, others = b.collectOwn(g)
		}
	}
	return answered
}

// collect adds what was drawn to a gathering, and returns what is still missing.
func (b *Broker) collect(g *gathering, drawn draw) (missing float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g.recall(drawn.drawer, b.options.SelfAddr)
	return g.collect(drawn.amount)
}

// collectOwn adds to a gathering what has come to the own share since, when all others were drawn from. If that
// does not suffice, and there is nobody to draw from again, the gathering has failed and gives nothing away.
func (b *Broker) collectOwn(g *gathering) (missing float64, again []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing = g.collect(b.ledger.Draw(b.now(), g.tenant, g.amount-g.taken))
	again, g.again = g.again, nil
	g.complete = g.complete || len(again) == 0
	return missing, again
}

// finishGathering ends the gathering for a tenant. Unless another holder has answered, or there is none, the
// tenant may be within its quota. To want an answer of all of them costs more than it is worth: under a
// hot tenant some are always late, and clients come back sooner after 503 than after 429.
func (b *Broker) finishGathering(g *gathering, proven bool) admitResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(g.done)
	delete(b.gatherings, g.tenant)
	now := b.now()
	if g.taken >= g.amount {
		b.ledger.Return(now, g.tenant, g.taken-g.amount)
		return admitResponse{Verdict: Admitted}
	}
	b.ledger.Return(now, g.tenant, g.taken)
	b.exhausted[g.tenant] = exhaustion{until: now + exhaustedPause, proven: proven}
	return b.rejectLocked(g.tenant, g.amount-g.taken, proven)
}

// returnLate adds to the own share what is drawn after its gathering has ended.
func (b *Broker) returnLate(tenant string, draws <-chan draw, pending int) {
	if pending == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	late := b.lateDraws[tenant]
	if late == nil {
		late = &lateDraws{done: make(chan struct{})}
		b.lateDraws[tenant] = late
	}
	late.pending += pending
	go func() {
		for range pending {
			b.returnDrawn(tenant, late, <-draws)
		}
	}()
}

// returnDrawn adds to the own share what one late draw has brought.
func (b *Broker) returnDrawn(tenant string, late *lateDraws, drawn draw) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Return(b.now(), tenant, drawn.amount)
	late.pending--
	if late.pending == 0 {
		close(late.done)
		delete(b.lateDraws, tenant)
	}
}

// awaitLateDraws waits until no late draw for a tenant is pending, for settleTimeout at most.
func (b *Broker) awaitLateDraws(ctx context.Context, tenant string) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	b.mu.Lock()
	late := b.lateDraws[tenant]
	b.mu.Unlock()
	if late == nil {
		return
	}
	select {
	case <-late.done:
	case <-ctx.Done():
	}
}
