package deltasync

import (
	"container/list"
	"slices"
)

// sourceState holds the items of one source, indexed by key and by version.
type sourceState struct {
	version    uint64
	items      map[string]*list.Element // elements of byVersion, by key
	byVersion  list.List                // values of type *Item, in ascending order of versions
	tombstones int                      // number of items that are tombstones
	bytes      int                      // total size of keys and data
}

func newSourceState() *sourceState { return &sourceState{items: map[string]*list.Element{}} }

// put stores the newest version of an item and returns the item as stored: empty data becomes nil.
func (s *sourceState) put(item Item) Item {
	if len(item.Data) == 0 {
		item.Data = nil
	}
	if element := s.items[item.Key]; element != nil {
		oldItem := element.Value.(*Item)
		if oldItem.Data == nil {
			s.tombstones--
		}
		s.bytes -= oldItem.size()
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

// itemsSince returns the items that are newer than a version, in ascending order of versions. Its running
// time is proportional to the number of these items.
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
