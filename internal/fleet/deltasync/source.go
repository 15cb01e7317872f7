package deltasync

import (
	"container/list"
	"slices"
)

// sourceState is the items of one source, by key and by version.
type sourceState struct {
	version    uint64
	items      map[string]*list.Element // of byVersion
	byVersion  list.List                // of *Item, by rising version
	tombstones int
	bytes      int // of keys and data
}

func newSourceState() *sourceState { return &sourceState{items: map[string]*list.Element{}} }

// put stores the newest version of an item and returns it as stored: empty data becomes nil.
func (s *sourceState) put(item Item) Item {
	if len(item.Data) == 0 {
		item.Data = nil
	}
	if element := s.items[item.Key]; element != nil {
		old := element.Value.(*Item)
		if old.Data == nil {
			s.tombstones--
		}
		s.bytes -= old.size()
		s.byVersion.Remove(element)
	}
	if item.Data == nil {
		s.tombstones++
	}
	s.bytes += item.size()
	s.items[item.Key] = s.byVersion.PushBack(&item)
	s.version = max(s.version, item.Version)
	return item
}

// itemsSince returns the items that are newer than a version, by rising version. Its cost is
// proportional to their number.
func (s *sourceState) itemsSince(version uint64) (items []Item) {
	for element := s.byVersion.Back(); element != nil; element = element.Prev() {
		item := element.Value.(*Item)
		if item.Version <= version {
			break
		}
		items = append(items, *item)
	}
	slices.Reverse(items)
	return items
}
