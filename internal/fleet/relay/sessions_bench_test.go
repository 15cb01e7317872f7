package relay

import (
	"fmt"
	"testing"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// BenchmarkManySessions measures what hellos, acknowledgements and updates cost a member of a core of six, by the
// number of its sessions.
func BenchmarkManySessions(b *testing.B) {
	for _, sessions := range []int{50, 300, 1200} {
		var peers []Peer
		for i := range 6 {
			peers = append(peers, Peer{Addr: fmt.Sprintf("addr of h%d", i)})
		}
		relay := newManualNode("h0", true, peers...)
		vector := deltasync.Vector{}
		for i := range 300 {
			source := fmt.Sprintf("edge-%03d/0123456789ab", i)
			relay.items.Apply([]deltasync.Delta{initialDelta(source, memberKey, benchMember(i))})
			vector[source] = 1
		}
		var core *session
		for i := 1; i < 6; i++ {
			core = relay.connect(peers[i].Addr, fmt.Sprintf("h%d/1", i), true)
		}
		for i := range sessions - 5 {
			relay.connect(fmt.Sprintf("addr of %d", i), fmt.Sprintf("edge-%03d/0123456789ab", i%300), false)
		}
		b.Run(fmt.Sprintf("hello-with-all-sources/sessions=%d", sessions), func(b *testing.B) {
			for b.Loop() {
				peer := newSession(relay.now(), &hello{Source: "edge-000/0123456789ab", Vector: vector}, "a", func() uint64 { return 0 }, func() {})
				relay.mu.Lock()
				for source, version := range vector {
					relay.recordAcknowledgedLocked(peer, source, version, relay.core.Members())
				}
				relay.mu.Unlock()
				peer.noticeTimer.Stop()
			}
		})
		b.Run(fmt.Sprintf("quorum-version/sessions=%d", sessions), func(b *testing.B) {
			for b.Loop() {
				relay.mu.Lock()
				relay.quorumVersionLocked("edge-001/0123456789ab", relay.core.Members())
				relay.mu.Unlock()
			}
		})
		b.Run(fmt.Sprintf("acks-of-300-sources/sessions=%d", sessions), func(b *testing.B) {
			for b.Loop() {
				clear(core.ackedVersions)
				relay.handleMessage(core, &message{IsCore: true, HasQuorum: true, Acknowledged: vector})
			}
		})
		b.Run(fmt.Sprintf("next-update/sessions=%d", sessions), func(b *testing.B) {
			var s *session
			for s = range relay.sessions {
				if !s.peerIsCore {
					break
				}
			}
			out := &sender{node: relay.Node, session: s}
			for b.Loop() {
				out.nextUpdate()
			}
		})
	}
}
