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

// openSession opens a stream for a session with the agent, on which a test may send any messages.
func (a *testAgent) openSession() *rpc.Stream[message, message] {
	st, hangUp, err := rpc.OpenStream[message, message](timeoutContext(a.t, testTimeout), *a.backendAddr.Load(), "feed.session")
	require.NoError(a.t, err)
	a.t.Cleanup(hangUp)
	return st
}

// isRefused reports whether the next receive fails, as the other side has ended the session.
func isRefused(st *rpc.Stream[message, message]) bool {
	_, err := st.Recv()
	return err != nil
}

// A session must begin with a valid hello.
func TestInvalidHelloIsRejected(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 1, 1)
	relay := cluster.coreMembers[0]
	hugeVector := deltasync.Vector{}
	for i := range maxVectorEntries + 1 {
		hugeVector[string(rune('a'+i%26))+strings.Repeat("x", i/26)] = 1
	}
	longText := strings.Repeat("x", maxNameBytes+1)
	for name, m := range map[string]*message{
		"no hello":               {},
		"no source":              {Hello: &hello{Addr: "x:1"}},
		"no address":             {Hello: &hello{Source: "x/1"}},
		"a huge source":          {Hello: &hello{Source: longText, Addr: "x:1"}},
		"a huge address":         {Hello: &hello{Source: "x/1", Addr: longText}},
		"the configuration":      {Hello: &hello{Source: configSource, Addr: "x:1"}},
		"the relay's own source": {Hello: &hello{Source: relay.node.Report().Source, Addr: "x:1"}},
		"a huge vector":          {Hello: &hello{Source: "x/1", Addr: "x:1", Vector: hugeVector}},
	} {
		st := relay.openSession()
		require.NoError(t, st.Send(m), name)
		assert.True(t, isRefused(st), name)
		if m.Hello != nil {
			assert.NotContains(t, relay.sessionPeers(), m.Hello.Addr, name)
		}
	}
	// The session with a peer that sends nothing is closed, as is one with a peer that sends no valid message.
	start := time.Now()
	assert.True(t, isRefused(relay.openSession()))
	assert.Less(t, time.Since(start), testTimeout/2)
	otherStream, hangUp, err := rpc.OpenStream[[]string, message](timeoutContext(t, testTimeout), *relay.backendAddr.Load(), "feed.session")
	require.NoError(t, err)
	defer hangUp()
	require.NoError(t, otherStream.Send(&[]string{"what"}))
	_, err = otherStream.Recv()
	require.Error(t, err)
	relay.node.ApplyConfig(1, documentOf(1))
	cluster.eventually("continues to receive changes", hasConfig(1))
	cluster.awaitSynced(2)
}

// Invalid messages on an established session change nothing for other agents.
func TestFaultyPeerChangesNothing(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 1, 1)
	relay := cluster.coreMembers[0]
	relay.node.ApplyConfig(5, documentOf(5))
	cluster.eventually("has the configuration", hasConfig(5))
	sourcesBefore := map[string]string{}
	for _, agent := range cluster.all() {
		sourcesBefore[agent.Name] = agent.node.Report().Source
	}
	st := relay.openSession()
	vector := deltasync.Vector{configSource: 1 << 60, sourcesBefore["relay-0"]: 1 << 60, "": 7, "y/1": 3}
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
		{Hello: &hello{Source: sourcesBefore["agent-0"]}},
		{Deltas: []deltasync.Delta{{Source: sourcesBefore["relay-0"], To: 100, Items: items(99, memberKey)}}},
		{Deltas: []deltasync.Delta{{Source: configSource, From: 0, To: 1 << 50}}},
		{Deltas: []deltasync.Delta{{Source: configSource, From: 9, To: 12, Items: items(11, configKey)}}},
		{Deltas: []deltasync.Delta{{Source: sourcesBefore["agent-0"], From: 0, To: 1 << 50}}},
		{Deltas: []deltasync.Delta{{Source: sourcesBefore["agent-0"], From: 1 << 40, To: 1 << 50, Items: items(1<<50-1, memberKey)}}},
		{Deltas: []deltasync.Delta{{Source: "y/1", From: 0, To: 2, Items: items(0, "", serverPrefix)}}},
		{Deltas: []deltasync.Delta{{Source: "", From: 0, To: 1, Items: items(0, memberKey)}}},
		{Deltas: []deltasync.Delta{{Source: "y/1", From: 0, To: 1, Items: items(0, strings.Repeat("k", 1<<16))}}},
		{Deltas: []deltasync.Delta{{Source: "x/1", From: 0, To: 4, Items: items(0, endPrefix, endPrefix+configSource, leasePrefix, leasePrefix+configSource)}}},
		{Notices: []notice{{AgeMs: -1}, {Hops: -1}, {Hops: 1 << 60}, {PromptTokens: -1}, {Instance: strings.Repeat("x", 1<<16)}, {AgeMs: 1 << 62}}},
	} {
		require.NoError(t, st.Send(m))
	}
	relay.node.ApplyConfig(6, documentOf(6))
	cluster.eventually("continues to receive changes", hasConfig(6))
	relay.startHeartbeats("s")
	cluster.eventually("continues to receive changes", listsServer("s"))
	for _, agent := range cluster.all() {
		report := agent.node.Report()
		assert.Equal(t, sourcesBefore[agent.Name], report.Source)
		assert.Equal(t, int64(6), report.Revision)
	}
	st.Close()
	cluster.eventually("has dropped the faulty peer", hasMembers(2))
}

