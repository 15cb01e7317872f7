package relay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// itemsOfFleet returns the deltas that a new agent of a fleet is sent: an item for each agent and each server.
func itemsOfFleet(agents, servers int) []deltasync.Delta {
	rng := rand.New(rand.NewPCG(1, 2))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var deltas []deltasync.Delta
	for i := range agents {
		member := Member{Name: fmt.Sprint("edge-", i), Addr: fmt.Sprintf("10.1.0.%d:7420", i), Zone: zones[i%3], Region: "region", ControlAddr: fmt.Sprintf("10.1.0.%d:8262", i)}
		delta := deltasync.Delta{Source: fmt.Sprintf("%016x/%016x", rng.Uint64(), rng.Uint64()), To: 1}
		delta.Items = []deltasync.Item{{Key: memberKey, Version: 1, Data: encode(&member)}}
		for server := i; server < servers; server += agents {
			delta.To++
			id := fmt.Sprintf("i-%016x", rng.Uint64())
			instance := registry.Instance{ID: id, Service: "service", Addr: fmt.Sprintf("10.2.0.%d:8080", server), Zone: zones[server%3], Revision: "v1", Slots: 64,
				Models: []registry.Model{{Name: "m", Revision: 1}}}
			delta.Items = append(delta.Items, deltasync.Item{Key: serverPrefix + id, Version: delta.To, Data: encode(&instance)})
		}
		deltas = append(deltas, delta)
	}
	return deltas
}

func TestCompressedDeltas(t *testing.T) {
	codec := newDeltaCodec()
	deltas := itemsOfFleet(90, 115)
	m := &message{Deltas: deltas, IsCore: true}
	plainBytes := len(encode(m))
	codec.compress(m)
	assert.Empty(t, m.Deltas)
	compressedBytes := len(encode(m))
	t.Log("bytes:", plainBytes, "compressed:", compressedBytes)
	assert.Less(t, compressedBytes, plainBytes/3)

	received := new(message)
	require.NoError(t, msgpack.Unmarshal(encode(m), received))
	require.NoError(t, codec.decompress(received))
	assert.Equal(t, deltas, received.Deltas)
	assert.Empty(t, received.CompressedDeltas)
	assert.True(t, received.IsCore)
}

// Small deltas are not compressed, as a heartbeat must not cost the allocation of an encoder.
func TestShortDeltasAreNotCompressed(t *testing.T) {
	codec := newDeltaCodec()
	m := &message{Deltas: itemsOfFleet(2, 2)}
	codec.compress(m)
	assert.Len(t, m.Deltas, 2)
	assert.Empty(t, m.CompressedDeltas)
	require.NoError(t, codec.decompress(m))
	assert.Len(t, m.Deltas, 2)
}

func TestDamagedDeltasAreRefused(t *testing.T) {
	codec := newDeltaCodec()
	m := &message{Deltas: itemsOfFleet(90, 115)}
	codec.compress(m)
	flipped := bytes.Clone(m.CompressedDeltas)
	flipped[len(flipped)/2] ^= 1
	for name, compressed := range map[string][]byte{
		"not zstd":      []byte("no zstd"),
		"truncated":     m.CompressedDeltas[:len(m.CompressedDeltas)/2],
		"a bit flipped": flipped,
		"not msgpack":   codec.encoder().EncodeAll([]byte{0xc1, 0xc1}, nil),
		"too large":     codec.encoder().EncodeAll(encode([]deltasync.Delta{{Source: "y/1", To: 1, Items: []deltasync.Item{{Key: "k", Version: 1, Data: make([]byte, maxDecompressedBytes)}}}}), nil),
		"not a list":    codec.encoder().EncodeAll(encode(map[string]int{"a": 1}), nil),
	} {
		received := &message{CompressedDeltas: compressed}
		assert.ErrorIs(t, codec.decompress(received), errCompressedDeltas, name)
		assert.Empty(t, received.Deltas, name)
	}
}

