package relay

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// slowLink is the bytes a second of a slow link, longConfig the bytes of a configuration that
	// takes over two seconds on it.
	slowLink   = 640 << 10
	longConfig = 1600 << 10
)

// longDocument is a configuration of a revision with so many bytes.
func longDocument(revision, size int) []byte {
	doc := document(revision)
	return append(doc, bytes.Repeat([]byte(" "), size-len(doc))...)
}

// slowTo makes the links between an agent and others slow.
func (a *agent) slowTo(others ...*agent) {
	for _, b := range others {
		a.slow(a.Addr, b.Addr, slowLink)
		a.slow(b.Addr, a.Addr, slowLink)
	}
}

// A message that takes longer than a silent peer is given arrives on the session that it was begun
// on, and the other direction goes on meanwhile.
func TestALongMessageOverASlowLink(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 1)
	a := l.agents[0]
	a.slowTo(l.hubs...)
	a.hub.mu.Lock()
	before := map[*session]bool{}
	for s := range a.hub.sessions {
		before[s] = true
	}
	a.hub.mu.Unlock()
	require.Len(t, before, 1)
	l.hubs[0].hub.Commit(1, longDocument(1, longConfig))
	l.eventually("in force at all hubs", hasConfig(1), l.hubs...)
	a.beats("s")
	l.eventually("news of the agent reach all hubs", lists("s"), l.hubs...)
	require.False(t, hasConfig(1)(a), "the configuration is still on its way")
	l.eventually("in force", hasConfig(1), a)
	a.hub.mu.Lock()
	defer a.hub.mu.Unlock()
	for s := range a.hub.sessions {
		assert.True(t, before[s], "the session was not begun again")
	}
}

// A process that knows nothing is given everything over a slow link: the hello comes in its time,
// the rest when it does.
func TestANewcomerOverASlowLink(t *testing.T) {
	t.Parallel()
	l := newLab(t, 3, 1)
	l.hubs[2].slowTo(l.hubs...)
	l.agents[0].slowTo(l.hubs...)
	for _, h := range l.hubs[:2] {
		h.start()
		h.hub.Newest()
	}
	l.hubs[0].hub.Commit(1, longDocument(1, longConfig))
	l.eventually("fresh", func(h *agent) bool { return h.snap.Load().Fresh && hasConfig(1)(h) }, l.hubs[:2]...)
	for _, late := range []*agent{l.agents[0], l.hubs[2]} {
		late.start()
		l.eventually("has all", func(a *agent) bool { s := a.snap.Load(); return s != nil && s.Fresh && s.Seq == 1 }, late)
	}
	l.settled(4)
}

// A session lasts while bytes come, and no longer than one message may take: a peer that trickles
// for ever is given up.
func TestProgressIsLifeForALimitedTime(t *testing.T) {
	for name, c := range map[string]struct {
		perTick uint64 // bytes that come between two ticks
		ends    time.Duration
	}{
		"a silent peer":           {0, silence},
		"a peer that trickles":    {1, messageWithin},
		"a message of many parts": {100 << 10, messageWithin},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStill("a", false, Peer{Addr: "addr of h"})
			x := s.meet("addr of h", "h/1", true)
			var received uint64
			x.received = func() uint64 { return received }
			begin, ended := s.now(), time.Duration(0)
			x.cancel = func() {
				if ended == 0 {
					ended = s.now() - begin
				}
			}
			s.run(c.ends-tickEvery, func() { received += c.perTick })
			require.Zero(t, ended, "it has its time")
			s.run(3*tickEvery, func() { received += c.perTick })
			assert.Greater(t, ended, c.ends)
		})
	}
	// A whole message begins the time anew.
	s := newStill("a", false, Peer{Addr: "addr of h"})
	x := s.meet("addr of h", "h/1", true)
	x.cancel = func() { assert.Fail(t, "given up") }
	s.run(2*messageWithin, s.hears(x))
}

// A hello tells nothing of whether its sender has had all: the deltas come after it.
func TestAHelloDoesNotTellWhoKnowsAll(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	h.Newest()
	x := h.meet("addr of o", "o/1", true)
	h.says(x, &message{Hello: &hello{Source: "o/1", Addr: "addr of o"}, Core: true, Linked: true})
	h.run(2*tickEvery, nil)
	require.False(t, h.last.Fresh, "the other may know more")
	h.says(x, &message{Core: true, Linked: true, Full: true})
	h.tick()
	assert.True(t, h.last.Fresh)
}