// A relay serves a bounded number of sessions.
func TestSessionsAreBounded(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 1, 1)
	relay := cluster.coreMembers[0]
	relay.node.mu.Lock()
	var filling []*session
	for len(relay.node.sessions) < relay.node.admission.maxSessions {
		peer := newSession(relay.node.now()+time.Hour, &hello{Source: "x/1"}, "", func() uint64 { return 0 }, func() {})
		relay.node.sessions[peer] = true
		filling = append(filling, peer)
	}
	relay.node.mu.Unlock()
	st := relay.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	require.True(t, isRefused(st))
	relay.node.mu.Lock()
	assert.Len(t, relay.node.sessions, relay.node.admission.maxSessions)
	delete(relay.node.sessions, filling[0])
	relay.node.mu.Unlock()
	st = relay.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	_, err := st.Recv()
	assert.NoError(t, err, "a session has ended, so there is capacity again")
	relay.node.mu.Lock()
	for _, peer := range filling {
		delete(relay.node.sessions, peer)
	}
	relay.node.mu.Unlock()
}

// An agent that is not a relay answers a hello with a redirect, which its callers follow.
func TestRedirect(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 2)
	st := cluster.edgeAgents[0].openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	m, err := st.Recv()
	require.NoError(t, err)
	assert.Nil(t, m.Hello)
	assert.ElementsMatch(t, cluster.coreMembers[0].Members(), m.Redirect)
	// An agent that knows only a seed finds the relays through it, even if the seed is not a relay.
	agent := cluster.edgeAgents[1]
	agent.stop()
	seed := cluster.edgeAgents[0]
	none := []Peer{}
	agent.fakeCore.members.Store(&none)
	agent.seeds = func() []string { return []string{seed.Addr} }
	agent.start()
	cluster.eventually("is synced", func(agent *testAgent) bool { return agent.snapshot.Load() != nil && agent.snapshot.Load().Synced }, agent)
	cluster.eventually("has one session, with a relay", func(agent *testAgent) bool { return cluster.relayOf(agent) != nil && len(agent.sessionPeers()) == 1 }, agent)
	// An agent without a view redirects to the agents whose member entries say that they are core members.
	seed.fakeCore.members.Store(&none)
	st = seed.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	m, err = st.Recv()
	require.NoError(t, err)
	assert.ElementsMatch(t, cluster.coreMembers[0].Members(), m.Redirect)
}

// A peer that does not read delays no other agent, and its session is closed.
func TestPeerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	relay := cluster.coreMembers[0]
	st := relay.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "unread/1", Addr: "unread:1"}}))
	cluster.eventually("has a session", hasSessionWith("unread:1"), relay)
	// This is more than the kernel buffers.
	for seq := range uint64(3) {
		raw := append(documentOf(int(seq)+1), strings.Repeat(" ", 4<<20)...)
		relay.node.ApplyConfig(seq+1, raw)
	}
	start := time.Now()
	cluster.eventually("continues to receive changes", hasConfig(3))
	require.True(t, relay.heartbeat(server("s", 1)))
	cluster.eventually("continues to receive changes", listsServer("s"))
	cluster.eventually("has closed the session", not(hasSessionWith("unread:1")), relay)
	t.Log("closed after", time.Since(start))
}

// A relay that accepts connections but sends nothing, or sends garbage, delays its agent only briefly.
func TestUnresponsiveRelay(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 1, 1)
	agent := cluster.edgeAgents[0]
	agent.stop()
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	serve := func(greeting string) Peer {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		wg.Go(func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				wg.Go(func() {
					defer conn.Close()
					_, _ = io.WriteString(conn, greeting)
					_, _ = io.Copy(io.Discard, conn)
				})
			}
		})
		t.Cleanup(func() { ln.Close() })
		return Peer{ln.Addr().String(), agent.Zone}
	}
	relays := []Peer{serve(""), serve("HTTP/1.1 400 Bad Request\r\n\r\n"), serve("\x00\x01\x02\xff\xff\xff\xff\xff"), cluster.coreMembers[0].Members()[0]}
	agent.fakeCore.members.Store(&relays)
	agent.start()
	cluster.eventually("is synced", func(agent *testAgent) bool { return agent.snapshot.Load() != nil && agent.snapshot.Load().Synced }, agent)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.True(t, agent.node.Heartbeat(ctx, drainingServer("s", 1)))
	agent.stop() // before the listeners that it dials are closed
}
