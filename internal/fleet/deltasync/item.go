// Package deltasync replicates versioned items between agents by deltas.
//
// Items belong to sources, and each source counts the versions of its items from 1. An agent
// describes what it has by a version vector, one version per source, and is sent what it lacks.
//
// A source is one incarnation of one agent, and only that incarnation writes it. The configuration is
// a source, too, which all members of the core write alike, as its versions are those of their chain.
// Only the newest version of an item is stored, so a delta from any version is bounded by the number
// of items, and traffic is proportional to what changes. An item that was removed remains as a
// tombstone.
//
// The package does no I/O.
package deltasync

const (
	// maxItems bounds the items of one source, tombstones included.
	maxItems = 32768
	// maxSources bounds the sources of a store, and the ended sources that it remembers.
	maxSources = 4096
	// maxNameBytes bounds the name of a source and the key of an item.
	maxNameBytes = 1024
	// maxBytes bounds the keys and data of all items of a store, the own source's not included.
	maxBytes = 32 << 20
)

// Item is a value that a source publishes under a key. Data is opaque here; nil data is a tombstone.
type Item struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"v"` // the version of the source that set it
	Data    []byte `msgpack:"d"`
}

// size is the number of bytes that count towards maxBytes.
func (item *Item) size() int { return len(item.Key) + len(item.Data) }

// Vector maps sources to versions: of each source, everything up to that version is present.
type Vector map[string]uint64

// Delta is what a source changed after version From, up to version Upto: the newest version of each
// changed item, by rising version. As each change of an item is one version, the last item has the
// version Upto.
type Delta struct {
	Source string `msgpack:"s"`
	From   uint64 `msgpack:"f"`
	To     uint64 `msgpack:"u"`
	Items  []Item `msgpack:"i"`
}

// valid reports whether a delta is one that DeltasSince may return.
func (d *Delta) valid() bool {
	version := d.From
	for i := range d.Items {
		item := &d.Items[i]
		if item.Version <= version || item.Key == "" || len(item.Key) > maxNameBytes {
			return false
		}
		version = item.Version
	}
	return version > d.From && version == d.To && d.Source != "" && len(d.Source) <= maxNameBytes
}

// Change is an item that is new to a store.
type Change struct {
	Source string
	Item   Item
}
