package view

import "slices"

// failureDomain identifies a set of machines that can be lost at once: a zone of a region, or a whole
// region if zone is empty.
type failureDomain struct{ region, zone string }

func zoneOf(peer Peer) failureDomain {
	return failureDomain{region: peer.Region, zone: peer.Zone}
}

func regionOf(peer Peer) failureDomain { return failureDomain{region: peer.Region} }

// countByDomain returns the number of peers in each failure domain.
func countByDomain(peers []Peer, domainOf func(Peer) failureDomain) map[failureDomain]int {
	counts := map[failureDomain]int{}
	for _, peer := range peers {
		counts[domainOf(peer)]++
	}
	return counts
}

// sortedSizes returns the sizes of the domains, smallest first.
func sortedSizes(counts map[failureDomain]int) (sizes []int) {
	for _, size := range counts {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	return sizes
}

// sumOfLargest returns the total size of the n largest domains.
func sumOfLargest(counts map[failureDomain]int, n int) (sum int) {
	sizes := sortedSizes(counts)
	for _, size := range sizes[max(0, len(sizes)-n):] {
		sum += size
	}
	return sum
}

// domainsEmptied returns the largest number of domains that can become empty when a number of their
// elements (machines or zones) are lost. counts has the number of elements of each domain.
func domainsEmptied(counts map[failureDomain]int, lost int) (emptied int) {
	for _, size := range sortedSizes(counts) {
		if lost -= size; lost < 0 {
			break
		}
		emptied++
	}
	return emptied
}
