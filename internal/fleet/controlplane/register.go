package controlplane

import (
	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

// register is what a process holds of the replicated configuration.
type register struct {
	// record is on disk: this member's copy in the chain.
	record chain.Record
	// committed is the newest value known as committed, with its checksum; Seq 0: none is known.
	committed chain.Value
	checksum  uint64
	// previous is the committed value before that, as far as it may be the base of a difference.
	previous chain.Value
	// successor is what the next member of the chain is known to have stored.
	successor storedAt
	// activatedView is the number of the view in which this member, as its head, has pushed its value
	// through the whole chain.
	activatedView uint64
	// fetching tells that a call for a newer committed value is under way.
	fetching bool
}

// advance takes a committed value, and reports whether it is a newer one.
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

// lags reports whether a peer has a newer committed value, and no call for one is under way.
func (r *register) lags(received *heartbeat) bool {
	return received.CommittedSeq > r.committed.Seq && !r.fetching
}

// diverges reports whether a peer has another value under the sequence number of the committed one.
func (r *register) diverges(received *heartbeat) bool {
	return received.CommittedSeq != 0 && received.CommittedSeq == r.committed.Seq && received.CommittedChecksum != r.checksum
}

// Committed is the newest value that is known here as committed, and whether there is one.
func (m *Member) Committed() (chain.Value, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.committed, m.register.committed.Seq > 0
}

// advanceCommitted takes a value that the tail of the chain has stored.
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
