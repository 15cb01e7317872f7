package policy

import "math"

const (
	// slowStartBurst bounds the credit of a server that warms up, in requests: all agents may spend theirs
	// at once.
	slowStartBurst = 1.0
	// slowStartKeyFactor is how much more than by its weight such a server attracts keys: each of many
	// agents earns a request a minute, which must not wait for a key of the server's own.
	slowStartKeyFactor = 8.0
	// slowStartLoadMargin is by how much an even share of an idle fleet has to stay below the load that
	// makes a server collapse: one that warms up knows no keys, has to open connections, and chance adds.
	slowStartLoadMargin = 6.0
)

// slowStartFactor is the part of its capacity that a server has by the contract: 1 once it is warm.
func (b *Balancer) slowStartFactor(srv *server) float64 {
	contract := &b.settings.Contract
	age := b.now - srv.assumedStartAt
	// A start that was only assumed counts until the list had the time to confirm it.
	if srv.assumedStartAt <= 0 || age >= contract.SlowStartMs ||
		srv.assumedStartAt != srv.listedStartAt && age > contract.DiscoveryDeadlineMs {
		return 1
	}
	return contract.SlowStartFloor + (1-contract.SlowStartFloor)*max(age, 0)/contract.SlowStartMs
}

// drawSlowStartCredit is the first credit of a server that warms up: a part of a request by chance. Of many
// agents that never earn a whole one, as many send one as together earned one.
func (b *Balancer) drawSlowStartCredit() float64 { return b.rng.Float64() }

// accrueSlowStart gives each server that warms up its share, by weight and slow-start factor, of a request
// that arrives, also of one that is rejected: the servers that could take it would idle otherwise. So the
// shares of all agents stay in proportion to what servers can do without any coordination. Retries earn
// nothing; where they are not marked only admitted requests earn, as rejections could multiply what comes.
func (b *Balancer) accrueSlowStart() {
	b.currentCapacity() // and its peak: what was lost of late is no reason to push these servers
	capacity := b.capacity.peak
	if capacity == 0 {
		return
	}
	decay := math.Exp((b.sending.warmRateAt - b.now) / b.settings.Contract.SlowStartMs)
	b.sending.warmRate = b.sending.warmRate*decay + 1/capacity
	b.sending.warmRateAt = b.now
	b.survey()
	// The share of the servers outside the aperture is accrued inside it.
	earned := float64(len(b.hashRing)) / float64(max(len(b.aperture.servers), 1))
	earned *= min(b.settings.Contract.CollapseLoadFactor/slowStartLoadMargin, 1)
	for _, srv := range b.capacity.warmingUp {
		if factor := b.slowStartFactor(srv); factor < 1 && srv.inAperture {
			share := earned * factor * srv.weight * b.effectiveShare(srv) * b.effectiveTraffic(srv) / capacity
			srv.slowStartCredit = min(srv.slowStartCredit+share, slowStartBurst)
		}
	}
}

// slowStartAllows reports whether a server is warm, or has the credit for a request. Where no server is warm,
// one may be sent what warm servers got before.
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
