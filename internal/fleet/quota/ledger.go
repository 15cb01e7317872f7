package quota

import (
	"time"
)

const (
	// reserveFraction is the fraction of the tolerance (what the bounds allow beyond the quota) that is added
	// to the burst. startFraction is the fraction that all members together have in their buckets when they
	// start. The remaining fraction allows for two restarts of all members within a window, and for
	// rateMargin.
	reserveFraction, startFraction = 0.4, 0.2
	// rateMargin is the fraction by which the rate is increased. A full share gains nothing, so without
	// the margin the shares together would gain less than the rate.
	rateMargin = 0.01
	// retentionWindows is the number of windows for which a lost member still counts: it may be partitioned
	// and still admit requests from its share.
	retentionWindows = 2
	// maxRetryAfter is the longest retry delay of a rejection.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter is the shortest retry delay of a rejection.
	minRetryAfter = 20 * time.Millisecond
)

// Bounds limits what is admitted of any quota: at most (rate x window + burst) x (1 + Overshoot) + Slack in
// each window.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Limit is the quota of one tenant.
type Limit struct {
	RatePerS, Burst float64
}

// tolerance returns what the bounds allow beyond a limit in a window.
func (b *Bounds) tolerance(limit Limit) float64 {
	return b.Overshoot*(limit.RatePerS*b.Window.Seconds()+limit.Burst) + b.Slack
}

// Ledger holds one holder's share of each tenant's quota. It is not safe for concurrent use.
type Ledger struct {
	bounds              Bounds
	divisor             int           // number of equal shares that each quota is divided into; 0 until it is known
	pendingDivisorSince time.Duration // when pendingDivisor was first set
	pendingDivisor      int           // lower divisor that is not in force yet; 0 if there is none
	accounts            map[string]*account
	restored            map[string]float64 // floors in an earlier process's record of tenants without an account
	// isRestoring is set from Restore until the first limits are known.
	isRestoring bool
	// restoredSettled is set if the process that wrote the restored record had settled: restored shares
	// start with at least startLevel.
	restoredSettled bool
	// hasRecord is set once a record of this process is on disk.
	hasRecord bool
}

// account is the share of one tenant's quota.
type account struct {
	limit     Limit
	level     float64 // amount that the share holds
	updatedAt time.Duration
	removedAt time.Duration // when the tenant was removed from the configuration; 0 if it is there

	lowWater   lowWater
	floor      float64 // highest floor in any record that may be on disk; the level is not spent below it
	recorded   float64 // floor in the newest record, written or being written; unrecorded if it has none
	isRestored bool    // the share started with the floor in an earlier process's record
}

// NewLedger returns a ledger without tenants.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{bounds: bounds, accounts: map[string]*account{}}
}

// SetDivisor sets the number of equal shares that each quota is divided into. A higher number takes effect
// at once, a lower one after retentionWindows.
func (l *Ledger) SetDivisor(now time.Duration, divisor int) {
	switch {
	case divisor >= l.divisor:
		l.applyDivisor(now, divisor)
		l.pendingDivisor = 0
	case divisor != l.pendingDivisor:
		l.pendingDivisor, l.pendingDivisorSince = divisor, now
	case now-l.pendingDivisorSince > retentionWindows*l.bounds.Window:
		l.applyDivisor(now, divisor)
		l.pendingDivisor = 0
	}
}

// Divisor returns the number of equal shares that each quota is divided into.
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
			l.startRestored(a)
		case first:
			a.level = l.startLevel(a.limit)
		}
		a.level = min(a.level, l.capacity(a.limit))
	}
}

// SetLimits replaces the quotas. A tenant that already had a quota keeps its level, up to the new capacity.
// The account of a removed tenant is kept for retentionWindows, as what was admitted from it still counts.
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
		if now-a.removedAt > retentionWindows*l.bounds.Window {
			delete(l.accounts, name)
		}
	}
	if len(limits) > 0 {
		l.isRestoring = false // from now on a tenant that is not in the record is a new one
	}
}

// capacity returns the maximum amount that a share holds.
func (l *Ledger) capacity(limit Limit) float64 {
	return (limit.Burst + reserveFraction*l.bounds.tolerance(limit)) / float64(max(l.divisor, 1))
}

