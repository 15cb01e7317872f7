package quota

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// drawTimeout bounds one draw from another holder, drawHedgeDelay is after how long the next one is
	// drawn from beside it, and unresponsivePause for how long one that did not answer is passed over.
	drawTimeout       = 80 * time.Millisecond
	drawHedgeDelay    = 15 * time.Millisecond
	unresponsivePause = time.Second
	// lateDrawTimeout bounds how long what a draw brings after drawTimeout is waited for: it has left the
	// other share already.
	lateDrawTimeout = 500 * time.Millisecond
	// drawMemory is for how long a holder remembers who drew a tenant's quota from it.
	drawMemory = 200 * time.Millisecond
	// settleTimeout is for how long a draw that gets too little waits for what is on its way here. It
	// leaves time for the answer within drawTimeout.
	settleTimeout = 40 * time.Millisecond
)

// drawRequest asks another holder for what a share lacks.
type drawRequest struct {
	Tenant string  `msgpack:"t"`
	Amount float64 `msgpack:"a"` // that is needed now
	Extra  float64 `msgpack:"x"` // that the share has room for beyond that
	// Rank is that of the gathering, and Addr its holder. Earlier programs leave out both.
	Rank uint64 `msgpack:"r,omitempty"`
	Addr string `msgpack:"d,omitempty"`
}

// drawResponse has how much of that it gives.
type drawResponse struct {
	Amount float64 `msgpack:"a"`
	Level  float64 `msgpack:"l"` // what its share then has
	// Drawer is another holder that lately drew from this one, if that gives less than was asked for: it
	// may have more than it needed.
	Drawer string `msgpack:"w,omitempty"`
}

// draw is what one other holder gave.
type draw struct {
	amount float64
	// answered: it told what it has, or can't be reached, so that its share is lost with it.
	answered bool
	drawer   string // as in the response
}

// recentDraw is the last draw for a tenant by another holder.
type recentDraw struct {
	addr string
	at   time.Duration
}

// drawOrderLocked returns the other holders in the order in which they are drawn from: those whose shares
// had the most come first, after those of which nothing is known. It leaves out those that lately did
// not answer.
func (b *Broker) drawOrderLocked(tenant string, holders []string) []string {
	now := b.now()
	others := slices.DeleteFunc(slices.Clone(holders), func(addr string) bool {
		return addr == b.options.SelfAddr || now < b.unresponsive[addr]
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	known := b.peerLevels[tenant]
	for addr := range known {
		if !slices.Contains(holders, addr) {
			delete(known, addr)
		}
	}
	level := func(addr string) float64 {
		if level, ok := known[addr]; ok {
			return level
		}
		return math.Inf(1)
	}
	slices.SortStableFunc(others, func(x, y string) int { return cmp.Compare(level(y), level(x)) })
	return others
}

// drawFrom draws from one other holder. What that gives after drawTimeout is added to the own share.
func (b *Broker) drawFrom(addr string, request *drawRequest) draw {
	results := make(chan draw, 1)
	go func() { results <- b.callDraw(addr, request) }()
	timeout := time.NewTimer(drawTimeout)
	defer timeout.Stop()
	select {
	case drawn := <-results:
		return drawn
	case <-timeout.C:
	}
	b.setUnresponsive(addr)
	go func() { b.addToOwn(request.Tenant, (<-results).amount) }()
	return draw{}
}

// callDraw asks another holder for what a share lacks.
func (b *Broker) callDraw(addr string, request *drawRequest) draw {
	ctx, cancel := context.WithTimeout(context.Background(), lateDrawTimeout)
	defer cancel()
	response, err := rpc.Call[drawRequest, drawResponse](ctx, b.options.Pool, addr, callDraw, request)
	if err != nil {
		b.setUnresponsive(addr)
		return draw{answered: ctx.Err() == nil}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	levels := b.peerLevels[request.Tenant]
	if levels == nil {
		levels = map[string]float64{}
		b.peerLevels[request.Tenant] = levels
	}
	levels[addr] = response.Level
	amount := max(min(response.Amount, request.Amount+request.Extra), 0)
	return draw{amount: amount, answered: true, drawer: response.Drawer}
}

// setUnresponsive has a holder passed over for unresponsivePause.
func (b *Broker) setUnresponsive(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresponsive[addr] = b.now() + unresponsivePause
	b.forgetResponsiveLocked()
}

// forgetResponsiveLocked drops the holders that may be drawn from again.
func (b *Broker) forgetResponsiveLocked() {
	now := b.now()
	for addr, until := range b.unresponsive {
		if now >= until {
			delete(b.unresponsive, addr)
		}
	}
}

// handleDraw gives another holder what it lacks of this one's share, as far as that goes. Where that is too
// little, and more is on its way to this share, it waits for that.
func (b *Broker) handleDraw(ctx context.Context, request *drawRequest) (*drawResponse, error) {
	divisor, ok := b.divisor()
	if !ok {
		return &drawResponse{}, nil
	}
	drawn, settled := b.drawForOther(request, divisor, 0)
	if settled == nil {
		return drawn, nil
	}
	timeout := time.NewTimer(settleTimeout)
	defer timeout.Stop()
	select {
	case <-settled:
	case <-timeout.C:
	case <-ctx.Done():
		b.addToOwn(request.Tenant, drawn.Amount) // the caller is gone
		return nil, ctx.Err()
	}
	drawn, _ = b.drawForOther(request, divisor, drawn.Amount)
	return drawn, nil
}

// addToOwn adds to the own share what was drawn and reached no gathering.
func (b *Broker) addToOwn(tenant string, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Return(b.now(), tenant, amount)
}

// drawForOther gives another holder what it lacks beyond what it has been given. Where that is too little,
// settled is closed once more may be there.
func (b *Broker) drawForOther(request *drawRequest, divisor int, given float64) (response *drawResponse, settled <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.SetDivisor(now, divisor)
	drawn := given + b.ledger.DrawBalanced(now, request.Tenant, max(request.Amount-given, 0), max(request.Extra, 0))
	own := b.gatherings[request.Tenant]
	drawn += own.yield(request.Amount-drawn, request.Rank, request.Addr)
	response = &drawResponse{Amount: drawn, Level: b.ledger.Level(now, request.Tenant)}
	recent := b.recentDraws[request.Tenant]
	if request.Addr != "" && b.ledger.Known(request.Tenant) {
		b.recentDraws[request.Tenant] = recentDraw{addr: request.Addr, at: now}
	}
	if drawn >= request.Amount {
		return response, nil
	}
	if recent.addr != request.Addr && now-recent.at < drawMemory {
		response.Drawer = recent.addr
	}
	if own != nil && request.Rank < own.rank {
		return response, own.done
	}
	if late := b.lateDraws[request.Tenant]; late != nil {
		return response, late.done
	}
	return response, nil
}
