package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// gathering collects the amount that one request needs: what the holder's own share has, and the rest from
// other holders.
//
// If two holders gathered for one tenant at the same time, each could collect a part of what is left, and
// both would fail although the tenant is within its quota. So each gathering has a random rank. When its
// holder is asked for a draw by a gathering of a higher rank, the gathering gives away what it has
// collected, and draws from that other holder again later. A draw by a gathering of a lower rank that gets
// too little is answered once the local gathering has ended.
type gathering struct {
	tenant string
	amount float64       // total amount that the request needs
	rank   uint64        // never 0
	done   chan struct{} // closed when the gathering has ended

	// Guarded by the broker's mu:
	collected    float64  // amount collected so far
	complete     bool     // it has enough or has failed, and gives nothing away any more
	drawAgain    []string // addresses of holders to draw from again, after all others
	addedDrawers int      // number of holders in drawAgain that were named by others as recent drawers
}

// maxAddedDrawers is the maximum number of recent drawers that a gathering draws from again.
const maxAddedDrawers = 2

// newGathering returns a gathering of an amount, a part of which is already collected.
func newGathering(tenant string, amount, collected float64) *gathering {
	return &gathering{
		tenant: tenant, amount: amount, collected: collected, rank: rand.Uint64() | 1, done: make(chan struct{}),
	}
}

// collect adds a drawn amount, and returns the amount that is still missing.
func (g *gathering) collect(drawn float64) (missing float64) {
	g.collected += drawn
	g.complete = g.complete || g.collected >= g.amount
	return max(g.amount-g.collected, 0)
}

// addDrawer makes the gathering draw again from a holder that another one has named as a recent drawer.
func (g *gathering) addDrawer(addr, self string) {
	if addr == "" || addr == self || g.addedDrawers >= maxAddedDrawers || slices.Contains(g.drawAgain, addr) {
		return
	}
	g.addedDrawers++
	g.drawAgain = append(g.drawAgain, addr)
}

// yield gives up to an amount of what was collected to another holder's gathering, if that has a higher rank,
// and returns how much it gives.
func (g *gathering) yield(amount float64, rank uint64, addr string) float64 {
	if g == nil || g.complete || rank <= g.rank {
		return 0
	}
	yielded := max(min(g.collected, amount), 0)
	if yielded > 0 && !slices.Contains(g.drawAgain, addr) {
		g.drawAgain = append(g.drawAgain, addr)
	}
	g.collected -= yielded
	return yielded
}

// lateDraws counts the draws for one tenant that outlast their gathering. The amounts they bring are added to
// the local share.
type lateDraws struct {
	pending int
	done    chan struct{} // closed when no draw is pending
}

// gather draws the missing amount from other holders. If they don't have enough, what was collected is returned
// to the local share.
func (b *Broker) gather(ctx context.Context, g *gathering) admitResponse {
	holders := b.options.Core.HolderAddrs()
	others, headroom := b.planDraws(g.tenant, holders)
	isAlone := len(holders) == 0 || len(holders) == 1 && holders[0] == b.options.SelfAddr
	answered := b.drawAll(ctx, g, others, headroom)
	return b.finishGathering(g, answered || isAlone)
}

// planDraws returns the other holders in the order in which they are drawn from, and the room in the local share.
func (b *Broker) planDraws(tenant string, holders []string) (others []string, headroom float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drawOrderLocked(tenant, holders), b.ledger.Headroom(b.now(), tenant)
}

// drawAll draws from the other holders one after another until enough is collected. It moves on to the next
// holder once the previous one has answered, or has not answered for drawHedgeDelay. It reports whether any
// holder has answered.
func (b *Broker) drawAll(ctx context.Context, g *gathering, others []string, headroom float64) (answered bool) {
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
			request := &drawRequest{
				Tenant: g.tenant, Amount: missing, Extra: headroom, Rank: g.rank, Addr: b.options.SelfAddr,
			}
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
			missing, others = b.collectFromShare(g)
		}
	}
	return answered
}

// collect adds a draw to a gathering, and returns the amount that is still missing.
func (b *Broker) collect(g *gathering, drawn draw) (missing float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g.addDrawer(drawn.drawer, b.options.SelfAddr)
	return g.collect(drawn.amount)
}

// collectFromShare adds to a gathering what has arrived in the local share by the time all other holders were drawn
// from. If that is too little, and there is no holder to draw from again, the gathering has failed and gives nothing
// away any more.
func (b *Broker) collectFromShare(g *gathering) (missing float64, drawAgain []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing = g.collect(b.ledger.Draw(b.now(), g.tenant, g.amount-g.collected))
	drawAgain, g.drawAgain = g.drawAgain, nil
	g.complete = g.complete || len(drawAgain) == 0
	return missing, drawAgain
}

// finishGathering ends the gathering for a tenant. A failure proves that the tenant has used up its quota only if
// another holder has answered, or there is none. Requiring the answers of all holders would cost more than it is
// worth: for a tenant under high load some are always late, and clients retry sooner after status 503 than after
// 429.
func (b *Broker) finishGathering(g *gathering, proven bool) admitResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(g.done)
	delete(b.gatherings, g.tenant)
	now := b.now()
	if g.collected >= g.amount {
		b.ledger.Return(now, g.tenant, g.collected-g.amount)
		return admitResponse{Verdict: Admitted}
	}
	b.ledger.Return(now, g.tenant, g.collected)
	b.exhaustions[g.tenant] = exhaustion{expiresAt: now + exhaustedPause, proven: proven}
	return b.rejectLocked(g.tenant, g.amount-g.collected, proven)
}

// returnLate adds the amounts of late draws to the local share.
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

// returnDrawn adds the amount of one late draw to the local share.
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

// awaitLateDraws waits until no late draw for a tenant is pending, but at most for arrivalTimeout.
func (b *Broker) awaitLateDraws(ctx context.Context, tenant string) {
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
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
