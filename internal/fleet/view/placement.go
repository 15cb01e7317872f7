package view

import "slices"

// InitialView is view 1 of the peers that were found, at most MaxVoters of them. Peers with a disk go
// first and then those whose loss is counted; without any disk the state is kept in memory.
func InitialView(found []Peer, t Tolerance) (View, bool) {
	pool := filter(found, func(p Peer) bool { return p.Disk })
	v := View{Number: 1, InMemory: len(pool) == 0}
	if v.InMemory {
		pool = slices.Clone(found)
	}
	if counted := filter(pool, func(p Peer) bool { return p.Counted }); len(counted) > 0 {
		pool = counted
	}
	if len(pool) == 0 {
		return View{}, false
	}
	v.Voters = extend(nil, pool, t, true)
	members := pick(nil, v.Voters, MaxChainLength(t), t.Regions > 0)
	slices.SortFunc(v.Voters, comparePeers)
	slices.SortFunc(members, comparePeers)
	for _, p := range members {
		v.Chain = append(v.Chain, Member{Peer: p, JoinedIn: 1})
	}
	return v, true
}

// extend picks further voters from a pool such that all together bear the tolerated losses as well
// as they can, and among equal sets the largest or the smallest. Those that are voters already stay.
func extend(voters, pool []Peer, t Tolerance, largest bool) []Peer {
	var best []Peer
	least := t.shortfall(voters, len(voters))
	for _, regionsFirst := range []bool{t.Regions > 0, false} {
		order := pick(voters, pool, MaxVoters-len(voters), regionsFirst)
		for n := 1; n <= len(order); n++ {
			all := append(slices.Clone(voters), order[:n]...)
			short := t.shortfall(all, len(all))
			if short.Less(least) || largest && short == least && n > len(best) {
				best, least = order[:n], short
			}
		}
	}
	return best
}

// pick takes up to n peers of a pool, each time one of the domain that has least of those taken.
func pick(taken, pool []Peer, n int, regionsFirst bool) (out []Peer) {
	taken, pool = slices.Clone(taken), slices.Clone(pool)
	slices.SortFunc(pool, comparePeers)
	for len(out) < n && len(pool) > 0 {
		i := leastLoaded(taken, pool, regionsFirst)
		out, taken = append(out, pool[i]), append(taken, pool[i])
		pool = slices.Delete(pool, i, i+1)
	}
	return out
}

// leastLoaded is the index of the first peer of a pool whose domain has fewest of those taken.
func leastLoaded(taken, pool []Peer, regionsFirst bool) (best int) {
	zones, regions := perDomain(taken, zoneOf), perDomain(taken, regionOf)
	load := func(p Peer) (region, zone int) {
		if regionsFirst {
			region = regions[regionOf(p)]
		}
		return region, zones[zoneOf(p)]
	}
	for i, p := range pool {
		region, zone := load(p)
		bestRegion, bestZone := load(pool[best])
		if region < bestRegion || region == bestRegion && zone < bestZone {
			best = i
		}
	}
	return best
}

// filter is the peers that fit.
func filter(peers []Peer, fits func(Peer) bool) (out []Peer) {
	for _, p := range peers {
		if fits(p) {
			out = append(out, p)
		}
	}
	return out
}
