package quota

import (
	"time"
)

const (
	// reserveShare is the part of what the bounds allow beyond the quota that is added to the burst, and
	// startShare the part that all members together have in their buckets when they start. What
	// remains allows for two restarts of all members within a window, and for rateMargin.
	reserveShare, startShare = 0.4, 0.2
	// rateMargin is the part of the rate that is added to it: a share that is full gains nothing, and
	// together the shares would bring less than the rate.
	rateMargin = 0.01
	// holderWindows is for how many windows a member that was lost still counts: it may be cut off and
	// admit by its share.
	holderWindows = 2
	// maxRetryAfter bounds the advice of a rejection.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter is the least advice of a rejection.
	minRetryAfter = 20 * time.Millisecond
)

// Bounds are what the operators' pages allow of all quotas: in each window (rate x window + burst) x (1 +
// Overshoot) + Slack.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Limit is the quota of one tenant.
type Limit struct {
	RatePerS, Burst float64
}

// tolerance is what the bounds allow beyond a limit in a window.
func (b *Bounds) tolerance(limit Limit) float64 {
	return b.Overshoot*(limit.RatePerS*b.Window.Seconds()+limit.Burst) + b.Slack
}

// Ledger holds one member's share of each tenant's quota. It is not safe for concurrent use.
type Ledger struct {
	bounds   Bounds
	divisor  int // this is one of so many equal shares
	fewSince time.Duration
	few      int // shares now, if they are fewer than divisor; 0: they are not
	accounts map[string]*account
	restored map[string]float64 // floors of a former process that no share has begun with yet
	// isRestoring: the first limits since Restore are not known yet.
	isRestoring bool
	// mayBeginAnew: restored shares begin with no less than new ones.
	mayBeginAnew bool
	// hasRecord: a record of this process is on disk.
	hasRecord bool
}

// account is the share of one tenant's quota.
type account struct {
	limit     Limit
	level     float64 // what it holds
	updatedAt time.Duration
	removedAt time.Duration // when the tenant was taken from the configuration; 0: it is there

	lowWater   lowWater
	floor      float64 // the highest that a record on disk may have: the level does not go below it
	recorded   float64 // the floor of the newest record, written or being written
	isRestored bool    // it began with the floor of a former process
}

// NewLedger returns a ledger without tenants.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{bounds: bounds, accounts: map[string]*account{}}
}

// SetDivisor sets of how many equal shares of each quota this one is. A larger number counts at once, a
// lower one after holderWindows.
func (l *Ledger) SetDivisor(now time.Duration, divisor int) {
	switch {
	case divisor >= l.divisor:
		l.applyDivisor(now, divisor)
		l.few = 0
	case divisor != l.few:
		l.few, l.fewSince = divisor, now
	case now-l.fewSince > holderWindows*l.bounds.Window:
		l.applyDivisor(now, divisor)
		l.few = 0
	}
}

// Divisor is of how many equal shares of each quota this one is.
func (l *Ledger) Divisor() int { return l.divisor }

func (l *Ledger) applyDivisor(now time.Duration, divisor int) {
	if divisor == l.divisor {
		return
	}
	for _, a := range l.accounts {
		l.accrue(now, a)
	}
	first := l.divisor == 0
	l.divisor = divisor
	for _, a := range l.accounts {
		switch {
		case first && a.isRestored:
			l.beginRestored(a)
		case first:
			a.level = l.startLevel(a.limit)
		}
		a.level = min(a.level, l.capacity(a.limit))
	}
}

// SetLimits replaces the quotas. A tenant that had one keeps what it has used; one that is taken away
// is remembered for as long as that counts.
func (l *Ledger) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, limit := range limits {
		a := l.accounts[name]
		if a == nil {
			l.accounts[name] = l.newAccount(now, name, limit)
			continue
		}
		l.accrue(now, a)
		a.limit, a.removedAt = limit, 0
		a.level = min(a.level, l.capacity(limit))
	}
	for name, a := range l.accounts {
		if _, ok := limits[name]; ok {
			continue
		}
		if a.removedAt == 0 {
			l.accrue(now, a)
			a.removedAt = max(now, 1)
		}
		if now-a.removedAt > holderWindows*l.bounds.Window {
			delete(l.accounts, name)
		}
	}
	if len(limits) > 0 {
		l.isRestoring = false // a tenant that is added later and that the record does not have is new
	}
}

// capacity is the most that a share holds.
func (l *Ledger) capacity(limit Limit) float64 {
	return (limit.Burst + reserveShare*l.bounds.tolerance(limit)) / float64(max(l.divisor, 1))
}

