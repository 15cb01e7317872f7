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
	// maxName bounds the name of a source or an item, maxBytes the names and data of all items.
	maxName, maxBytes = 1024, 32 << 20
	// maxRemoved is how many removed items a source carries before it has to be rebased.
	maxRemoved = 2048
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

type source struct {
	upto    uint64
	items   map[string]*list.Element // of *Item
	order   list.List                // by rising version
	removed int
	bytes   int // of keys and data
}

func newSource() *source { return &source{items: map[string]*list.Element{}} }

func (s *source) put(it Item) Item {
	if len(it.Data) == 0 {
		it.Data = nil
	}
	if e := s.items[it.Key]; e != nil {
		old := e.Value.(*Item)
		if old.Data == nil {
			s.removed--
		}
		s.bytes -= old.size()
		s.order.Remove(e)
	}
	if it.Data == nil {
		s.removed++
	}
	s.bytes += it.size()
	s.items[it.Key] = s.order.PushBack(&it)
	s.upto = max(s.upto, it.Ver)
	return it
}

// Set is all that one agent holds. It is not safe for concurrent use.
type Set struct {
	self    string
	sources map[string]*source
	bytes   int               // of all sources but the own
	dropped map[string]uint64 // sources that have ended, what was held of them: nobody brings them back
	ended   []string          // the same, oldest first
}

// NewSet returns the set of one life of an agent, whose own source has the name self.
func NewSet(self string) *Set {
	s := &Set{self: self, sources: map[string]*source{self: newSource()}, dropped: map[string]uint64{}}
	return s
}

// Self is the name of the own source.
func (s *Set) Self() string { return s.self }

// Put changes an item of the own source and returns its version; empty data removes it. The data is
// kept, and not to be changed.
func (s *Set) Put(key string, data []byte) uint64 {
	own := s.sources[s.self]
	own.put(Item{Key: key, Ver: own.upto + 1, Data: data})
	return own.upto
}

// Own is the version of the own source.
func (s *Set) Own() uint64 { return s.sources[s.self].upto }

// Rebase goes on under a new name for the own source, with what is not removed: after its lease
// lapsed the old name is dropped by everyone, and one that carries many removed items is due, too.
func (s *Set) Rebase(name string) {
	old, was := s.sources[s.self], s.self
	delete(s.sources, was) // its bytes are not counted
	s.self = name
	s.Drop(was)
	s.sources[name] = newSource()
	for e := old.order.Front(); e != nil; e = e.Next() {
		if it := e.Value.(*Item); it.Data != nil {
			s.Put(it.Key, it.Data)
		}
	}
}

// Stale tells whether the own source carries so many removed items that it should be rebased.
func (s *Set) Stale() bool { return s.sources[s.self].removed > maxRemoved }

// Vector is what the set holds.
func (s *Set) Vector() Vector {
	v := make(Vector, len(s.sources))
	for name, src := range s.sources {
		v[name] = src.upto
	}
	return v
}

// Has is the version held of a source, 0 if none is.
func (s *Set) Has(name string) uint64 {
	if src := s.sources[name]; src != nil {
		return src.upto
	}
	return 0
}

// Had is the version held of a source, or that was held of it when it ended.
func (s *Set) Had(name string) uint64 { return max(s.Has(name), s.dropped[name]) }

// Sources are the names of all sources.
func (s *Set) Sources() []string {
	names := make([]string, 0, len(s.sources))
	for name := range s.sources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Item is the newest of a key that a source tells, nil if there is none.
func (s *Set) Item(name, key string) []byte {
	if src := s.sources[name]; src != nil {
		if e := src.items[key]; e != nil {
			return e.Value.(*Item).Data
		}
	}
	return nil
}

// Since is what someone lacks who has v. The items are shared and not to be changed.
func (s *Set) Since(v Vector) []Delta {
	var out []Delta
	for name, src := range s.sources {
		have := v[name]
		if have >= src.upto {
			continue
		}
		d := Delta{Source: name, From: have, Upto: src.upto}
		for e := src.order.Back(); e != nil && e.Value.(*Item).Ver > have; e = e.Prev() {
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
func (s *Set) Apply(deltas []Delta) []Change {
	var out []Change
	for i := range deltas {
		d := &deltas[i]
		if d.Source == s.self || s.Dropped(d.Source) || !d.sound() {
			continue
		}
		src := s.sources[d.Source]
		if src == nil {
			if len(s.sources) >= maxSources {
				continue
			}
			src = newSource()
		}
		if d.From > src.upto || d.Upto <= src.upto || !s.room(src, d.Items) {
			continue
		}
		s.sources[d.Source] = src
		s.bytes -= src.bytes
		had := src.upto
		for _, it := range d.Items {
			if it.Ver > had {
				out = append(out, Change{d.Source, src.put(it)})
			}
		}
		s.bytes += src.bytes
	}
	return out
}

// sound tells whether a delta is one that Since makes.
func (d *Delta) sound() bool {
	ver := d.From
	for i := range d.Items {
		it := &d.Items[i]
		if it.Ver <= ver || it.Key == "" || len(it.Key) > maxName {
			return false
		}
		ver = it.Ver
	}
	return ver > d.From && ver == d.Upto && d.Source != "" && len(d.Source) <= maxName
}

// room tells whether a source may take items within the bounds.
func (s *Set) room(src *source, items []Item) bool {
	count, bytes := len(src.items), s.bytes
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

// Drop forgets a source that has ended, for good. The own one ends by Rebase only.
func (s *Set) Drop(name string) {
	if name == s.self {
		return
	}
	had := s.Has(name)
	if src := s.sources[name]; src != nil {
		s.bytes -= src.bytes
		delete(s.sources, name)
	}
	if !s.Dropped(name) {
		s.dropped[name] = had
		if s.ended = append(s.ended, name); len(s.ended) > maxSources {
			delete(s.dropped, s.ended[0])
			s.ended = s.ended[1:]
		}
	}
}

// Dropped tells whether the source has ended.
func (s *Set) Dropped(name string) bool { _, is := s.dropped[name]; return is }
