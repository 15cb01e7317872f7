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
	// foreignKeyPrefix separates the records of other components of the process from the member's own.
	foreignKeyPrefix = "x/"
)

// recordFormat is the version of the records' encoding. It is the first byte of each record.
const recordFormat = 1

// State is the state of a member as it is on disk.
type State struct {
	ID       string
	View     view.View          // the learned view; its Number is 0 if there is none
	Acceptor view.AcceptorState // the vote; it is on the view after View if its Instance is that view's number
	Record   chain.Record       // the copy in the chain; its View is 0 if no value was received
	Checksum uint64             // the checksum of the record's value, as in heartbeats
}

// Inspect reads the state in a folder without changing it. No process may be using the folder.
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

// readState reads all records without computing the checksum.
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

// loadState reads the records of earlier runs, and writes an ID to a new disk.
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

// SaveRecord writes a record of another component of the process to the member's disk, and returns nil once
// it is stored. It waits for the disk for as long as necessary. Of the member's own work it delays only
// the next write.
func (m *Member) SaveRecord(name string, record []byte) error {
	return m.disk.Put(foreignKeyPrefix+name, record)
}

// LoadRecord returns the last record saved under a name, by this run of the process or an earlier one, and
// whether there is one.
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
