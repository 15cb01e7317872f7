package deltasync

import (
	"cmp"
	"slices"
)

// maxTombstones is how many tombstones the own source may have before it needs compaction.
const maxTombstones = 2048

// Store is all items that one agent has. It is not safe for concurrent use.
type Store struct {
	ownSource     string
	sources       map[string]*sourceState
	remoteBytes   int               // of all sources but the own
	endedVersions map[string]uint64 // sources that have ended, with the version that was present
	endedOrder    []string          // the same sources, oldest first
}

// NewStore returns the store of one incarnation of an agent, whose own source has a given name.
func NewStore(ownSource string) *Store {
	return &Store{
		ownSource:     ownSource,
		sources:       map[string]*sourceState{ownSource: newSourceState()},
		endedVersions: map[string]uint64{},
	}
}

// OwnSource is the name of the own source.
func (s *Store) OwnSource() string { return s.ownSource }

// OwnVersion is the version of the own source.
func (s *Store) OwnVersion() uint64 { return s.sources[s.ownSource].version }

// Put sets an item of the own source and returns its version; empty data removes it. The data is
// retained and must not be changed.
func (s *Store) Put(key string, data []byte) uint64 {
	own := s.sources[s.ownSource]
	own.put(Item{Key: key, Version: own.version + 1, Data: data})
	return own.version
}

// StartIncarnation continues the own source under a new name, with its items in the same order but
// without tombstones. The old name has ended.
func (s *Store) StartIncarnation(name string) {
	oldName, old := s.ownSource, s.sources[s.ownSource]
	delete(s.sources, oldName) // its bytes are not counted
	s.ownSource = name
	s.EndSource(oldName)
	s.sources[name] = newSourceState()
	for element := old.byVersion.Front(); element != nil; element = element.Next() {
		if item := element.Value.(*Item); item.Data != nil {
			s.Put(item.Key, item.Data)
		}
	}
}

// NeedsCompaction reports whether the own source has so many tombstones that a new incarnation should
// be started.
func (s *Store) NeedsCompaction() bool { return s.sources[s.ownSource].tombstones > maxTombstones }

// Vector returns the versions that are present.
func (s *Store) Vector() Vector {
	vector := make(Vector, len(s.sources))
	for name, source := range s.sources {
		vector[name] = source.version
	}
	return vector
}

// Version is the version of a source that is present, 0 if none is.
func (s *Store) Version(name string) uint64 {
	if source := s.sources[name]; source != nil {
		return source.version
	}
	return 0
}

// LastVersion is the version of a source that is present, or that was when the source ended.
func (s *Store) LastVersion(name string) uint64 { return max(s.Version(name), s.endedVersions[name]) }

// Sources returns the names of all sources, sorted.
func (s *Store) Sources() []string {
	names := make([]string, 0, len(s.sources))
	for name := range s.sources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Item returns the data of an item, nil if there is none. It must not be changed.
func (s *Store) Item(name, key string) []byte {
	if source := s.sources[name]; source != nil {
		if element := source.items[key]; element != nil {
			return element.Value.(*Item).Data
		}
	}
	return nil
}

// DeltasSince returns what an agent with a given vector lacks, by source. The data is shared and must
// not be changed.
func (s *Store) DeltasSince(vector Vector) []Delta {
	var deltas []Delta
	for name, source := range s.sources {
		if present := vector[name]; present < source.version {
			deltas = append(deltas, Delta{Source: name, From: present, To: source.version, Items: source.itemsSince(present)})
		}
	}
	slices.SortFunc(deltas, func(a, b Delta) int { return cmp.Compare(a.Source, b.Source) })
	return deltas
}

// Apply stores what another agent sent and returns the changes. A delta is ignored as a whole if it
// begins after the version that is present, if it is of the own source or of one that has ended, or
// if it is invalid or too large. Its sender will send what is lacking by the next vector.
func (s *Store) Apply(deltas []Delta) []Change {
	var changes []Change
	for i := range deltas {
		d := &deltas[i]
		if d.Source == s.ownSource || s.Ended(d.Source) || !d.valid() {
			continue
		}
		source := s.sources[d.Source]
		if source == nil {
			if len(s.sources) >= maxSources {
				continue
			}
			source = newSourceState()
		}
		if d.From > source.version || d.To <= source.version || !s.hasCapacity(source, d.Items) {
			continue
		}
		s.sources[d.Source] = source
		changes = s.applyItems(d, source, changes)
	}
	return changes
}

// applyItems stores the new items of a delta and appends them to changes.
func (s *Store) applyItems(d *Delta, source *sourceState, changes []Change) []Change {
	s.remoteBytes -= source.bytes
	present := source.version
	for _, item := range d.Items {
		if item.Version > present {
			changes = append(changes, Change{d.Source, source.put(item)})
		}
	}
	s.remoteBytes += source.bytes
	return changes
}

// hasCapacity reports whether a source may take items within the bounds.
func (s *Store) hasCapacity(source *sourceState, items []Item) bool {
	count, bytes := len(source.items), s.remoteBytes
	for i := range items {
		if element := source.items[items[i].Key]; element == nil {
			count++
		} else {
			bytes -= element.Value.(*Item).size()
		}
		bytes += items[i].size()
	}
	return count <= maxItems && bytes <= maxBytes
}

// EndSource drops a source for good: deltas of it are ignored from then on. The own source ends by
// StartIncarnation only.
func (s *Store) EndSource(name string) {
	if name == s.ownSource {
		return
	}
	version := s.Version(name)
	if source := s.sources[name]; source != nil {
		s.remoteBytes -= source.bytes
		delete(s.sources, name)
	}
	if s.Ended(name) {
		return
	}
	s.endedVersions[name] = version
	s.endedOrder = append(s.endedOrder, name)
	if len(s.endedOrder) > maxSources {
		delete(s.endedVersions, s.endedOrder[0])
		s.endedOrder = s.endedOrder[1:]
	}
}

// Ended reports whether a source has ended.
func (s *Store) Ended(name string) bool {
	_, ended := s.endedVersions[name]
	return ended
}
