package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// settingsTurn is how often addresses of the settings are asked instead of the voters: every
// settingsTurn-th time.
const settingsTurn = 4

// maxDiscoveryAttempts is how many addresses are asked, one after the other, until one answers. With two
// voters lost of five or more one of them does.
const maxDiscoveryAttempts = settingsTurn

// viewDiscovery chooses whom to ask for a newer view.
type viewDiscovery struct {
	cursor      int // rotates over the addresses
	lastRequest time.Time
}

// next notes a request and returns its number.
func (d *viewDiscovery) next(now time.Time) int {
	d.cursor++
	d.lastRequest = now
	return d.cursor
}

// discoveryAddress is the address that the request of a number goes to: one of the voters in turn or,
// every settingsTurn-th time and where no voter can be asked, one of the configured addresses. It is
// empty if there is none.
func discoveryAddress(number int, voters []view.Peer, configured func() []string, usable func(string) bool) string {
	var addresses []string
	for _, voter := range voters {
		if usable(voter.Addr) {
			addresses = append(addresses, voter.Addr)
		}
	}
	if number%settingsTurn == 0 || len(addresses) == 0 {
		addresses, number = nil, number/settingsTurn
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

// discoverViewOfAny asks other processes for a newer view until one answers. It is for those that ask
// seldom: the voters that they know may all be replaced before the next time.
func (m *Member) discoverViewOfAny(ctx context.Context) {
	for range maxDiscoveryAttempts {
		if answered := m.discoverView(ctx, ""); answered || ctx.Err() != nil {
			return
		}
	}
}

// discoverView asks one other process for a newer view, but not the one at an address that is just
// being asked something else. It reports whether that process answered.
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

// configuredAddresses are the seeds, and further addresses of voters.
func (m *Member) configuredAddresses() []string {
	addresses := append([]string(nil), m.options.Seeds()...)
	if m.options.KnownAddresses != nil {
		addresses = append(addresses, m.options.KnownAddresses()...)
	}
	return addresses
}

// discoveryLoop bootstraps the first view where that is due. Then it discovers newer views on processes
// that get no heartbeats, and announces the view to processes that may have nobody to ask.
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

// nextDiscovery reports whether a newer view is to be asked for, and when to look again.
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
	// A voter learns of views by heartbeats, unless all voters that it knows were replaced.
	informed := m.views.isVoter(m.self.ID) &&
		(m.hasQuorumLocked(now) || now.Sub(m.pauses.resumedAt) < 2*peerTimeout)
	return interval, !informed && !recent
}
