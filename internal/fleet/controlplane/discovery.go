package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// configuredAddressPeriod is the period, in requests, at which a configured address is asked for a newer
// view instead of a voter.
const configuredAddressPeriod = 4

// maxDiscoveryAttempts is the number of addresses that are asked, one after the other, until one answers.
// With two of five or more voters lost, one of them does.
const maxDiscoveryAttempts = configuredAddressPeriod

// viewDiscovery chooses the process to ask for a newer view.
type viewDiscovery struct {
	cursor      int // the number of the last request, which rotates over the addresses
	lastRequest time.Time
}

// next records a request and returns its number.
func (d *viewDiscovery) next(now time.Time) int {
	d.cursor++
	d.lastRequest = now
	return d.cursor
}

// discoveryAddress returns the address for the request with the given number, or "" if there is none. It
// rotates over the voters. Every request whose number is a multiple of configuredAddressPeriod, and every
// one while no voter is usable, goes to a configured address instead.
func discoveryAddress(number int, voters []view.Peer, configured func() []string, usable func(string) bool) string {
	var addresses []string
	for _, voter := range voters {
		if usable(voter.Addr) {
			addresses = append(addresses, voter.Addr)
		}
	}
	if number%configuredAddressPeriod == 0 || len(addresses) == 0 {
		addresses, number = nil, number/configuredAddressPeriod
		for _, address := range configured() {
			if usable(address) {
				addresses = append(addresses, address)
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[number%len(addresses)]
}

// discoverViewOfAny asks other processes for a newer view until one answers or maxDiscoveryAttempts have
// been asked. It is for processes that ask rarely: all voters that they know may be replaced before they
// ask again.
func (m *Member) discoverViewOfAny(ctx context.Context) {
	for range maxDiscoveryAttempts {
		if answered := m.discoverView(ctx, ""); answered || ctx.Err() != nil {
			return
		}
	}
}

// discoverView asks one other process for a newer view and reports whether it answered. It does not ask the
// process at the address except, which is empty or has another request of this process under way.
func (m *Member) discoverView(ctx context.Context, except string) (answered bool) {
	m.mu.Lock()
	number := m.discovery.next(time.Now())
	newest := m.views.newest
	m.mu.Unlock()
	address := discoveryAddress(number, newest.Voters, m.configuredAddresses, func(address string) bool {
		return address != m.self.Addr && address != except
	})
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := call[viewRequest, viewResponse](ctx, m, address, callView, &viewRequest{Known: newest.Number})
	if err != nil {
		return false
	}
	m.observeView(response.View)
	_ = m.learnView(ctx, response.View) // later ticks repeat it
	return true
}

// configuredAddresses returns the seeds' addresses and the further known addresses of voters.
func (m *Member) configuredAddresses() []string {
	addresses := append([]string(nil), m.options.Seeds()...)
	if m.options.KnownAddresses != nil {
		addresses = append(addresses, m.options.KnownAddresses()...)
	}
	return addresses
}

// discoveryLoop first takes part in the bootstrap of the first view on a first start. Then it asks for newer
// views while this process does not learn them by heartbeats, and announces the view to processes that may
// know no process to ask.
func (m *Member) discoveryLoop(ctx context.Context) {
	m.bootstrapFirstView(ctx)
	for ctx.Err() == nil {
		m.informUnreached()
		interval, due := m.nextDiscovery()
		if due {
			m.discoverViewOfAny(ctx)
		}
		wait(ctx, interval, nil)
	}
}

// nextDiscovery reports whether to ask for a newer view now, and the time until the next check.
func (m *Member) nextDiscovery() (interval time.Duration, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.views.newest.Number == 0 {
		return firstDiscoveryInterval, true
	}
	now := time.Now()
	interval = discoveryInterval
	if now.Sub(m.pauses.resumedAt) < startupPeriod {
		interval = firstDiscoveryInterval
	}
	recent := now.Sub(m.discovery.lastRequest) < discoveryInterval
	// A voter learns views by heartbeats, unless all voters that it knows were replaced.
	informed := m.views.isVoter(m.self.ID) &&
		(m.hasQuorumLocked(now) || now.Sub(m.pauses.resumedAt) < 2*peerTimeout)
	return interval, !informed && !recent
}