// rate is what a share gains in a second.
func (l *Ledger) rate(limit Limit) float64 {
	return limit.RatePerS * (1 + rateMargin) / float64(max(l.divisor, 1))
}

// startLevel is what a share holds that has just begun.
func (l *Ledger) startLevel(limit Limit) float64 {
	if l.divisor == 0 {
		return 0
	}
	return startShare * l.bounds.tolerance(limit) / float64(l.divisor)
}

// accrue adds what the rate has brought since the last time.
func (l *Ledger) accrue(now time.Duration, a *account) {
	a.lowWater.observe(now, a.level)
	elapsed := max(now-a.updatedAt, 0)
	a.updatedAt = max(a.updatedAt, now)
	if l.divisor == 0 {
		return
	}
	if capacity := l.capacity(a.limit); a.level < capacity {
		a.level = min(a.level+elapsed.Seconds()*l.rate(a.limit), capacity)
	}
}

// lookup returns the account of a tenant that the configuration limits, nil if there is none.
func (l *Ledger) lookup(now time.Duration, tenant string) *account {
	a := l.accounts[tenant]
	if a == nil || a.removedAt > 0 {
		return nil
	}
	l.accrue(now, a)
	return a
}

// Known returns whether the tenant has a quota here.
func (l *Ledger) Known(tenant string) bool {
	a := l.accounts[tenant]
	return a != nil && a.removedAt == 0
}

// Take takes an amount from the tenant's share if all of it is there.
func (l *Ledger) Take(now time.Duration, tenant string, amount float64) bool {
	a := l.lookup(now, tenant)
	if a == nil || a.available() < amount {
		return false
	}
	l.spend(now, a, amount)
	return true
}

// Draw takes what is there, up to an amount, and returns how much that is.
func (l *Ledger) Draw(now time.Duration, tenant string, amount float64) float64 {
	a := l.lookup(now, tenant)
	if a == nil {
		return 0
	}
	drawn := max(min(a.available(), amount), 0)
	l.spend(now, a, drawn)
	return drawn
}

// spend takes an amount that is there.
func (l *Ledger) spend(now time.Duration, a *account, amount float64) {
	a.level -= amount
	a.lowWater.observe(now, a.level)
}

// DrawBalanced is Draw for another member, whose own share is empty: beyond the amount that it needs it
// is given half of what then remains here, up to extra. So the tenant's next requests need no draw, and
// no share is full, and gains nothing, while another one is empty.
func (l *Ledger) DrawBalanced(now time.Duration, tenant string, amount, extra float64) float64 {
	drawn := l.Draw(now, tenant, amount)
	return drawn + l.Draw(now, tenant, min(extra, l.Level(now, tenant)/2))
}

// Level is what may be taken from a tenant's share.
func (l *Ledger) Level(now time.Duration, tenant string) float64 {
	a := l.lookup(now, tenant)
	if a == nil {
		return 0
	}
	return a.available()
}

// Room is what a tenant's share could hold beyond what it has.
func (l *Ledger) Room(now time.Duration, tenant string) float64 {
	a := l.lookup(now, tenant)
	if a == nil {
		return 0
	}
	return max(l.capacity(a.limit)-a.level, 0)
}

// Return gives back what was taken or drawn and not used.
func (l *Ledger) Return(now time.Duration, tenant string, amount float64) {
	if a := l.lookup(now, tenant); a != nil && amount > 0 {
		a.level += amount
	}
}

// RetryAfter is how long it takes until all shares together have brought an amount.
func (l *Ledger) RetryAfter(tenant string, amount float64) time.Duration {
	a := l.accounts[tenant]
	if a == nil || a.limit.RatePerS <= 0 {
		return maxRetryAfter
	}
	seconds := amount / a.limit.RatePerS
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// Restart leaves in each share what one has that has just begun: others may have used it meanwhile.
func (l *Ledger) Restart(now time.Duration) {
	for _, a := range l.accounts {
		l.accrue(now, a)
		a.level = min(a.level, l.startLevel(a.limit))
	}
}

// Share is one tenant's share as operators see it.
type Share struct {
	Tenant   string  `json:"tenant"`
	Level    float64 `json:"level"`    // what it holds
	Capacity float64 `json:"capacity"` // the most that it holds
	RatePerS float64 `json:"rate-per-s"`
}

// Shares returns all shares, in no order.
func (l *Ledger) Shares(now time.Duration) []Share {
	shares := make([]Share, 0, len(l.accounts))
	for name, a := range l.accounts {
		if a.removedAt > 0 {
			continue
		}
		l.accrue(now, a)
		shares = append(shares, Share{Tenant: name, Level: a.level, Capacity: l.capacity(a.limit), RatePerS: l.rate(a.limit)})
	}
	return shares
}
