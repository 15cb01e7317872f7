package controlplane

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// configuredAddressPeriod is the period, in requests, at which a configured address is asked for a newer
// view instead of a voter.
const configuredAddressPeriod = 4

// maxDiscoveryAttempts is the number of addresses that are asked, one after the other, until one answers.
// With two of five or more voters lost, one of them does.
const maxDiscoveryAttempts = configuredAddressPeriod

// viewDiscovery chooses the process to ask for a newer view, and when to ask.
type viewDiscovery struct {
	cursor      int // the number of the last request, which rotates over the addresses
	lastRequest time.Time
	// haste is a random share of the interval that is not waited for, drawn at each request, so that processes
	// that started at the same time don't go on asking at the same times.
	haste float64
	// timedOut is the number of consecutive rounds of requests of which none was answered and some timed out.
	timedOut int
}

// next records a request and returns its number.
func (d *viewDiscovery) next(now time.Time) int {
	d.cursor++
	d.lastRequest = now
	d.haste = maxDiscoveryHaste * rand.Float64()
	return d.cursor
}

// observe records how a round of requests ended.
func (d *viewDiscovery) observe(outcome discoveryOutcome) {
	switch outcome {
	case discoveryAnswered, discoveryFailed: // failed connects cost no process anything
		d.timedOut = 0
	case discoveryTimedOut:
		d.timedOut++
	}
}

// remaining returns the time until the next request if the last one was answered at once, of which interval is
// the time between two. The interval doubles with each round that timed out, up to maxDiscoveryInterval: the
// processes that did not answer may be too busy to.
func (d *viewDiscovery) remaining(interval time.Duration, now time.Time) time.Duration {
	for range d.timedOut {
		if interval >= maxDiscoveryInterval {
			break
		}
		interval = min(2*interval, maxDiscoveryInterval)
	}
	return interval - time.Duration(d.haste*float64(interval)) - now.Sub(d.lastRequest)
}

// discoveryOutcome is how a request for a newer view, or a round of them, ended.
type discoveryOutcome int

const (
	discoveryFailed   discoveryOutcome = iota // no connection was established, or there is no process to ask
	discoveryTimedOut                         // there was no answer in time, or the process was too busy to give one
	discoveryAnswered
)

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
// ask again. While rounds time out, a round asks one process only.
func (m *Member) discoverViewOfAny(ctx context.Context) {
	m.mu.Lock()
	attempts := maxDiscoveryAttempts
	if m.discovery.timedOut > 0 {
		attempts = 1
	}
	m.mu.Unlock()
	round := discoveryFailed
	for range attempts {
		round = max(round, m.discoverView(ctx, ""))
		if round == discoveryAnswered || ctx.Err() != nil {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discovery.observe(round)
}

// discoverView asks one other process for a newer view. It does not ask the process at the address except,
// which is empty or has another request of this process under way.
func (m *Member) discoverView(ctx context.Context, except string) discoveryOutcome {
	m.mu.Lock()
	number := m.discovery.next(time.Now())
	newest := m.views.newest
	m.mu.Unlock()
	address := discoveryAddress(number, newest.Voters, m.configuredAddresses, func(address string) bool {
		return address != m.self.Addr && address != except
	})
	if address == "" {
		return discoveryFailed
	}
	return m.requestView(ctx, address, newest.Number)
}

// requestView asks the process at an address for a view that is newer than the one with the number known.
func (m *Member) requestView(ctx context.Context, address string, known uint64) discoveryOutcome {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := call[viewRequest, viewResponse](ctx, m, address, callView, &viewRequest{Known: known})
	switch {
	case err == nil:
		m.observeView(response.View)
		_ = m.learnView(ctx, response.View) // later ticks repeat it
		return discoveryAnswered
	case ctx.Err() == nil && isConnectError(err):
		return discoveryFailed
	default:
		return discoveryTimedOut
	}
}

// isConnectError reports whether a call failed because no connection was established.
func isConnectError(err error) bool {
	var failed *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &failed) && failed.Op == "dial"
}

// discoverViewOfRelay asks the relay of this process for a newer view. The pool then holds a connection to this
// member of the core only.
func (m *Member) discoverViewOfRelay(ctx context.Context, relay string) {
	m.mu.Lock()
	m.discovery.next(time.Now())
	known := m.views.newest.Number
	m.mu.Unlock()
	outcome := m.requestView(ctx, relay, known)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.discovery.observe(outcome)
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
		relay := m.relayAddress()
		pause, due := m.nextDiscovery(relay)
		switch {
		case due && relay != "":
			m.discoverViewOfRelay(ctx, relay)
		case due:
			m.discoverViewOfAny(ctx)
		}
		wait(ctx, pause, nil)
	}
}

// relayAddress returns the address of the relay that this process has a session with; empty if there is none.
func (m *Member) relayAddress() string {
	if m.options.RelayAddress == nil {
		return ""
	}
	return m.options.RelayAddress()
}

// nextDiscovery reports whether to ask for a newer view now, and the time until the next check. relay is the
// result of relayAddress. A process with a relay learns changes of the core from it and needs newer views seldom.
func (m *Member) nextDiscovery(relay string) (pause time.Duration, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.views.newest.Number == 0 {
		return m.pauseLocked(firstDiscoveryInterval, firstDiscoveryInterval, now)
	}
	interval, check := discoveryInterval, discoveryInterval
	if relay != "" {
		interval = relayDiscoveryInterval
	}
	if now.Sub(m.pauses.resumedAt) < startupPeriod {
		check = firstDiscoveryInterval
	}
	// A voter learns views by heartbeats, unless all voters that it knows were replaced.
	informed := m.views.isVoter(m.self.ID) &&
		(m.hasQuorumLocked(now) || now.Sub(m.pauses.resumedAt) < 2*peerTimeout)
	if informed {
		return check, false
	}
	return m.pauseLocked(interval, check, now)
}

// pauseLocked reports whether an interval has passed since the last request, and the time until the next check,
// which is at most check.
func (m *Member) pauseLocked(interval, check time.Duration, now time.Time) (pause time.Duration, due bool) {
	remaining := m.discovery.remaining(interval, now)
	if remaining <= 0 {
		return check, true
	}
	return min(check, remaining), false
}
