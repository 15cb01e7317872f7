package view

import "slices"

// InitialView selects the voters and the chain of view 1 from the discovered peers, with at most
// MaxVoters voters. Only peers with a disk are selected; if there are none, the state is kept in memory
// and all peers qualify. If the loss of any of these peers counts (Peer.Counted), only such peers are
// selected. InitialView reports false if there are no peers.
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

// selectVoters selects additional voters from a pool, so that they and the given voters together have
// the smallest shortfall. Among selections with the same shortfall it returns the largest if preferLarge
// is set, else the smallest.
func selectVoters(voters, pool []Peer, tolerance Tolerance, preferLarge bool) []Peer {
	var selected []Peer
	smallestShortfall := tolerance.shortfall(voters, len(voters))
	for _, regionsFirst := range []bool{tolerance.Regions > 0, false} {
		candidates := selectSpread(voters, pool, MaxVoters-len(voters), regionsFirst)
		for n := 1; n <= len(candidates); n++ {
			allVoters := append(slices.Clone(voters), candidates[:n]...)
			shortfall := tolerance.shortfall(allVoters, len(allVoters))
			if shortfall.Less(smallestShortfall) || preferLarge && shortfall == smallestShortfall && n > len(selected) {
				selected, smallestShortfall = candidates[:n], shortfall
			}
		}
	}
	return selected
}

// selectSpread selects up to n peers from a pool, one after the other. It selects the next one from the
// failure domain with the fewest used or selected peers. Ties are broken by ID.
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

// leastLoaded returns the index of the first peer in a pool whose zone has the fewest used peers. With
// regionsFirst it compares the regions first and then the zones.
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
