// Package deltasync holds what has to reach every agent: items by source, each source with a version
// of its own. Agents tell each other what they have by a vector of versions, one for each source,
// and are given what they lack. It is pure.
//
// A source is one life of one agent, and only that life writes it; the configuration is a source
// that all members of the core write alike, as its versions are those of the chain. Of an item
// only the newest version is kept, so a delta from any version is bounded by the items there are,
// and traffic grows with what changed.
package deltasync

import (
	"container/list"
	"slices"
)

const (
	// maxItems bounds the items of one source, removed ones included, and maxSources the sources.
	maxItems, maxSources = 32768, 4096
	// maxNameBytes bounds the name of a source or an item, maxBytes the names and data of all items.
	maxNameBytes, maxBytes = 1024, 32 << 20
	// maxTombstones is how many removed items a source carries before it has to be rebased.
	maxTombstones = 2048
)

// Item is one thing that a source tells. Data is opaque here; nil: the item was removed.
type Item struct {
	Key  string `msgpack:"k"`
	Ver  uint64 `msgpack:"v"`
	Data []byte `msgpack:"d"`
}

func (it *Item) size() int { return len(it.Key) + len(it.Data) }

// Vector tells what of each source is held: all up to the version.
type Vector map[string]uint64

// Delta is what a source changed after From, up to Upto: the newest version of each item, by rising
// version. The last item's is Upto: each change of an item is one version.
type Delta struct {
	Source string `msgpack:"s"`
	From   uint64 `msgpack:"f"`
	Upto   uint64 `msgpack:"u"`
	Items  []Item `msgpack:"i"`
}

// Change is an item that is new to a Set.
type Change struct {
	Source string
	Item   Item
}

type sourceState struct {
	version    uint64
	items      map[string]*list.Element // of *Item
	byVersion  list.List                // by rising version
	tombstones int
	bytes      int // of keys and data
}

func newSourceState() *sourceState { return &sourceState{items: map[string]*list.Element{}} }

func (s *sourceState) put(it Item) Item {
	if len(it.Data) == 0 {
		it.Data = nil
	}
	if e := s.items[it.Key]; e != nil {
		old := e.Value.(*Item)
		if old.Data == nil {
			s.tombstones--
		}
		s.bytes -= old.size()
		s.byVersion.Remove(e)
	}
	if it.Data == nil {
		s.tombstones++
	}
	s.bytes += it.size()
	s.items[it.Key] = s.byVersion.PushBack(&it)
	s.version = max(s.version, it.Ver)
	return it
}

// Store is all that one agent holds. It is not safe for concurrent use.
type Store struct {
	ownSource     string
	sources       map[string]*sourceState
	remoteBytes   int               // of all sources but the own
	endedVersions map[string]uint64 // sources that have ended, what was held of them: nobody brings them back
	endedOrder    []string          // the same, oldest first
}

// NewStore returns the set of one life of an agent, whose own source has the name self.
func NewStore(self string) *Store {
	s := &Store{ownSource: self, sources: map[string]*sourceState{self: newSourceState()}, endedVersions: map[string]uint64{}}
	return s
}

// OwnSource is the name of the own source.
func (s *Store) OwnSource() string { return s.ownSource }

// Put changes an item of the own source and returns its version; empty data removes it. The data is
// kept, and not to be changed.
func (s *Store) Put(key string, data []byte) uint64 {
	own := s.sources[s.ownSource]
	own.put(Item{Key: key, Ver: own.version + 1, Data: data})
	return own.version
}

// OwnVersion is the version of the own source.
func (s *Store) OwnVersion() uint64 { return s.sources[s.ownSource].version }

// StartIncarnation goes on under a new name for the own source, with what is not removed: after its lease
// lapsed the old name is dropped by everyone, and one that carries many removed items is due, too.
func (s *Store) StartIncarnation(name string) {
	old, was := s.sources[s.ownSource], s.ownSource
	delete(s.sources, was) // its bytes are not counted
	s.ownSource = name
	s.EndSource(was)
	s.sources[name] = newSourceState()
	for e := old.byVersion.Front(); e != nil; e = e.Next() {
		if it := e.Value.(*Item); it.Data != nil {
			s.Put(it.Key, it.Data)
		}
	}
}

