package controlsim

import (
	"slices"
	"time"
)

const (
	// keySpread is how long after its acknowledgement a key is used that an update has added.
	keySpread = propagationTimeout + 500*time.Millisecond
	// quotaStablePeriod is how long no fault has begun or ended if a tenant within its quota is served for certain:
	// shares that were lost are back.
	quotaStablePeriod = 4 * time.Second
)

// tenantRequest is a request of a tenant that a process has decided on.
type tenantRequest struct {
	tenant    int
	process   *process
	keyEpoch  int64
	tokens    int
	sentAt    time.Duration
	decidedAt time.Duration
	outcome   refusal
}

// tenantHistory is what the checker knows of tenants.
type tenantHistory struct {
	acked    []ackedRevision      // in the order of their acknowledgement
	admitted map[int][]admittance // by tenant, in the order of the decisions
	outcomes map[refusal]int
}

type ackedRevision struct {
	revision int64
	at       time.Duration
}

type admittance struct {
	at     time.Duration
	tokens int
}

// revisionAcknowledgedLocked records the acknowledgement of a revision.
func (c *checker) revisionAcknowledgedLocked(revision int64) {
	c.tenants.acked = append(c.tenants.acked, ackedRevision{revision, c.sim.elapsed()})
}

// usableKeyEpoch is the epoch of the newest keys that every process in touch knows, and whether there is one.
func (c *checker) usableKeyEpoch() (epoch int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spread := c.sim.elapsed() - keySpread
	for _, acked := range c.tenants.acked {
		if acked.at <= spread {
			epoch, known = max(epoch, acked.revision/keyEpoch), true
		}
	}
	return epoch, known
}

// revokedAt is when the removal of an epoch's keys was acknowledged, and whether it was.
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
	// One operator sends the next revision only once the one before has an answer.
	return slices.ContainsFunc(h.acked, func(acked ackedRevision) bool { return (acked.revision+1)/keyEpoch > epoch+1 })
}

// tenantRequest checks a request: no revoked key opens anything, no window of a quota is exceeded, and a process in
// touch refuses nobody with a good key and within its quota.
func (c *checker) tenantRequest(r *tenantRequest) {
	inTouch := slices.Contains(c.sim.healthySince(time.Now().Add(-healthyPeriod)), r.process)
	stable := c.sim.stableBetween(r.decidedAt-quotaStablePeriod, r.decidedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenants.outcomes[r.outcome]++
	name := r.process.machine.name
	switch r.outcome {
	case admitted:
		if at, revoked := c.tenants.revokedAt(r.keyEpoch); revoked && r.sentAt > at+revokeTime {
			c.reportViolationLocked(name, "a key of epoch %d opens %v after its removal was acknowledged", r.keyEpoch, r.sentAt-at)
		}
		c.checkQuotaLocked(r)
	case refusedAge, refusedStarting:
		if inTouch && !c.sim.coreOutageSince(r.decidedAt-quotaStablePeriod) {
			c.reportViolationLocked(name, "a process in touch refuses a request: %s", r.outcome)
		}
	case refusedKey:
		if inTouch && !c.tenants.mayBeRevoked(r.keyEpoch) {
			c.reportViolationLocked(name, "a process in touch does not know the key of epoch %d", r.keyEpoch)
		}
	case refusedQuota, refusedHolders:
		if inTouch && stable && tenantLoads[r.tenant%len(tenantLoads)] <= withinQuota {
			c.reportViolationLocked(name, "tenant %d is refused within its quota: %s", r.tenant, r.outcome)
		}
	}
}

// checkQuotaLocked checks the window that ends with a request that was admitted.
func (c *checker) checkQuotaLocked(r *tenantRequest) {
	list := append(c.tenants.admitted[r.tenant], admittance{r.decidedAt, r.tokens})
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
		c.reportViolationLocked("fleet", "tenant %d: %.0f in a window, %.0f are allowed", r.tenant, sum, allowed)
	}
}

// coreOutageSince tells whether the core lost power after a virtual time of the run, or is down.
func (s *simulation) coreOutageSince(from time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faultPeriods, func(period *faultPeriod) bool {
		return period.kind == CoreOutage && (period.end.IsZero() || period.end.Sub(s.startedAt) > from)
	})
}
