package inference

// BytesPerPrefix is the approximate memory that one tracked prefix takes.
const BytesPerPrefix = 48

// prefixCache tracks the prompt prefixes that a server's KV cache is estimated to hold. It is an LRU
// cache that is bounded both by tokens and by entries. The zero value is empty and accepts nothing
// until it is resized.
type prefixCache struct {
	maxTokens, tokens int
	maxEntries        int
	index             map[uint64]int32 // links to the entries by prefix ID
	entries           []cacheEntry
	free              int32 // link to the first unused entry; next links the others
	head, tail        int32 // links to the most and the least recently used entry
}

// cacheEntry is an entry of the LRU list. A link is an index into entries plus 1, or 0 for no entry.
// Links take half the memory of pointers, and the garbage collector does not follow them.
type cacheEntry struct {
	prefix     uint64
	tokens     int32
	prev, next int32
}

// contains reports whether the prefix is cached.
func (c *prefixCache) contains(prefix uint64) bool { _, ok := c.index[prefix]; return ok }

// touch makes the prefix the most recently used one. It adds the prefix if needed, evicting others to
// make room. A prefix with more tokens than the cache can hold is ignored.
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

// allocate returns a link to an unused entry, and adds one if there is none.
func (c *prefixCache) allocate() int32 {
	if link := c.free; link != 0 {
		c.free = c.entries[link-1].next
		return link
	}
	c.entries = append(c.entries, cacheEntry{})
	return int32(len(c.entries))
}

// evict removes an entry and makes it reusable.
func (c *prefixCache) evict(link int32) {
	entry := &c.entries[link-1]
	c.unlink(link)
	delete(c.index, entry.prefix)
	c.tokens -= int(entry.tokens)
	*entry = cacheEntry{next: c.free}
	c.free = link
}

// pushFront makes an entry the head of the list.
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

// unlink removes an entry from the list only.
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

// resize sets the bounds and evicts entries until the cache is within them.
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

// remove removes a prefix if it is cached.
func (c *prefixCache) remove(prefix uint64) {
	if link, ok := c.index[prefix]; ok {
		c.evict(link)
	}
}
