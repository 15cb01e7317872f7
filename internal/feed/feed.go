// Package feed holds what has to reach every agent: items by source, each source with a version
// of its own. Agents tell each other what they have by a vector of versions, one for each source,
// and are given what they lack. It is pure.
//
// A source is one life of one agent, and only that life writes it; the configuration is a source
// that all members of the core write alike, as its versions are those of the chain. Of an item
// only the newest version is kept, so a delta from any version is bounded by the items there are,
// and traffic grows with what changed.
package feed

import (
	"container/list"
	"slices"
)

const (
	// maxItems bounds the items of one source, removed ones included, and maxSources the sources.
	maxItems, maxSources = 16384, 4096
	// maxRemoved is how many removed items a source carries before it has to be rebased.
	maxRemoved = 2048
)

// Item is one thing that a source tells. Data is opaque here; nil: the item was removed.
type Item struct {
	Key  string `msgpack:"k"`
	Ver  uint64 `msgpack:"v"`
	Data []byte `msgpack:"d"`
}

// Vector tells what of each source is held: all up to the version.
type Vector map[string]uint64

// Delta is what a source changed after From, up to Upto: the newest version of each item.
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
}

func newSource() *source { return &source{items: map[string]*list.Element{}} }

func (s *source) put(it Item) {
	if e := s.items[it.Key]; e != nil {
		if e.Value.(*Item).Data == nil {
			s.removed--
		}
		s.order.Remove(e)
	}
	if it.Data == nil {
		s.removed++
	}
	s.items[it.Key] = s.order.PushBack(&it)
	s.upto = max(s.upto, it.Ver)
}

// Set is all that one agent holds. It is not safe for concurrent use.
type Set struct {
	self    string
	sources map[string]*source
	dropped map[string]bool // sources that have ended: nobody brings them back
	ended   []string        // the same, oldest first
}

// NewSet returns the set of one life of an agent, whose own source has the name self.
func NewSet(self string) *Set {
	s := &Set{self: self, sources: map[string]*source{self: newSource()}, dropped: map[string]bool{}}
	return s
}

// Self is the name of the own source.
func (s *Set) Self() string { return s.self }

// Put changes an item of the own source and returns its version; nil data removes it.
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
	old := s.sources[s.self]
	s.Drop(s.self)
	s.self = name
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
// what is held, that is of the own source or of one that has ended, or that is out of bounds, is
// passed over: its sender is asked anew by the vector.
func (s *Set) Apply(deltas []Delta) []Change {
	var out []Change
	for _, d := range deltas {
		if d.Source == s.self || s.dropped[d.Source] || d.Source == "" {
			continue
		}
		src := s.sources[d.Source]
		if src == nil {
			if len(s.sources) >= maxSources {
				continue
			}
			src = newSource()
		}
		if d.From > src.upto || d.Upto <= src.upto || len(src.items)+len(d.Items) > maxItems {
			continue
		}
		s.sources[d.Source] = src
		for _, it := range d.Items {
			if it.Ver <= src.upto || it.Ver > d.Upto {
				continue
			}
			if len(it.Data) == 0 {
				it.Data = nil
			}
			src.put(it)
			out = append(out, Change{d.Source, it})
		}
		src.upto = d.Upto
	}
	return out
}

// Drop forgets a source that has ended, for good.
func (s *Set) Drop(name string) {
	delete(s.sources, name)
	if !s.dropped[name] {
		s.dropped[name] = true
		if s.ended = append(s.ended, name); len(s.ended) > maxSources {
			delete(s.dropped, s.ended[0])
			s.ended = s.ended[1:]
		}
	}
}

// Dropped tells whether the source has ended.
func (s *Set) Dropped(name string) bool { return s.dropped[name] }
