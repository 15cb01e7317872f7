package rollout

import "slices"

// serverReplica is what decides whether a server counts as a replica of a group.
type serverReplica struct {
	region    string
	revisions revisionSet // the server's revision; empty if it is neither of the rollout's two
	serves    bool        // the server is ready and healthy, not draining, and has a share of its requests
}

// shortageSearch looks for the groups of a server that would have too few replicas without it.
type shortageSearch struct {
	replicas    *ReplicaMap
	server      string
	servers     map[string]serverReplica
	region      string
	regionIndex int
	minRequests float64
	anyReplica  bool // a single replica is enough

	groups int      // number of groups that would be short of replicas
	worst  Shortage // the group among them that lacks the most replicas
}

// shortages returns how many groups of a server would be short of replicas without it, and the one that
// lacks the most. It considers only groups that the server was recently sent and that were requested at
// least minRequests times in the window: the prefix of a rarer group is simply prefilled again by its
// next request. If anyReplica is set, only groups without any replica are short.
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
		search.searchBuckets(row)
	}
	search.searchHotGroups()
	return search.groups, search.worst
}

// isReplica reports whether a server other than the searched one counts as a replica of a group that
// allows the given revisions.
func (s *shortageSearch) isReplica(id string, allowed revisionSet) bool {
	r := s.servers[id]
	return r.serves && r.region == s.region && id != s.server && r.revisions&allowed != 0
}

// isRecent reports whether a group was sent to a server in the current or the previous epoch. epochsLeft
// is the server's number of epochs left as a replica.
func isRecent(epochsLeft uint8) bool { return epochsLeft >= epochs-1 }

// addIfShort counts a group if it has too few replicas.
func (s *shortageSearch) addIfShort(state *groupState, have int, name func() string) {
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

// searchBuckets searches the hash groups of the server's row.
func (s *shortageSearch) searchBuckets(row *[buckets]uint8) {
	m := s.replicas
	var candidates, have [buckets]uint16 // on the stack, because this runs for each draining server
	n := 0
	for b, epochsLeft := range row {
		if isRecent(epochsLeft) && m.buckets[b].requested(s.regionIndex, s.minRequests) {
			candidates[n] = uint16(b)
			n++
		}
	}
	for id, other := range m.rows {
		for _, revision := range [...]revisionSet{oldRevision, newRevision} {
			if !s.isReplica(id, revision) {
				continue
			}
			for i, b := range candidates[:n] {
				if other[b] > 0 && m.buckets[b].allowed&revision != 0 {
					have[i]++
				}
			}
		}
	}
	for i, b := range candidates[:n] {
		s.addIfShort(&m.buckets[b], int(have[i]), func() string { return m.bucketName(b) })
	}
}

// searchHotGroups searches the groups that are counted individually.
func (s *shortageSearch) searchHotGroups() {
	for _, key := range s.replicas.sortedHotGroups() {
		h := s.replicas.hotGroups[key]
		if !isRecent(h.replicas[s.server]) || !h.requested(s.regionIndex, s.minRequests) {
			continue
		}
		have := 0
		for id := range h.replicas {
			if s.isReplica(id, h.allowed) {
				have++
			}
		}
		s.addIfShort(&h.groupState, have, key.name)
	}
}
