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

// The names of the calls on the wire.
const (
	callAdmit = "quota.admit"
	callDraw  = "quota.draw"
	// callForward asks another agent to call a holder on the caller's behalf.
	callForward = "quota.forward"
	// callDeputize asks a member of the core for half of its share.
	callDeputize = "quota.deputize"
)

// exhaustedPause is how long a tenant counts as exhausted after a gathering for it has failed. Meanwhile its
// requests are admitted from the local share only.
const exhaustedPause = 40 * time.Millisecond

// Verdict is the result of an admission call.
type Verdict uint8

// The verdicts. The numbers are on the wire.
const (
	Unavailable Verdict = iota // the holder can't decide; another one may
	Admitted
	Exhausted // the tenant has used up its quota
)

// admitRequest asks a holder to admit a request that costs an amount of a tenant's quota.
type admitRequest struct {
	Tenant string  `msgpack:"t"`
	Amount float64 `msgpack:"a"`
}

// admitResponse is the response to an admitRequest.
type admitResponse struct {
	Verdict      Verdict `msgpack:"v"`
	RetryAfterMs int64   `msgpack:"r,omitempty"` // set only if the verdict is Exhausted
	// Undecided is set only if the verdict is Unavailable: the holder drew from the others, and none of
	// them answered in time. Asking another holder would only repeat these draws.
	Undecided bool `msgpack:"u,omitempty"`
}

// MaxConfirmedAge is the maximum age of the last confirmation by a majority that this process is a member
// of the core. With an older one it admits no requests from its share: a member that was replaced while it
// is partitioned has no other way to learn of that.
const MaxConfirmedAge = 3 * time.Second

// Core is what a Broker and a Client need to know about the core. Its methods are safe for concurrent
// use. They return the addresses in the zone of this process before others.
type Core interface {
	// IsMember reports whether this process is a member of the core.
	IsMember() bool
	// Confirmed reports whether a majority has confirmed that within MaxConfirmedAge.
	Confirmed() bool
	// MemberAddrs returns the addresses of all members.
	MemberAddrs() []string
	// HolderAddrs returns the addresses of all members and of their deputies.
	HolderAddrs() []string
	// AgentAddrs returns the addresses of other agents.
	AgentAddrs() []string
	// PublishDeputy publishes whether this process is a deputy.
	PublishDeputy(deputy bool)
}

// Options configures a Broker and a Client.
type Options struct {
	Bounds Bounds
	// SelfAddr is the address at which other agents call this one.
	SelfAddr string
	Core     Core
	Pool     *rpc.Pool
	// FirstStart is set if no process of the fleet has run before.
	FirstStart bool
	// SaveRecord writes the record of a member of the core to its disk and returns once it is durable.
	// SavedRecord is the last record that an earlier process of this member has written. Both are nil if
	// there is no disk.
	SaveRecord  func(record []byte) error
	SavedRecord []byte
}

// Broker admits requests from the shares in one holder's Ledger. It is safe for concurrent use.
type Broker struct {
	options Options
	started time.Time

	mu                sync.Mutex // guards all fields below
	ledger            *Ledger
	gatherings        map[string]*gathering    // running gatherings by tenant
	lateDraws         map[string]*lateDraws    // by tenant
	recentDraws       map[string]recentDraw    // by tenant
	exhaustions       map[string]exhaustion    // by tenant
	unresponsiveUntil map[string]time.Duration // by holder's address, the time until which it is not drawn from
	rejections        map[string]int64         // by tenant, the number of rejections since the start
	// peerLevels is the level of each other holder's share after the last draw from it, by tenant and
	// address.
	peerLevels  map[string]map[string]float64
	deputy      deputy      // the deputy of this process, if that is a member of the core
	appointment appointment // this process's own term as a deputy
	appointee   string      // address of the agent whose appointment is being recorded; empty if there is none
	// recordedDeputy is the deputy in the newest record that is certainly on disk.
	recordedDeputy string
	// recordedSettled is the Settled flag of that record.
	recordedSettled bool

	// recordSemaphore is a semaphore: it has a token while a record is being written. Nobody waits for it with
	// mu held.
	recordSemaphore chan struct{}
}

