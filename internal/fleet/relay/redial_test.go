package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// redialingAgents is the number of agents that start at the same moment.
	redialingAgents = 24
	// redialWarmUp is the time in which the agents may dial often, as the relays may have lost single connects.
	redialWarmUp = 5 * time.Second
	// redialPeriod is the time over which dials are counted after redialWarmUp.
	redialPeriod = 30 * time.Second
	// maxRedialsPerSecond bounds the dials of one agent per second after redialWarmUp.
	maxRedialsPerSecond = 1.0
	// maxFirstOpenDials bounds the dials of one agent that are under way at once, on average over all agents, and
	// maxOpenDials does so after redialWarmUp.
	maxFirstOpenDials, maxOpenDials = 4, 2
	// redialWindow is the time over which dials must be spread: a busy relay answers hellos one after the other.
	redialWindow = 50 * time.Millisecond
	// maxRedialShare bounds the share of the agents that dial within one redialWindow.
	maxRedialShare = 0.25
)

// stalledRelays accepts connections, reads what arrives and never answers, as relays do whose processor is busy.
// It is the Dialer of all agents of a test.
type stalledRelays struct {
	mu    sync.Mutex
	dials []time.Duration // since the start of the test, in order
	start time.Time
	open  int // connections that the agents have not closed yet
	// maxFirstOpen is the greatest value of open, and maxOpen that after redialWarmUp.
	maxFirstOpen, maxOpen int
}

// Dial implements rpc.Dialer.
func (r *stalledRelays) Dial(context.Context, string) (net.Conn, error) {
	agentEnd, relayEnd := net.Pipe()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dials = append(r.dials, time.Since(r.start))
	r.open++
	r.maxFirstOpen = max(r.maxFirstOpen, r.open)
	if time.Since(r.start) >= redialWarmUp {
		r.maxOpen = max(r.maxOpen, r.open)
	}
	go func() {
		_, _ = io.Copy(io.Discard, relayEnd) // returns when the agent closes its end
		r.mu.Lock()
		defer r.mu.Unlock()
		r.open--
	}()
	return agentEnd, nil
}

// between returns the times of the dials in a period.
func (r *stalledRelays) between(from, to time.Duration) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, _ := slices.BinarySearch(r.dials, from)
	end, _ := slices.BinarySearch(r.dials, to)
	return slices.Clone(r.dials[first:end])
}

// dialStalledRelays runs agents that know six relays, of which none answers, for redialWarmUp and redialPeriod.
func dialStalledRelays(t *testing.T) *stalledRelays {
	t.Helper()
	relays := &stalledRelays{start: time.Now()}
	var peers []Peer
	for i := range 6 {
		peers = append(peers, Peer{Addr: fmt.Sprint("relay-", i), Zone: "near"})
	}
	ctx, cancel := context.WithTimeout(t.Context(), redialWarmUp+redialPeriod)
	defer cancel()
	var wg sync.WaitGroup
	for i := range redialingAgents {
		name := fmt.Sprint("agent-", i)
		agent := New(Options{Self: Member{Name: name, Addr: "addr of " + name, Zone: "near"}, HeartbeatInterval: time.Second,
			Core: newFakeCore(false, false, peers...), SeedAddrs: func() []string { return nil }, OnChange: func(*Snapshot) {}, Dialer: relays})
		wg.Go(func() { assert.NoError(t, agent.Run(ctx)) })
	}
	wg.Wait()
	return relays
}

// Agents whose relays accept but do not answer dial ever more rarely, with few connections open at once.
func TestRedialsOfUnansweredAgentsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relays := dialStalledRelays(t)
		redials := len(relays.between(redialWarmUp, redialWarmUp+redialPeriod))
		require.Positive(t, redials, "the agents try again")
		perSecond := float64(redials) / redialingAgents / redialPeriod.Seconds()
		assert.LessOrEqual(t, perSecond, maxRedialsPerSecond, "dials of one agent per second")
		assert.LessOrEqual(t, relays.maxFirstOpen, maxFirstOpenDials*redialingAgents, "connections that wait for a hello")
		assert.LessOrEqual(t, relays.maxOpen, maxOpenDials*redialingAgents, "the same after %v", redialWarmUp)
	})
}

// Agents that started at the same moment spread their dials in time.
func TestRedialsOfAgentsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		redials := dialStalledRelays(t).between(redialWarmUp, redialWarmUp+redialPeriod)
		most := 0
		for i, at := range redials {
			end, _ := slices.BinarySearch(redials, at+redialWindow)
			most = max(most, end-i)
		}
		require.Positive(t, most, "the agents try again")
		assert.LessOrEqual(t, float64(most)/redialingAgents, maxRedialShare, "share of the agents that dial within %v", redialWindow)
	})
}

// A relay that refuses an agent is not dialed before the time that it named, and the agent tries another one soon.
func TestRefusedAgentTriesAnotherRelay(t *testing.T) {
	start := time.Now()
	backoff := &redialBackoff{}
	backoff.began(start)
	backoff.refused("busy", 2*time.Second, start)
	remaining, isDue := backoff.due(start)
	assert.False(t, isDue)
	assert.LessOrEqual(t, remaining, 3*minRedialDelay/2)
	assert.True(t, backoff.isBusy("busy", start.Add(2*time.Second-1)))
	assert.False(t, backoff.isBusy("busy", start.Add(2*time.Second)))
	assert.False(t, backoff.isBusy("other", start))
	backoff.refused("busy", time.Hour, start)
	assert.False(t, backoff.isBusy("busy", start.Add(maxRetryAfter)), "the delay is bounded")
	backoff.reset()
	assert.False(t, backoff.isBusy("busy", start))
}

// The mean delay doubles with each attempt up to a bound, and a session resets it.
func TestRedialDelayDoubles(t *testing.T) {
	start := time.Now()
	backoff := &redialBackoff{}
	for _, mean := range []time.Duration{minRedialDelay, 2 * minRedialDelay, 4 * minRedialDelay, 8 * minRedialDelay, maxRedialDelay, maxRedialDelay} {
		backoff.began(start)
		remaining, isDue := backoff.due(start)
		assert.False(t, isDue)
		assert.GreaterOrEqual(t, remaining, mean/2)
		assert.Less(t, remaining, mean+mean/2)
	}
	backoff.reset()
	_, isDue := backoff.due(start)
	assert.True(t, isDue)
}

// While connects are refused, which costs the machines nothing, an agent dials at the short interval.
func TestRefusedConnectsDoNotBackOff(t *testing.T) {
	start := time.Now()
	backoff := &redialBackoff{}
	for range 20 {
		backoff.began(start)
		backoff.allowSoon(start)
		remaining, _ := backoff.due(start)
		assert.LessOrEqual(t, remaining, 3*minRedialDelay/2)
	}
}
