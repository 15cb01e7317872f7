package quota

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// The names of the calls, as they are on the wire.
const (
	callAdmit = "quota.admit"
	callDraw  = "quota.draw"
	// callForward asks another agent to ask a holder.
	callForward = "quota.forward"
	// callDeputize asks a member of the core for a part of its share.
	callDeputize = "quota.deputize"
)

const (
	// drawTimeout bounds one draw from another holder, drawHedgeDelay is after how long the next one is
	// drawn from beside it, and unresponsivePause for how long one that did not answer is passed over.
	drawTimeout       = 80 * time.Millisecond
	drawHedgeDelay    = 15 * time.Millisecond
	unresponsivePause = time.Second
	// exhaustedPause is for how long a tenant counts as exhausted after nothing more could be drawn
	// from any member.
	exhaustedPause = 40 * time.Millisecond
)

// Verdict is what becomes of a request that was asked for.
type Verdict uint8

// The verdicts. The numbers are on the wire.
const (
	Unavailable Verdict = iota // this member can't tell: ask another
	Admitted
	Exhausted // the tenant is over its quota
)

// admitRequest asks for an amount of a tenant's quota.
type admitRequest struct {
	Tenant string  `msgpack:"t"`
	Amount float64 `msgpack:"a"`
}

// admitResponse answers it.
type admitResponse struct {
	Verdict      Verdict `msgpack:"v"`
	RetryAfterMs int64   `msgpack:"r,omitempty"` // of Exhausted
	// Undecided, of Unavailable: the holder has asked the others, and none has answered in time. To ask
	// another one would only have them all asked again.
	Undecided bool `msgpack:"u,omitempty"`
}

// drawRequest asks another holder for what a share lacks.
type drawRequest struct {
	Tenant string  `msgpack:"t"`
	Amount float64 `msgpack:"a"` // that is needed now
	Extra  float64 `msgpack:"x"` // that the share has room for beyond that
}

// drawResponse has how much of that it gives.
type drawResponse struct {
	Amount float64 `msgpack:"a"`
	Level  float64 `msgpack:"l"` // what its share then has
}

// MaxConfirmedAge is how long ago a member of the core must have been confirmed by a majority to admit
// requests by its share: a member that was replaced while it is cut off learns it no other way.
const MaxConfirmedAge = 3 * time.Second

// Core is what a broker needs to know of the core. Its methods are safe for concurrent use.
type Core interface {
	// IsMember reports whether this process is a member of the core, and Confirmed whether a majority
	// has confirmed that within MaxConfirmedAge.
	IsMember() bool
	Confirmed() bool
	// MemberAddrs returns the addresses of all members, and HolderAddrs those of all members and their
	// deputies, those of the own zone first.
	MemberAddrs() []string
	HolderAddrs() []string
	// AgentAddrs returns the addresses of other agents, those of the own zone first.
	AgentAddrs() []string
	// PublishDeputy publishes whether this process is a deputy.
	PublishDeputy(deputy bool)
}

// Options configure a Broker and a Client.
type Options struct {
	Bounds Bounds
	// SelfAddr is the address at which other agents call this one.
	SelfAddr string
	Core     Core
	Pool     *rpc.Pool
	// FirstStart tells that no process of the fleet has run before.
	FirstStart bool
	// SaveRecord writes the record of a member of the core to its disk, and returns once it is there;
	// SavedRecord is the one that an earlier process has written last. Both are nil without a disk.
	SaveRecord  func(record []byte) error
	SavedRecord []byte
}

// Broker admits requests by one member's ledger. It is safe for concurrent use.
type Broker struct {
	options Options
	started time.Time

	mu           sync.Mutex // guards all that follows
	ledger       *Ledger
	gathering    map[string]chan struct{} // by tenant whose draws are in progress; closed at their end
	exhausted    map[string]exhaustion    // of tenants for which lately nothing more could be drawn
	unresponsive map[string]time.Duration // until when a holder is not drawn from
	rejected     map[string]int64         // by tenant, since the start
	// peerLevels is what the shares of other members had when they were last drawn from, by tenant and
	// address.
	peerLevels map[string]map[string]float64
	deputy     deputy      // of this process, as a member of the core
	appointed  appointment // of this process, as a deputy
	appointing string      // the agent whose appointment is being recorded, "" if none is
	// recordedDeputy is the deputy by the newest record that is certainly on disk.
	recordedDeputy string
	// recordedSettled: that record says that a process may begin anew.
	recordedSettled bool

	// recording has a token while a record is being written. Nobody waits for it with mu held.
	recording chan struct{}
}

