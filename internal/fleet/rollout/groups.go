package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// buckets is the number of hash groups: prompts whose shared parts hash alike are one group.
	buckets = 4096
	// window is for how long a server that was sent requests of a group counts as a replica that
	// holds its parts; it passes in epochs.
	window, epochs = 300 * time.Second, 6
	epoch          = window / epochs
	// maxRows bounds the servers and maxHot the groups that are known by name, maxRegions the
	// regions that are told apart.
	maxRows, maxHot, maxRegions = 8192, 256, 8
	// maxPairs bounds what an agent tells of groups in one report, hotKeys the groups that it counts
	// by name, hotLeast the requests of an epoch and hotPart the part of all from which one is hot.
	maxPairs, hotKeys, hotLeast, hotPart = 4096, 32, 20, 0.01
	// most is the highest count of one report.
	most = 1<<16 - 1
)

// Group is a prompt group: all that a route is sent with the same shared parts. Key 0 stands for
// prompts without such parts, which no server holds anything of.
type Group struct {
	Route string `msgpack:"r"`
	Key   uint64 `msgpack:"k"`
}

func (g Group) bucket() uint16 { return uint16(inference.Mix64(g.Key^hashID(g.Route)) % buckets) }

// Tracker is an agent's part: what it sent where. It is not safe for concurrent use.
type Tracker struct {
	ends  time.Duration // of the epoch
	pairs map[pair]int
	names map[named]int
	hot   map[Group]int
	sent  int
}

type (
	pair struct {
		route, server string
		bucket        uint16
	}
	named struct {
		Group
		server string
	}
)

// NewTracker returns a tracker that knows of nothing.
func NewTracker() *Tracker {
	return &Tracker{pairs: map[pair]int{}, names: map[named]int{}, hot: map[Group]int{}}
}

// Sent takes that a request of a group went to a server.
func (t *Tracker) Sent(now time.Duration, server string, g Group) {
	if g.Key == 0 {
		return
	}
	if now >= t.ends {
		t.ends = now + epoch
		clear(t.hot)
		t.sent = 0
	}
	t.sent++
	bump(t.pairs, pair{g.Route, server, g.bucket()})
	if n := t.count(g); n >= hotLeast && float64(n) >= hotPart*float64(t.sent) {
		bump(t.names, named{g, server})
	}
}

func bump[K comparable](m map[K]int, k K) {
	if n, ok := m[k]; ok || len(m) < maxPairs {
		m[k] = min(n+1, most)
	}
}

// count is a space-saving counter: a newcomer takes the place of the rarest, with its count. One in
// a few newcomers is enough to find the hot ones.
func (t *Tracker) count(g Group) int {
	const few = 8
	n, ok := t.hot[g]
	switch {
	case ok, len(t.hot) < hotKeys:
		t.hot[g] = n + 1
		return n + 1
	case t.sent%few != 0:
		return 0
	}
	var rarest Group
	n = -1
	for k, x := range t.hot {
		if n < 0 || x < n {
			rarest, n = k, x
		}
	}
	delete(t.hot, rarest)
	t.hot[g] = n + 1
	return 0 // it is known by its hash first
}

// Sends is what a report tells of groups: for each route and server its buckets, each with how many
// requests went there, as bucket<<16 | requests; and the hot groups by name.
type Sends struct {
	Buckets map[string]map[string][]uint32 `msgpack:"b,omitempty"`
	Hot     map[string][]Hot               `msgpack:"h,omitempty"` // by server
}

// Hot is a hot group, and how many of its requests went to a server.
type Hot struct {
	Group
	N int `msgpack:"n"`
}

// Take hands out what is new since it was taken last.
func (t *Tracker) Take() Sends {
	var s Sends
	for p, n := range t.pairs {
		if s.Buckets == nil {
			s.Buckets = map[string]map[string][]uint32{}
		}
		if s.Buckets[p.route] == nil {
			s.Buckets[p.route] = map[string][]uint32{}
		}
		s.Buckets[p.route][p.server] = append(s.Buckets[p.route][p.server], uint32(p.bucket)<<16|uint32(n))
	}
	for g, n := range t.names {
		if s.Hot == nil {
			s.Hot = map[string][]Hot{}
		}
		s.Hot[g.server] = append(s.Hot[g.server], Hot{g.Group, n})
	}
	clear(t.pairs)
	clear(t.names)
	return s
}

