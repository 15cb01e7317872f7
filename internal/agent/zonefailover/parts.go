package zonefailover

import (
	"math"
	"slices"
	"strings"
)

// TrafficShare is which part of a site's traffic goes to a zone.
type TrafficShare struct {
	Site  string  `json:"Site"`
	Zone  string  `json:"Zone"`
	Share float64 `json:"Share"`
}

const (
	// maxTrafficShareZones is up to how many zones parts are decided: a table has to fit one message.
	maxTrafficShareZones = 5
	// maxShareChange is the most that a part moves by one decision, minShareChange the difference from
	// which it is worth one.
	maxShareChange, minShareChange = 0.25, 0.05
	// resumeUtilization is under which part of the room demand must be for parts to be decided again.
	resumeUtilization = 0.85
)

// trafficDemand is what the machine knows of demand: how much of the weight of servers each site's
// clients keep busy, the weight that each zone has for its own site and for others, and where
// sites lie.
type trafficDemand struct {
	zones          []string
	region         map[string]string
	demand         map[string]float64 // by site
	localCapacity  map[string]float64 // by zone, filled to the target
	remoteCapacity map[string]float64 // the same for other sites
}

// distribute gives each site its parts: its own zone first, as far as there is room; then zones of
// its region, then the others, in proportion to what room is left there. What fits nowhere is
// spread by what zones have, so that none is filled before another. Crossing is least: only
// what has no room at home leaves it.
func (demand *trafficDemand) distribute() map[string]map[string]float64 {
	shares, free, overflow := map[string]map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, z := range demand.zones {
		local := min(demand.demand[z], demand.localCapacity[z])
		free[z] = max(demand.remoteCapacity[z]-local, 0)
		if d, known := demand.demand[z]; known {
			shares[z] = map[string]float64{z: local}
			overflow[z] = d - local
		}
	}
	for _, sameRegion := range []bool{true, false} {
		for _, site := range demand.zones {
			available := 0.0
			reachable := func(z string) bool {
				return z != site && overflow[site] > 1e-12 && (!sameRegion || demand.region[site] != "" && demand.region[z] == demand.region[site])
			}
			for _, z := range demand.zones {
				if reachable(z) {
					available += free[z]
				}
			}
			if available <= 0 {
				continue
			}
			fraction := min(overflow[site]/available, 1)
			moved := 0.0
			for _, z := range demand.zones {
				if reachable(z) {
					amount := free[z] * fraction
					shares[site][z] += amount
					free[z] -= amount
					moved += amount
				}
			}
			overflow[site] -= moved
		}
	}
	for site, parts := range shares {
		total := 0.0
		for _, z := range demand.zones {
			total += demand.capacity(site, z)
		}
		for _, z := range demand.zones {
			if overflow[site] > 1e-12 && total > 0 {
				parts[z] += overflow[site] * demand.capacity(site, z) / total
			}
		}
		sum := 0.0
		for _, amount := range parts {
			sum += amount
		}
		for z := range parts {
			if sum > 0 {
				parts[z] /= sum
			} else {
				parts[z] = map[bool]float64{true: 1, false: 0}[z == site]
			}
		}
	}
	return shares
}

// capacity is the weight that a zone has for a site.
func (w *trafficDemand) capacity(site, zone string) float64 {
	if site == zone {
		return w.localCapacity[zone]
	}
	return w.remoteCapacity[zone]
}

// trafficDemand takes together what agents report of load; nil while too little is known.
func (m *Machine) trafficDemand(zones []Zone, weight map[string]float64) *trafficDemand {
	demand := &trafficDemand{region: map[string]string{}, demand: map[string]float64{}, localCapacity: map[string]float64{}, remoteCapacity: map[string]float64{}}
	totalRate, utilization, probes := 0.0, map[string]float64{}, map[string]float64{}
	for _, r := range m.reports {
		demand.region[r.Site] = r.Region
		demand.demand[r.Site] += r.Rate
		totalRate += r.Rate
		for _, z := range r.Zones {
			utilization[z.Zone] += z.Utilization * float64(z.UtilizationSamples)
			probes[z.Zone] += float64(z.UtilizationSamples)
		}
	}
	busyWeight := 0.0
	for _, z := range zones {
		if weight[z.Name] <= 0 {
			continue // nothing is listed there now
		}
		demand.zones = append(demand.zones, z.Name)
		if probes[z.Name] > 0 {
			busyWeight += utilization[z.Name] / probes[z.Name] * weight[z.Name]
		}
		demand.localCapacity[z.Name], demand.remoteCapacity[z.Name] = m.config.TargetUtilization*weight[z.Name]*z.Local.Share, m.config.TargetUtilization*weight[z.Name]*z.Remote.Share
	}
	if len(demand.zones) < 2 || len(demand.zones) > maxTrafficShareZones || totalRate <= 0 || busyWeight <= 0 {
		return nil
	}
	for site := range demand.demand {
		demand.demand[site] *= busyWeight / totalRate // a request is worth as much work wherever it comes from
	}
	return demand
}

// moveTrafficShares moves the table's parts towards what is wanted, by a step, and tells whether it did.
func (m *Machine) moveTrafficShares(next *Table, weight map[string]float64) bool {
	if m.config.TargetUtilization <= 0 || m.now-m.startedAt < m.config.SlowStartStep {
		return false
	}
	demand := m.trafficDemand(next.Zones, weight)
	if demand == nil {
		return false
	}
	// Near only while that is safe: where all want more than there is room for, each agent finds
	// what little room there is better than a share of yesterday's demand does.
	totalDemand, capacity := 0.0, 0.0
	for _, z := range demand.zones {
		capacity += demand.localCapacity[z]
	}
	for _, d := range demand.demand {
		totalDemand += d
	}
	switch most := len(next.TrafficShares) > 0; {
	case most && totalDemand > capacity:
		next.TrafficShares = nil
		return true
	case !most && totalDemand > resumeUtilization*capacity, m.now-m.trafficSharesMovedAt < m.config.SlowStartStep:
		return false
	}
	total := 0.0
	for _, z := range demand.zones {
		total += weight[z]
	}
	var shares []TrafficShare
	most := 0.0
	targets := demand.distribute()
	for _, site := range demand.zones {
		unlimitedChange := false // what is left, or back, moves as its share does
		for _, zone := range demand.zones {
			share, _ := m.table.TrafficShare(site, zone)
			unlimitedChange = unlimitedChange || share > minShareChange && demand.capacity(site, zone) == 0
		}
		for _, zone := range demand.zones {
			share, known := m.table.TrafficShare(site, zone)
			if !known {
				share = weight[zone] / total // as without any decision, about
			}
			if target, reported := targets[site][zone], targets[site] != nil; reported {
				most = max(most, math.Abs(target-share))
				if unlimitedChange {
					share = target
				}
				share += max(min(target-share, maxShareChange), -maxShareChange)
			}
			shares = append(shares, TrafficShare{site, zone, share})
		}
	}
	if most < minShareChange {
		return false
	}
	next.TrafficShares = shares
	return true
}

// TrafficShare is the part of a site's traffic that is to go to a zone; false where that is not decided.
func (t *Table) TrafficShare(site, zone string) (float64, bool) {
	i, ok := slices.BinarySearchFunc(t.TrafficShares, TrafficShare{Site: site, Zone: zone}, func(a, b TrafficShare) int {
		if c := strings.Compare(a.Site, b.Site); c != 0 {
			return c
		}
		return strings.Compare(a.Zone, b.Zone)
	})
	if !ok {
		return 0, false
	}
	return t.TrafficShares[i].Share, true
}
