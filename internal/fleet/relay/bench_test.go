package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

func benchInstance(i int) *registry.Instance {
	return &registry.Instance{ID: fmt.Sprintf("i-%08x", i), Service: sampling.Service(i % 6), Addr: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250),
		Zone: "zone-a", Revision: "v1", Slots: 64, Seq: 1, Models: []registry.Model{{Name: "model-a", Revision: 1}}}
}

func benchMember(i int) *Member {
	return &Member{Name: fmt.Sprintf("edge-%d", i), Addr: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250), Zone: "zone-a", Region: "region-a",
		ControlAddr: fmt.Sprintf("10.0.%d.%d:8262", i/250, i%250)}
}

// fullSync returns the deltas that a relay sends to an agent that has nothing.
func fullSync(agents, relays, servers, tenants int) []deltasync.Delta {
	var out []deltasync.Delta
	for i := range agents + relays {
		delta := deltasync.Delta{Source: fmt.Sprintf("edge-%d/0123456789ab", i)}
		add := func(key string, data []byte) {
			delta.To++
			delta.Items = append(delta.Items, deltasync.Item{Key: key, Version: delta.To, Data: data})
		}
		add(memberKey, encode(benchMember(i)))
		if i < relays {
			for j := i; j < agents+relays; j += relays {
				add(fmt.Sprintf("%sedge-%d/0123456789ab", leasePrefix, j), []byte{1})
			}
		} else {
			for j := i - relays; j < servers; j += agents {
				in := benchInstance(j)
				add(serverPrefix+in.ID, encode(in))
			}
		}
		out = append(out, delta)
	}
	raw := sampling.Config(1, sampling.Size{Routes: 60, Services: 6, Tenants: tenants})
	return append(out, deltasync.Delta{Source: configSource, To: 1, Items: []deltasync.Item{{Key: configKey, Version: 1, Data: encode(&configItem{1, raw})}}})
}

// BenchmarkMessage measures the size of the messages of a session, their encoding and their decoding.
func BenchmarkMessage(b *testing.B) {
	one := func(d ...deltasync.Delta) *message {
		return &message{HasQuorum: true, Complete: true, ReceivedVersion: 1000, Deltas: d}
	}
	server := encode(benchInstance(1))
	for _, m := range []struct {
		name string
		*message
	}{
		{"heartbeat", one()},
		{"server", one(deltasync.Delta{Source: "edge-1/0123456789ab", From: 7, To: 8, Items: []deltasync.Item{{Key: "i/i-00000001", Version: 8, Data: server}}})},
		{"lease", one(deltasync.Delta{Source: "edge-1/0123456789ab", From: 7, To: 8, Items: []deltasync.Item{{Key: "l/edge-300/0123456789ab", Version: 8, Data: []byte{1}}}})},
		{"configuration/tenants=0", one(fullSync(0, 0, 0, 0)...)},
		{"configuration/tenants=650", one(fullSync(0, 0, 0, 650)...)},
		{"configuration/tenants=6500", one(fullSync(0, 0, 0, 6500)...)},
		{"everything/agents=30", one(fullSync(30, 7, 850, 0)...)},
		{"everything/agents=360", one(fullSync(360, 7, 850, 0)...)},
		{"hello/agents=360", &message{Hello: &hello{Source: "edge-1/0123456789ab", Addr: "10.0.0.1:7300", Vector: vectorOf(fullSync(360, 7, 850, 0))}}},
	} {
		raw := encode(m.message)
		b.Run(m.name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				encode(m.message)
			}
			b.ReportMetric(float64(len(raw)), "B/message")
		})
		b.Run(m.name+"/decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := msgpack.Unmarshal(raw, new(message)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func vectorOf(deltas []deltasync.Delta) deltasync.Vector {
	v := deltasync.Vector{}
	for _, d := range deltas {
		v[d.Source] = d.To
	}
	return v
}

// edgeCore is the Core of a process that is not a member.
type edgeCore struct{}

func (edgeCore) IsMember() bool  { return false }
func (edgeCore) HasQuorum() bool { return false }
func (edgeCore) Members() []Peer { return nil }

func newBenchNode(agents, relays, servers, tenants int) *Node {
	node := New(Options{Self: *benchMember(9999), HeartbeatInterval: 1200 * time.Millisecond, Core: edgeCore{}, OnChange: func(*Snapshot) {}})
	node.mu.Lock()
	defer node.mu.Unlock()
	deltas := fullSync(agents, relays, servers, tenants)
	raw := encode(&message{Deltas: deltas})
	m := new(message)
	if err := msgpack.Unmarshal(raw, m); err != nil { // decoded as in production, so that no memory is shared
		panic(err)
	}
	node.applyDeltasLocked(m.Deltas)
	return node
}

// BenchmarkHeap measures the memory of a node for various numbers of agents, servers and tenants.
func BenchmarkHeap(b *testing.B) {
	for _, n := range []struct{ agents, relays, servers, tenants int }{
		{0, 0, 0, 0}, {360, 7, 0, 0}, {360, 7, 850, 0}, {360, 7, 850, 650}, {360, 7, 850, 6500},
	} {
		b.Run(fmt.Sprintf("agents=%d/servers=%d/tenants=%d", n.agents, n.servers, n.tenants), func(b *testing.B) {
			var bytes int64
			for b.Loop() {
				bytes = heapsize.Of(func() any { return newBenchNode(n.agents, n.relays, n.servers, n.tenants) })
			}
			b.ReportMetric(float64(bytes), "B/agent")
		})
	}
}

// BenchmarkTick measures tick, which runs five times per second.
func BenchmarkTick(b *testing.B) {
	for _, agents := range []int{30, 100, 360} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			relay := newBenchNode(agents, 7, 850, 0)
			b.ReportAllocs()
			for b.Loop() {
				relay.tick()
			}
		})
	}
}

// BenchmarkApply measures how long an agent takes to apply another agent's change of one server, including
// the new server list.
func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{112, 850} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			node := newBenchNode(360, 7, servers, 0)
			const source = "edge-7/0123456789ab"
			node.mu.Lock()
			defer node.mu.Unlock()
			ver, in := node.items.Version(source), *benchInstance(0)
			b.ReportAllocs()
			for b.Loop() {
				in.Seq++
				ver++
				node.applyDeltasLocked([]deltasync.Delta{{Source: source, From: ver - 1, To: ver, Items: []deltasync.Item{{Key: serverPrefix + in.ID, Version: ver, Data: encode(&in)}}}})
			}
		})
	}
}

// BenchmarkHeartbeat measures a server's heartbeat that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	node := newBenchNode(360, 7, 850, 0)
	ctx := b.Context()
	b.ReportAllocs()
	for n := uint64(2); b.Loop(); n++ {
		in := benchInstance(90000)
		in.Seq = n
		if !node.Heartbeat(ctx, in) {
			b.Fatal("refused")
		}
	}
}