// Groups is what the holder knows of where groups have replicas, by what all agents sent where.
// Its memory is bounded by buckets times servers, a byte each. It is not safe for concurrent use.
type Groups struct {
	began   time.Duration
	ticked  time.Duration
	rows    map[string]*[buckets]uint8 // by server; the epochs until it is no replica any more
	meta    [buckets]meta
	hot     map[Group]*hot
	regions []string
	routes  []string
}

// meta is what a group needs.
type meta struct {
	sent    float32 // requests in the window
	regions uint8   // in which it is asked for
	floor   uint8   // the highest of its routes'
	allow   sides   // what all of its routes allow
	route   uint8   // the one that needs the most: 1 + its index
}

type hot struct {
	meta
	at map[string]uint8
}

// NewGroups returns what is known before anything was told.
func NewGroups() *Groups {
	return &Groups{rows: map[string]*[buckets]uint8{}, hot: map[Group]*hot{}}
}

// Add takes what an agent in a region sent where.
func (g *Groups) Add(spec *Spec, region string, s *Sends) {
	at := g.region(region)
	for route, servers := range s.Buckets {
		floor, allow, r := min(spec.floor(route), 255), spec.allows(route), g.route(route)
		for server, list := range servers {
			row := g.rows[server]
			if row == nil {
				if len(g.rows) >= maxRows {
					continue
				}
				row = new([buckets]uint8)
				g.rows[server] = row
			}
			for _, x := range list {
				if b := x >> 16; b < buckets {
					row[b] = epochs
					g.meta[b].need(at, uint8(floor), allow, r, int(x&most))
				}
			}
		}
	}
	for server, list := range s.Hot {
		for _, k := range list {
			h := g.hot[k.Group]
			if h == nil {
				if len(g.hot) >= maxHot {
					continue // it is in its bucket
				}
				h = &hot{at: map[string]uint8{}}
				g.hot[k.Group] = h
			}
			if len(h.at) < maxRows {
				h.at[server] = epochs
			}
			h.need(at, uint8(min(spec.floor(k.Route), 255)), spec.allows(k.Route), g.route(k.Route), min(max(k.N, 0), most))
		}
	}
}

func (m *meta) need(region int, floor uint8, allow sides, route uint8, sent int) {
	m.sent += float32(sent)
	if region >= 0 {
		m.regions |= 1 << region
	}
	if m.route == 0 || floor > m.floor {
		m.floor, m.route = floor, route
	}
	if m.allow == 0 {
		m.allow = oldSide | newSide
	}
	m.allow &= allow
}

func (g *Groups) region(name string) int {
	i := slices.Index(g.regions, name)
	if i < 0 && len(g.regions) < maxRegions {
		g.regions = append(g.regions, name)
		i = len(g.regions) - 1
	}
	return i
}

func (g *Groups) route(name string) uint8 {
	i := slices.Index(g.routes, name)
	if i < 0 && len(g.routes) < 254 {
		g.routes = append(g.routes, name)
		i = len(g.routes) - 1
	}
	return uint8(i + 1)
}

// Tick lets time pass: what was not sent to for a window holds nothing any more.
func (g *Groups) Tick(now time.Duration) {
	if g.ticked == 0 {
		g.began, g.ticked = now, now
	}
	for n := 0; now-g.ticked >= epoch; n++ {
		if g.ticked += epoch; n >= epochs {
			continue // all has faded
		}
		for id, row := range g.rows {
			var any uint8
			for b := range row {
				if row[b] > 0 {
					row[b]--
				}
				any |= row[b]
			}
			if any == 0 {
				delete(g.rows, id)
			}
		}
		for k, h := range g.hot {
			for id := range h.at {
				if h.at[id]--; h.at[id] == 0 {
					delete(h.at, id)
				}
			}
			if h.sent -= h.sent / epochs; len(h.at) == 0 {
				delete(g.hot, k)
			}
		}
		for b := range g.meta {
			g.meta[b].sent -= g.meta[b].sent / epochs
		}
	}
}

