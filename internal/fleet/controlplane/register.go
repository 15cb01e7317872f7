package controlplane

import (
	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// register holds this process's copies of the replicated configuration.
type register struct {
	// record is this member's copy in the chain, as it is on disk.
	record chain.Record
	// committed is the newest value known as committed; its Seq is 0 if none is known.
	committed chain.Value
	// checksum is the checksum of committed.
	checksum uint64
	// previous is the committed value before committed; its Seq is 0 if there is none or if it is too large
	// to be the base of a difference.
	previous chain.Value
	// successor is the value that the next member of the chain is known to have stored.
	successor successorValue
	// activatedView is the number of the newest view in which this member, as its head, has pushed its value
	// through the whole chain; 0 if there is none.
	activatedView uint64
	// fetching is true while a call for a newer committed value is under way.
	fetching bool
}

// advance replaces the committed value if the given one is newer, and reports whether it was.
func (r *register) advance(value *chain.Value, checksum uint64) bool {
	if value.Seq <= r.committed.Seq {
		return false
	}
	r.previous = chain.Value{}
	if len(r.committed.Body) <= bindiff.MaxBytes {
		r.previous = r.committed
	}
	r.committed, r.checksum = *value, checksum
	return true
}

// lags reports whether a peer has a newer committed value and no call that fetches one is under way.
func (r *register) lags(received *heartbeat) bool {
	return received.CommittedSeq > r.committed.Seq && !r.fetching
}

// diverges reports whether a peer has a different value with the same sequence number as the committed one.
func (r *register) diverges(received *heartbeat) bool {
	return received.CommittedSeq != 0 && received.CommittedSeq == r.committed.Seq && received.CommittedChecksum != r.checksum
}

// Committed returns the newest value that this member knows as committed, and whether there is one.
func (m *Member) Committed() (chain.Value, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.committed, m.register.committed.Seq > 0
}

// advanceCommitted replaces the committed value by a newer one that the tail of the chain has stored.
func (m *Member) advanceCommitted(value chain.Value) {
	checksum := value.Checksum()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.register.advance(&value, checksum) {
		m.changed.notify()
	}
}

// persistRecord writes this member's copy to disk. The caller holds the write token.
func (m *Member) persistRecord(record chain.Record) error {
	encoded, err := encode(&record)
	if err != nil {
		return err
	}
	if err := m.disk.Put(keyValue, encoded); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register.record = record
	return nil
}
