package policy

import "math"

const (
	// slowStartBurst is the largest credit of a server in slow start, in requests. It is small because all
	// agents may spend their credit at the same time.
	slowStartBurst = 1.0
	// slowStartKeyFactor multiplies the weight of a server in slow start in the order of a key. Each of many
	// agents earns about one request a minute for such a server; without the factor that request would have
	// to wait for one of the server's own keys.
	slowStartKeyFactor = 8.0
	// slowStartLoadMargin is the Contract.CollapseLoadFactor from which on servers in slow start earn their
	// full share of the requests; with a lower factor they earn proportionally less. Such a server has no
	// keys in its cache and has to open connections, and random variation adds to its load.
	slowStartLoadMargin = 6.0
)

// slowStartFactor returns the fraction of its capacity that a server has by the contract; 1 once it is warm.
func (b *Balancer) slowStartFactor(srv *server) float64 {
	contract := &b.settings.Contract
	age := b.now - srv.assumedStartAt
	// An assumed start only counts until discovery has had the time to list it.
	if srv.assumedStartAt <= 0 || age >= contract.SlowStartMs ||
		srv.assumedStartAt != srv.listedStartAt && age > contract.DiscoveryDeadlineMs {
		return 1
	}
	return contract.SlowStartFloor + (1-contract.SlowStartFloor)*max(age, 0)/contract.SlowStartMs
}

// drawSlowStartCredit returns the initial credit of a server in slow start: a random fraction of a request.
// If many agents each earn less than one request, on average as many of them send one as they earn together.
func (b *Balancer) drawSlowStartCredit() float64 { return b.rng.Float64() }

// accrueSlowStart adds to the credit of each server in slow start its share of an arriving request, by weight
// and slow-start factor. A rejected request counts as well: the servers that could take it would idle
// otherwise. This keeps a server's share of all agents' requests in proportion to its capacity, without
// coordination. Retries earn nothing. If retries are not marked, only admitted requests earn credit, because
// rejections could multiply the arrivals.
func (b *Balancer) accrueSlowStart() {
	b.currentCapacity() // updates the peak: recently lost capacity is no reason to send these servers more
	capacity := b.capacity.peak
	if capacity == 0 {
		return
	}
	decay := math.Exp((b.sending.warmRateAt - b.now) / b.settings.Contract.SlowStartMs)
	b.sending.warmRate = b.sending.warmRate*decay + 1/capacity
	b.sending.warmRateAt = b.now
	b.survey()
	// Servers in the aperture also earn the shares of those outside it.
	scale := float64(len(b.hashRing)) / float64(max(len(b.aperture.servers), 1))
	scale *= min(b.settings.Contract.CollapseLoadFactor/slowStartLoadMargin, 1)
	for _, srv := range b.capacity.warmingUpServers {
		if factor := b.slowStartFactor(srv); factor < 1 && srv.inAperture {
			share := scale * factor * srv.weight * b.effectiveShare(srv) *
				b.effectiveTrafficWeight(srv) / capacity
			srv.slowStartCredit = min(srv.slowStartCredit+share, slowStartBurst)
		}
	}
}

// slowStartAllows reports whether a server is warm or has credit for a request. If no server is warm, a
// server may also be sent requests at its share of the rate at which warm servers got them before.
func (b *Balancer) slowStartAllows(srv *server) bool {
	if b.slowStartFactor(srv) == 1 || srv.slowStartCredit >= 1 {
		return true
	}
	if b.currentWarmWeight() != 0 {
		return false
	}
	expected := (b.now - srv.lastSentAt) * b.sending.warmRate * srv.weight * b.slowStartFactor(srv)
	return expected >= b.settings.Contract.SlowStartMs
}