// NeedsCompaction tells whether the own source carries so many removed items that it should be rebased.
func (s *Store) NeedsCompaction() bool { return s.sources[s.ownSource].tombstones > maxTombstones }

// Vector is what the set holds.
func (s *Store) Vector() Vector {
	v := make(Vector, len(s.sources))
	for name, src := range s.sources {
		v[name] = src.version
	}
	return v
}

// Version is the version held of a source, 0 if none is.
func (s *Store) Version(name string) uint64 {
	if src := s.sources[name]; src != nil {
		return src.version
	}
	return 0
}

// LastVersion is the version held of a source, or that was held of it when it ended.
func (s *Store) LastVersion(name string) uint64 { return max(s.Version(name), s.endedVersions[name]) }

// Sources are the names of all sources.
func (s *Store) Sources() []string {
	names := make([]string, 0, len(s.sources))
	for name := range s.sources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Item is the newest of a key that a source tells, nil if there is none.
func (s *Store) Item(name, key string) []byte {
	if src := s.sources[name]; src != nil {
		if e := src.items[key]; e != nil {
			return e.Value.(*Item).Data
		}
	}
	return nil
}

// DeltasSince is what someone lacks who has v. The items are shared and not to be changed.
func (s *Store) DeltasSince(v Vector) []Delta {
	var out []Delta
	for name, src := range s.sources {
		have := v[name]
		if have >= src.version {
			continue
		}
		d := Delta{Source: name, From: have, Upto: src.version}
		for e := src.byVersion.Back(); e != nil && e.Value.(*Item).Ver > have; e = e.Prev() {
			d.Items = append(d.Items, *e.Value.(*Item))
		}
		slices.Reverse(d.Items)
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Delta) int {
		if a.Source < b.Source {
			return -1
		}
		return 1
	})
	return out
}

// Apply takes what another agent sent and returns what of it is new. A delta that begins after
// what is held, that is of the own source or of one that has ended, that is not sound or out of
// bounds, is passed over whole: its sender is asked anew by the vector.
func (s *Store) Apply(deltas []Delta) []Change {
	var out []Change
	for i := range deltas {
		d := &deltas[i]
		if d.Source == s.ownSource || s.Ended(d.Source) || !d.valid() {
			continue
		}
		src := s.sources[d.Source]
		if src == nil {
			if len(s.sources) >= maxSources {
				continue
			}
			src = newSourceState()
		}
		if d.From > src.version || d.Upto <= src.version || !s.hasCapacity(src, d.Items) {
			continue
		}
		s.sources[d.Source] = src
		s.remoteBytes -= src.bytes
		had := src.version
		for _, it := range d.Items {
			if it.Ver > had {
				out = append(out, Change{d.Source, src.put(it)})
			}
		}
		s.remoteBytes += src.bytes
	}
	return out
}

// valid tells whether a delta is one that Since makes.
func (d *Delta) valid() bool {
	ver := d.From
	for i := range d.Items {
		it := &d.Items[i]
		if it.Ver <= ver || it.Key == "" || len(it.Key) > maxNameBytes {
			return false
		}
		ver = it.Ver
	}
	return ver > d.From && ver == d.Upto && d.Source != "" && len(d.Source) <= maxNameBytes
}

// hasCapacity tells whether a source may take items within the bounds.
func (s *Store) hasCapacity(src *sourceState, items []Item) bool {
	count, bytes := len(src.items), s.remoteBytes
	for i := range items {
		if e := src.items[items[i].Key]; e == nil {
			count++
		} else {
			bytes -= e.Value.(*Item).size()
		}
		bytes += items[i].size()
	}
	return count <= maxItems && bytes <= maxBytes
}

// EndSource forgets a source that has ended, for good. The own one ends by Rebase only.
func (s *Store) EndSource(name string) {
	if name == s.ownSource {
		return
	}
	had := s.Version(name)
	if src := s.sources[name]; src != nil {
		s.remoteBytes -= src.bytes
		delete(s.sources, name)
	}
	if !s.Ended(name) {
		s.endedVersions[name] = had
		if s.endedOrder = append(s.endedOrder, name); len(s.endedOrder) > maxSources {
			delete(s.endedVersions, s.endedOrder[0])
			s.endedOrder = s.endedOrder[1:]
		}
	}
}

// Ended tells whether the source has ended.
func (s *Store) Ended(name string) bool { _, is := s.endedVersions[name]; return is }
