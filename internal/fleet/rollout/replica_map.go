package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxRows bounds the servers, maxHotGroups the hot groups, maxRegions the regions and
	// maxIndexedRoutes the routes that are known by name.
	maxRows, maxHotGroups, maxRegions, maxIndexedRoutes = 8192, 256, 8, 254
	// histogramSize is the length of a ReplicaHistogram.
	histogramSize = 8
)

// ReplicaHistogram counts hash groups by their number of replicas; the last item is for that many
// and more.
type ReplicaHistogram [histogramSize]int

// ReplicaMap is what the lease holder knows of where groups have replicas, by what all agents sent
// where. It takes a byte for each bucket and server. It is not safe for concurrent use.
type ReplicaMap struct {
	startedAt      time.Duration
	epochStartedAt time.Duration
	rows           map[string]*[buckets]uint8 // by server: the epochs until it is no replica any more
	buckets        [buckets]groupState
	hot            map[Group]*hotGroup
	regions        []string
	routes         []string
}

// groupState is what a group needs.
type groupState struct {
	requests    float32     // in the window
	regions     uint8       // in which it is requested, as a set of indices
	minReplicas uint8       // the highest of its routes'
	allowed     revisionSet // what all of its routes allow
	route       uint8       // the one that needs the most replicas: 1 + its index; 0: none
}

// hotGroup is a group that is counted by itself.
type hotGroup struct {
	groupState
	replicas map[string]uint8 // by server: the epochs until it is no replica any more
}

// NewReplicaMap returns what is known before anything was reported.
func NewReplicaMap() *ReplicaMap {
	return &ReplicaMap{rows: map[string]*[buckets]uint8{}, hot: map[Group]*hotGroup{}}
}

// demand is what a report adds to a group's state.
type demand struct {
	region      int // index; negative: none
	minReplicas uint8
	allowed     revisionSet
	route       uint8
}

func (s *groupState) add(d demand, requests int) {
	s.requests += float32(requests)
	if d.region >= 0 {
		s.regions |= 1 << d.region
	}
	if s.route == 0 || d.minReplicas > s.minReplicas {
		s.minReplicas, s.route = d.minReplicas, d.route
	}
	if s.allowed == 0 {
		s.allowed = oldRevision | newRevision
	}
	s.allowed &= d.allowed
}

// requested reports whether a group is requested in a region, and often enough.
func (s *groupState) requested(region int, minRequests float64) bool {
	return float64(s.requests) >= minRequests && s.regions&(1<<region) != 0
}

// Add takes what an agent in a region sent where.
func (m *ReplicaMap) Add(spec *Spec, region string, sends *Sends) {
	regionIndex := m.regionIndex(region)
	demandOf := func(route string) demand {
		minReplicas := uint8(min(spec.minReplicas(route), math.MaxUint8))
		return demand{regionIndex, minReplicas, spec.allowedRevisions(route), m.routeIndex(route)}
	}
	for route, servers := range sends.Buckets {
		d := demandOf(route)
		for server, packed := range servers {
			m.addBuckets(server, packed, d)
		}
	}
	for server, groups := range sends.Hot {
		for _, g := range groups {
			m.addHot(server, g, demandOf)
		}
	}
}

// addBuckets takes the buckets that were sent to a server.
func (m *ReplicaMap) addBuckets(server string, packed []uint32, d demand) {
	row := m.rows[server]
	if row == nil {
		if len(m.rows) >= maxRows {
			return
		}
		row = new([buckets]uint8)
		m.rows[server] = row
	}
	for _, p := range packed {
		if bucket, requests := unpackBucket(p); bucket < buckets {
			row[bucket] = epochs
			m.buckets[bucket].add(d, requests)
		}
	}
}

// addHot takes a hot group that was sent to a server. One too many is known by its bucket only.
func (m *ReplicaMap) addHot(server string, sends HotGroupSends, demandOf func(route string) demand) {
	h := m.hot[sends.Group]
	if h == nil {
		if len(m.hot) >= maxHotGroups {
			return
		}
		h = &hotGroup{replicas: map[string]uint8{}}
		m.hot[sends.Group] = h
	}
	if len(h.replicas) < maxRows {
		h.replicas[server] = epochs
	}
	h.add(demandOf(sends.Route), min(max(sends.Requests, 0), maxCount))
}

