package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// dialedTo gives an agent a session that it began with a hub.
func (s *still) dialedTo(peer string) (x *session, ended *bool) {
	x = s.meet(peer, peer+"/1", true)
	x.dialed, x.begun = true, s.now()
	ended = new(bool)
	x.cancel = func() { *ended = true }
	return x, ended
}

// poll has the agent look for hubs at its pace until it wants one, for at most so long; before each
// look its peers talk.
func (s *still) poll(d time.Duration, talk func()) (after time.Duration, wanted []string) {
	begin := s.now()
	for turn := 0; s.now()-begin < d; turn++ {
		s.skip(redial)
		if talk != nil {
			talk()
		}
		if wanted = s.wanted(turn); len(wanted) > 0 {
			return s.now() - begin, wanted
		}
	}
	return 0, nil
}

// watch has the agent look for hubs at its pace for that long.
func (s *still) watch(d time.Duration, talk func()) {
	for end := s.now() + d; s.now() < end; {
		s.poll(min(redial, end-s.now()), talk)
	}
}

// An agent tries another hub 400 ms after its own was last linked, and not before.
func TestAnAgentLeavesAnUnlinkedHubInTime(t *testing.T) {
	s := newStill("a", false, Peer{"h0", "near"}, Peer{"h1", "near"}, Peer{"h2", "near"})
	x, ended := s.dialedTo("h0")
	s.says(x, &message{Core: true, Linked: true, Full: true})
	_, wanted := s.poll(time.Minute, func() { s.says(x, &message{Core: true, Linked: true, Full: true}) })
	require.Empty(t, wanted)
	after, wanted := s.poll(time.Minute, func() { s.says(x, &message{Core: true, Full: true}) })
	require.NotEmpty(t, wanted)
	assert.NotContains(t, wanted, "h0")
	assert.GreaterOrEqual(t, after, unlinkedFor)
	assert.LessOrEqual(t, after, unlinkedFor+redial)
	require.False(t, *ended, "it is kept until there is a better one")
	y, _ := s.dialedTo("h1")
	s.says(y, &message{Core: true, Linked: true, Full: true})
	s.wanted(0)
	assert.True(t, *ended)
}

// An agent whose hub is of another zone tries those of its own again and again, and changes over only
// when one has given it everything.
func TestAnAgentReturnsToAHubOfItsZone(t *testing.T) {
	s := newStill("a", false, Peer{"far-0", "far"}, Peer{"near-0", "near"}, Peer{"far-1", "far"}, Peer{"near-1", "near"})
	far, farEnded := s.dialedTo("far-0")
	linked := func() { s.says(far, &message{Core: true, Linked: true, Full: true}) }
	linked()
	for range 5 { // the hubs of its zone are away
		after, wanted := s.poll(time.Minute, linked)
		assert.ElementsMatch(t, []string{"near-0", "near-1"}, wanted)
		assert.GreaterOrEqual(t, after, returnAfter-redial)
		assert.LessOrEqual(t, after, returnAfter+returnJitter+2*redial)
	}
	// One is there, and is not linked.
	cold, coldEnded := s.dialedTo("near-0")
	s.watch(helloWithin+redial, func() { linked(); s.says(cold, &message{Core: true}) })
	require.True(t, *coldEnded)
	delete(s.sessions, cold)
	// One is linked, and does not come to an end with what it has to say.
	slow, slowEnded := s.dialedTo("near-0")
	still := func() { linked(); s.says(slow, &message{Core: true, Linked: true}) }
	s.watch(trialFor-2*redial, still)
	require.False(t, *slowEnded)
	s.watch(3*redial, still)
	require.True(t, *slowEnded)
	delete(s.sessions, slow)
	require.False(t, *farEnded)
	// One is well.
	near, nearEnded := s.dialedTo("near-1")
	s.says(near, &message{Core: true, Linked: true, Hello: &hello{}})
	s.wanted(0)
	require.False(t, *farEnded, "the new one has not told all")
	require.False(t, *nearEnded)
	s.says(near, &message{Core: true, Linked: true, Full: true})
	s.wanted(0)
	require.True(t, *farEnded)
	require.False(t, *nearEnded)
	delete(s.sessions, far)
	_, wanted := s.poll(time.Minute, func() { s.says(near, &message{Core: true, Linked: true, Full: true}) })
	assert.Empty(t, wanted, "it is where it belongs")
}

// Agents without a hub in their zone stay where they are.
func TestAnAgentWithoutAHubInItsZoneStays(t *testing.T) {
	s := newStill("a", false, Peer{"h0", "far"}, Peer{"h1", "farther"})
	x, ended := s.dialedTo("h0")
	_, wanted := s.poll(time.Minute, func() { s.says(x, &message{Core: true, Linked: true, Full: true}) })
	assert.Empty(t, wanted)
	assert.False(t, *ended)
}

// Of 300 agents that lost the hub of their zone at once, a few return at a time.
func TestAgentsReturnSpreadOverTime(t *testing.T) {
	const agents, slot = 300, 500 * time.Millisecond
	returns := map[time.Duration]int{}
	for i := range agents {
		s := newStill(fmt.Sprint("a", i), false, Peer{"far", "far"}, Peer{"near", "near"})
		x, _ := s.dialedTo("far")
		after, wanted := s.poll(time.Minute, func() { s.says(x, &message{Core: true, Linked: true, Full: true}) })
		require.Equal(t, []string{"near"}, wanted)
		returns[after/slot]++
	}
	for at, n := range returns {
		assert.Less(t, n, agents/3, "at %v", at*slot)
	}
}

// An agent returns to its zone's hub between real hubs, and misses nothing.
func TestAnAgentReturnsOnceItsHubIsBack(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 1)
	a, own := l.agents[0], l.hubs[0]
	require.Equal(t, own.Zone, a.Zone)
	returned := func(a *agent) bool { return l.hubOf(a) == own && len(a.sessions()) == 1 }
	l.eventually("has its zone's hub", returned, a)
	own.stop()
	l.eventually("has another hub", func(a *agent) bool { h := l.hubOf(a); return h != nil && h != own }, a)
	l.hubs[1].hub.Commit(1, document(1))
	l.eventually("in force", hasConfig(1))
	own.start()
	own.hub.Newest()
	a.beats("s")
	l.eventually("is back", returned, a)
	l.hubs[2].hub.Commit(2, document(2))
	l.eventually("in force", hasConfig(2))
	l.eventually("listed", lists("s"))
	require.True(t, a.call(drains("s", 1000)))
	l.settled(4)
}
