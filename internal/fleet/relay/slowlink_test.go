package relay

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// slowLinkBytesPerSecond is the rate of a slow link, longConfigBytes the size of a configuration that
	// takes over two seconds on it.
	slowLinkBytesPerSecond = 640 << 10
	longConfigBytes        = 1600 << 10
)

// paddedDocument returns a configuration with a revision and a size in bytes.
func paddedDocument(revision, size int) []byte {
	doc := documentOf(revision)
	return append(doc, bytes.Repeat([]byte(" "), size-len(doc))...)
}

// slowLinksTo makes the links between an agent and others slow.
func (a *testAgent) slowLinksTo(others ...*testAgent) {
	for _, b := range others {
		a.setRate(a.Addr, b.Addr, slowLinkBytesPerSecond)
		a.setRate(b.Addr, a.Addr, slowLinkBytesPerSecond)
	}
}

// A message that takes longer than sessionTimeout arrives on the session that it was begun on, and the
// other direction continues meanwhile.
func TestLongMessageOverSlowLink(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 1)
	a := l.edgeAgents[0]
	a.slowLinksTo(l.coreMembers...)
	a.node.mu.Lock()
	before := map[*session]bool{}
	for s := range a.node.sessions {
		before[s] = true
	}
	a.node.mu.Unlock()
	require.Len(t, before, 1)
	l.coreMembers[0].node.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	l.eventually("in force at all relays", hasConfig(1), l.coreMembers...)
	a.startHeartbeats("s")
	l.eventually("changes of the agent reach all relays", listsServer("s"), l.coreMembers...)
	require.False(t, hasConfig(1)(a), "the configuration is still on its way")
	l.eventually("in force", hasConfig(1), a)
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	for s := range a.node.sessions {
		assert.True(t, before[s], "the session was not restarted")
	}
}

// A new process receives everything over a slow link: the hello within helloTimeout, the rest later.
func TestInitialSyncOverSlowLink(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 1)
	l.coreMembers[2].slowLinksTo(l.coreMembers...)
	l.edgeAgents[0].slowLinksTo(l.coreMembers...)
	for _, h := range l.coreMembers[:2] {
		h.start()
		h.node.MarkConfigCurrent()
	}
	l.coreMembers[0].node.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	l.eventually("synced", func(h *testAgent) bool { return h.snapshot.Load().Synced && hasConfig(1)(h) }, l.coreMembers[:2]...)
	for _, late := range []*testAgent{l.edgeAgents[0], l.coreMembers[2]} {
		late.start()
		l.eventually("is synced", func(a *testAgent) bool { s := a.snapshot.Load(); return s != nil && s.Synced && s.ConfigSeq == 1 }, late)
	}
	l.awaitSynced(4)
}

// A session lasts while bytes come, but one message may not take longer than messageTimeout.
func TestProgressExtendsSessionUpToMessageTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		perTick uint64 // bytes that come between two ticks
		ends    time.Duration
	}{
		"a silent peer":        {0, sessionTimeout},
		"a peer that trickles": {1, messageTimeout},
		"a long message":       {100 << 10, messageTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			s := newManualNode("a", false, Peer{Addr: "addr of h"})
			x := s.connect("addr of h", "h/1", true)
			var received uint64
			x.bytesReceived = func() uint64 { return received }
			begin, ended := s.now(), time.Duration(0)
			x.cancel = func() {
				if ended == 0 {
					ended = s.now() - begin
				}
			}
			s.runFor(c.ends-tickInterval, func() { received += c.perTick })
			require.Zero(t, ended, "it is given its time")
			s.runFor(3*tickInterval, func() { received += c.perTick })
			assert.Greater(t, ended, c.ends)
		})
	}
	// A complete message restarts the time-out.
	s := newManualNode("a", false, Peer{Addr: "addr of h"})
	x := s.connect("addr of h", "h/1", true)
	x.cancel = func() { assert.Fail(t, "closed") }
	s.runFor(2*messageTimeout, s.heartbeatFrom(x))
}

// A hello does not say whether its sender is complete: the deltas come after it.
func TestHelloDoesNotReportCompleteness(t *testing.T) {
	h := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	h.MarkConfigCurrent()
	x := h.connect("addr of o", "o/1", true)
	h.deliver(x, &message{Hello: &hello{Source: "o/1", Addr: "addr of o"}, IsCore: true, HasQuorum: true})
	h.runFor(2*tickInterval, nil)
	require.False(t, h.snapshot.Synced, "the other may have more")
	h.deliver(x, &message{IsCore: true, HasQuorum: true, Complete: true})
	h.tick()
	assert.True(t, h.snapshot.Synced)
}
