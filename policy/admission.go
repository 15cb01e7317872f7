package policy

import (
	"cmp"
	"math"
	"slices"
)

// This file holds what is let in, and in which order it is sent.

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) || b.requests[ev.Request] != nil {
		return
	}
	c := &b.set.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key,
		arrived: b.now, first: b.now, luck: b.rng.Float64()}
	left := max(ev.LeftMs, 0)
	r.deadline = b.now + left - min(b.set.RoundMs, left/4)
	if ev.Retry {
		b.recall(r)
	}
	r.aimAt = min(r.first+c.AimMs, r.deadline)
	b.requests[r.id] = r
	b.came++
	b.focus()
	r.spot = b.spot(r.key)
	b.count(r.tenant)
	b.tally(r.class)
	for i := range b.won {
		if b.won[i]*b.asked[b.worst] < b.won[b.worst]*b.asked[i] {
			b.worst = i
		}
	}
	b.mayProbe = min(b.mayProbe+b.probeRate(), probeCap)
	b.sample()
	b.revalidate()
	b.held = append(b.held, r)
	shed, full := b.shed(), 1-b.admission()
	if b.set.Clients.MarksRetry && !ev.Retry { // of what comes, refused or not: see earn
		b.earn()
	}
	if !ev.Retry { // who comes again is refused again, and no further demand
		b.admitted = mean(b.admitted, 1-max(shed, full), 4*slowSmooth)
	}
	if r.luck < max(shed, full) {
		// A refusal for want of room is no sign of a crowd, nor are those of one client that
		// comes again and again.
		if shed > full && !ev.Retry {
			b.gain(0)
		}
		b.end(r)
		return
	}
	if !b.set.Clients.MarksRetry {
		b.earn()
	}
	if b.tooLate(r, 1+full) {
		b.end(r)
	}
}

// shed is the part of requests to refuse at once. Where much is served too late the
// servers are crowded and work for nothing, and only less load lets them recover; an
// agent that sees little knows no server's crowd, but its own part served in time.
func (b *Balancer) shed() float64 {
	return min(max(b.tried-shedFactor*b.gained, 0)/(b.tried+1), shedMost)
}

// admission is the part of the requests that the listed servers have room for: known from
// probes, and told anew when servers go, before the rest is crowded.
func (b *Balancer) admission() float64 {
	if b.demand == 0 {
		return 1
	}
	have := b.capacity()
	most := busyMost - lossCaution*(1-have/max(b.peak, have))
	return min(max(most*have/b.demand, 1-shedMost), 1)
}

// busy takes a warm server's utilization into the load that the whole fleet would bear
// were nothing refused, in units of a warm server of weight one.
func (b *Balancer) busy(s *server, report []float32) {
	util, ok := b.reported(report, "util")
	if !ok || !s.usable {
		return
	}
	b.sampled++
	weight := max(1/busyMemory, 1/(b.sampled+busyDoubt))
	if held, ok := b.reported(report, "inflight"); ok {
		// A full server can't say by its utilization how much too much it gets.
		// On a large fleet it counts as far as others are full too: a few slow ones, which
		// have long queues, are no want of room.
		over := math.Sqrt(max(held/(queueMost*s.weight), 1)) - 1
		b.full += (min(math.Ceil(over), 1) - b.full) * weight
		util *= 1 + over*min(b.full*max(tierMost/float64(len(b.ring)), 1), 1)
	}
	// Who refuses more than others takes their load for what is left of its own: it comes
	// back to them by the room that it sees.
	admitted := b.admitted + (1-b.admitted)*max(1-util/busyMost, 0)
	demand := util * b.capacity() / max(admitted, 1-shedMost)
	b.demand += (demand - b.demand) * weight
}

// probeRate is the probes that each request earns, by their price. Where requests are
// refused for what probes tell, it must be true of now.
func (b *Balancer) probeRate() float64 {
	rate := min(probeShare, probeSpend/max(b.set.Prices.Probe, 1e-9))
	if b.admitted < 0.9 {
		rate *= refusingProbes
	}
	return rate
}

// sample probes a server at random for its load.
func (b *Balancer) sample() {
	if !b.set.Limits.Probing || b.mayProbe < 1 || b.probes >= probeCap || len(b.near) == 0 ||
		!slices.Contains(b.set.Report.Names, "util") {
		return
	}
	if b.validates = !b.validates; b.validates {
		return // this probe is for validation, if any server waits for it
	}
	for range sampleTries {
		// A lost zone tells nothing of the load, and a cold server little, as it gets no more
		// than its credit.
		s := b.near[b.rng.IntN(len(b.near))]
		warm := b.ramp(s) == 1 || b.warmTop == 0 && b.rng.Float64() < b.ramp(s)
		if s.usable && s.state < Unhealthy && !s.suspect && !s.probing && warm && b.share(s) > 0 {
			s.sampled = true
			b.probe(s)
			return
		}
	}
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	o := &b.set.Objective
	v := c.Credit * (o.Whole + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.credit / b.asked[r.class]
	}
	if b.now+b.expect[r.class] > r.aimAt {
		v *= b.set.Prices.LateFail
	}
	if b.overShare(r.tenant) {
		v *= b.set.OverShareWorth
	}
	return v / b.expect[r.class]
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.held {
		r.value = b.value(r)
	}
	slices.SortFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// A request that waits for the servers of its key finds no room where the next
	// does: it is passed over. Of those that take any server a few failures tell.
	b.scarce = false
	for i, failures := 0, 0; i < len(b.held) && failures < 4; {
		r := b.held[i]
		if b.waits(r) && r.epoch == b.epoch && !b.takes(r.near[0], r) && !b.takes(r.near[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.maySend(r, s, true) {
			b.send(r, s)
			b.held = slices.Delete(b.held, i, i+1)
			continue
		}
		i++
		if !b.waits(r) {
			failures++
		}
		b.scarce = failures > 0
	}
	for len(b.held) > maxHeld {
		b.end(b.held[len(b.held)-1])
	}
}

// tooLate tells whether a request, sent now, has no time left for so many of the usual answer
// times. The more is refused, the surer one that is let in has to be of its answer.
func (b *Balancer) tooLate(r *request, times float64) bool {
	return b.now+times*b.expect[r.class] > r.aimAt || b.now >= r.deadline
}

// expire ends held requests that can no longer earn anything: refused early,
// before they cost server work.
func (b *Balancer) expire() {
	for i := 0; i < len(b.held); {
		r := b.held[i]
		waited := !r.wrote && b.now-r.arrived > unsent*(r.deadline-r.arrived)
		if waited || b.tooLate(r, 1) {
			b.end(r)
			continue
		}
		i++
	}
}
