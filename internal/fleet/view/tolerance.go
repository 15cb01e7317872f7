package view

import (
	"fmt"
	"strings"
)

// Tolerance has the losses that the control plane has to survive: a number of machines, or all machines
// of a number of zones, or all machines of a number of regions. Only losses of one kind happen at once.
type Tolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Spread counts the distinct machines, zones and regions of a set of peers.
type Spread struct {
	Machines int
	Zones    int
	Regions  int
}

// SpreadOf returns the spread of peers. Each peer is one machine.
func SpreadOf(peers []Peer) Spread {
	return Spread{
		Machines: len(peers),
		Zones:    len(countByDomain(peers, zoneOf)),
		Regions:  len(countByDomain(peers, regionOf)),
	}
}

// Covers reports whether each count of s is at least that of required.
func (s Spread) Covers(required Spread) bool {
	return s.Machines >= required.Machines && s.Zones >= required.Zones && s.Regions >= required.Regions
}

// Shortfall is the difference between the losses to tolerate and those that a majority of the voters
// survives in the worst case, as numbers of machines, zones and regions.
type Shortfall struct {
	Machines int `json:"Machines"`
	Zones    int `json:"Zones"`
	Regions  int `json:"Regions"`
}

// None reports whether a majority survives each tolerated loss.
func (s Shortfall) None() bool { return s == Shortfall{} }

// Less orders shortfalls: by machines, then by zones, then by regions.
func (s Shortfall) Less(other Shortfall) bool {
	switch {
	case s.Machines != other.Machines:
		return s.Machines < other.Machines
	case s.Zones != other.Zones:
		return s.Zones < other.Zones
	}
	return s.Regions < other.Regions
}

// String lists the kinds of losses with a shortfall, as in "machines: 1 fewer, regions: 2 fewer".
func (s Shortfall) String() string {
	var kinds []string
	for _, kind := range []struct {
		name  string
		fewer int
	}{{"machines", s.Machines}, {"zones", s.Zones}, {"regions", s.Regions}} {
		if kind.fewer > 0 {
			kinds = append(kinds, fmt.Sprintf("%s: %d fewer", kind.name, kind.fewer))
		}
	}
	return strings.Join(kinds, ", ")
}

// Shortfall returns the shortfall of the view's voters while all of them are available.
func (v View) Shortfall(tolerance Tolerance) Shortfall {
	return tolerance.shortfall(v.Voters, len(v.Voters))
}

// shortfall returns the shortfall of a number of voters of which only the given ones are available.
func (t Tolerance) shortfall(available []Peer, voterCount int) Shortfall {
	spare := len(available) - (voterCount/2 + 1)
	shortfall := Shortfall{Machines: max(0, t.Machines-max(spare, -1))}
	if t.Zones > 0 {
		shortfall.Zones = max(0, t.Zones-survivableDomains(countByDomain(available, zoneOf), spare))
	}
	if t.Regions > 0 {
		shortfall.Regions = max(0, t.Regions-survivableDomains(countByDomain(available, regionOf), spare))
	}
	return shortfall
}

// survivableDomains returns how many whole domains may be lost in the worst case, if at most spare machines
// may be lost. It returns -1 if spare is negative: there is no majority even without a loss.
func survivableDomains(counts map[failureDomain]int, spare int) int {
	lost := 0
	for lost < len(counts) && sumOfLargest(counts, lost+1) <= spare {
		lost++
	}
	if spare < 0 {
		return -1
	}
	return lost
}

// RequiredSpread returns the smallest spread that the complete replicas of the chain must have. For each
// kind it is one more than the number that may be lost, but at most what remains of the voters after any
// tolerated loss, so that such a loss does not block updates. Losses of machines count only as far as
// they leave a majority.
func (v View) RequiredSpread(tolerance Tolerance) Spread {
	voters := SpreadOf(v.Voters)
	lostMachines := min(tolerance.Machines, max(0, voters.Machines-v.Quorum()))
	machinesByZone, machinesByRegion := countByDomain(v.Voters, zoneOf), countByDomain(v.Voters, regionOf)
	zonesByRegion := map[failureDomain]int{}
	for zone := range machinesByZone {
		zonesByRegion[failureDomain{region: zone.region}]++
	}
	remainingZones := min(
		voters.Zones-tolerance.Zones,
		voters.Zones-domainsEmptied(machinesByZone, lostMachines),
		voters.Zones-sumOfLargest(zonesByRegion, tolerance.Regions))
	remainingRegions := min(
		voters.Regions-tolerance.Regions,
		voters.Regions-domainsEmptied(machinesByRegion, lostMachines),
		voters.Regions-domainsEmptied(zonesByRegion, tolerance.Zones))
	return Spread{
		Machines: max(1, min(tolerance.Machines+1, voters.Machines-lostMachines)),
		Zones:    max(1, min(tolerance.Zones+1, remainingZones)),
		Regions:  max(1, min(tolerance.Regions+1, remainingRegions)),
	}
}

// MaxChainLength returns the length up to which a chain grows, unless it needs a member in another zone
// or region. Each additional member adds a disk sync to the latency of an update, and a machine whose
// failure delays updates. The voters outside of the chain are on standby.
func MaxChainLength(tolerance Tolerance) int {
	return max(0, tolerance.Machines, tolerance.Zones, tolerance.Regions) + 3
}
