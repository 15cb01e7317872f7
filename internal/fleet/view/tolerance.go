package view

import (
	"fmt"
	"strings"
)

// Tolerance is the losses that the control plane has to survive: Machines machines, or all machines
// of Zones zones, or all machines of Regions regions at once. The kinds are alternatives, not a sum.
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

// SpreadOf returns the spread of peers, each of which is one machine.
func SpreadOf(peers []Peer) Spread {
	return Spread{
		Machines: len(peers),
		Zones:    len(countByDomain(peers, zoneOf)),
		Regions:  len(countByDomain(peers, regionOf)),
	}
}

// Covers reports whether s is at least required in each respect.
func (s Spread) Covers(required Spread) bool {
	return s.Machines >= required.Machines && s.Zones >= required.Zones && s.Regions >= required.Regions
}

// Shortfall is by how much the voters miss a tolerance: a majority survives the loss of so many
// fewer machines, zones or regions, whichever they are.
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

// String lists the kinds of losses of which fewer are survived, as in "machines: 1 fewer, regions: 2
// fewer".
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

// Shortfall returns that of the view's voters while all of them are available.
func (v View) Shortfall(tolerance Tolerance) Shortfall {
	return tolerance.shortfall(v.Voters, len(v.Voters))
}

// shortfall returns that of voters of which only some are available.
func (t Tolerance) shortfall(available []Peer, voters int) Shortfall {
	spare := len(available) - (voters/2 + 1)
	shortfall := Shortfall{Machines: max(0, t.Machines-max(spare, -1))}
	if t.Zones > 0 {
		shortfall.Zones = max(0, t.Zones-survivableDomains(countByDomain(available, zoneOf), spare))
	}
	if t.Regions > 0 {
		shortfall.Regions = max(0, t.Regions-survivableDomains(countByDomain(available, regionOf), spare))
	}
	return shortfall
}

// survivableDomains returns how many complete domains may be lost, whichever they are, while at most
// spare machines may be. It returns -1 if there is no majority even without a loss.
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

// RequiredSpread is the least spread of the complete replicas of the chain: one machine, zone and
// region more than may be lost, but no more than remains of the voters after any tolerated loss, so
// that such a loss does not block updates. Of machines only as many losses count as leave a majority.
func (v View) RequiredSpread(tolerance Tolerance) Spread {
	all := SpreadOf(v.Voters)
	machines := min(tolerance.Machines, max(0, all.Machines-v.Quorum()))
	zones, regions := countByDomain(v.Voters, zoneOf), countByDomain(v.Voters, regionOf)
	zonesOfRegion := map[failureDomain]int{}
	for zone := range zones {
		zonesOfRegion[failureDomain{region: zone.region}]++
	}
	remainingZones := min(
		all.Zones-tolerance.Zones,
		all.Zones-domainsEmptied(zones, machines),
		all.Zones-sumOfLargest(zonesOfRegion, tolerance.Regions))
	remainingRegions := min(
		all.Regions-tolerance.Regions,
		all.Regions-domainsEmptied(regions, machines),
		all.Regions-domainsEmptied(zonesOfRegion, tolerance.Zones))
	return Spread{
		Machines: max(1, min(tolerance.Machines+1, all.Machines-machines)),
		Zones:    max(1, min(tolerance.Zones+1, remainingZones)),
		Regions:  max(1, min(tolerance.Regions+1, remainingRegions)),
	}
}

// MaxChainLength is the length up to which a chain grows. Each additional member adds one more sync
// to the latency of an update, and one more machine whose failure delays it. The voters outside of
// the chain are on standby.
func MaxChainLength(tolerance Tolerance) int {
	return max(0, tolerance.Machines, tolerance.Zones, tolerance.Regions) + 3
}
