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
	// replicaWindow is for how long a server that was sent requests of a group counts as a replica that
	// holds its parts; it passes in epochs.
	replicaWindow, epochs = 300 * time.Second, 6
	epochDuration         = replicaWindow / epochs
	// maxRows bounds the servers and maxHotGroups the groups that are known by name, maxRegions the
	// regions that are told apart.
	maxRows, maxHotGroups, maxRegions = 8192, 256, 8
	// maxReportPairs bounds what an agent tells of groups in one report, hotKeys the groups that it counts
	// by name, minHotRequests the requests of an epoch and minHotShare the part of all from which one is hot.
	maxReportPairs, trackedHotGroups, minHotRequests, minHotShare = 4096, 32, 20, 0.01
	// maxCount is the highest count of one report.
	maxCount = 1<<16 - 1
)

// Group is a prompt group: all that a route is sent with the same shared parts. Key 0 stands for
// prompts without such parts, which no server holds anything of.
type Group struct {
	Route string `msgpack:"r"`
	Key   uint64 `msgpack:"k"`
}

func (g Group) bucket() uint16 { return uint16(inference.Mix64(g.Key^hashID(g.Route)) % buckets) }

// SendTracker is an agent's part: what it sent where. It is not safe for concurrent use.
type SendTracker struct {
	epochEndsAt   time.Duration // of the epoch
	bucketSends   map[bucketSend]int
	groupSends    map[groupSend]int
	hotCounts     map[Group]int
	epochRequests int
}

type (
	bucketSend struct {
		route, server string
		bucket        uint16
	}
	groupSend struct {
		Group
		server string
	}
)

// NewSendTracker returns a tracker that knows of nothing.
func NewSendTracker() *SendTracker {
	return &SendTracker{bucketSends: map[bucketSend]int{}, groupSends: map[groupSend]int{}, hotCounts: map[Group]int{}}
}

// Record takes that a request of a group went to a server.
func (t *SendTracker) Record(now time.Duration, server string, g Group) {
	if g.Key == 0 {
		return
	}
	if now >= t.epochEndsAt {
		t.epochEndsAt = now + epochDuration
		clear(t.hotCounts)
		t.epochRequests = 0
	}
	t.epochRequests++
	incrementBounded(t.bucketSends, bucketSend{g.Route, server, g.bucket()})
	if n := t.countHot(g); n >= minHotRequests && float64(n) >= minHotShare*float64(t.epochRequests) {
		incrementBounded(t.groupSends, groupSend{g, server})
	}
}

func incrementBounded[K comparable](m map[K]int, k K) {
	if n, ok := m[k]; ok || len(m) < maxReportPairs {
		m[k] = min(n+1, maxCount)
	}
}

// countHot is a space-saving counter: a newcomer takes the place of the rarest, with its count. One in
// a few newcomers is enough to find the hot ones.
func (t *SendTracker) countHot(g Group) int {
	const few = 8
	n, ok := t.hotCounts[g]
	switch {
	case ok, len(t.hotCounts) < trackedHotGroups:
		t.hotCounts[g] = n + 1
		return n + 1
	case t.epochRequests%few != 0:
		return 0
	}
	var rarest Group
	n = -1
	for k, x := range t.hotCounts {
		if n < 0 || x < n {
			rarest, n = k, x
		}
	}
	delete(t.hotCounts, rarest)
	t.hotCounts[g] = n + 1
	return 0 // it is known by its hash first
}

// Sends is what a report tells of groups: for each route and server its buckets, each with how many
// requests went there, as bucket<<16 | requests; and the hot groups by name.
type Sends struct {
	Buckets map[string]map[string][]uint32 `msgpack:"b,omitempty"`
	Hot     map[string][]HotGroupSends     `msgpack:"h,omitempty"` // by server
}

// HotGroupSends is a hot group, and how many of its requests went to a server.
type HotGroupSends struct {
	Group
	Requests int `msgpack:"n"`
}

