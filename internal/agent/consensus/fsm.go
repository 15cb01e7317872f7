package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// fsm is the replicated state machine of the raft log. Its state is the newest decision.
type fsm struct {
	changed chan struct{} // receives a value when current is replaced
	mu      sync.Mutex
	current Decision
}

// decision returns the newest decision.
func (f *fsm) decision() Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.current
	d.Table.Zones = slices.Clone(d.Table.Zones)
	return d
}

// set replaces the newest decision and signals the change.
func (f *fsm) set(d Decision) {
	f.mu.Lock()
	f.current = d
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Apply implements raft.FSM. It skips an entry whose table is invalid or does not directly follow the current
// table. All voters skip the same entries.
func (f *fsm) Apply(l *raft.Log) any {
	var t zonefailover.Table
	err := json.Unmarshal(l.Data, &t)
	if err == nil {
		err = t.Validate()
	}
	if current := f.decision().Table.Number; err == nil && t.Number != current+1 {
		err = fmt.Errorf("consensus: table %d does not directly follow table %d", t.Number, current)
	}
	if err != nil {
		slog.Warn("consensus: entry skipped", "index", l.Index, "err", err)
		return err
	}
	f.set(Decision{Term: l.Term, Index: l.Index, Table: t})
	return nil
}

// Snapshot implements raft.FSM. A snapshot contains only the newest decision.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) { return fsmSnapshot{f.decision()}, nil }

// Restore implements raft.FSM. It replaces the state by that of a snapshot.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	var d Decision
	if err := json.NewDecoder(io.LimitReader(r, 1<<20)).Decode(&d); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	if err := d.Table.Validate(); err != nil && d.Index > 0 {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	f.set(d)
	return nil
}

// fsmSnapshot implements raft.FSMSnapshot.
type fsmSnapshot struct{ decision Decision }

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.decision); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (fsmSnapshot) Release() {}
