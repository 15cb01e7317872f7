package zonefailover

import (
	"math"
	"slices"
	"strings"
)

// TrafficShare is the fraction of a site's traffic that goes to a zone.
type TrafficShare struct {
	Site  string  `json:"Site"`
	Zone  string  `json:"Zone"`
	Share float64 `json:"Share"`
}

const (
	// maxTrafficShareZones is the number of zones up to which traffic shares are decided: a table has to fit
	// one message.
	maxTrafficShareZones = 5
	// maxShareChange bounds the change of a share in one decision, minShareChange is the least difference
	// that causes one.
	maxShareChange, minShareChange = 0.25, 0.05
	// resumeUtilization is the fraction of capacity that demand must be below for shares to be decided again
	// after it exceeded capacity.
	resumeUtilization = 0.85
)

// trafficDemand is the demand of each site, as the weight of servers that its clients keep busy, and the
// capacity of each zone for its own site and for others.
type trafficDemand struct {
	zones          []string
	region         map[string]string
	demand         map[string]float64 // by site
	localCapacity  map[string]float64 // by zone, up to the target utilization
	remoteCapacity map[string]float64 // as localCapacity, for other sites
}

// distribute returns the traffic shares by site and zone: first the own zone up to its capacity, then
// the zones of the region, then all others, in proportion to their free capacity. Demand beyond all
// capacity is spread in proportion to capacity, so that no zone saturates before another. Cross-zone
// traffic is minimal: only what exceeds the capacity of the own zone leaves it.
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
		demand.spread(site, overflow[site], parts)
		normalize(site, parts)
	}
	return shares
}

// spread adds the demand beyond all capacity to the zones, in proportion to the capacity of each.
func (demand *trafficDemand) spread(site string, overflow float64, parts map[string]float64) {
	total := 0.0
	for _, z := range demand.zones {
		total += demand.capacity(site, z)
	}
	if overflow <= 1e-12 || total <= 0 {
		return
	}
	for _, z := range demand.zones {
		parts[z] += overflow * demand.capacity(site, z) / total
	}
}

// normalize makes the parts add up to one. A site without any keeps its traffic at home.
func normalize(site string, parts map[string]float64) {
	sum := 0.0
	for _, amount := range parts {
		sum += amount
	}
	for z := range parts {
		switch {
		case sum > 0:
			parts[z] /= sum
		case z == site:
			parts[z] = 1
		default:
			parts[z] = 0
		}
	}
}

// capacity returns the weight that a zone has for a site.
func (demand *trafficDemand) capacity(site, zone string) float64 {
	if site == zone {
		return demand.localCapacity[zone]
	}
	return demand.remoteCapacity[zone]
}

// trafficDemand sums the load that agents report, or returns nil while too little is known.
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
			continue // it has no listed servers now
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
		demand.demand[site] *= busyWeight / totalRate // requests of all sites are assumed to cost the same
	}
	return demand
}

// moveTrafficShares moves the table's traffic shares one step towards their targets, and reports whether it
// did.
func (m *Machine) moveTrafficShares(next *Table, weight map[string]float64) bool {
	if m.config.TargetUtilization <= 0 || m.now-m.startedAt < m.config.SlowStartStep {
		return false
	}
	demand := m.trafficDemand(next.Zones, weight)
	if demand == nil {
		return false
	}
	// Shares are decided only while demand is below capacity: beyond that each agent finds the little
	// free capacity better than shares of past demand would.
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
		unlimitedChange := false // a zone that was ejected or returned: its share follows at once
		for _, zone := range demand.zones {
			share, _ := m.table.TrafficShare(site, zone)
			unlimitedChange = unlimitedChange || share > minShareChange && demand.capacity(site, zone) == 0
		}
		for _, zone := range demand.zones {
			share, known := m.table.TrafficShare(site, zone)
			if !known {
				share = weight[zone] / total // approximately what agents use without a decision
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

// TrafficShare returns the fraction of a site's traffic that goes to a zone, or false if none is decided.
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
