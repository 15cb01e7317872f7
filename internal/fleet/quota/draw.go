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
	// drawTimeout bounds one draw from another holder. drawHedgeDelay is how long a holder may take to answer
	// before the next one is drawn from as well. unresponsivePause is how long a holder that did not answer is
	// skipped.
	drawTimeout       = 80 * time.Millisecond
	drawHedgeDelay    = 15 * time.Millisecond
	unresponsivePause = time.Second
	// lateDrawTimeout bounds the wait for an answer that is later than drawTimeout. The amount in it has
	// already left the other share.
	lateDrawTimeout = 500 * time.Millisecond
	// drawMemory is how long a holder remembers which other holder last drew a tenant's quota from it.
	drawMemory = 200 * time.Millisecond
	// arrivalTimeout bounds the wait for amounts that are on their way to a share, if the share is too small
	// for a draw. It leaves time to answer the draw within drawTimeout.
	arrivalTimeout = 40 * time.Millisecond
)

// drawRequest asks another holder for an amount that a share lacks.
type drawRequest struct {
	Tenant string  `msgpack:"t"`
	Amount float64 `msgpack:"a"` // amount that is needed now
	Extra  float64 `msgpack:"x"` // further amount that the share has room for
	// Rank is the rank of the gathering, and Addr the address of its holder. Earlier versions of the program
	// send neither.
	Rank uint64 `msgpack:"r,omitempty"`
	Addr string `msgpack:"d,omitempty"`
}

// drawResponse is the response to a drawRequest.
type drawResponse struct {
	Amount float64 `msgpack:"a"` // amount that is given
	Level  float64 `msgpack:"l"` // amount that remains available in the share
	// Drawer is the address of another holder that drew from this share recently, and so may have more than it
	// needed. It is empty if there is none, or if the requested amount is given.
	Drawer string `msgpack:"w,omitempty"`
}

// draw is the result of a draw from one other holder.
type draw struct {
	amount float64
	// answered is set if the holder has answered. It is also set if the holder can't be reached, as its share
	// is then lost with it.
	answered bool
	drawer   string // see drawResponse
}

// recentDraw is the last draw of a tenant's quota by another holder.
type recentDraw struct {
	addr string
	at   time.Duration
}

// drawOrderLocked returns the other holders in the order in which they are drawn from: first those whose level
// is unknown, then by the level after the last draw, highest first. It leaves out holders that did not answer
// recently.
func (b *Broker) drawOrderLocked(tenant string, holders []string) []string {
	now := b.now()
	others := slices.DeleteFunc(slices.Clone(holders), func(addr string) bool {
		return addr == b.options.SelfAddr || now < b.unresponsiveUntil[addr]
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	levels := b.peerLevels[tenant]
	for addr := range levels {
		if !slices.Contains(holders, addr) {
			delete(levels, addr)
		}
	}
	level := func(addr string) float64 {
		if level, ok := levels[addr]; ok {
			return level
		}
		return math.Inf(1)
	}
	slices.SortStableFunc(others, func(x, y string) int { return cmp.Compare(level(y), level(x)) })
	return others
}

// drawFrom draws from one other holder. An amount that arrives after drawTimeout is added to the local share.
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
	go func() { b.addToShare(request.Tenant, (<-results).amount) }()
	return draw{}
}

// callDraw calls another holder for a draw.
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

// setUnresponsive excludes a holder from draws for unresponsivePause.
func (b *Broker) setUnresponsive(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresponsiveUntil[addr] = b.now() + unresponsivePause
	b.pruneUnresponsiveLocked()
}

// pruneUnresponsiveLocked removes the holders that may be drawn from again.
func (b *Broker) pruneUnresponsiveLocked() {
	now := b.now()
	for addr, until := range b.unresponsiveUntil {
		if now >= until {
			delete(b.unresponsiveUntil, addr)
		}
	}
}

// handleDraw gives another holder what it lacks, as far as the local share has it. If the share is too small, and
// more is on its way to it, handleDraw waits for that.
func (b *Broker) handleDraw(ctx context.Context, request *drawRequest) (*drawResponse, error) {
	divisor, ok := b.divisor()
	if !ok {
		return &drawResponse{}, nil
	}
	drawn, arrived := b.drawForOther(request, divisor, 0)
	if arrived == nil {
		return drawn, nil
	}
	timeout := time.NewTimer(arrivalTimeout)
	defer timeout.Stop()
	select {
	case <-arrived:
	case <-timeout.C:
	case <-ctx.Done():
		b.addToShare(request.Tenant, drawn.Amount) // the caller is gone
		return nil, ctx.Err()
	}
	drawn, _ = b.drawForOther(request, divisor, drawn.Amount)
	return drawn, nil
}

// addToShare adds a drawn amount that reached no gathering to the local share.
func (b *Broker) addToShare(tenant string, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Return(b.now(), tenant, amount)
}

// drawForOther gives another holder what it lacks beyond the amount already given. If the share is too small and
// more is on its way to it, arrived is closed once that may have arrived; otherwise arrived is nil.
func (b *Broker) drawForOther(
	request *drawRequest, divisor int, given float64,
) (response *drawResponse, arrived <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.SetDivisor(now, divisor)
	drawn := given + b.ledger.DrawBalanced(now, request.Tenant, max(request.Amount-given, 0), max(request.Extra, 0))
	running := b.gatherings[request.Tenant]
	drawn += running.yield(request.Amount-drawn, request.Rank, request.Addr)
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
	if running != nil && request.Rank < running.rank {
		return response, running.done
	}
	if late := b.lateDraws[request.Tenant]; late != nil {
		return response, late.done
	}
	return response, nil
}