// NewBroker returns a broker without tenants.
func NewBroker(options Options) *Broker {
	b := &Broker{
		options:           options,
		started:           time.Now(),
		ledger:            NewLedger(options.Bounds),
		gatherings:        map[string]*gathering{},
		lateDraws:         map[string]*lateDraws{},
		recentDraws:       map[string]recentDraw{},
		exhaustions:       map[string]exhaustion{},
		unresponsiveUntil: map[string]time.Duration{},
		rejections:        map[string]int64{},
		peerLevels:        map[string]map[string]float64{},
		recordSemaphore:   make(chan struct{}, 1),
	}
	b.restore(options.SavedRecord)
	return b
}

// RegisterHandlers adds the handlers of the calls by agents and other holders to the process's table.
func (b *Broker) RegisterHandlers(table *rpc.Mux) {
	rpc.HandleUnary(table, callAdmit, b.handleAdmit)
	rpc.HandleUnary(table, callDraw, b.handleDraw)
	rpc.HandleUnary(table, callDeputize, b.handleDeputize)
}

func (b *Broker) now() time.Duration { return time.Since(b.started) }

// Update applies the quotas in a configuration.
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
	for name := range b.exhaustions {
		if _, ok := limits[name]; !ok {
			delete(b.exhaustions, name)
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
	for name := range b.rejections {
		if _, ok := limits[name]; !ok {
			delete(b.rejections, name)
		}
	}
}

func (b *Broker) handleAdmit(ctx context.Context, request *admitRequest) (*admitResponse, error) {
	response := b.admit(ctx, request.Tenant, request.Amount)
	return &response, nil
}

// admit admits an amount of a tenant's quota from the local share and, if that is too small, from the shares
// of the other holders.
func (b *Broker) admit(ctx context.Context, tenant string, amount float64) admitResponse {
	divisor, ok := b.divisor()
	if !ok {
		return admitResponse{Verdict: Unavailable}
	}
	for {
		started, running, response := b.takeFromShare(tenant, amount, divisor)
		switch {
		case started != nil:
			return b.gather(ctx, started)
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

// takeFromShare takes an amount from the local share. If the share is too small, takeFromShare takes what is there and
// starts a gathering of the rest. If a gathering for the tenant is already running, takeFromShare takes nothing
// and returns that one: the caller has to wait for its end and try again.
func (b *Broker) takeFromShare(
	tenant string, amount float64, divisor int,
) (started, running *gathering, response admitResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.SetDivisor(now, divisor)
	switch {
	case !b.ledger.Known(tenant):
		return nil, nil, admitResponse{Verdict: Unavailable} // the agent has another configuration
	case b.ledger.Take(now, tenant, amount):
		return nil, nil, admitResponse{Verdict: Admitted}
	case now < b.exhaustions[tenant].expiresAt:
		return nil, nil, b.rejectLocked(tenant, amount, b.exhaustions[tenant].proven)
	}
	if running := b.gatherings[tenant]; running != nil {
		return nil, running, admitResponse{}
	}
	started = newGathering(tenant, amount, b.ledger.Draw(now, tenant, amount))
	b.gatherings[tenant] = started
	return started, nil, admitResponse{}
}

// exhaustion records that a gathering for a tenant has failed.
type exhaustion struct {
	expiresAt time.Duration // end of exhaustedPause
	proven    bool          // another holder has answered, or there is none
}

// rejectLocked counts and returns a rejection. If it isn't proven that the tenant has used up its quota, it
// returns the undecided verdict instead.
func (b *Broker) rejectLocked(tenant string, amount float64, proven bool) admitResponse {
	if !proven {
		return admitResponse{Verdict: Unavailable, Undecided: true}
	}
	b.rejections[tenant]++
	return admitResponse{Verdict: Exhausted, RetryAfterMs: b.ledger.RetryAfter(tenant, amount).Milliseconds()}
}

// Report is the state of the quotas at one process, for operators.
type Report struct {
	Admits   bool             `json:"admits"`   // it admits requests, as a member of the core or as a deputy
	Deputy   string           `json:"deputy"`   // address of its deputy; empty if there is none
	Shares   []Share          `json:"shares"`   // sorted by tenant
	Rejected map[string]int64 `json:"rejected"` // by tenant, the number of rejections since the start
}

// Report returns the state of the quotas.
func (b *Broker) Report() Report {
	_, admits := b.divisor()
	b.mu.Lock()
	defer b.mu.Unlock()
	report := Report{
		Admits: admits, Deputy: b.deputy.addr, Shares: b.ledger.Shares(b.now()), Rejected: map[string]int64{},
	}
	for tenant, count := range b.rejections {
		report.Rejected[tenant] = count
	}
	slices.SortFunc(report.Shares, func(a, b Share) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return report
}
