package relay

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// openSession opens a session with an agent as a faulty peer may.
func (a *testAgent) openSession() *rpc.Stream[message, message] {
	st, hangUp, err := rpc.OpenStream[message, message](timeoutContext(a.t, testTimeout), *a.backendAddr.Load(), "feed.session")
	require.NoError(a.t, err)
	a.t.Cleanup(hangUp)
	return st
}

// isRefused reports whether the other side ends a session without a message.
func isRefused(st *rpc.Stream[message, message]) bool {
	_, err := st.Recv()
	return err != nil
}

// A session must begin with a valid hello.
func TestInvalidHelloIsRejected(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 1, 1)
	h := l.coreMembers[0]
	huge := deltasync.Vector{}
	for i := range maxVectorEntries + 1 {
		huge[string(rune('a'+i%26))+strings.Repeat("x", i/26)] = 1
	}
	long := strings.Repeat("x", maxNameBytes+1)
	for name, m := range map[string]*message{
		"no hello":               {},
		"no source":              {Hello: &hello{Addr: "x:1"}},
		"no address":             {Hello: &hello{Source: "x/1"}},
		"a huge source":          {Hello: &hello{Source: long, Addr: "x:1"}},
		"a huge address":         {Hello: &hello{Source: "x/1", Addr: long}},
		"the configuration":      {Hello: &hello{Source: configSource, Addr: "x:1"}},
		"the relay's own source": {Hello: &hello{Source: h.node.Report().Source, Addr: "x:1"}},
		"a huge vector":          {Hello: &hello{Source: "x/1", Addr: "x:1", Vector: huge}},
	} {
		st := h.openSession()
		require.NoError(t, st.Send(m), name)
		assert.True(t, isRefused(st), name)
		if m.Hello != nil {
			assert.NotContains(t, h.sessionPeers(), m.Hello.Addr, name)
		}
	}
	// A peer that sends nothing is given up, and so is one that sends something else.
	begin := time.Now()
	assert.True(t, isRefused(h.openSession()))
	assert.Less(t, time.Since(begin), testTimeout/2)
	wrong, hangUp, err := rpc.OpenStream[[]string, message](timeoutContext(t, testTimeout), *h.backendAddr.Load(), "feed.session")
	require.NoError(t, err)
	defer hangUp()
	require.NoError(t, wrong.Send(&[]string{"what"}))
	_, err = wrong.Recv()
	require.Error(t, err)
	h.node.ApplyConfig(1, documentOf(1))
	l.eventually("all continue", hasConfig(1))
	l.awaitSynced(2)
}

// A faulty peer may have a session, and its messages change nothing for others.
func TestFaultyPeerChangesNothing(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 1, 1)
	h := l.coreMembers[0]
	h.node.ApplyConfig(5, documentOf(5))
	l.eventually("in force", hasConfig(5))
	before := map[string]string{}
	for _, a := range l.all() {
		before[a.Name] = a.node.Report().Source
	}
	st := h.openSession()
	vector := deltasync.Vector{configSource: 1 << 60, before["hub-0"]: 1 << 60, "": 7, "y/1": 3}
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "x/1", Addr: "x:1", IsCore: true, Vector: vector}, HasQuorum: true, Complete: true}))
	_, err := st.Recv()
	require.NoError(t, err)
	one := []byte{1}
	items := func(from uint64, keys ...string) (out []deltasync.Item) {
		for i, k := range keys {
			out = append(out, deltasync.Item{Key: k, Version: from + uint64(i) + 1, Data: one})
		}
		return out
	}
	for _, m := range []*message{
		{IsCore: true, HasQuorum: true, Complete: true, ReceivedVersion: 1 << 60},
		{Redirect: make([]Peer, 10000)},
		{Hello: &hello{Source: before["agent-0"]}},
		{Deltas: []deltasync.Delta{{Source: before["hub-0"], To: 100, Items: items(99, memberKey)}}},
		{Deltas: []deltasync.Delta{{Source: configSource, From: 0, To: 1 << 50}}},
		{Deltas: []deltasync.Delta{{Source: configSource, From: 9, To: 12, Items: items(11, configKey)}}},
		{Deltas: []deltasync.Delta{{Source: before["agent-0"], From: 0, To: 1 << 50}}},
		{Deltas: []deltasync.Delta{{Source: before["agent-0"], From: 1 << 40, To: 1 << 50, Items: items(1<<50-1, memberKey)}}},
		{Deltas: []deltasync.Delta{{Source: "y/1", From: 0, To: 2, Items: items(0, "", serverPrefix)}}},
		{Deltas: []deltasync.Delta{{Source: "", From: 0, To: 1, Items: items(0, memberKey)}}},
		{Deltas: []deltasync.Delta{{Source: "y/1", From: 0, To: 1, Items: items(0, strings.Repeat("k", 1<<16))}}},
		{Deltas: []deltasync.Delta{{Source: "x/1", From: 0, To: 4, Items: items(0, endPrefix, endPrefix+configSource, leasePrefix, leasePrefix+configSource)}}},
		{Notices: []notice{{AgeMs: -1}, {Hops: -1}, {Hops: 1 << 60}, {PromptTokens: -1}, {Instance: strings.Repeat("x", 1<<16)}, {AgeMs: 1 << 62}}},
	} {
		require.NoError(t, st.Send(m))
	}
	h.node.ApplyConfig(6, documentOf(6))
	l.eventually("all continue", hasConfig(6))
	h.startHeartbeats("s")
	l.eventually("all continue", listsServer("s"))
	for _, a := range l.all() {
		r := a.node.Report()
		assert.Equal(t, before[a.Name], r.Source)
		assert.Equal(t, int64(6), r.Revision)
	}
	st.Close()
	l.eventually("it is dropped", hasMembers(2))
}

