package inference

// BytesPerPrefix is about the memory of one tracked prefix.
const BytesPerPrefix = 48

// prefixCache mirrors which prompt prefixes a server's KV cache is estimated to hold, by prefix
// ID. The least recently used entries are evicted, by tokens and by number, so that memory is
// bounded. The zero value is empty, and accepts nothing until it is resized.
type prefixCache struct {
	maxTokens, tokens int
	maxEntries        int
	index             map[uint64]int32 // by prefix ID: a link to its entry
	entries           []cacheEntry
	free              int32 // link to the first unused entry; these are chained by next
	head, tail        int32 // links to the most and the least recently used entry
}

// cacheEntry is an entry of the list by use. A link is 1 + an index into entries, and 0 is none:
// links take half the memory of pointers, and the collector does not follow them.
type cacheEntry struct {
	prefix     uint64
	tokens     int32
	prev, next int32
}

// contains reports whether the prefix is cached.
func (c *prefixCache) contains(prefix uint64) bool { _, ok := c.index[prefix]; return ok }

// touch makes the prefix the most recently used one, and evicts what it displaces. One that can't
// fit at all is ignored.
func (c *prefixCache) touch(prefix uint64, tokens int) {
	if tokens > c.maxTokens || c.maxEntries < 1 {
		return
	}
	if link, ok := c.index[prefix]; ok {
		c.unlink(link)
		c.pushFront(link)
		return
	}
	if c.index == nil {
		c.index = map[uint64]int32{}
	}
	for c.tail != 0 && (c.tokens+tokens > c.maxTokens || len(c.index) >= c.maxEntries) {
		c.evict(c.tail)
	}
	link := c.allocate()
	c.entries[link-1] = cacheEntry{prefix: prefix, tokens: int32(tokens)}
	c.index[prefix] = link
	c.tokens += tokens
	c.pushFront(link)
}

// allocate returns a link to an unused entry.
func (c *prefixCache) allocate() int32 {
	if link := c.free; link != 0 {
		c.free = c.entries[link-1].next
		return link
	}
	c.entries = append(c.entries, cacheEntry{})
	return int32(len(c.entries))
}

func (c *prefixCache) evict(link int32) {
	entry := &c.entries[link-1]
	c.unlink(link)
	delete(c.index, entry.prefix)
	c.tokens -= int(entry.tokens)
	*entry = cacheEntry{next: c.free}
	c.free = link
}

func (c *prefixCache) pushFront(link int32) {
	entry := &c.entries[link-1]
	entry.prev, entry.next = 0, c.head
	if c.head != 0 {
		c.entries[c.head-1].prev = link
	}
	c.head = link
	if c.tail == 0 {
		c.tail = link
	}
}

func (c *prefixCache) unlink(link int32) {
	entry := &c.entries[link-1]
	if entry.prev != 0 {
		c.entries[entry.prev-1].next = entry.next
	} else {
		c.head = entry.next
	}
	if entry.next != 0 {
		c.entries[entry.next-1].prev = entry.prev
	} else {
		c.tail = entry.prev
	}
}

// resize sets the bounds and evicts what exceeds them.
func (c *prefixCache) resize(maxTokens, maxEntries int) {
	c.maxTokens, c.maxEntries = maxTokens, maxEntries
	for c.tail != 0 && (c.tokens > c.maxTokens || len(c.index) > c.maxEntries) {
		c.evict(c.tail)
	}
}

// reset removes all entries.
func (c *prefixCache) reset() {
	*c = prefixCache{maxTokens: c.maxTokens, maxEntries: c.maxEntries}
}

// remove drops a prefix that was never computed.
func (c *prefixCache) remove(prefix uint64) {
	if link, ok := c.index[prefix]; ok {
		c.evict(link)
	}
}