// A relay sends compressed deltas only to the peers that accept them. The others run an earlier program version.
func TestCompressionIsAgreed(t *testing.T) {
	t.Parallel()
	codec := newDeltaCodec()
	cluster := newSyncedCluster(t, 2, 1)
	relay := cluster.coreMembers[0]
	relay.node.ApplyConfig(1, paddedDocument(1, 4*minSharedBytes))
	relay.node.mu.Lock()
	relay.node.publishItemLocked("long", make([]byte, 4*minCompressedBytes))
	relay.node.mu.Unlock()
	for _, accepts := range []bool{false, true} {
		st := relay.openSession()
		require.NoError(t, st.Send(&message{Hello: &hello{Source: fmt.Sprint("y/", accepts), Addr: "y:1", AcceptsZstd: accepts}}))
		versions := deltasync.Vector{}
		for versions[configSource] == 0 || versions[relay.node.Report().Source] < 2 {
			m, err := st.Recv()
			require.NoError(t, err)
			if m.Hello != nil {
				assert.True(t, m.Hello.AcceptsZstd, "the relay itself accepts compressed deltas")
			}
			if accepts {
				require.Less(t, dataSize(m.Deltas), minCompressedBytes, "large deltas are compressed")
			} else {
				require.Empty(t, m.CompressedDeltas)
			}
			require.NoError(t, codec.decompress(m))
			for i := range m.Deltas {
				versions[m.Deltas[i].Source] = m.Deltas[i].To
			}
		}
		st.Close()
	}
}

// A session is closed if the peer sends damaged deltas. Other sessions are not affected.
func TestDamagedDeltasEndTheSession(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	relay := cluster.coreMembers[0]
	st := relay.openSession()
	require.NoError(t, st.Send(&message{Hello: &hello{Source: "y/1", Addr: "y:1"}}))
	cluster.eventually("has a session", hasSessionWith("y:1"), relay)
	require.NoError(t, st.Send(&message{CompressedDeltas: []byte("no zstd")}))
	for {
		if _, err := st.Recv(); err != nil {
			break
		}
	}
	relay.node.ApplyConfig(1, documentOf(1))
	cluster.eventually("continues to receive changes", hasConfig(1))
}

// Damaged deltas are an error and not treated as a message without deltas, as the peer does not send them again
// on this session.
func TestDamagedDeltasAreNoEmptyMessage(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	peer := relay.connect("addr of o", "o/1", true)
	assert.ErrorIs(t, relay.receiveMessage(peer, &message{CompressedDeltas: []byte("no zstd")}), errCompressedDeltas)
	assert.NoError(t, relay.receiveMessage(peer, &message{}))
}

// BenchmarkReturnOfManyAgents reports the peak of the heap's growth while the first messages of 300 sessions are
// compressed concurrently.
func BenchmarkReturnOfManyAgents(b *testing.B) {
	const sessions = 300
	deltas := itemsOfFleet(360, 850)
	for b.Loop() {
		codec := newDeltaCodec()
		runtime.GC()
		before := heapInUse()
		peak := before
		messages := make([]*message, sessions)
		var wg sync.WaitGroup
		for i := range messages {
			messages[i] = &message{Deltas: deltas}
			wg.Go(func() { codec.compress(messages[i]) })
		}
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		for sampling := true; sampling; {
			select {
			case <-done:
				sampling = false
			default:
			}
			peak = max(peak, heapInUse())
		}
		b.ReportMetric(float64(peak-before)/(1<<20), "peak-MB")
		runtime.KeepAlive(messages)
	}
}

// heapInUse returns the number of bytes in heap objects that are in use or not swept yet.
func heapInUse() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// BenchmarkCompressedDeltas measures the compression of a fleet's initial deltas and of a configuration.
func BenchmarkCompressedDeltas(b *testing.B) {
	codec := newDeltaCodec()
	config := deltasync.Delta{Source: configSource, To: 1, Items: []deltasync.Item{{Key: configKey, Version: 1, Data: paddedDocument(1, 96<<10)}}}
	for name, deltas := range map[string][]deltasync.Delta{"90 agents, 115 servers": itemsOfFleet(90, 115), "360 agents, 850 servers": itemsOfFleet(360, 850), "random configuration": {config}} {
		b.Run("compress "+name, func(b *testing.B) {
			for b.Loop() {
				m := &message{Deltas: deltas}
				codec.compress(m)
			}
			m := &message{Deltas: deltas}
			b.ReportMetric(float64(len(encode(m))), "plain-bytes")
			codec.compress(m)
			b.ReportMetric(float64(len(encode(m))), "bytes")
		})
		b.Run("decompress "+name, func(b *testing.B) {
			m := &message{Deltas: deltas}
			codec.compress(m)
			for b.Loop() {
				received := *m
				if err := codec.decompress(&received); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