// Take hands out what is new since it was taken last.
func (t *SendTracker) Take() Sends {
	var s Sends
	for p, n := range t.bucketSends {
		if s.Buckets == nil {
			s.Buckets = map[string]map[string][]uint32{}
		}
		if s.Buckets[p.route] == nil {
			s.Buckets[p.route] = map[string][]uint32{}
		}
		s.Buckets[p.route][p.server] = append(s.Buckets[p.route][p.server], uint32(p.bucket)<<16|uint32(n))
	}
	for g, n := range t.groupSends {
		if s.Hot == nil {
			s.Hot = map[string][]HotGroupSends{}
		}
		s.Hot[g.server] = append(s.Hot[g.server], HotGroupSends{g.Group, n})
	}
	clear(t.bucketSends)
	clear(t.groupSends)
	return s
}

// ReplicaMap is what the holder knows of where groups have replicas, by what all agents sent where.
// Its memory is bounded by buckets times servers, a byte each. It is not safe for concurrent use.
type ReplicaMap struct {
	startedAt      time.Duration
	epochStartedAt time.Duration
	rows           map[string]*[buckets]uint8 // by server; the epochs until it is no replica any more
	buckets        [buckets]groupState
	hot            map[Group]*hotGroup
	regions        []string
	routes         []string
}

// groupState is what a group needs.
type groupState struct {
	requests    float32     // requests in the window
	regions     uint8       // in which it is asked for
	minReplicas uint8       // the highest of its routes'
	allowed     revisionSet // what all of its routes allow
	route       uint8       // the one that needs the most: 1 + its index
}

type hotGroup struct {
	groupState
	replicas map[string]uint8
}

// NewReplicaMap returns what is known before anything was told.
func NewReplicaMap() *ReplicaMap {
	return &ReplicaMap{rows: map[string]*[buckets]uint8{}, hot: map[Group]*hotGroup{}}
}

// Add takes what an agent in a region sent where.
func (g *ReplicaMap) Add(spec *Spec, region string, s *Sends) {
	at := g.regionIndex(region)
	for route, servers := range s.Buckets {
		floor, allow, r := min(spec.minReplicas(route), 255), spec.allowedRevisions(route), g.routeIndex(route)
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
					g.buckets[b].observe(at, uint8(floor), allow, r, int(x&maxCount))
				}
			}
		}
	}
	for server, list := range s.Hot {
		for _, k := range list {
			h := g.hot[k.Group]
			if h == nil {
				if len(g.hot) >= maxHotGroups {
					continue // it is in its bucket
				}
				h = &hotGroup{replicas: map[string]uint8{}}
				g.hot[k.Group] = h
			}
			if len(h.replicas) < maxRows {
				h.replicas[server] = epochs
			}
			h.observe(at, uint8(min(spec.minReplicas(k.Route), 255)), spec.allowedRevisions(k.Route), g.routeIndex(k.Route), min(max(k.Requests, 0), maxCount))
		}
	}
}

func (m *groupState) observe(region int, floor uint8, allow revisionSet, route uint8, sent int) {
	m.requests += float32(sent)
	if region >= 0 {
		m.regions |= 1 << region
	}
	if m.route == 0 || floor > m.minReplicas {
		m.minReplicas, m.route = floor, route
	}
	if m.allowed == 0 {
		m.allowed = oldRevision | newRevision
	}
	m.allowed &= allow
}

func (g *ReplicaMap) regionIndex(name string) int {
	i := slices.Index(g.regions, name)
	if i < 0 && len(g.regions) < maxRegions {
		g.regions = append(g.regions, name)
		i = len(g.regions) - 1
	}
	return i
}

func (g *ReplicaMap) routeIndex(name string) uint8 {
	i := slices.Index(g.routes, name)
	if i < 0 && len(g.routes) < 254 {
		g.routes = append(g.routes, name)
		i = len(g.routes) - 1
	}
	return uint8(i + 1)
}

// Tick lets time pass: what was not sent to for a window holds nothing any more.
func (g *ReplicaMap) Tick(now time.Duration) {
	if g.epochStartedAt == 0 {
		g.startedAt, g.epochStartedAt = now, now
	}
	for n := 0; now-g.epochStartedAt >= epochDuration; n++ {
		if g.epochStartedAt += epochDuration; n >= epochs {
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
			for id := range h.replicas {
				if h.replicas[id]--; h.replicas[id] == 0 {
					delete(h.replicas, id)
				}
			}
			if h.requests -= h.requests / epochs; len(h.replicas) == 0 {
				delete(g.hot, k)
			}
		}
		for b := range g.buckets {
			g.buckets[b].requests -= g.buckets[b].requests / epochs
		}
	}
}

