// Package deltasync replicates versioned items between agents by deltas.
//
// Each item belongs to a source. A source numbers the changes of its items from 1. An agent describes
// what it has by a version vector, with one version per source, and is sent what it lacks.
//
// A source is one incarnation of one agent, and only that incarnation writes it. The configuration is
// a source, too. All members of the core write the same items to it, as its versions are the sequence
// numbers of the core's chain.
//
// Only the newest version of an item is stored. Therefore a delta from any version is bounded by the
// number of items, and traffic is proportional to the changes. An item that was removed remains as a
// tombstone.
//
// The package does no I/O.
package deltasync

const (
	// maxItems bounds the items of one source, tombstones included.
	maxItems = 32768
	// maxSources bounds the sources in a store, and separately the ended sources that it remembers.
	maxSources = 4096
	// maxNameBytes bounds the name of a source and the key of an item.
	maxNameBytes = 1024
	// maxBytes bounds the total size of the keys and data of a store's items, not counting the own source.
	maxBytes = 32 << 20
)

// Item is a value that a source publishes under a key. This package does not interpret Data; an item with
// nil data is a tombstone.
type Item struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"v"` // the source's version as of this change
	Data    []byte `msgpack:"d"`
}

// size returns the number of bytes that the item counts towards maxBytes.
func (item *Item) size() int { return len(item.Key) + len(item.Data) }

// Vector maps each source to the version up to which all of its changes are present.
type Vector map[string]uint64

// Delta is what a source changed after version From, up to and including version To. It has the newest
// version of each changed item, in ascending order. As each change of an item is a version of its own, the
// last item has version To.
type Delta struct {
	Source string `msgpack:"s"`
	From   uint64 `msgpack:"f"`
	To     uint64 `msgpack:"u"`
	Items  []Item `msgpack:"i"`
}

// valid reports whether a delta is well-formed, as all results of DeltasSince are.
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

// Change is a new version of an item that a store has applied.
type Change struct {
	Source string
	Item   Item
}
