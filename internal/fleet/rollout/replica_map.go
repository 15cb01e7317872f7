package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxRows is the maximum number of servers, maxHotGroups of hot groups, maxRegions of regions, and
	// maxIndexedRoutes of routes known by name.
	maxRows, maxHotGroups, maxRegions, maxIndexedRoutes = 8192, 256, 8, 254
	// histogramSize is the length of a ReplicaHistogram.
	histogramSize = 8
)

// ReplicaHistogram has, at each index, the number of hash groups with that many replicas. The last
// element also counts those with more.
type ReplicaHistogram [histogramSize]int

// ReplicaMap tells the lease holder which servers are replicas of which groups, as derived from the
// agents' reports of their sends. It takes a byte for each bucket and server. It is not safe for
// concurrent use.
type ReplicaMap struct {
	startedAt      time.Duration
	epochStartedAt time.Duration
	rows           map[string]*[buckets]uint8 // by server and bucket: epochs left as a replica
	buckets        [buckets]groupState
	hotGroups      map[Group]*hotGroup
	regions        []string
	routes         []string
}

// groupState is the demand for a group and its requirements.
type groupState struct {
	requests    float32     // requests in the window
	regions     uint8       // set of the indices of regions that request it
	minReplicas uint8       // maximum over its routes
	allowed     revisionSet // revisions that all of its routes allow
	route       uint8       // 1 + the index of the route that needs the most replicas; 0 if none is known
}

// hotGroup is a prompt group that is also counted individually.
type hotGroup struct {
	groupState
	replicas map[string]uint8 // by server: epochs left as a replica
}

// NewReplicaMap returns an empty map.
func NewReplicaMap() *ReplicaMap {
	return &ReplicaMap{rows: map[string]*[buckets]uint8{}, hotGroups: map[Group]*hotGroup{}}
}

// demand is what one report's sends of a route add to a group's state.
type demand struct {
	region      int // the region's index; negative if it has none
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

// requested reports whether the group is requested in the region and has at least minRequests in the
// window.
func (s *groupState) requested(region int, minRequests float64) bool {
	return float64(s.requests) >= minRequests && s.regions&(1<<region) != 0
}

// Add adds the reported sends of an agent in a region.
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
			m.addHotGroup(server, g, demandOf)
		}
	}
}

// addBuckets adds the hash groups that were sent to a server.
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

// addHotGroup adds a hot group that was sent to a server. Hot groups beyond maxHotGroups are counted only
// by their buckets.
func (m *ReplicaMap) addHotGroup(server string, sends HotGroupSends, demandOf func(route string) demand) {
	h := m.hotGroups[sends.Group]
	if h == nil {
		if len(m.hotGroups) >= maxHotGroups {
			return
		}
		h = &hotGroup{replicas: map[string]uint8{}}
		m.hotGroups[sends.Group] = h
	}
	if len(h.replicas) < maxRows {
		h.replicas[server] = epochs
	}
	h.add(demandOf(sends.Route), min(max(sends.Requests, 0), maxCount))
}

// regionIndex returns the region's index. It is negative if there are too many regions.
func (m *ReplicaMap) regionIndex(name string) int {
	i := slices.Index(m.regions, name)
	if i < 0 && len(m.regions) < maxRegions {
		m.regions = append(m.regions, name)
		i = len(m.regions) - 1
	}
	return i
}

// routeIndex returns 1 + the route's index, or 0 if there are too many routes.
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

// Tick advances the time. A server that was sent no request of a group for replicaWindow no longer counts
// as a replica of it.
func (m *ReplicaMap) Tick(now time.Duration) {
	if m.epochStartedAt == 0 {
		m.startedAt, m.epochStartedAt = now, now
	}
	for n := 0; now-m.epochStartedAt >= epochDuration; n++ {
		m.epochStartedAt += epochDuration
		if n < epochs { // after so many epochs nothing is left
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
	for key, h := range m.hotGroups {
		for id := range h.replicas {
			if h.replicas[id]--; h.replicas[id] == 0 {
				delete(h.replicas, id)
			}
		}
		h.requests -= h.requests / epochs
		if len(h.replicas) == 0 {
			delete(m.hotGroups, key)
		}
	}
	for b := range m.buckets {
		m.buckets[b].requests -= m.buckets[b].requests / epochs
	}
}

// ageRow ends an epoch of a server's row. It returns false if the server is a replica of no group any
// more.
func ageRow(row *[buckets]uint8) bool {
	var remaining uint8
	for b := range row {
		if row[b] > 0 {
			row[b]--
		}
		remaining |= row[b]
	}
	return remaining > 0
}

// expectedRequests returns the number of requests in the window so far of a group that is requested once
// per interval.
func (m *ReplicaMap) expectedRequests(now, interval time.Duration) float64 {
	return float64(min(now-m.startedAt, replicaWindow)) / float64(interval)
}

// Histogram returns the histogram of replicas, for operators.
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

// MemoryBytes returns the approximate memory that the map takes.
func (m *ReplicaMap) MemoryBytes() int {
	const tables, hotBytes, replicaBytes = 4, 64, 32
	bytes := (len(m.rows) + tables) * buckets
	for _, h := range m.hotGroups {
		bytes += hotBytes + replicaBytes*len(h.replicas)
	}
	return bytes
}

// sortedHotGroups returns the hot groups in an order that is the same at each holder.
func (m *ReplicaMap) sortedHotGroups() []Group {
	groups := make([]Group, 0, len(m.hotGroups))
	for g := range m.hotGroups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Key, b.Key)) })
	return groups
}

func (g Group) name() string { return fmt.Sprintf("%s/%x", g.Route, g.Key) }

func (m *ReplicaMap) bucketName(bucket uint16) string {
	return fmt.Sprintf("%s/#%d", m.routeName(m.buckets[bucket].route), bucket)
}
