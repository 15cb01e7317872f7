package controlplane

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// catchUp compares a peer's heartbeat with this member's state. It learns the view in the heartbeat or sends
// the peer a newer one, fetches a newer committed value, and repairs a divergence.
func (m *Member) catchUp(ctx context.Context, received *heartbeat) {
	m.learnViewOrLog(ctx, received.NewerView)
	m.mu.Lock()
	learned, record := m.views.learned, m.register.record
	fetch := m.register.lags(received)
	diverges := m.register.diverges(received)
	// The peer's committed value is the one stored here: both members received it through the chain of the
	// view that both have learned.
	stored := fetch && record.View == learned.Number && received.View == learned.Number && record.Value.Seq == received.CommittedSeq
	if stored {
		m.mu.Unlock()
		m.advanceCommitted(record.Value)
		return
	}
	m.register.fetching = m.register.fetching || fetch
	m.mu.Unlock()
	if diverges {
		m.repairDivergence(ctx, received)
	}
	if received.View < learned.Number {
		_, _ = call[view.View, empty](ctx, m, received.Peer.Addr, callLearn, &learned) // the next heartbeat repeats it
	}
	if fetch {
		m.fetchCommitted(ctx, received.Peer.Addr)
	}
}

// fetchCommitted fetches the newest committed value from a peer.
func (m *Member) fetchCommitted(ctx context.Context, addr string) {
	value, err := m.requestValue(ctx, addr)
	if err == nil && value.Seq > 0 && value.Validate() == nil {
		m.advanceCommitted(value)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register.fetching = false
}

// repairDivergence replaces the committed value by a peer's different value with the same sequence number,
// if more of the voters in contact hold the peer's. The checksum of each copy on disk detects most damage;
// this covers damage that it misses.
func (m *Member) repairDivergence(ctx context.Context, received *heartbeat) {
	now := time.Now()
	m.mu.Lock()
	same, other := m.peers.countChecksums(&m.views.learned, received.CommittedSeq, m.register.checksum, received.CommittedChecksum, now)
	same++ // this process
	outvoted := m.register.committed.Seq == received.CommittedSeq && other > same
	m.mu.Unlock()
	logevent.ReplicasDiverged.Log("seq", received.CommittedSeq, "peer", received.Peer.Addr, "hold-this", same, "hold-that", other, "mended", outvoted)
	if !outvoted {
		return
	}
	value, err := m.requestWholeValue(ctx, received.Peer.Addr)
	if err != nil || value.Seq != received.CommittedSeq || value.Checksum() != received.CommittedChecksum {
		return
	}
	m.replaceValue(ctx, value, received.CommittedChecksum)
}

// replaceValue replaces the value with the same sequence number, on disk and in memory.
func (m *Member) replaceValue(ctx context.Context, value chain.Value, checksum uint64) {
	if m.acquireWrite(ctx) != nil {
		return
	}
	defer m.releaseWrite()
	record := m.register.record // changes only while the write token is held
	if record.Value.Seq == value.Seq {
		record.Value = value
		if err := m.persistRecord(record); err != nil {
			return // the next heartbeat shows the divergence again
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.register.committed.Seq == value.Seq {
		m.register.committed, m.register.checksum = value, checksum
	}
}