// regionIndex is the region's index, negative if there are too many.
func (m *ReplicaMap) regionIndex(name string) int {
	i := slices.Index(m.regions, name)
	if i < 0 && len(m.regions) < maxRegions {
		m.regions = append(m.regions, name)
		i = len(m.regions) - 1
	}
	return i
}

// routeIndex is 1 + the route's index, 0 if there are too many.
func (m *ReplicaMap) routeIndex(name string) uint8 {
	i := slices.Index(m.routes, name)
	if i < 0 && len(m.routes) < maxIndexedRoutes {
		m.routes = append(m.routes, name)
		i = len(m.routes) - 1
	}
	return uint8(i + 1)
}

func (m *ReplicaMap) routeName(index uint8) string {
	if index == 0 || int(index) > len(m.routes) {
		return "?"
	}
	return m.routes[index-1]
}

// Tick lets time pass: a server that was not sent a group for a window is no replica any more.
func (m *ReplicaMap) Tick(now time.Duration) {
	if m.epochStartedAt == 0 {
		m.startedAt, m.epochStartedAt = now, now
	}
	for n := 0; now-m.epochStartedAt >= epochDuration; n++ {
		m.epochStartedAt += epochDuration
		if n < epochs { // after those all has faded
			m.endEpoch()
		}
	}
}

func (m *ReplicaMap) endEpoch() {
	for id, row := range m.rows {
		if !ageRow(row) {
			delete(m.rows, id)
		}
	}
	for key, h := range m.hot {
		for id := range h.replicas {
			if h.replicas[id]--; h.replicas[id] == 0 {
				delete(h.replicas, id)
			}
		}
		h.requests -= h.requests / epochs
		if len(h.replicas) == 0 {
			delete(m.hot, key)
		}
	}
	for b := range m.buckets {
		m.buckets[b].requests -= m.buckets[b].requests / epochs
	}
}

// ageRow lets an epoch of a server's row pass. It returns false if nothing is left.
func ageRow(row *[buckets]uint8) bool {
	var left uint8
	for b := range row {
		if row[b] > 0 {
			row[b]--
		}
		left |= row[b]
	}
	return left > 0
}

// expectedRequests is how many requests a group that comes once in every has had in the window.
func (m *ReplicaMap) expectedRequests(now, every time.Duration) float64 {
	return float64(min(now-m.startedAt, replicaWindow)) / float64(every)
}

// Histogram counts the hash groups by their number of replicas, for operators.
func (m *ReplicaMap) Histogram() (histogram ReplicaHistogram) {
	var replicas [buckets]uint16
	for _, row := range m.rows {
		for b := range row {
			if row[b] > 0 {
				replicas[b]++
			}
		}
	}
	for _, n := range replicas {
		if n > 0 {
			histogram[min(int(n), histogramSize-1)]++
		}
	}
	return histogram
}

// MemoryBytes is about the memory that the map takes.
func (m *ReplicaMap) MemoryBytes() int {
	const tables, hotBytes, replicaBytes = 4, 64, 32
	bytes := (len(m.rows) + tables) * buckets
	for _, h := range m.hot {
		bytes += hotBytes + replicaBytes*len(h.replicas)
	}
	return bytes
}

// sortedHotGroups are the hot groups in an order that is the same at each holder.
func (m *ReplicaMap) sortedHotGroups() []Group {
	groups := make([]Group, 0, len(m.hot))
	for g := range m.hot {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key)) })
	return groups
}

func (g Group) name() string { return fmt.Sprintf("%s/%x", g.Route, g.Key) }

func (m *ReplicaMap) bucketName(bucket uint16) string {
	return fmt.Sprintf("%s/#%d", m.routeName(m.buckets[bucket].route), bucket)
}