// NewBroker returns a broker without tenants.
func NewBroker(options Options) *Broker {
	b := &Broker{
		options:      options,
		started:      time.Now(),
		ledger:       NewLedger(options.Bounds),
		gathering:    map[string]chan struct{}{},
		exhausted:    map[string]exhaustion{},
		unresponsive: map[string]time.Duration{},
		rejected:     map[string]int64{},
		peerLevels:   map[string]map[string]float64{},
		recording:    make(chan struct{}, 1),
	}
	b.restore(options.SavedRecord)
	return b
}

// RegisterHandlers adds the calls of agents and of other members to the process's table.
func (b *Broker) RegisterHandlers(table *rpc.Mux) {
	rpc.HandleUnary(table, callAdmit, b.handleAdmit)
	rpc.HandleUnary(table, callDraw, b.handleDraw)
	rpc.HandleUnary(table, callDeputize, b.handleDeputize)
}

func (b *Broker) now() time.Duration { return time.Since(b.started) }

// Update applies the quotas of a configuration.
func (b *Broker) Update(document *config.Document) {
	limits := map[string]Limit{}
	for name, tenant := range document.Tenants() {
		if tenant.Limited() {
			limits[name] = Limit{RatePerS: tenant.RatePerS, Burst: tenant.Burst}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.SetLimits(b.now(), limits)
	for name := range b.exhausted {
		if _, ok := limits[name]; !ok {
			delete(b.exhausted, name)
		}
	}
	for name := range b.peerLevels {
		if _, ok := limits[name]; !ok {
			delete(b.peerLevels, name)
		}
	}
	for name := range b.rejected {
		if _, ok := limits[name]; !ok {
			delete(b.rejected, name)
		}
	}
}

func (b *Broker) handleAdmit(ctx context.Context, request *admitRequest) (*admitResponse, error) {
	response := b.admit(ctx, request.Tenant, request.Amount)
	return &response, nil
}

// admit takes an amount of a tenant's quota, of the own share and, where that does not suffice, of the
// other holders'.
func (b *Broker) admit(ctx context.Context, tenant string, amount float64) admitResponse {
	divisor, ok := b.divisor()
	if !ok {
		return admitResponse{Verdict: Unavailable}
	}
	for {
		taken, inProgress, response := b.takeOwn(tenant, amount, divisor)
		if inProgress == nil {
			if response.Verdict == Unavailable && taken >= 0 {
				return b.gather(ctx, tenant, amount, taken)
			}
			return response
		}
		select {
		case <-inProgress:
		case <-ctx.Done():
			return admitResponse{Verdict: Unavailable}
		}
	}
}

// noShare is what takeOwn returns as taken where the tenant has no quota here.
const noShare = -1

// takeOwn takes an amount of the own share. Where that does not suffice it takes what is there, and the
// caller has to gather what is missing; the verdict is Unavailable then. inProgress is the end of
// another gathering for the tenant, which is to be waited for first.
func (b *Broker) takeOwn(tenant string, amount float64, divisor int) (taken float64, inProgress <-chan struct{}, response admitResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.SetDivisor(now, divisor)
	switch {
	case !b.ledger.Known(tenant):
		return noShare, nil, admitResponse{Verdict: Unavailable} // by another configuration than the agent's
	case b.ledger.Take(now, tenant, amount):
		return amount, nil, admitResponse{Verdict: Admitted}
	case now < b.exhausted[tenant].until:
		return noShare, nil, b.rejectLocked(tenant, amount, b.exhausted[tenant].proven)
	}
	if running := b.gathering[tenant]; running != nil {
		return 0, running, admitResponse{}
	}
	b.gathering[tenant] = make(chan struct{})
	return b.ledger.Draw(now, tenant, amount), nil, admitResponse{Verdict: Unavailable}
}

// exhaustion is for how long a tenant counts as exhausted after nothing more could be drawn, and whether
// another holder has told so.
type exhaustion struct {
	until  time.Duration
	proven bool
}

// rejectLocked counts and returns a rejection. Unless it is proven that the tenant is over its quota, the
// verdict is that nobody can tell.
func (b *Broker) rejectLocked(tenant string, amount float64, proven bool) admitResponse {
	if !proven {
		return admitResponse{Verdict: Unavailable, Undecided: true}
	}
	b.rejected[tenant]++
	return admitResponse{Verdict: Exhausted, RetryAfterMs: b.ledger.RetryAfter(tenant, amount).Milliseconds()}
}

// gather draws what is missing of an amount from other holders. If they don't have it, what was taken is
// returned to the own share.
func (b *Broker) gather(ctx context.Context, tenant string, amount, taken float64) admitResponse {
	holders := b.options.Core.HolderAddrs()
	b.mu.Lock()
	others := b.drawOrderLocked(tenant, holders)
	room := b.ledger.Room(b.now(), tenant)
	b.mu.Unlock()
	draws := make(chan draw, len(others))
	next, pending, answered := 0, 0, 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for taken < amount && ctx.Err() == nil && (next < len(others) || pending > 0) {
		select {
		case drawn := <-draws:
			taken += drawn.amount
			pending--
			if drawn.answered {
				answered++
			}
			hedge.Reset(0)
		case <-hedge.C:
			if next < len(others) {
				request := &drawRequest{Tenant: tenant, Amount: amount - taken, Extra: room}
				addr := others[next]
				next++
				pending++
				go func() { draws <- b.drawFrom(addr, request) }()
				hedge.Reset(drawHedgeDelay)
			}
		case <-ctx.Done():
		}
	}
	if pending > 0 {
		go b.returnLate(tenant, draws, pending)
	}
	isAlone := len(holders) == 0 || len(holders) == 1 && holders[0] == b.options.SelfAddr
	return b.finishGathering(tenant, amount, taken, answered > 0 || isAlone)
}

// finishGathering ends the gathering for a tenant. Unless another holder has answered, or there is none, the
// tenant may be within its quota. To want an answer of all of them costs more than it is worth: under a
// hot tenant some are always late, and clients come back sooner after 503 than after 429.
func (b *Broker) finishGathering(tenant string, amount, taken float64, proven bool) admitResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.gathering[tenant])
	delete(b.gathering, tenant)
	now := b.now()
	if taken >= amount {
		b.ledger.Return(now, tenant, taken-amount)
		return admitResponse{Verdict: Admitted}
	}
	b.ledger.Return(now, tenant, taken)
	b.exhausted[tenant] = exhaustion{until: now + exhaustedPause, proven: proven}
	return b.rejectLocked(tenant, amount-taken, proven)
}

