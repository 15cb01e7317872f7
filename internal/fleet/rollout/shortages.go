package rollout

import "slices"

// serverReplica is a server as a replica of groups.
type serverReplica struct {
	region    string
	revisions revisionSet // its revision; empty if it is neither of the rollout
	serves    bool        // it is healthy, and its share counts
}

// shortageSearch looks for the groups of a server that would have too few replicas without it.
type shortageSearch struct {
	replicas    *ReplicaMap
	server      string
	servers     map[string]serverReplica
	region      string
	regionIndex int
	minRequests float64
	anyReplica  bool // one replica is enough

	groups int
	worst  Shortage
}

// shortages finds the groups of a server that would be short of replicas without it: how many, and
// the one that lacks most. It looks only at groups that the server was recently sent and that came
// at least minRequests times in the window: the prefix of a rare group is computed again by its next
// request, wherever that goes. With anyReplica only groups that would have no replica count.
func (m *ReplicaMap) shortages(id string, servers map[string]serverReplica, minRequests float64, anyReplica bool) (groups int, worst Shortage) {
	region := servers[id].region
	index := slices.Index(m.regions, region)
	if index < 0 {
		return 0, Shortage{}
	}
	search := shortageSearch{
		replicas:    m,
		server:      id,
		servers:     servers,
		region:      region,
		regionIndex: index,
		minRequests: minRequests,
		anyReplica:  anyReplica,
	}
	if row := m.rows[id]; row != nil {
		search.addBuckets(row)
	}
	search.addHotGroups()
	return search.groups, search.worst
}

// isReplica reports whether another server counts as a replica of a group that allows the revisions.
func (s *shortageSearch) isReplica(id string, allowed revisionSet) bool {
	r := s.servers[id]
	return r.serves && r.region == s.region && id != s.server && r.revisions&allowed != 0
}

// isRecent reports whether a group was sent to a server within the last epoch.
func isRecent(level uint8) bool { return level >= epochs-1 }

// add counts a group that has too few replicas.
func (s *shortageSearch) add(state *groupState, have int, name func() string) {
	need := int(state.minReplicas)
	if s.anyReplica {
		need = min(need, 1)
	}
	if have >= need {
		return
	}
	if s.groups++; s.groups == 1 || need-have > s.worst.missing() {
		s.worst = Shortage{name(), have, need}
	}
}

// addBuckets looks at the hash groups of the server's row.
func (s *shortageSearch) addBuckets(row *[buckets]uint8) {
	m := s.replicas
	var list, have [buckets]uint16 // on the stack: this runs for each server that is drained
	n := 0
	for b, level := range row {
		if isRecent(level) && m.buckets[b].requested(s.regionIndex, s.minRequests) {
			list[n] = uint16(b)
			n++
		}
	}
	for id, other := range m.rows {
		for _, revision := range [...]revisionSet{oldRevision, newRevision} {
			if !s.isReplica(id, revision) {
				continue
			}
			for i, b := range list[:n] {
				if other[b] > 0 && m.buckets[b].allowed&revision != 0 {
					have[i]++
				}
			}
		}
	}
	for i, b := range list[:n] {
		s.add(&m.buckets[b], int(have[i]), func() string { return m.bucketName(b) })
	}
}

// addHotGroups looks at the groups that are counted by themselves.
func (s *shortageSearch) addHotGroups() {
	for _, key := range s.replicas.sortedHotGroups() {
		h := s.replicas.hot[key]
		if !isRecent(h.replicas[s.server]) || !h.requested(s.regionIndex, s.minRequests) {
			continue
		}
		have := 0
		for id := range h.replicas {
			if s.isReplica(id, h.allowed) {
				have++
			}
		}
		s.add(&h.groupState, have, key.name)
	}
}
