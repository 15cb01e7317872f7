package quota

import (
	"cmp"
	"context"
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

// exhaustedPause is for how long a tenant counts as exhausted after nothing more could be drawn from any
// member.
const exhaustedPause = 40 * time.Millisecond

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
	gatherings   map[string]*gathering    // by tenant whose draws are in progress
	lateDraws    map[string]*lateDraws    // by tenant of which a draw has outlasted its gathering
	recentDraws  map[string]recentDraw    // by tenant
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
		gatherings:   map[string]*gathering{},
		lateDraws:    map[string]*lateDraws{},
		recentDraws:  map[string]recentDraw{},
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
	for name := range b.recentDraws {
		if _, ok := limits[name]; !ok {
			delete(b.recentDraws, name)
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
		own, running, response := b.takeOwn(tenant, amount, divisor)
		switch {
		case own != nil:
			return b.gather(ctx, own)
		case running == nil:
			return response
		}
		select {
		case <-running.done:
		case <-ctx.Done():
			return admitResponse{Verdict: Unavailable}
		}
	}
}

// takeOwn takes an amount of the own share. Where that does not suffice it takes what is there and begins a
// gathering of the rest, own. If another one for the tenant is running, that is to be waited for first.
func (b *Broker) takeOwn(tenant string, amount float64, divisor int) (own, running *gathering, response admitResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.SetDivisor(now, divisor)
	switch {
	case !b.ledger.Known(tenant):
		return nil, nil, admitResponse{Verdict: Unavailable} // by another configuration than the agent's
	case b.ledger.Take(now, tenant, amount):
		return nil, nil, admitResponse{Verdict: Admitted}
	case now < b.exhausted[tenant].until:
		return nil, nil, b.rejectLocked(tenant, amount, b.exhausted[tenant].proven)
	}
	if running := b.gatherings[tenant]; running != nil {
		return nil, running, admitResponse{}
	}
	own = newGathering(tenant, amount, b.ledger.Draw(now, tenant, amount))
	b.gatherings[tenant] = own
	return own, nil, admitResponse{}
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
