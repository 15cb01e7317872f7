package inference

// kept is the prompt parts that a server is taken to keep, by the hash of the chain that ends
// with each: a part is kept only together with all before it. Those unused longest give way,
// by tokens and by number, so that memory is bounded.
type kept struct {
	room, tokens int // in tokens
	most         int // parts
	index        map[uint64]int32
	nodes        []node
	free         int32 // 1 + the first free node, linked by next
	head, tail   int32 // 1 + the latest used, and the one unused longest; 0: none
}

type node struct {
	chain      uint64
	tokens     int32
	prev, next int32 // 1 + the neighbours
}

// BytesPerPart is about what one remembered part takes.
const BytesPerPart = 48

// has tells whether the part is kept, by its chain.
func (k *kept) has(chain uint64) bool { _, ok := k.index[chain]; return ok }

// use makes the part the latest used, and drops what has no room any more.
func (k *kept) use(chain uint64, tokens int) {
	if tokens > k.room || k.most < 1 {
		return
	}
	if i, ok := k.index[chain]; ok {
		k.unlink(i)
		k.link(i)
		return
	}
	if k.index == nil {
		k.index = map[uint64]int32{}
	}
	for k.tail != 0 && (k.tokens+tokens > k.room || len(k.index) >= k.most) {
		k.drop(k.tail)
	}
	i := k.free
	if i != 0 {
		k.free = k.nodes[i-1].next
	} else {
		k.nodes = append(k.nodes, node{})
		i = int32(len(k.nodes))
	}
	k.nodes[i-1] = node{chain: chain, tokens: int32(tokens)}
	k.index[chain] = i
	k.tokens += tokens
	k.link(i)
}

func (k *kept) drop(i int32) {
	n := &k.nodes[i-1]
	k.unlink(i)
	delete(k.index, n.chain)
	k.tokens -= int(n.tokens)
	*n = node{next: k.free}
	k.free = i
}

func (k *kept) link(i int32) {
	n := &k.nodes[i-1]
	n.prev, n.next = 0, k.head
	if k.head != 0 {
		k.nodes[k.head-1].prev = i
	}
	k.head = i
	if k.tail == 0 {
		k.tail = i
	}
}

func (k *kept) unlink(i int32) {
	n := &k.nodes[i-1]
	if n.prev != 0 {
		k.nodes[n.prev-1].next = n.next
	} else {
		k.head = n.next
	}
	if n.next != 0 {
		k.nodes[n.next-1].prev = n.prev
	} else {
		k.tail = n.prev
	}
}

// resize sets the bounds; what is over them goes.
func (k *kept) resize(room, most int) {
	k.room, k.most = room, most
	for k.tail != 0 && (k.tokens > k.room || len(k.index) > k.most) {
		k.drop(k.tail)
	}
}

// reset forgets all.
func (k *kept) reset() { *k = kept{room: k.room, most: k.most} }

// forget drops a part that was never read.
func (k *kept) forget(chain uint64) {
	if i, ok := k.index[chain]; ok {
		k.drop(i)
	}
}
