package inference

// prefixCache is the prompt parts that a server is taken to keep, by the hash of the chain that ends
// with each: a part is kept only together with all before it. Those unused longest give way,
// by tokens and by number, so that memory is bounded.
type prefixCache struct {
	maxTokens, tokens int // in tokens
	maxEntries        int // parts
	index             map[uint64]int32
	entries           []cacheEntry
	free              int32 // 1 + the first free node, linked by next
	head, tail        int32 // 1 + the latest used, and the one unused longest; 0: none
}

type cacheEntry struct {
	prefix     uint64
	tokens     int32
	prev, next int32 // 1 + the neighbours
}

// BytesPerPrefix is about what one remembered part takes.
const BytesPerPrefix = 48

// contains tells whether the part is kept, by its chain.
func (k *prefixCache) contains(chain uint64) bool { _, ok := k.index[chain]; return ok }

// touch makes the part the latest used, and drops what has no room any more.
func (k *prefixCache) touch(chain uint64, tokens int) {
	if tokens > k.maxTokens || k.maxEntries < 1 {
		return
	}
	if i, ok := k.index[chain]; ok {
		k.unlink(i)
		k.pushFront(i)
		return
	}
	if k.index == nil {
		k.index = map[uint64]int32{}
	}
	for k.tail != 0 && (k.tokens+tokens > k.maxTokens || len(k.index) >= k.maxEntries) {
		k.evict(k.tail)
	}
	i := k.free
	if i != 0 {
		k.free = k.entries[i-1].next
	} else {
		k.entries = append(k.entries, cacheEntry{})
		i = int32(len(k.entries))
	}
	k.entries[i-1] = cacheEntry{prefix: chain, tokens: int32(tokens)}
	k.index[chain] = i
	k.tokens += tokens
	k.pushFront(i)
}

func (k *prefixCache) evict(i int32) {
	n := &k.entries[i-1]
	k.unlink(i)
	delete(k.index, n.prefix)
	k.tokens -= int(n.tokens)
	*n = cacheEntry{next: k.free}
	k.free = i
}

func (k *prefixCache) pushFront(i int32) {
	n := &k.entries[i-1]
	n.prev, n.next = 0, k.head
	if k.head != 0 {
		k.entries[k.head-1].prev = i
	}
	k.head = i
	if k.tail == 0 {
		k.tail = i
	}
}

func (k *prefixCache) unlink(i int32) {
	n := &k.entries[i-1]
	if n.prev != 0 {
		k.entries[n.prev-1].next = n.next
	} else {
		k.head = n.next
	}
	if n.next != 0 {
		k.entries[n.next-1].prev = n.prev
	} else {
		k.tail = n.prev
	}
}

// resize sets the bounds; what is over them goes.
func (k *prefixCache) resize(room, most int) {
	k.maxTokens, k.maxEntries = room, most
	for k.tail != 0 && (k.tokens > k.maxTokens || len(k.index) > k.maxEntries) {
		k.evict(k.tail)
	}
}

// reset forgets all.
func (k *prefixCache) reset() { *k = prefixCache{maxTokens: k.maxTokens, maxEntries: k.maxEntries} }

// remove drops a part that was never read.
func (k *prefixCache) remove(chain uint64) {
	if i, ok := k.index[chain]; ok {
		k.evict(i)
	}
}
