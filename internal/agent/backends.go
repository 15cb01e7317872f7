package agent

import (
	"hash/fnv"
	"sync/atomic"

	"chalkdoor.example/chalkdoor/policy"
)

// The states of a Target. Any other state counts as draining.
const (
	targetUp       = "up"
	targetDraining = "draining"
	targetRemoved  = "removed"
)

// backend is one listed server. All fields except unavailable belong to the loop.
type backend struct {
	id         string
	policyAddr policy.Addr // identifies the backend in the policy
	addr       string      // host:port, as last listed
	startedMs  float64     // listed start of its process, Unix time; 0 if long ago
	removed    bool
	inFlight   int // attempts in flight
	// unavailable is set while the backend is draining or removed. Attempts check it just before they write.
	unavailable atomic.Bool
}

// backendTable holds the listed backends. It belongs to the loop.
type backendTable struct {
	zones, machineKinds map[string]int // the policy's numbers by name
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

// findOrAdd returns the backend with an ID and adds it if it is new. Its policyAddr is a hash of the ID and not
// of the address: addresses differ between agents, which must agree on the order of servers for a key without
// communication.
func (t *backendTable) findOrAdd(id string) *backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &backend{id: id}
	for hash := hashString(id); ; hash++ { // on a collision the next free hash is used
		for i := range b.policyAddr {
			b.policyAddr[i] = byte(hash >> (8 * i))
		}
		if t.byAddr[b.policyAddr] == nil {
			break
		}
	}
	t.byID[id], t.byAddr[b.policyAddr] = b, b
	return b
}

// apply applies a list. It returns the list's endpoints for the policy, the backends whose idle connections can
// no longer be used, and the removed backends. A full list removes all backends that it does not contain.
func (t *backendTable) apply(list *TargetList, full bool) (endpoints []policy.Endpoint, stale, removed []*backend) {
	listed := make(map[string]bool, len(list.Servers))
	for i := range list.Servers {
		target := &list.Servers[i]
		if target.ID == "" {
			continue
		}
		listed[target.ID] = true
		b, endpoint := t.findOrAdd(target.ID), t.endpoint(target)
		endpoint.Server = b.policyAddr
		endpoints = append(endpoints, endpoint)
		b.startedMs = target.StartedMs
		if target.Addr != "" && b.addr != target.Addr {
			stale = append(stale, b)
			b.addr = target.Addr
		}
		b.unavailable.Store(endpoint.Status != policy.Ready)
		if endpoint.Status != policy.Ready {
			stale = append(stale, b)
		}
		if b.removed = endpoint.Status == policy.Removed; b.removed {
			removed = append(removed, b)
		}
	}
	if !full {
		return endpoints, stale, removed
	}
	for id, b := range t.byID {
		if !listed[id] {
			b.unavailable.Store(true)
			b.removed = true
			stale, removed = append(stale, b), append(removed, b)
		}
	}
	return endpoints, stale, removed
}

// endpoint converts a target for the policy, except for its address.
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

// forget drops a removed backend that has no attempt in flight. The policy has dropped it by then.
func (t *backendTable) forget(b *backend) {
	if b.removed && b.inFlight == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.policyAddr)
	}
}

// hasAvailable reports whether there is a backend to send to.
func (t *backendTable) hasAvailable() bool {
	for _, b := range t.byID {
		if !b.unavailable.Load() {
			return true
		}
	}
	return false
}

// hashString returns the FNV-1a hash of a string, but never 0. Unlike maphash it is the same in all agents.
func hashString(s string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(s))
	if sum := hash.Sum64(); sum != 0 {
		return sum
	}
	return 1
}