// returnLate adds to the own share what is drawn after its gathering has ended.
func (b *Broker) returnLate(tenant string, draws <-chan draw, pending int) {
	for range pending {
		drawn := <-draws
		b.mu.Lock()
		b.ledger.Return(b.now(), tenant, drawn.amount)
		b.mu.Unlock()
	}
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

// draw is what one other holder gave.
type draw struct {
	amount float64
	// answered: it told what it has, or can't be reached, so that its share is lost with it.
	answered bool
}

// drawFrom draws from one other holder.
func (b *Broker) drawFrom(addr string, request *drawRequest) draw {
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	response, err := rpc.Call[drawRequest, drawResponse](ctx, b.options.Pool, addr, callDraw, request)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.unresponsive[addr] = b.now() + unresponsivePause
		b.forgetResponsiveLocked()
		return draw{answered: ctx.Err() == nil}
	}
	levels := b.peerLevels[request.Tenant]
	if levels == nil {
		levels = map[string]float64{}
		b.peerLevels[request.Tenant] = levels
	}
	levels[addr] = response.Level
	return draw{amount: max(min(response.Amount, request.Amount+request.Extra), 0), answered: true}
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

// handleDraw gives another holder what it lacks of this one's share, as far as that goes.
func (b *Broker) handleDraw(_ context.Context, request *drawRequest) (*drawResponse, error) {
	divisor, ok := b.divisor()
	if !ok {
		return &drawResponse{}, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.SetDivisor(now, divisor)
	drawn := b.ledger.DrawBalanced(now, request.Tenant, max(request.Amount, 0), max(request.Extra, 0))
	return &drawResponse{Amount: drawn, Level: b.ledger.Level(now, request.Tenant)}, nil
}

// Report is the state of the quotas at one process, as operators see it.
type Report struct {
	Admits   bool             `json:"admits"` // it is a member of the core, or a deputy
	Deputy   string           `json:"deputy"` // its deputy's address
	Shares   []Share          `json:"shares"` // by tenant
	Rejected map[string]int64 `json:"rejected"`
}

// Report returns the state of the quotas.
func (b *Broker) Report() Report {
	_, admits := b.divisor()
	b.mu.Lock()
	defer b.mu.Unlock()
	report := Report{Admits: admits, Deputy: b.deputy.addr, Shares: b.ledger.Shares(b.now()), Rejected: map[string]int64{}}
	for tenant, count := range b.rejected {
		report.Rejected[tenant] = count
	}
	slices.SortFunc(report.Shares, func(a, b Share) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return report
}
