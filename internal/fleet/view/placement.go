package view

import "slices"

// InitialView returns view 1 of the discovered peers, with at most MaxVoters voters. Peers with a
// disk are preferred, and among those the ones whose loss counts. If no peer has a disk the state is
// kept in memory. It reports false if there are no peers.
func InitialView(discovered []Peer, tolerance Tolerance) (initial View, ok bool) {
	pool := filterPeers(discovered, func(peer Peer) bool { return peer.Disk })
	initial = View{Number: 1, InMemory: len(pool) == 0}
	if initial.InMemory {
		pool = slices.Clone(discovered)
	}
	if counted := filterPeers(pool, func(peer Peer) bool { return peer.Counted }); len(counted) > 0 {
		pool = counted
	}
	if len(pool) == 0 {
		return View{}, false
	}
	initial.Voters = selectVoters(nil, pool, tolerance, true)
	members := selectSpread(nil, initial.Voters, MaxChainLength(tolerance), tolerance.Regions > 0)
	slices.SortFunc(initial.Voters, comparePeers)
	slices.SortFunc(members, comparePeers)
	for _, peer := range members {
		initial.Chain = append(initial.Chain, Member{Peer: peer, JoinedIn: 1})
	}
	return initial, true
}

// selectVoters selects additional voters from a pool, so that all voters together have the smallest
// shortfall. Among sets with the same shortfall it selects the largest or the smallest one. The
// present voters stay.
func selectVoters(voters, pool []Peer, tolerance Tolerance, largest bool) []Peer {
	var best []Peer
	least := tolerance.shortfall(voters, len(voters))
	for _, regionsFirst := range []bool{tolerance.Regions > 0, false} {
		order := selectSpread(voters, pool, MaxVoters-len(voters), regionsFirst)
		for n := 1; n <= len(order); n++ {
			all := append(slices.Clone(voters), order[:n]...)
			shortfall := tolerance.shortfall(all, len(all))
			if shortfall.Less(least) || largest && shortfall == least && n > len(best) {
				best, least = order[:n], shortfall
			}
		}
	}
	return best
}

// selectSpread selects up to n peers of a pool, each time one of the failure domain with the fewest
// peers that are in use already. Ties are broken by ID.
func selectSpread(used, pool []Peer, n int, regionsFirst bool) (selected []Peer) {
	used, pool = slices.Clone(used), slices.Clone(pool)
	slices.SortFunc(pool, comparePeers)
	for len(selected) < n && len(pool) > 0 {
		i := leastLoaded(used, pool, regionsFirst)
		selected, used = append(selected, pool[i]), append(used, pool[i])
		pool = slices.Delete(pool, i, i+1)
	}
	return selected
}

// leastLoaded returns the index of the first peer of a pool whose failure domain has the fewest used
// peers: its zone or, with regionsFirst, its region and then its zone.
func leastLoaded(used, pool []Peer, regionsFirst bool) (best int) {
	zones, regions := countByDomain(used, zoneOf), countByDomain(used, regionOf)
	load := func(peer Peer) (region, zone int) {
		if regionsFirst {
			region = regions[regionOf(peer)]
		}
		return region, zones[zoneOf(peer)]
	}
	for i, peer := range pool {
		region, zone := load(peer)
		bestRegion, bestZone := load(pool[best])
		if region < bestRegion || region == bestRegion && zone < bestZone {
			best = i
		}
	}
	return best
}

func filterPeers(peers []Peer, matches func(Peer) bool) (out []Peer) {
	for _, peer := range peers {
		if matches(peer) {
			out = append(out, peer)
		}
	}
	return out
}