// Short is a group that has fewer replicas than it needs.
type Short struct {
	Group string `json:"group"`
	Have  int    `json:"have"`
	Need  int    `json:"need"`
}

func (s Short) String() string {
	return fmt.Sprintf("group %s has %d replicas beside it, and needs %d", s.Group, s.Have, s.Need)
}

// replica is a server that may count as one.
type replica struct {
	region string
	side   sides
	serves bool // it is well, and has a share that counts
}

// short finds the groups of a server that would be short of replicas without it: how many, and the
// one that lacks most. They are those only that it was sent of late and that came at least so often
// in the window: one that comes seldom is read anew by its next request, wherever that goes. With
// bare they are those only that would have no replica at all.
func (g *Groups) short(id string, servers map[string]replica, often float64, bare bool) (n int, worst Short) {
	x := servers[id]
	at := slices.Index(g.regions, x.region)
	if at < 0 {
		return 0, worst
	}
	counts := func(other string, allow sides) bool {
		s := servers[other]
		return s.serves && s.region == x.region && other != id && s.side&allow != 0
	}
	look := func(m *meta, have int, name func() string) {
		need := int(m.floor)
		if bare {
			need = min(need, 1)
		}
		if have >= need {
			return
		}
		if n++; n == 1 || need-have > worst.Need-worst.Have {
			worst = Short{name(), have, need}
		}
	}
	asks := func(m *meta) bool { return float64(m.sent) >= often && m.regions&(1<<at) != 0 }
	if row := g.rows[id]; row != nil {
		var list [buckets]uint16
		var have [buckets]uint16
		k := 0
		for b, level := range row {
			if level >= epochs-1 && asks(&g.meta[b]) {
				list[k] = uint16(b)
				k++
			}
		}
		for other, r := range g.rows {
			for _, side := range []sides{oldSide, newSide} {
				if !counts(other, side) {
					continue
				}
				for i, b := range list[:k] {
					if r[b] > 0 && g.meta[b].allow&side != 0 {
						have[i]++
					}
				}
			}
		}
		for i, b := range list[:k] {
			m := &g.meta[b]
			look(m, int(have[i]), func() string { return fmt.Sprintf("%s/#%d", g.routeName(m.route), b) })
		}
	}
	for _, k := range g.hotKeys() {
		h := g.hot[k]
		if h.at[id] < epochs-1 || !asks(&h.meta) {
			continue
		}
		have := 0
		for other := range h.at {
			if counts(other, h.allow) {
				have++
			}
		}
		look(&h.meta, have, func() string { return fmt.Sprintf("%s/%x", k.Route, k.Key) })
	}
	return n, worst
}

func (g *Groups) hotKeys() []Group {
	keys := make([]Group, 0, len(g.hot))
	for k := range g.hot {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Group) int { return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key)) })
	return keys
}

func (g *Groups) routeName(i uint8) string {
	if i == 0 || int(i) > len(g.routes) {
		return "?"
	}
	return g.routes[i-1]
}

// often is how many requests a group that comes once in so long has had since all began to tell.
func (g *Groups) often(now time.Duration, every time.Duration) float64 {
	return float64(min(now-g.began, window)) / float64(every)
}

// Counts is how many groups have so many replicas, up to the last; for operators.
func (g *Groups) Counts() (out [8]int) {
	var have [buckets]uint16
	for _, row := range g.rows {
		for b := range row {
			if row[b] > 0 {
				have[b]++
			}
		}
	}
	for _, n := range have {
		if n > 0 {
			out[min(int(n), len(out)-1)]++
		}
	}
	return out
}

// Size is about what it takes, in bytes.
func (g *Groups) Size() int {
	n := (len(g.rows) + 4) * buckets
	for _, h := range g.hot {
		n += 64 + 32*len(h.at)
	}
	return n
}
