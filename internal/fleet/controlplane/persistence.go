package controlplane

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// The keys of the records on disk.
const (
	keyID    = "id"
	keyView  = "view"
	keyVote  = "vote"
	keyValue = "value"
	// foreignKeyPrefix separates the records of other parts of the process from the member's own.
	foreignKeyPrefix = "x/"
)

// recordFormat is the version of the encoding of a record, which is its first byte.
const recordFormat = 1

// State is the state of a member as it is on disk.
type State struct {
	ID       string
	View     view.View          // the learned view; Number 0: none
	Acceptor view.AcceptorState // on the view after it, if that is its instance
	Record   chain.Record       // View 0: no value was received
	Checksum uint64             // the checksum of the record's value, as heartbeats have it
}

// Inspect reads the state in a folder that no process uses, and changes nothing.
func Inspect(dir string) (State, store.Report, error) {
	report, err := store.Verify(dir)
	if err != nil {
		return State{}, report, err
	}
	var failed error
	state, err := InspectRecords(func(key string) ([]byte, bool) {
		raw, ok, err := store.Read(dir, key)
		if err != nil && failed == nil {
			failed = errors.Wrapf(err, "read record %s of state-dir", key)
		}
		return raw, ok && err == nil
	})
	if failed != nil {
		err = failed
	}
	return state, report, err
}

// InspectRecords reads the state from records. get returns the record of a key, as Disk.Get does.
func InspectRecords(get func(key string) ([]byte, bool)) (State, error) {
	state, err := readState(get)
	if err != nil {
		return state, err
	}
	state.Checksum = state.Record.Value.Checksum()
	return state, nil
}

// readState reads all records but computes no checksum.
func readState(get func(key string) ([]byte, bool)) (State, error) {
	var state State
	id, _ := get(keyID)
	state.ID = string(id)
	for key, to := range map[string]any{keyView: &state.View, keyVote: &state.Acceptor, keyValue: &state.Record} {
		raw, ok := get(key)
		if !ok {
			continue
		}
		if err := decode(raw, to); err != nil {
			return state, errors.Wrapf(err, "read record %s of state-dir (run the version that wrote it)", key)
		}
	}
	return state, nil
}

// loadState reads the records of earlier runs, and gives a new disk its ID.
func (m *Member) loadState() error {
	state, err := readState(m.disk.Get)
	if err != nil {
		return err
	}
	m.diskMonitor.idPersisted = state.ID != ""
	if !m.diskMonitor.idPersisted {
		state.ID = randomHex(idBytes)
		if err := m.disk.Put(keyID, []byte(state.ID)); err != nil {
			logevent.DiskUnavailable.Error(err)
		} else {
			m.diskMonitor.idPersisted = true
		}
	}
	m.self = view.Peer{
		ID:      state.ID,
		Addr:    m.options.Addr,
		Zone:    m.options.Zone,
		Region:  m.options.Region,
		Disk:    m.options.StateDir != "",
		Counted: m.options.Counted,
	}
	m.views = newViewState(state.View)
	m.acceptor.state = state.Acceptor
	m.register.record = state.Record
	return nil
}

// SaveRecord writes a record of another part of the process to the member's disk, and returns once it
// is there. It may take as long as the disk does; of the member's work only the next write waits for
// it.
func (m *Member) SaveRecord(name string, record []byte) error {
	return m.disk.Put(foreignKeyPrefix+name, record)
}

// LoadRecord is the record that was saved last under a name, by this run of the process or an earlier
// one, and whether there is one.
func (m *Member) LoadRecord(name string) ([]byte, bool) {
	return m.disk.Get(foreignKeyPrefix + name)
}

func encode(value any) ([]byte, error) {
	raw, err := msgpack.Marshal(value)
	return append([]byte{recordFormat}, raw...), err
}

func decode(record []byte, to any) error {
	if len(record) == 0 || record[0] != recordFormat {
		return errors.New("unknown format")
	}
	return msgpack.Unmarshal(record[1:], to)
}