// A relay serves a bounded number of sessions.
func TestSessionsAreBounded(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 1, 1)
	h := l.coreMembers[0]
	h.node.mu.Lock()
	var filling []*session
	for len(h.node.sessions) < maxSessions {
		x := newSession(h.node.now()+time.Hour, &hello{Source: "x/1"}, "", func() uint64 { return 0 }, func() {})
		h.node.sessions[x] = true
		filling = append(filling, x)
	}
	h.node.mu.Unlock()
	st := h.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	require.True(t, isRefused(st))
	h.node.mu.Lock()
	assert.Len(t, h.node.sessions, maxSessions)
	delete(h.node.sessions, filling[0])
	h.node.mu.Unlock()
	st = h.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	_, err := st.Recv()
	assert.NoError(t, err, "there is capacity again")
	h.node.mu.Lock()
	for _, x := range filling {
		delete(h.node.sessions, x)
	}
	h.node.mu.Unlock()
}

// An agent that is no relay answers a hello by a redirect, and its callers follow it.
func TestRedirect(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 2, 2)
	st := l.edgeAgents[0].openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	m, err := st.Recv()
	require.NoError(t, err)
	assert.Nil(t, m.Hello)
	assert.ElementsMatch(t, l.coreMembers[0].Members(), m.Redirect)
	// An agent that knows only a seed, which is no relay, finds the relays by it.
	a := l.edgeAgents[1]
	a.stop()
	seed := l.edgeAgents[0]
	none := []Peer{}
	a.fakeCore.hubs.Store(&none)
	a.seeds = func() []string { return []string{seed.Addr} }
	a.start()
	l.eventually("synced", func(a *testAgent) bool { return a.snapshot.Load() != nil && a.snapshot.Load().Synced }, a)
	l.eventually("one session with a relay", func(a *testAgent) bool { return l.relayOf(a) != nil && len(a.sessionPeers()) == 1 }, a)
	// Without a view an agent names the core members by their member entries.
	seed.fakeCore.hubs.Store(&none)
	st = seed.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	m, err = st.Recv()
	require.NoError(t, err)
	assert.ElementsMatch(t, l.coreMembers[0].Members(), m.Redirect)
}

// A peer that does not read delays nobody else, and its session ends.
func TestPeerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 2, 1)
	h := l.coreMembers[0]
	st := h.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "deaf/1", Addr: "deaf:1"}}))
	l.eventually("has a session", func(h *testAgent) bool {
		for _, p := range h.sessionPeers() {
			if p == "deaf:1" {
				return true
			}
		}
		return false
	}, h)
	// More than the kernel buffers.
	for seq := range uint64(3) {
		raw := append(documentOf(int(seq)+1), strings.Repeat(" ", 4<<20)...)
		h.node.ApplyConfig(seq+1, raw)
	}
	begin := time.Now()
	l.eventually("all others continue", hasConfig(3))
	require.True(t, h.heartbeat(server("s", 1)))
	l.eventually("all others continue", listsServer("s"))
	l.eventually("its session is closed", func(h *testAgent) bool {
		for _, p := range h.sessionPeers() {
			if p == "deaf:1" {
				return false
			}
		}
		return true
	}, h)
	t.Log("after", time.Since(begin))
}

// A relay that accepts and sends nothing, or noise, delays its agent only briefly.
func TestUnresponsiveRelay(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 1, 1)
	a := l.edgeAgents[0]
	a.stop()
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	serve := func(say string) Peer {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		wg.Go(func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				wg.Go(func() {
					defer c.Close()
					_, _ = io.WriteString(c, say)
					_, _ = io.Copy(io.Discard, c)
				})
			}
		})
		t.Cleanup(func() { ln.Close() })
		return Peer{ln.Addr().String(), a.Zone}
	}
	hubs := []Peer{serve(""), serve("HTTP/1.1 400 Bad Request\r\n\r\n"), serve("\x00\x01\x02\xff\xff\xff\xff\xff"), l.coreMembers[0].Members()[0]}
	a.fakeCore.hubs.Store(&hubs)
	a.start()
	l.eventually("synced", func(a *testAgent) bool { return a.snapshot.Load() != nil && a.snapshot.Load().Synced }, a)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.True(t, a.node.Heartbeat(ctx, drainingServer("s", 1)))
	a.stop() // before the listeners that it dials
}
