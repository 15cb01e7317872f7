package policy

import (
	"cmp"
	"slices"
)

const (
	// maxPending bounds the pending requests, and with them the work of one decision.
	maxPending = 512
	// maxDispatchFailures ends a dispatch: so many requests that may go to any server found no capacity.
	maxDispatchFailures = 4
	// unsentTimeShare is the fraction of its time after which a request that reached no server is rejected.
	// After half of the time a client counts the wait as worse than a rejection.
	unsentTimeShare = 0.46
)

// valueOf returns what a unit of server time spent on the request adds to the objective: to the overall
// result and, if the request is of the worst class, to that class's component.
func (b *Balancer) valueOf(req *request) float64 {
	class := &b.settings.Classes[req.class]
	objective := &b.settings.Objective
	value := class.Value * (objective.Overall + objective.WorstWindow)
	if req.class == b.mix.worstClass {
		value += objective.WorstClass * b.mix.meanValue / b.mix.classShares[req.class]
	}
	if b.now+b.latency.expectedMs[req.class] > req.targetAt {
		value *= b.settings.Prices.LateFailure
	}
	if b.mix.overQuota(b.settings.Tenants, req.tenant) {
		value *= b.settings.OverQuotaValue
	}
	return value / b.latency.expectedMs[req.class]
}

// dispatch sends pending requests while there is capacity: the most valuable first, and the newest first
// among equals, because under overload the oldest would be answered late anyway.
func (b *Balancer) dispatch() {
	b.sortPending()
	b.saturated = false
	for i, failures := 0, 0; i < len(b.pending) && failures < maxDispatchFailures; {
		req := b.pending[i]
		if b.affinityServersBusy(req) {
			i++
			continue
		}
		if srv := b.pick(req); srv != nil && b.maySend(req, srv, true) {
			b.send(req, srv)
			b.pending = slices.Delete(b.pending, i, i+1)
			continue
		}
		i++
		// A request that waits for the servers of its key is not counted: others may still find capacity.
		if !b.waitsForAffinity(req) {
			failures++
		}
		b.saturated = failures > 0
	}
	for len(b.pending) > maxPending {
		b.endUnserved(b.pending[len(b.pending)-1])
	}
}

func (b *Balancer) sortPending() {
	for _, req := range b.pending {
		req.value = b.valueOf(req)
	}
	slices.SortFunc(b.pending, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
}

// affinityServersBusy reports whether the request still waits for the servers of its key, found by its last
// pick, and these still have no capacity. It saves another pick, and is false for a request without a pick.
func (b *Balancer) affinityServersBusy(req *request) bool {
	picked := req.preferredServers[0] != nil
	return picked && b.waitsForAffinity(req) && req.preferredGeneration == b.generation &&
		!b.belowLoadCap(req.preferredServers[0], req) && !b.belowLoadCap(req.preferredServers[1], req)
}

// expirePending ends pending requests that have waited too long or can no longer be answered in time:
// rejected early, they cost the servers no work.
func (b *Balancer) expirePending() {
	for i := 0; i < len(b.pending); {
		req := b.pending[i]
		waitedTooLong := !req.reachedServer &&
			b.now-req.arrivedAt > unsentTimeShare*(req.deadline-req.arrivedAt)
		if waitedTooLong || b.cannotFinish(req, 1) {
			b.endUnserved(req)
			continue
		}
		i++
	}
}