// rate returns the amount that a share gains per second.
func (l *Ledger) rate(limit Limit) float64 {
	return limit.RatePerS * (1 + rateMargin) / float64(max(l.divisor, 1))
}

// startLevel returns the amount in a share that has just started.
func (l *Ledger) startLevel(limit Limit) float64 {
	if l.divisor == 0 {
		return 0
	}
	return startFraction * l.bounds.tolerance(limit) / float64(l.divisor)
}

// accrue adds the amount that a share has gained since its last update.
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

// lookup returns the updated account of a tenant, or nil if the configuration has no quota for it.
func (l *Ledger) lookup(now time.Duration, tenant string) *account {
	a := l.accounts[tenant]
	if a == nil || a.removedAt > 0 {
		return nil
	}
	l.accrue(now, a)
	return a
}

// Known reports whether the tenant has a quota.
func (l *Ledger) Known(tenant string) bool {
	a := l.accounts[tenant]
	return a != nil && a.removedAt == 0
}

// Take takes an amount from the tenant's share if all of it is available, and reports whether it was.
func (l *Ledger) Take(now time.Duration, tenant string, amount float64) bool {
	a := l.lookup(now, tenant)
	if a == nil || a.available() < amount {
		return false
	}
	l.spend(now, a, amount)
	return true
}

// Draw takes what is available from the tenant's share, up to an amount, and returns how much it took.
func (l *Ledger) Draw(now time.Duration, tenant string, amount float64) float64 {
	a := l.lookup(now, tenant)
	if a == nil {
		return 0
	}
	drawn := max(min(a.available(), amount), 0)
	l.spend(now, a, drawn)
	return drawn
}

// spend subtracts an available amount from a share.
func (l *Ledger) spend(now time.Duration, a *account, amount float64) {
	a.level -= amount
	a.lowWater.observe(now, a.level)
}

// DrawBalanced is Draw for another holder whose own share is empty. Beyond the amount that it needs, that
// holder gets half of what remains here, up to extra. So the tenant's next requests there need no draw,
// and no share is full, gaining nothing, while another one is empty.
func (l *Ledger) DrawBalanced(now time.Duration, tenant string, amount, extra float64) float64 {
	drawn := l.Draw(now, tenant, amount)
	return drawn + l.Draw(now, tenant, min(extra, l.Level(now, tenant)/2))
}

// Level returns the available amount in a tenant's share.
func (l *Ledger) Level(now time.Duration, tenant string) float64 {
	a := l.lookup(now, tenant)
	if a == nil {
		return 0
	}
	return a.available()
}

// Headroom returns the amount that can be added to a tenant's share until it is full.
func (l *Ledger) Headroom(now time.Duration, tenant string) float64 {
	a := l.lookup(now, tenant)
	if a == nil {
		return 0
	}
	return max(l.capacity(a.limit)-a.level, 0)
}

// Return gives back an amount that was taken or drawn but not used.
func (l *Ledger) Return(now time.Duration, tenant string, amount float64) {
	if a := l.lookup(now, tenant); a != nil && amount > 0 {
		a.level += amount
	}
}

// RetryAfter returns the time in which all shares together gain an amount, between minRetryAfter and
// maxRetryAfter.
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

// Restart lowers the level of each share to that of one that has just started, if it is higher. It is for
// shares that others may have used in the meantime.
func (l *Ledger) Restart(now time.Duration) {
	for _, a := range l.accounts {
		l.accrue(now, a)
		a.level = min(a.level, l.startLevel(a.limit))
	}
}

// Share describes one tenant's share for operators.
type Share struct {
	Tenant   string  `json:"tenant"`
	Level    float64 `json:"level"`    // amount that it holds
	Capacity float64 `json:"capacity"` // maximum amount that it holds
	RatePerS float64 `json:"rate-per-s"`
}

// Shares returns the shares of all tenants in no particular order.
func (l *Ledger) Shares(now time.Duration) []Share {
	shares := make([]Share, 0, len(l.accounts))
	for name, a := range l.accounts {
		if a.removedAt > 0 {
			continue
		}
		l.accrue(now, a)
		shares = append(shares, Share{
			Tenant: name, Level: a.level, Capacity: l.capacity(a.limit), RatePerS: l.rate(a.limit),
		})
	}
	return shares
}