// Shortage is a group that has fewer replicas than it needs.
type Shortage struct {
	Group string `json:"group"`
	Have  int    `json:"have"`
	Need  int    `json:"need"`
}

func (s Shortage) String() string {
	return fmt.Sprintf("group %s has %d replicas beside it, and needs %d", s.Group, s.Have, s.Need)
}

// serverReplica is a server that may count as one.
type serverReplica struct {
	region    string
	revisions revisionSet
	serves    bool // it is well, and has a share that counts
}

// shortages finds the groups of a server that would be short of replicas without it: how many, and the
// one that lacks most. They are those only that it was sent of late and that came at least so often
// in the window: one that comes seldom is read anew by its next request, wherever that goes. With
// bare they are those only that would have no replica at all.
func (g *ReplicaMap) shortages(id string, servers map[string]serverReplica, often float64, bare bool) (n int, worst Shortage) {
	x := servers[id]
	at := slices.Index(g.regions, x.region)
	if at < 0 {
		return 0, worst
	}
	counts := func(other string, allow revisionSet) bool {
		s := servers[other]
		return s.serves && s.region == x.region && other != id && s.revisions&allow != 0
	}
	look := func(m *groupState, have int, name func() string) {
		need := int(m.minReplicas)
		if bare {
			need = min(need, 1)
		}
		if have >= need {
			return
		}
		if n++; n == 1 || need-have > worst.Need-worst.Have {
			worst = Shortage{name(), have, need}
		}
	}
	asks := func(m *groupState) bool { return float64(m.requests) >= often && m.regions&(1<<at) != 0 }
	if row := g.rows[id]; row != nil {
		var list [buckets]uint16
		var have [buckets]uint16
		k := 0
		for b, level := range row {
			if level >= epochs-1 && asks(&g.buckets[b]) {
				list[k] = uint16(b)
				k++
			}
		}
		for other, r := range g.rows {
			for _, side := range []revisionSet{oldRevision, newRevision} {
				if !counts(other, side) {
					continue
				}
				for i, b := range list[:k] {
					if r[b] > 0 && g.buckets[b].allowed&side != 0 {
						have[i]++
					}
				}
			}
		}
		for i, b := range list[:k] {
			m := &g.buckets[b]
			look(m, int(have[i]), func() string { return fmt.Sprintf("%s/#%d", g.routeName(m.route), b) })
		}
	}
	for _, k := range g.sortedHotGroups() {
		h := g.hot[k]
		if h.replicas[id] < epochs-1 || !asks(&h.groupState) {
			continue
		}
		have := 0
		for other := range h.replicas {
			if counts(other, h.allowed) {
				have++
			}
		}
		look(&h.groupState, have, func() string { return fmt.Sprintf("%s/%x", k.Route, k.Key) })
	}
	return n, worst
}

func (g *ReplicaMap) sortedHotGroups() []Group {
	keys := make([]Group, 0, len(g.hot))
	for k := range g.hot {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Group) int { return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key)) })
	return keys
}

func (g *ReplicaMap) routeName(i uint8) string {
	if i == 0 || int(i) > len(g.routes) {
		return "?"
	}
	return g.routes[i-1]
}

// expectedRequests is how many requests a group that comes once in so long has had since all began to tell.
func (g *ReplicaMap) expectedRequests(now time.Duration, every time.Duration) float64 {
	return float64(min(now-g.startedAt, replicaWindow)) / float64(every)
}

// Histogram is how many groups have so many replicas, up to the last; for operators.
func (g *ReplicaMap) Histogram() (out [8]int) {
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

// MemoryBytes is about what it takes, in bytes.
func (g *ReplicaMap) MemoryBytes() int {
	n := (len(g.rows) + 4) * buckets
	for _, h := range g.hot {
		n += 64 + 32*len(h.replicas)
	}
	return n
}
