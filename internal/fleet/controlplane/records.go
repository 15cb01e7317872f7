package controlplane

import (
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// The names of the records on disk.
const (
	keyID    = "id"
	keyView  = "view"
	keyVote  = "vote"
	keyValue = "value"
)

// loadState reads the records of an earlier life, and gives a new disk its id.
func (m *Member) loadState() error {
	id, ok := m.disk.Get(keyID)
	if !ok {
		id = []byte(randomHex(8))
		if err := m.disk.Put(keyID, id); err != nil {
			logevent.DiskWaits.Error(err)
		} else {
			ok = true
		}
	}
	m.idPersisted = ok
	m.self = view.Peer{ID: string(id), Addr: m.options.Addr, Zone: m.options.Zone, Region: m.options.Region, Disk: m.options.StateDir != "", Counted: m.options.Counted}
	for key, to := range map[string]any{keyView: &m.learned, keyVote: &m.vote, keyValue: &m.record} {
		if raw, ok := m.disk.Get(key); ok {
			if err := decode(raw, to); err != nil {
				return errors.Wrapf(err, "read record %s of state-dir (run the version that wrote it)", key)
			}
		}
	}
	m.newest = m.learned
	return nil
}

// recordFormat is the version of the records' own encoding.
const recordFormat = 1

func encode(v any) ([]byte, error) {
	raw, err := msgpack.Marshal(v)
	return append([]byte{recordFormat}, raw...), err
}

func decode(raw []byte, to any) error {
	if len(raw) == 0 || raw[0] != recordFormat {
		return errors.New("unknown format")
	}
	return msgpack.Unmarshal(raw[1:], to)
}
