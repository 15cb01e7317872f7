package agent

import (
	"hash/fnv"
	"sync/atomic"

	"chalkdoor.example/chalkdoor/policy"
)

// The states of a Target. Every other one counts as draining.
const (
	targetUp       = "up"
	targetDraining = "draining"
	targetRemoved  = "removed"
)

// backend is one listed server. Its fields belong to the loop, but for unavailable.
type backend struct {
	id         string
	policyAddr policy.Addr // by which the policy knows it
	addr       string      // host:port, as listed last
	startedMs  float64     // as listed
	removed    bool
	inFlight   int // attempts
	// unavailable is set while it drains or is removed. Attempts read it just before they write.
	unavailable atomic.Bool
}

// backendTable holds the listed backends. It belongs to the loop.
type backendTable struct {
	zones, machineKinds map[string]int // the policy's numbers of these names
	byID                map[string]*backend
	byAddr              map[policy.Addr]*backend
}

func newBackendTable(zones, machineKinds []string) *backendTable {
	return &backendTable{
		zones:        indexByName(zones),
		machineKinds: indexByName(machineKinds),
		byID:         map[string]*backend{},
		byAddr:       map[policy.Addr]*backend{},
	}
}

func indexByName(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}

// findOrAdd returns the backend of an ID. Its policyAddr is a hash of the ID, not of the address: addresses
// differ between agents, which have to agree on the order of servers for a key without communication.
func (t *backendTable) findOrAdd(id string) *backend {
	if known := t.byID[id]; known != nil {
		return known
	}
	added := &backend{id: id}
	for hash := hashString(id); ; hash++ { // the next free one, should two IDs have the same hash
		for i := range added.policyAddr {
			added.policyAddr[i] = byte(hash >> (8 * i))
		}
		if t.byAddr[added.policyAddr] == nil {
			break
		}
	}
	t.byID[id], t.byAddr[added.policyAddr] = added, added
	return added
}

// apply takes a list over and returns its endpoints for the policy, the backends whose idle connections can no
// longer be used, and the removed ones.
func (t *backendTable) apply(list *TargetList, full bool) (endpoints []policy.Endpoint, stale, removed []*backend) {
	listed := make(map[string]bool, len(list.Servers))
	for i := range list.Servers {
		target := &list.Servers[i]
		if target.ID == "" {
			continue
		}
		listed[target.ID] = true
		known, endpoint := t.findOrAdd(target.ID), t.endpoint(target)
		endpoint.Server = known.policyAddr
		endpoints = append(endpoints, endpoint)
		known.startedMs = target.StartedMs
		if target.Addr != "" && known.addr != target.Addr {
			stale = append(stale, known)
			known.addr = target.Addr
		}
		known.unavailable.Store(endpoint.Status != policy.Ready)
		if endpoint.Status != policy.Ready {
			stale = append(stale, known)
		}
		if known.removed = endpoint.Status == policy.Removed; known.removed {
			removed = append(removed, known)
		}
	}
	if !full {
		return endpoints, stale, removed
	}
	for id, known := range t.byID {
		if !listed[id] {
			known.unavailable.Store(true)
			known.removed = true
			stale, removed = append(stale, known), append(removed, known)
		}
	}
	return endpoints, stale, removed
}

// endpoint is a target in the policy's terms, without its address.
func (t *backendTable) endpoint(target *Target) policy.Endpoint {
	endpoint := policy.Endpoint{Zone: len(t.zones), Kind: len(t.machineKinds), Cell: target.Cell,
		StartedMs: target.StartedMs, Weight: target.Weight, Status: policy.Draining}
	if zone, ok := t.zones[target.Zone]; ok {
		endpoint.Zone = zone
	}
	if kind, ok := t.machineKinds[target.Kind]; ok {
		endpoint.Kind = kind
	}
	switch target.State {
	case targetUp:
		endpoint.Status = policy.Ready
	case targetRemoved:
		endpoint.Status = policy.Removed
	}
	return endpoint
}

// forget drops a removed backend once no attempt is in flight; the policy has forgotten it by then.
func (t *backendTable) forget(known *backend) {
	if known.removed && known.inFlight == 0 && t.byID[known.id] == known {
		delete(t.byID, known.id)
		delete(t.byAddr, known.policyAddr)
	}
}

// hasAvailable reports whether there is a backend to send to.
func (t *backendTable) hasAvailable() bool {
	for _, known := range t.byID {
		if !known.unavailable.Load() {
			return true
		}
	}
	return false
}

// hashString is FNV-1a, never 0. Unlike maphash it is the same at every agent.
func hashString(s string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(s))
	if sum := hash.Sum64(); sum != 0 {
		return sum
	}
	return 1
}
