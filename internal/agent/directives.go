package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

const (
	// minTrafficWeight is the least weight of a server, as a part of the mean, whose zone is to get none of
	// this site's traffic: it is there when all others fail.
	minTrafficWeight = 0.01
	// minAssignedTraffic is the part of a site's traffic that must have a destination by the zones' traffic
	// shares. Where most of it was to go to zones that are lost, the little that went elsewhere tells nothing
	// of how the rest is to be spread.
	minAssignedTraffic = 0.5
	// minTotalWeight guards a division by the weight of all servers.
	minTotalWeight = 1e-9
)

// applyDirectives applies what the coordinator decided.
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

// overrideList collects overrides, one for each server.
type overrideList struct {
	list []policy.Override
	byID map[string]int // indices in list
}

// serverOverrides are the overrides of single servers. One that is not listed, or is listed as another process by
// now, has none.
func (l *eventLoop) serverOverrides(overrides []Override) *overrideList {
	collected := &overrideList{byID: map[string]int{}}
	for _, override := range overrides {
		known := l.backends.byID[override.ID]
		if known == nil || known.startedMs != override.StartedMs {
			continue
		}
		collected.byID[override.ID] = len(collected.list)
		collected.list = append(collected.list, policy.Override{
			Server:        known.policyAddr,
			ShareFactor:   override.ShareFactor,
			TrafficWeight: 1,
			ExpiresMs:     l.expiryMs(override.TTL),
			Trial:         override.Trial,
			Probe:         override.Probe,
		})
	}
	return collected
}

// applyZones applies the overrides of zones to each of their servers, with the zones' traffic weights, and
// returns the reachable part of the fleet.
func (o *overrideList) applyZones(l *eventLoop, zones []ZoneOverride, weights map[string]float64) float64 {
	total, reachable := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(l.targets)) {
		target, known := l.targets[id], l.backends.byID[id]
		if known == nil || target.State != targetUp {
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
				policy.Override{Server: known.policyAddr, ShareFactor: 1, ExpiresMs: l.expiryMs(zone.TTL)})
		}
		override := &o.list[index]
		override.ShareFactor *= zone.ShareFactor
		override.TrafficWeight = weights[zone.Zone]
		override.ExpiresMs = min(override.ExpiresMs, l.expiryMs(zone.TTL)) // neither outlasts its own TTL
		override.Trial = override.Trial && zone.ShareFactor > 0
		override.Probe = override.Probe && zone.ShareFactor > 0
	}
	return reachable / max(total, minTotalWeight)
}

// zoneTrafficWeights is the weight of each zone's servers by the zones' traffic shares, as a part of the mean, so
// that all servers together weigh as much as without. Without traffic shares it is 1 for each, and false.
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

// expiryMs is the time of the policy's clock at which a TTL has passed.
func (l *eventLoop) expiryMs(ttl time.Duration) float64 { return l.now() + inMilliseconds(ttl) }

// applyPeerReports takes over what discovery reported to peers of servers that are listed here: later processes, drains
// and removals. Addresses may differ between agents, so nothing can be used of a server that is not listed.
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
		l.log(slog.LevelInfo, "list continued from reports of peers", "servers", len(changed.Servers))
		l.applyList(&changed, policy.UpdateDelta, false)
	}
}

// supersedes reports whether a report is of a later process than a target, or of a later state of the same one.
func supersedes(report, target *Target) bool {
	if report.StartedMs != target.StartedMs {
		return report.StartedMs > target.StartedMs
	}
	states := []string{targetUp, targetDraining, targetRemoved}
	return slices.Index(states, report.State) > slices.Index(states, target.State)
}
