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

// fsm is the replicated state machine of the log: the newest table.
type fsm struct {
	changed chan struct{}
	mu      sync.Mutex
	current Decision
}

func (f *fsm) decision() Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.current
	d.Table.Zones = slices.Clone(d.Table.Zones)
	return d
}

func (f *fsm) set(d Decision) {
	f.mu.Lock()
	f.current = d
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Apply implements raft.FSM. An entry whose table does not directly follow the current one is skipped, by
// all voters alike.
func (f *fsm) Apply(l *raft.Log) any {
	var t zonefailover.Table
	err := json.Unmarshal(l.Data, &t)
	if err == nil {
		err = t.Validate()
	}
	if was := f.decision().Table.Number; err == nil && t.Number != was+1 {
		err = fmt.Errorf("consensus: table %d does not follow %d", t.Number, was)
	}
	if err != nil {
		slog.Warn("consensus: entry skipped", "index", l.Index, "err", err)
		return err
	}
	f.set(Decision{Term: l.Term, Index: l.Index, Table: t})
	return nil
}

// Snapshot implements raft.FSM: the last decision replaces the log that led to it.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) { return fsmSnapshot{f.decision()}, nil }

// Restore implements raft.FSM.
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

type fsmSnapshot struct{ decision Decision }

func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(s.decision); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (fsmSnapshot) Release() {}
