package policy

import (
	"cmp"
	"slices"
)

const (
	// maxPending bounds the pending requests, and so the work of one decision.
	maxPending = 512
	// maxDispatchFailures is the number of requests for which no server has capacity, of those that would
	// take any, after which no other one is tried.
	maxDispatchFailures = 4
	// unsentTimeShare is the part of its time after which a request that reached no server is rejected:
	// from half of it on the client counts the wait as worse than a rejection.
	unsentTimeShare = 0.46
)

// valueOf is what a unit of server time spent on the request earns by the objective: a part of the overall
// result, and all of the worst class's if it is of that.
func (b *Balancer) valueOf(req *request) float64 {
	class := &b.settings.Classes[req.class]
	objective := &b.settings.Objective
	value := class.Value * (objective.Overall + objective.WorstWindow)
	if req.class == b.mix.worstClass {
		value += objective.WorstClass * b.mix.meanValue / b.mix.classShares[req.class]
	}
	if b.now+b.latency.expected[req.class] > req.targetAt {
		value *= b.settings.Prices.LateFailure
	}
	if b.mix.overQuota(b.settings.Tenants, req.tenant) {
		value *= b.settings.OverQuotaValue
	}
	return value / b.latency.expected[req.class]
}

// dispatch sends pending requests as far as there is capacity: the most valuable first, of equals the
// newest, as under overload the oldest would only end late.
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
		// A request that waits for the servers of its key may find none where the next one does.
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

// affinityServersBusy tells, without another pick, that a request still waits for the servers of its key and
// that these are as busy as at its last pick, if it had one.
func (b *Balancer) affinityServersBusy(req *request) bool {
	picked := req.preferred[0] != nil
	return picked && b.waitsForAffinity(req) && req.preferredAt == b.generation &&
		!b.belowLoadCap(req.preferred[0], req) && !b.belowLoadCap(req.preferred[1], req)
}

// expirePending ends pending requests that can earn nothing any more: rejected early, they cost no server
// any work.
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
