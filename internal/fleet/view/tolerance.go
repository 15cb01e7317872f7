package view

import (
	"fmt"
	"slices"
	"strings"
)

// Tolerance says which losses are to be borne: Machines machines, or all machines of Zones zones, or
// all machines of Regions regions at once. The kinds are alternatives, not a sum.
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

// Covers tells whether s is at least least in each respect.
func (s Spread) Covers(least Spread) bool {
	return s.Machines >= least.Machines && s.Zones >= least.Zones && s.Regions >= least.Regions
}

// SpreadOf counts peers.
func SpreadOf(peers []Peer) Spread {
	return Spread{Machines: len(peers), Zones: len(perDomain(peers, zoneOf)), Regions: len(perDomain(peers, regionOf))}
}

// Shortfall is how many of the losses of each kind that are to be borne are not: a majority of the
// voters stands after so many fewer, whichever they are.
type Shortfall struct {
	Machines int `json:"Machines"`
	Zones    int `json:"Zones"`
	Regions  int `json:"Regions"`
}

// None tells whether a majority stands after each tolerated loss.
func (s Shortfall) None() bool { return s == Shortfall{} }

// Less orders shortfalls: the loss of machines counts first, then of zones, then of regions.
func (s Shortfall) Less(o Shortfall) bool {
	switch {
	case s.Machines != o.Machines:
		return s.Machines < o.Machines
	case s.Zones != o.Zones:
		return s.Zones < o.Zones
	}
	return s.Regions < o.Regions
}

// String names the kinds of losses that are not borne.
func (s Shortfall) String() string {
	var kinds []string
	for _, kind := range []struct {
		name   string
		losses int
	}{{"machines", s.Machines}, {"zones", s.Zones}, {"regions", s.Regions}} {
		if kind.losses > 0 {
			kinds = append(kinds, fmt.Sprintf("%s: %d fewer", kind.name, kind.losses))
		}
	}
	return strings.Join(kinds, ", ")
}

// Shortfall is that of the view's voters with all of them present.
func (v View) Shortfall(t Tolerance) Shortfall { return t.shortfall(v.Voters, len(v.Voters)) }

// shortfall is that of voters of whom only some are present.
func (t Tolerance) shortfall(present []Peer, voters int) Shortfall {
	spare := len(present) - (voters/2 + 1)
	s := Shortfall{Machines: max(0, t.Machines-max(spare, -1))}
	if t.Zones > 0 {
		s.Zones = max(0, t.Zones-bearable(perDomain(present, zoneOf), spare))
	}
	if t.Regions > 0 {
		s.Regions = max(0, t.Regions-bearable(perDomain(present, regionOf), spare))
	}
	return s
}

// bearable is how many whole domains may be lost while spare machines may; -1: not even none.
func bearable(counts map[domain]int, spare int) int {
	lost := 0
	for lost < len(counts) && largest(counts, lost+1) <= spare {
		lost++
	}
	if spare < 0 {
		return -1
	}
	return lost
}

// domain is a set of machines that is lost at once. A zone belongs to one region.
type domain struct{ region, zone string }

func zoneOf(p Peer) domain   { return domain{region: p.Region, zone: p.Zone} }
func regionOf(p Peer) domain { return domain{region: p.Region} }

// perDomain counts the peers of each domain.
func perDomain(peers []Peer, of func(Peer) domain) map[domain]int {
	counts := map[domain]int{}
	for _, p := range peers {
		counts[of(p)]++
	}
	return counts
}

// sizes are the sizes of domains, the smallest first.
func sizes(counts map[domain]int) (out []int) {
	for _, size := range counts {
		out = append(out, size)
	}
	slices.Sort(out)
	return out
}

// largest is how many peers, or other parts, the n fullest domains have.
func largest(counts map[domain]int, n int) (sum int) {
	all := sizes(counts)
	for _, size := range all[max(0, len(all)-n):] {
		sum += size
	}
	return sum
}

// RequiredSpread is the least spread of the complete copies of the chain: one machine, zone and region more
// than may be lost, but no more than any tolerated loss leaves of those that the voters are in, so
// that it does not hold orders up. Of machines only so many losses count as leave a majority.
func (v View) RequiredSpread(t Tolerance) Spread {
	all := SpreadOf(v.Voters)
	machines := min(t.Machines, max(0, all.Machines-v.Quorum()))
	zones, regions := perDomain(v.Voters, zoneOf), perDomain(v.Voters, regionOf)
	zonesOfRegion := map[domain]int{}
	for zone := range zones {
		zonesOfRegion[domain{region: zone.region}]++
	}
	zonesLeft := min(all.Zones-t.Zones, all.Zones-emptied(zones, machines), all.Zones-largest(zonesOfRegion, t.Regions))
	regionsLeft := min(all.Regions-t.Regions, all.Regions-emptied(regions, machines), all.Regions-emptied(zonesOfRegion, t.Zones))
	return Spread{
		Machines: max(1, min(t.Machines+1, all.Machines-machines)),
		Zones:    max(1, min(t.Zones+1, zonesLeft)),
		Regions:  max(1, min(t.Regions+1, regionsLeft)),
	}
}

// emptied is how many domains lose all of their parts at most when lost parts are lost.
func emptied(parts map[domain]int, lost int) (n int) {
	for _, size := range sizes(parts) {
		if lost -= size; lost < 0 {
			break
		}
		n++
	}
	return n
}

// MaxChainLength is how long a chain grows. Each member more is one more sync on the way of an order, and one
// more machine whose trouble holds it up; the voters beside it are there to take a place.
func MaxChainLength(t Tolerance) int { return max(0, t.Machines, t.Zones, t.Regions) + 3 }
