package deltasync

import (
	"cmp"
	"slices"
)

// maxTombstones is the number of tombstones above which the own source needs compaction.
const maxTombstones = 2048

// Store holds all items that one agent has. It is not safe for concurrent use.
type Store struct {
	ownSource     string
	sources       map[string]*sourceState
	remoteBytes   int               // total size of the items of all sources except the own one
	endedVersions map[string]uint64 // last known version of each source that has ended
	endedOrder    []string          // the sources that have ended, oldest first
}

// NewStore returns the store of one incarnation of an agent. ownSource is the name of the agent's own source.
func NewStore(ownSource string) *Store {
	return &Store{
		ownSource:     ownSource,
		sources:       map[string]*sourceState{ownSource: newSourceState()},
		endedVersions: map[string]uint64{},
	}
}

// OwnSource returns the name of the agent's own source.
func (s *Store) OwnSource() string { return s.ownSource }

// OwnVersion returns the version of the own source.
func (s *Store) OwnVersion() uint64 { return s.sources[s.ownSource].version }

// Put sets an item of the own source and returns its version; empty data removes the item. The store keeps
// the data, which must not be changed.
func (s *Store) Put(key string, data []byte) uint64 {
	own := s.sources[s.ownSource]
	own.put(Item{Key: key, Version: own.version + 1, Data: data})
	return own.version
}

// StartIncarnation replaces the own source by one with a new name and the same items in the same order,
// without tombstones. The old source has then ended.
func (s *Store) StartIncarnation(name string) {
	oldName, oldSource := s.ownSource, s.sources[s.ownSource]
	delete(s.sources, oldName) // before EndSource, as remoteBytes does not include the own source
	s.ownSource = name
	s.EndSource(oldName)
	s.sources[name] = newSourceState()
	for element := oldSource.byVersion.Front(); element != nil; element = element.Next() {
		if item := element.Value.(*Item); item.Data != nil {
			s.Put(item.Key, item.Data)
		}
	}
}

// NeedsCompaction reports whether the own source has more than maxTombstones tombstones. StartIncarnation
// then removes them.
func (s *Store) NeedsCompaction() bool { return s.sources[s.ownSource].tombstones > maxTombstones }

// Vector returns the versions that are present.
func (s *Store) Vector() Vector {
	vector := make(Vector, len(s.sources))
	for name, source := range s.sources {
		vector[name] = source.version
	}
	return vector
}

// Version returns the version of a source that is present, or 0 if the store does not have the source.
func (s *Store) Version(name string) uint64 {
	if source := s.sources[name]; source != nil {
		return source.version
	}
	return 0
}

// LastVersion returns the version of a source that is present, or was present when the source ended.
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

// SourceCount returns the number of sources.
func (s *Store) SourceCount() int { return len(s.sources) }

// Item returns the data of an item, or nil if there is none. The data must not be changed.
func (s *Store) Item(name, key string) []byte {
	if source := s.sources[name]; source != nil {
		if element := source.items[key]; element != nil {
			return element.Value.(*Item).Data
		}
	}
	return nil
}

// DeltasSince returns what an agent with a given vector lacks, sorted by source. The items' data is shared
// with the store and must not be changed.
func (s *Store) DeltasSince(vector Vector) []Delta {
	var deltas []Delta
	for name, source := range s.sources {
		if receiverVersion := vector[name]; receiverVersion < source.version {
			deltas = append(deltas, Delta{Source: name, From: receiverVersion, To: source.version, Items: source.itemsSince(receiverVersion)})
		}
	}
	slices.SortFunc(deltas, func(a, b Delta) int { return cmp.Compare(a.Source, b.Source) })
	return deltas
}

// Apply stores the deltas that another agent sent and returns the resulting changes. It ignores a delta
// entirely if the delta begins after the version that is present, belongs to the own source or to a source
// that has ended, is invalid, or exceeds a limit. The sender sends it again once it has this store's next
// vector.
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

// applyItems stores the items of a delta that are newer than the source, and appends them to changes.
func (s *Store) applyItems(d *Delta, source *sourceState, changes []Change) []Change {
	s.remoteBytes -= source.bytes
	previousVersion := source.version
	for _, item := range d.Items {
		if item.Version > previousVersion {
			changes = append(changes, Change{d.Source, source.put(item)})
		}
	}
	s.remoteBytes += source.bytes
	return changes
}

// hasCapacity reports whether adding items to a source keeps it within maxItems and the store within maxBytes.
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

// EndSource removes a source permanently: its deltas are ignored from then on. It does nothing for the own
// source, which only StartIncarnation ends.
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
