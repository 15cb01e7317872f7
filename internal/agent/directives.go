package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

const (
	// minTrafficWeight is the least traffic weight of a server, relative to the mean. Servers of a zone that is
	// to get none of this site's traffic have it, so that they can be used when all others fail.
	minTrafficWeight = 0.01
	// minAssignedTraffic is the least fraction of a site's traffic that the traffic shares must assign to zones
	// with servers. If most of the traffic was to go to zones that are lost, the small fraction that went
	// elsewhere doesn't show how to distribute the rest.
	minAssignedTraffic = 0.5
	// minTotalWeight prevents a division by zero if no server has a weight.
	minTotalWeight = 1e-9
)

// applyDirectives applies the coordinator's decisions.
func (l *eventLoop) applyDirectives(directives Directives) {
	l.applyPeerReports(directives.PeerReports)
	if directives.FetchList {
		l.fetchList()
	}
	overrides := l.serverOverrides(directives.Overrides)
	weights, weighted := l.zoneTrafficWeights(directives.ZoneOverrides)
	reachable := overrides.applyZones(l, directives.ZoneOverrides, weights)
	l.handle(&policy.Event{Kind: policy.EventOverrides, Overrides: overrides.list, ReachableShare: reachable,
		ZoneWeighted: weighted})
}

// overrideList collects overrides, at most one for each server.
type overrideList struct {
	list []policy.Override
	byID map[string]int // indices in list by ID of the server
}

// serverOverrides returns the overrides of single servers. It skips an override if the server is not listed, or
// is listed with another process by now.
func (l *eventLoop) serverOverrides(overrides []Override) *overrideList {
	result := &overrideList{byID: map[string]int{}}
	for _, override := range overrides {
		b := l.backends.byID[override.ID]
		if b == nil || b.startedMs != override.StartedMs {
			continue
		}
		result.byID[override.ID] = len(result.list)
		result.list = append(result.list, policy.Override{
			Server:        b.policyAddr,
			ShareFactor:   override.ShareFactor,
			TrafficWeight: 1,
			ExpiresMs:     l.expiryMs(override.TTL),
			Trial:         override.Trial,
			Probe:         override.Probe,
		})
	}
	return result
}

// applyZones applies the overrides of zones, with the zones' traffic weights, to each of their servers. It
// returns the reachable fraction of the fleet.
func (o *overrideList) applyZones(l *eventLoop, zones []ZoneOverride, weights map[string]float64) float64 {
	total, reachable := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		target, b := l.targets[id], l.backends.byID[id]
		if b == nil || target.State != targetUp {
			continue
		}
		total += target.Weight
		reachable += target.Weight
		i := slices.IndexFunc(zones, func(zone ZoneOverride) bool { return zone.Zone == target.Zone })
		if i < 0 || zones[i].TTL <= 0 {
			continue
		}
		zone := &zones[i]
		reachable -= target.Weight * (1 - zone.ReachableShare)
		index, overridden := o.byID[id]
		if !overridden {
			index = len(o.list)
			o.list = append(o.list,
				policy.Override{Server: b.policyAddr, ShareFactor: 1, ExpiresMs: l.expiryMs(zone.TTL)})
		}
		override := &o.list[index]
		override.ShareFactor *= zone.ShareFactor
		override.TrafficWeight = weights[zone.Zone]
		override.ExpiresMs = min(override.ExpiresMs, l.expiryMs(zone.TTL)) // the shorter TTL counts
		override.Trial = override.Trial && zone.ShareFactor > 0
		override.Probe = override.Probe && zone.ShareFactor > 0
	}
	return reachable / max(total, minTotalWeight)
}

// zoneTrafficWeights returns the weight of each zone's servers according to the zones' traffic shares. It is
// relative to the mean, so that the total weight of all servers stays the same. If too little traffic is
// assigned, all weights are 1 and weighted is false.
func (l *eventLoop) zoneTrafficWeights(zones []ZoneOverride) (weights map[string]float64, weighted bool) {
	weights = map[string]float64{}
	zoneWeight, usedWeight, assigned := map[string]float64{}, 0.0, 0.0
	for _, target := range l.targets {
		if target.State == targetUp {
			zoneWeight[target.Zone] += target.Weight
		}
	}
	for _, zone := range zones {
		weights[zone.Zone] = 1
		if zoneWeight[zone.Zone] > 0 && zone.TTL > 0 {
			usedWeight += zoneWeight[zone.Zone] * zone.ShareFactor
			assigned += zone.ShareFactor * zone.TrafficShare
		}
	}
	if assigned < minAssignedTraffic || usedWeight <= 0 {
		return weights, false
	}
	for _, zone := range zones {
		if zoneWeight[zone.Zone] > 0 {
			weights[zone.Zone] = max(zone.TrafficShare/zoneWeight[zone.Zone]*usedWeight/assigned, minTrafficWeight)
		}
	}
	return weights, true
}

// expiryMs returns when a TTL that begins now ends, on the policy's clock.
func (l *eventLoop) expiryMs(ttl time.Duration) float64 { return l.now() + inMilliseconds(ttl) }

// applyPeerReports applies what discovery reported to peers about servers that are listed here: later processes,
// drains and removals. A report about a server that is not listed here can't be used, as addresses may differ
// between agents.
func (l *eventLoop) applyPeerReports(reports []Target) {
	changed := TargetList{Version: l.listVersion}
	for _, report := range reports {
		target, listed := l.targets[report.ID]
		if !listed || !supersedes(&report, &target) {
			continue
		}
		target.State, target.StartedMs = report.State, report.StartedMs
		changed.Servers = append(changed.Servers, target)
	}
	if len(changed.Servers) > 0 {
		l.log(slog.LevelInfo, "server list updated from reports of peers", "servers", len(changed.Servers))
		l.applyList(&changed, policy.UpdateDelta, false)
	}
}

// supersedes reports whether a report is about a later process than a target, or about a later state of the same
// process.
func supersedes(report, target *Target) bool {
	if report.StartedMs != target.StartedMs {
		return report.StartedMs > target.StartedMs
	}
	states := []string{targetUp, targetDraining, targetRemoved}
	return slices.Index(states, report.State) > slices.Index(states, target.State)
}
