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
	id, ok := m.store.Get(keyID)
	if !ok {
		id = []byte(random(8))
		if err := m.store.Put(keyID, id); err != nil {
			logevent.DiskWaits.Error(err)
		} else {
			ok = true
		}
	}
	m.named = ok
	m.me = view.Peer{ID: string(id), Addr: m.o.Addr, Zone: m.o.Zone, Region: m.o.Region, Disk: m.o.Dir != "", Counted: m.o.Counted}
	for key, to := range map[string]any{keyView: &m.view, keyVote: &m.vote, keyValue: &m.record} {
		if raw, ok := m.store.Get(key); ok {
			if err := decode(raw, to); err != nil {
				return errors.Wrapf(err, "read record %s of state-dir (run the version that wrote it)", key)
			}
		}
	}
	m.seen = m.view
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
