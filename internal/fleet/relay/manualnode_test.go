package relay

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// testClock is the clock of a node, which a test may advance while the node runs.
type testClock struct {
	advanced atomic.Int64 // in nanoseconds
}

// currentTime returns the time of the clock, for Options.Now.
func (c *testClock) currentTime() time.Time { return time.Now().Add(time.Duration(c.advanced.Load())) }

// advanceClock advances the clock.
func (c *testClock) advanceClock(d time.Duration) { c.advanced.Add(int64(d)) }

// manualNode is a node without goroutines of its own: the test calls tick and advances the node's clock.
type manualNode struct {
	*Node
	testClock
	core     *fakeCore
	snapshot *Snapshot
}

func newManualNode(name string, core bool, peers ...Peer) *manualNode {
	node := &manualNode{core: newFakeCore(core, core, peers...)}
	node.Node = New(Options{Self: Member{Name: name, Addr: "addr of " + name, Zone: "near"}, HeartbeatInterval: 500 * time.Millisecond, Core: node.core,
		SeedAddrs: func() []string { return []string{"seed-0", "seed-1", "seed-2"} }, OnChange: func(n *Snapshot) { node.snapshot = n }, Now: node.testClock.currentTime})
	return node
}

// runFor advances the clock by a duration, with a tick at each tickInterval. It calls each, unless nil, before
// every tick.
func (n *manualNode) runFor(d time.Duration, each func()) {
	for end := n.now() + d; n.now() < end; {
		n.advanceClock(tickInterval)
		if each != nil {
			each()
		}
		n.tick()
	}
}

// connect adds a session with a peer that sends only what the test delivers. The session is a minute old.
func (n *manualNode) connect(peerAddr, source string, core bool) *session {
	peer := newSession(n.now(), &hello{Source: source, IsCore: core}, peerAddr, func() uint64 { return 0 }, func() {})
	peer.startTime = n.now() - time.Minute
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[peer] = true
	return peer
}

// deliver encodes and decodes a message and lets the node handle it as received on a session.
func (n *manualNode) deliver(peer *session, m *message) {
	raw, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	decoded := new(message)
	if err := msgpack.Unmarshal(raw, decoded); err != nil {
		panic(err)
	}
	n.handleMessage(peer, decoded)
}

func (n *manualNode) heartbeatFrom(peer *session) func() {
	return func() { n.deliver(peer, &message{IsCore: peer.peerIsCore, HasQuorum: peer.peerIsCore}) }
}

// syncFrom applies everything that another node has and this one lacks.
func (n *manualNode) syncFrom(from *manualNode) {
	from.mu.Lock()
	n.mu.Lock()
	deltas := from.items.DeltasSince(n.items.Vector())
	n.mu.Unlock()
	from.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDeltasLocked(deltas)
}

func (n *manualNode) source() string { return n.items.OwnSource() }

// publishedEndSources returns the sources that the node announces as ended.
func (n *manualNode) publishedEndSources() (out []string) {
	for key, data := range n.itemsOf(n.source()) {
		if strings.HasPrefix(key, endPrefix) && data != nil {
			out = append(out, key[len(endPrefix):])
		}
	}
	return out
}

// itemsOf returns the data of all items of a source.
func (n *manualNode) itemsOf(source string) map[string][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string][]byte{}
	for _, d := range n.items.DeltasSince(nil) {
		if d.Source == source {
			for _, it := range d.Items {
				out[it.Key] = it.Data
			}
		}
	}
	return out
}

// initialDelta returns the first delta of a source. Its arguments are alternately keys and data; data that is not
// a byte slice is encoded.
func initialDelta(source string, keysAndData ...any) deltasync.Delta {
	delta := deltasync.Delta{Source: source}
	for i := 0; i < len(keysAndData); i += 2 {
		delta.To++
		data, ok := keysAndData[i+1].([]byte)
		if !ok {
			data = encode(keysAndData[i+1])
		}
		delta.Items = append(delta.Items, deltasync.Item{Key: keysAndData[i].(string), Version: delta.To, Data: data})
	}
	return delta
}

// leaseDelta returns a delta of a source after version from. It grants a lease or, with nil data, releases it.
func leaseDelta(source string, from uint64, agent string, data []byte) deltasync.Delta {
	return deltasync.Delta{Source: source, From: from, To: from + 1, Items: []deltasync.Item{{Key: leasePrefix + agent, Version: from + 1, Data: data}}}
}
