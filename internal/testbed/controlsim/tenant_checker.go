package controlsim

import (
	"slices"
	"time"
)

const (
	// keyPropagationTime is the time from the acknowledgement of a new key until tenants use it.
	keyPropagationTime = propagationTimeout + 500*time.Millisecond
	// quotaStablePeriod is the time without a begin or end of a fault after which a tenant within its quota must be
	// served, as lost shares of the quota have been restored.
	quotaStablePeriod = 4 * time.Second
)

// tenantRequest is a request of a tenant that a process has admitted or refused.
type tenantRequest struct {
	tenant    int // index of the tenant
	process   *process
	keyEpoch  int64 // epoch of its key; see keyEpoch
	tokens    int
	sentAt    time.Duration // virtual time since the start of the run
	decidedAt time.Duration // like sentAt
	outcome   refusal
}

// tenantHistory records the events on which the checks of tenants' requests are based.
type tenantHistory struct {
	acked    []ackedRevision     // in the order of their acknowledgement
	admitted map[int][]admission // by tenant, in the order of the decisions
	outcomes map[refusal]int
}

// ackedRevision is a revision and the time of its acknowledgement.
type ackedRevision struct {
	revision int64
	at       time.Duration
}

// admission is the time and the size of an admitted request.
type admission struct {
	at     time.Duration
	tokens int
}

// revisionAcknowledgedLocked records the acknowledgement of a revision at the present time.
func (c *checker) revisionAcknowledgedLocked(revision int64) {
	c.tenants.acked = append(c.tenants.acked, ackedRevision{revision, c.sim.elapsed()})
}

// usableKeyEpoch returns the epoch of the newest keys that each healthy process knows, and whether there is one.
func (c *checker) usableKeyEpoch() (epoch int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ackedBefore := c.sim.elapsed() - keyPropagationTime
	for _, acked := range c.tenants.acked {
		if acked.at <= ackedBefore {
			epoch, known = max(epoch, acked.revision/keyEpoch), true
		}
	}
	return epoch, known
}

// revokedAt returns the time at which the removal of an epoch's keys was acknowledged, and whether it was.
func (h *tenantHistory) revokedAt(epoch int64) (at time.Duration, revoked bool) {
	for _, acked := range h.acked {
		if acked.revision/keyEpoch > epoch+1 && (!revoked || acked.at < at) {
			at, revoked = acked.at, true
		}
	}
	return at, revoked
}

// mayBeRevoked tells whether an update that removes an epoch's keys may have been sent.
func (h *tenantHistory) mayBeRevoked(epoch int64) bool {
	// The only operator sends the next revision only after the previous one was answered.
	return slices.ContainsFunc(h.acked, func(acked ackedRevision) bool { return (acked.revision+1)/keyEpoch > epoch+1 })
}

// checkTenantRequest checks a decision: a process must not accept revoked keys or exceed a window of a quota, and a
// healthy process must not refuse a request with a valid key and within the quota.
func (c *checker) checkTenantRequest(r *tenantRequest) {
	healthy := slices.Contains(c.sim.healthySince(time.Now().Add(-healthyPeriod)), r.process)
	stable := c.sim.stableBetween(r.decidedAt-quotaStablePeriod, r.decidedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenants.outcomes[r.outcome]++
	name := r.process.machine.name
	switch r.outcome {
	case admitted:
		if at, revoked := c.tenants.revokedAt(r.keyEpoch); revoked && r.sentAt > at+revokeTime {
			c.reportViolationLocked(name, "a key of epoch %d is accepted %v after its removal was acknowledged",
				r.keyEpoch, r.sentAt-at)
		}
		c.checkQuotaLocked(r)
	case refusedUnconfirmedKeys, refusedStarting:
		if healthy && !c.sim.coreOutageSince(r.decidedAt-quotaStablePeriod) {
			c.reportViolationLocked(name, "a healthy process refuses a request: %s", r.outcome)
		}
	case refusedKey:
		if healthy && !c.tenants.mayBeRevoked(r.keyEpoch) {
			c.reportViolationLocked(name, "a healthy process does not know the key of epoch %d", r.keyEpoch)
		}
	case refusedQuota, refusedHolders:
		if healthy && stable && tenantLoads[r.tenant%len(tenantLoads)] <= compliantLoad {
			c.reportViolationLocked(name, "tenant %d is refused within its quota: %s", r.tenant, r.outcome)
		}
	}
}

// checkFreshness checks that a process has every configuration that was acknowledged before the time of which it
// claims so. The gateway denies requests by that claim.
func (c *checker) checkFreshness(p *process, asOf time.Time, revision int64) {
	if p.ended.Load() || asOf.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, acked := range c.tenants.acked {
		if acked.revision > revision && acked.at < asOf.Sub(c.sim.startedAt) {
			c.reportViolationLocked(p.machine.name, "revision %d is confirmed as the newest %v after revision %d was acknowledged",
				revision, asOf.Sub(c.sim.startedAt)-acked.at, acked.revision)
		}
	}
}

// checkQuotaLocked checks the window of a quota that ends with an admitted request.
func (c *checker) checkQuotaLocked(r *tenantRequest) {
	list := append(c.tenants.admitted[r.tenant], admission{r.decidedAt, r.tokens})
	for len(list) > 0 && list[0].at <= r.decidedAt-quotaBounds.Window {
		list = list[1:]
	}
	c.tenants.admitted[r.tenant] = list
	sum := 0.0
	for _, a := range list {
		sum += float64(a.tokens)
	}
	limit := tenantRate*quotaBounds.Window.Seconds() + tenantBurst
	if allowed := limit*(1+quotaBounds.Overshoot) + quotaBounds.Slack; sum > allowed {
		c.reportViolationLocked("fleet", "tenant %d: %.0f tokens in a window, %.0f are allowed", r.tenant, sum, allowed)
	}
}

// coreOutageSince tells whether an outage of the core goes on, or has ended after a virtual time of the run.
func (s *simulation) coreOutageSince(from time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faultPeriods, func(period *faultPeriod) bool {
		return period.kind == CoreOutage && (period.end.IsZero() || period.end.Sub(s.startedAt) > from)
	})
}
