package coordination

import (
	"maps"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
)

// setOverrides sets the overrides that the event loop takes next. They replace all earlier ones. Attempts that
// were requested earlier and not yet taken stay requested.
func (c *Coordinator) setOverrides(standings []ejection.Standing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overrides = c.overrides[:0:0]
	listed := map[outlier.Host]bool{}
	for _, s := range standings {
		listed[s.Host] = true
		if s.Trial || s.Probe {
			c.pendingAttempts[s.Host] = s.Probe
		}
		probe, pending := c.pendingAttempts[s.Host]
		c.overrides = append(c.overrides, agent.Override{ID: s.Host.ID, StartedMs: float64(s.Host.Incarnation),
			ShareFactor: s.Share, TTL: s.Until, Trial: pending && !probe, Probe: pending && probe})
	}
	for h, probe := range c.pendingAttempts {
		if !listed[h] {
			c.overrides = append(c.overrides, agent.Override{ID: h.ID, StartedMs: float64(h.Incarnation),
				ShareFactor: 1, Trial: !probe, Probe: probe})
		}
	}
	c.wake()
}

// setZoneOverrides sets the zone overrides that the event loop takes next. If fetchList is true it also requests
// one fetch of the complete list from discovery.
func (c *Coordinator) setZoneOverrides(zones []agent.ZoneOverride, fetchList bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zoneOverrides, c.fetchList = zones, c.fetchList || fetchList
	c.wake()
}

// addPeerReports adds entries that discovery reported to peers. The newest entry for a server replaces older
// ones.
func (c *Coordinator) addPeerReports(entries []stalerouting.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		if len(c.peerReports) < maxPeerReports || c.peerReports[e.ID].ID != "" {
			c.peerReports[e.ID] = agent.Target{ID: e.ID, State: e.State.String(), StartedMs: float64(e.Incarnation)}
		}
	}
	c.wake()
}

// wake signals the event loop that there are new directives.
func (c *Coordinator) wake() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// setSnapshot stores the state of the site task.
func (c *Coordinator) setSnapshot(state Snapshot, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot, c.snapshotAt = state, now
}

// Snapshot returns the last state of the site task, with current ages.
func (c *Coordinator) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := Snapshot{c.snapshot.Isolated, slices.Clone(c.snapshot.Entries)}
	for i := range state.Entries {
		state.Entries[i].Age += max(c.now()-c.snapshotAt, 0)
	}
	return state
}

// Ready returns a channel that receives when there are new directives.
func (c *Coordinator) Ready() <-chan struct{} { return c.ready }

// Directives returns the newest directives. Requested attempts, peer reports and FetchList are returned only
// once. Each TTL is the time that remains at this call, as the process may have been paused since the directive
// was set.
func (c *Coordinator) Directives() agent.Directives {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	directives := agent.Directives{Overrides: slices.Clone(c.overrides), ZoneOverrides: slices.Clone(c.zoneOverrides),
		FetchList: c.fetchList}
	for i := range directives.Overrides {
		directives.Overrides[i].TTL = max(directives.Overrides[i].TTL-now, 0)
	}
	for i := range directives.ZoneOverrides {
		directives.ZoneOverrides[i].TTL = max(directives.ZoneOverrides[i].TTL-now, 0)
	}
	for _, id := range slices.Sorted(maps.Keys(c.peerReports)) {
		directives.PeerReports = append(directives.PeerReports, c.peerReports[id])
	}
	for i := range c.overrides { // each attempt is requested once
		c.overrides[i].Trial, c.overrides[i].Probe = false, false
	}
	clear(c.pendingAttempts)
	clear(c.peerReports)
	c.fetchList = false
	return directives
}
