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
	// maxTrafficShareZones is the largest number of zones for which traffic shares are decided, because a table
	// has to fit into one message.
	maxTrafficShareZones = 5
	// maxShareChange bounds the change of a share in one decision. minShareChange is the least difference of a
	// share from its target that causes a decision.
	maxShareChange, minShareChange = 0.25, 0.05
	// resumeUtilization is the fraction of the capacity that demand must not exceed before shares are decided
	// for the first time, or again after demand exceeded the capacity.
	resumeUtilization = 0.85
)

// trafficDemand contains the demand of each site and the capacity of each zone. Both are weights: a site's demand is
// the weight of the servers that its clients keep busy.
type trafficDemand struct {
	zones          []string
	region         map[string]string  // by site
	siteDemand     map[string]float64 // by site
	localCapacity  map[string]float64 // by zone: capacity for its own site at the target utilization
	remoteCapacity map[string]float64 // by zone: capacity for other sites at the target utilization
}

// distribute returns the traffic shares by site and zone. A site uses its own zone up to the zone's capacity, then
// the other zones of its region, then all others, in proportion to their free capacity. Demand beyond the total
// capacity is spread in proportion to the capacity of each zone, so that no zone saturates before another.
// Cross-zone traffic is minimal: only the demand that exceeds the capacity of the site's own zone leaves it.
func (demand *trafficDemand) distribute() map[string]map[string]float64 {
	shares, free, overflow := map[string]map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, z := range demand.zones {
		local := min(demand.siteDemand[z], demand.localCapacity[z])
		free[z] = max(demand.remoteCapacity[z]-local, 0)
		if d, known := demand.siteDemand[z]; known {
			shares[z] = map[string]float64{z: local}
			overflow[z] = d - local
		}
	}
	for _, sameRegion := range []bool{true, false} {
		for _, site := range demand.zones {
			available := 0.0
			reachable := func(z string) bool {
				return z != site && overflow[site] > 1e-12 &&
					(!sameRegion || demand.region[site] != "" && demand.region[z] == demand.region[site])
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
	for site, zoneShares := range shares {
		demand.spread(site, overflow[site], zoneShares)
		normalize(site, zoneShares)
	}
	return shares
}

// spread adds the demand beyond the total capacity to the shares, in proportion to the capacity of each zone.
func (demand *trafficDemand) spread(site string, overflow float64, zoneShares map[string]float64) {
	total := 0.0
	for _, z := range demand.zones {
		total += demand.capacity(site, z)
	}
	if overflow <= 1e-12 || total <= 0 {
		return
	}
	for _, z := range demand.zones {
		zoneShares[z] += overflow * demand.capacity(site, z) / total
	}
}

// normalize scales a site's shares so that their sum is 1. If the sum is 0, the site's own zone gets all traffic.
func normalize(site string, zoneShares map[string]float64) {
	sum := 0.0
	for _, amount := range zoneShares {
		sum += amount
	}
	for z := range zoneShares {
		switch {
		case sum > 0:
			zoneShares[z] /= sum
		case z == site:
			zoneShares[z] = 1
		default:
			zoneShares[z] = 0
		}
	}
}

// capacity returns the capacity of a zone for the clients of a site.
func (demand *trafficDemand) capacity(site, zone string) float64 {
	if site == zone {
		return demand.localCapacity[zone]
	}
	return demand.remoteCapacity[zone]
}

// trafficDemand returns the demand and capacity that follow from the agents' reports. It returns nil if the reports
// show no traffic or no utilization, or if there are fewer than 2 or more than maxTrafficShareZones zones.
func (m *Machine) trafficDemand(zones []Zone, weight map[string]float64) *trafficDemand {
	demand := &trafficDemand{region: map[string]string{}, siteDemand: map[string]float64{},
		localCapacity: map[string]float64{}, remoteCapacity: map[string]float64{}}
	totalRate, utilizationSum, samples := 0.0, map[string]float64{}, map[string]float64{}
	for _, r := range m.reports {
		demand.region[r.Site] = r.Region
		demand.siteDemand[r.Site] += r.Rate // converted to a weight below
		totalRate += r.Rate
		for _, z := range r.Zones {
			utilizationSum[z.Zone] += z.Utilization * float64(z.UtilizationSamples)
			samples[z.Zone] += float64(z.UtilizationSamples)
		}
	}
	busyWeight := 0.0
	for _, z := range zones {
		if weight[z.Name] <= 0 {
			continue // the zone has no listed servers now
		}
		demand.zones = append(demand.zones, z.Name)
		if samples[z.Name] > 0 {
			busyWeight += utilizationSum[z.Name] / samples[z.Name] * weight[z.Name]
		}
		demand.localCapacity[z.Name], demand.remoteCapacity[z.Name] =
			m.config.TargetUtilization*weight[z.Name]*z.Local.Share,
			m.config.TargetUtilization*weight[z.Name]*z.Remote.Share
	}
	if len(demand.zones) < 2 || len(demand.zones) > maxTrafficShareZones || totalRate <= 0 || busyWeight <= 0 {
		return nil
	}
	for site := range demand.siteDemand {
		demand.siteDemand[site] *= busyWeight / totalRate // assumes that the requests of all sites cost the same
	}
	return demand
}

// moveTrafficShares moves the traffic shares of the next table by one step towards their targets. It reports
// whether it changed them.
func (m *Machine) moveTrafficShares(next *Table, weight map[string]float64) bool {
	if m.config.TargetUtilization <= 0 || m.now-m.startedAt < m.config.SlowStartStep {
		return false
	}
	demand := m.trafficDemand(next.Zones, weight)
	if demand == nil {
		return false
	}
	// Shares are decided only while demand is below capacity. Beyond that, each agent finds the little free
	// capacity better by itself than with shares that follow from past demand.
	totalDemand, capacity := 0.0, 0.0
	for _, z := range demand.zones {
		capacity += demand.localCapacity[z]
	}
	for _, d := range demand.siteDemand {
		totalDemand += d
	}
	switch decided := len(next.TrafficShares) > 0; {
	case decided && totalDemand > capacity:
		next.TrafficShares = nil
		return true
	case !decided && totalDemand > resumeUtilization*capacity, m.now-m.trafficSharesMovedAt < m.config.SlowStartStep:
		return false
	}
	total := 0.0
	for _, z := range demand.zones {
		total += weight[z]
	}
	var shares []TrafficShare
	maxDifference := 0.0
	targets := demand.distribute()
	for _, site := range demand.zones {
		// If a zone that the site uses has lost its capacity, all shares of the site change to their targets at
		// once, regardless of maxShareChange.
		unlimitedChange := false
		for _, zone := range demand.zones {
			share, _ := m.table.TrafficShare(site, zone)
			unlimitedChange = unlimitedChange || share > minShareChange && demand.capacity(site, zone) == 0
		}
		for _, zone := range demand.zones {
			share, known := m.table.TrafficShare(site, zone)
			if !known {
				share = weight[zone] / total // approximately the share that agents use without a decision
			}
			if target, reported := targets[site][zone], targets[site] != nil; reported {
				maxDifference = max(maxDifference, math.Abs(target-share))
				if unlimitedChange {
					share = target
				}
				share += max(min(target-share, maxShareChange), -maxShareChange)
			}
			shares = append(shares, TrafficShare{site, zone, share})
		}
	}
	if maxDifference < minShareChange {
		return false
	}
	next.TrafficShares = shares
	return true
}

// TrafficShare returns the fraction of a site's traffic that goes to a zone, or false if no share is decided.
func (t *Table) TrafficShare(site, zone string) (float64, bool) {
	i, ok := slices.BinarySearchFunc(t.TrafficShares, TrafficShare{Site: site, Zone: zone},
		func(a, b TrafficShare) int {
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
