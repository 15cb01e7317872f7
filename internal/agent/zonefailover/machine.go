package zonefailover

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// slowStartShares are the shares of a returning zone after each step of its slow start.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Machine is the state machine that decides the next table. It is not safe for concurrent use. Times are
// durations since a fixed start on the monotonic clock.
type Machine struct {
	config               Config
	now                  time.Duration             // time of the latest call
	startedAt            time.Duration             // time of the first call
	started              bool                      // whether startedAt is set
	reports              map[string]receivedReport // newest report by agent
	knownSites           map[string]bool           // sites that have ever reported
	table                Table                     // newest committed table
	trackStates          map[trackID]*trackState
	trafficSharesMovedAt time.Duration // time of the last committed change of the traffic shares; 0 if there was none
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	Report
	receivedAt time.Duration
}

// trackID identifies a track of a zone.
type trackID struct {
	zone  string
	local bool
}

// trackState is the state of a track that is not in the table. It is not replicated: each voter has its own and
// loses it at a restart.
type trackState struct {
	unhealthySince time.Duration // time since which a majority has seen the zone unhealthy; -1 if no majority does now
	lastStep       time.Duration // time of the track's last committed change; initially of its first evaluation
	seenHealthy    bool          // whether some site has seen the zone healthy since lastStep
}

// New returns a machine without reports that continues from a table. It decides nothing until it has run for
// UnhealthyFor, because until then it does not know which sites report.
func New(config Config, from Table) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("zonefailover: %w", err)
	}
	if err := from.Validate(); err != nil {
		return nil, fmt.Errorf("zonefailover: %w", err)
	}
	from.Zones = slices.Clone(from.Zones)
	return &Machine{config: config, table: from, reports: map[string]receivedReport{}, knownSites: map[string]bool{},
		trackStates: map[trackID]*trackState{}}, nil
}

// advanceClock sets the time of this call. The clock never goes back.
func (m *Machine) advanceClock(now time.Duration) {
	if !m.started {
		m.started, m.startedAt = true, now
	}
	m.now = max(m.now, now)
}

// Report records a report. If the report is stale or invalid, it returns an error and changes nothing.
func (m *Machine) Report(now time.Duration, r Report) error {
	m.advanceClock(now)
	if err := r.Validate(); err != nil {
		return err
	}
	last, ok := m.reports[r.Agent]
	switch {
	case ok && last.Incarnation == r.Incarnation && last.Seq >= r.Seq:
		return fmt.Errorf("report: seq: not newer than the last report of %s", r.Agent)
	case !ok && len(m.reports) >= maxReports:
		return fmt.Errorf("report: agent: the limit of %d agents is reached, %s is rejected", maxReports, r.Agent)
	}
	m.reports[r.Agent], m.knownSites[r.Site] = receivedReport{r, m.now}, true
	return nil
}

// siteOpinions returns the health of each zone in the opinion of each site, by site and zone, and the weight of
// each zone. A site's opinion is that of most of its agents that see the zone either healthy or unhealthy; a tie
// is Unknown. siteOpinions drops reports older than MaxReportAge.
func (m *Machine) siteOpinions() (opinions map[string]map[string]Health, weight map[string]float64) {
	counts := map[string]map[string][3]int{} // number of agents by site, zone and Health
	weight = map[string]float64{}
	for name, r := range m.reports {
		if m.now-r.receivedAt > m.config.MaxReportAge {
			delete(m.reports, name)
			continue
		}
		if r.SeesAllUnhealthy() {
			continue
		}
		if counts[r.Site] == nil {
			counts[r.Site] = map[string][3]int{}
		}
		for i := range r.Zones {
			z := &r.Zones[i]
			agents := counts[r.Site][z.Zone]
			agents[z.Health()]++
			counts[r.Site][z.Zone] = agents
			weight[z.Zone] = max(weight[z.Zone], z.Weight)
		}
	}
	opinions = map[string]map[string]Health{}
	for site, byZone := range counts {
		opinions[site] = map[string]Health{}
		for zone, agents := range byZone {
			switch {
			case agents[Unhealthy] > agents[Healthy]:
				opinions[site][zone] = Unhealthy
			case agents[Healthy] > agents[Unhealthy]:
				opinions[site][zone] = Healthy
			}
		}
	}
	return opinions, weight
}

// Table returns the newest committed table.
func (m *Machine) Table() Table {
	t := m.table
	t.Zones = slices.Clone(t.Zones)
	return t
}

// Committed applies a table that this leader or another one committed to the consensus log. It ignores a table
// that is not newer than the current one.
func (m *Machine) Committed(t Table) {
	if t.Number <= m.table.Number {
		return
	}
	for _, z := range t.Zones {
		before := m.zone(z.Name)
		for local, changed := range map[bool]bool{false: z.Remote != before.Remote, true: z.Local != before.Local} {
			if changed {
				state := m.trackState(trackID{z.Name, local})
				state.lastStep, state.seenHealthy = m.now, false
			}
		}
	}
	if !slices.Equal(t.TrafficShares, m.table.TrafficShares) {
		m.trafficSharesMovedAt = m.now
	}
	t.Zones = slices.Clone(t.Zones)
	m.table = t
}

// trackState returns the state of a track, creating it if there is none.
func (m *Machine) trackState(id trackID) *trackState {
	state := m.trackStates[id]
	if state == nil {
		state = &trackState{unhealthySince: -1, lastStep: m.now}
		m.trackStates[id] = state
	}
	return state
}

// Tick reevaluates all zones. It returns the next table and whether that differs from the current one and has to
// be proposed. A proposal takes effect only when it is passed to Committed; until then Tick proposes the change
// again.
func (m *Machine) Tick(now time.Duration) (next Table, changed bool) {
	m.advanceClock(now)
	next = m.Table()
	opinions, weight := m.siteOpinions()
	if m.now-m.startedAt < m.config.UnhealthyFor {
		return next, false
	}
	var names []string
	for zone := range weight {
		names = append(names, zone)
	}
	slices.Sort(names)
	for _, zone := range names {
		i, ok := slices.BinarySearchFunc(next.Zones, zone,
			func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			if len(next.Zones) >= MaxZones {
				continue
			}
			next.Zones = slices.Insert(next.Zones, i, Zone{zone, Track{Share: 1}, Track{Share: 1}})
		}
		z := &next.Zones[i]
		unhealthy, healthy, voters := 0, 0, 0
		for site, health := range opinions {
			if site == zone {
				continue
			}
			voters++
			switch health[zone] {
			case Unhealthy:
				unhealthy++
			case Healthy:
				healthy++
			}
		}
		// A zone returns for remote agents only if its own agents don't see it unhealthy. If its agents have ever
		// reported, one of them must also have reported more than UnhealthyFor after the ejection, because agents
		// that are partitioned off can't report. After MaxEjectionTime stepTrack ignores both conditions.
		localHealth, localReported := opinions[zone][zone],
			!m.knownSites[zone] ||
				m.reportedSince(zone, m.trackState(trackID{zone, false}).lastStep+m.config.UnhealthyFor)
		remoteChanged := m.stepTrack(&z.Remote, trackID{zone, false},
			2*unhealthy > voters, healthy > 0, localHealth != Unhealthy && localReported)
		localChanged := m.stepTrack(&z.Local, trackID{zone, true},
			localHealth == Unhealthy, localHealth == Healthy, true)
		if remoteChanged && z.Remote.Share == 0 && !m.withinEjectionCap(next.Zones, weight) {
			z.Remote = m.zone(zone).Remote // the ejection would exceed the cap
			remoteChanged = false
		}
		changed = changed || remoteChanged || localChanged
	}
	if m.moveTrafficShares(&next, weight) || changed {
		changed = true
		next.Version, next.Number = Version, m.table.Number+1
	}
	return next, changed
}

// reportedSince reports whether any agent of a site has reported after the time since.
func (m *Machine) reportedSince(site string, since time.Duration) bool {
	for _, r := range m.reports {
		if r.Site == site && r.receivedAt > since {
			return true
		}
	}
	return false
}

// zone returns a zone of the current table. A zone that is not listed is fully used.
func (m *Machine) zone(zone string) Zone {
	for _, z := range m.table.Zones {
		if z.Name == zone {
			return z
		}
	}
	return Zone{zone, Track{Share: 1}, Track{Share: 1}}
}

// withinEjectionCap reports whether at most MaxEjectedFraction of the fleet's weight is ejected for remote agents.
func (m *Machine) withinEjectionCap(zones []Zone, weight map[string]float64) bool {
	total, ejected := 0.0, 0.0
	for _, z := range zones {
		total += weight[z.Name]
		ejected += weight[z.Name] * (1 - z.Remote.Share)
	}
	return ejected <= m.config.MaxEjectedFraction*total+1e-9
}

// stepTrack moves a track by at most one step and reports whether it did. unhealthy is true if a majority sees
// the zone unhealthy, healthy if some site sees it healthy. A return begins only if mayReturn is true or
// MaxEjectionTime is over. Committed records the time of the step.
func (m *Machine) stepTrack(track *Track, id trackID, unhealthy, healthy, mayReturn bool) bool {
	state := m.trackState(id)
	if !unhealthy {
		state.unhealthySince = -1
	} else if state.unhealthySince < 0 {
		state.unhealthySince = m.now
	}
	state.seenHealthy = state.seenHealthy || healthy
	sustained := unhealthy && m.now-state.unhealthySince >= m.config.UnhealthyFor
	switch {
	case track.Share > 0 && sustained:
		if track.Ejections > 0 && m.now-state.lastStep <= m.config.EscalationWindow {
			track.EjectionTime = min(2*track.EjectionTime, m.config.MaxEjectionTime)
		} else {
			track.EjectionTime = m.config.EjectionTime
		}
		track.Share = 0
		track.Ejections++
	case track.Share == 0 && !unhealthy && m.now-state.lastStep >= track.EjectionTime &&
		(mayReturn || m.now-state.lastStep >= m.config.MaxEjectionTime):
		track.Share = slowStartShares[0]
	case track.Share > 0 && track.Share < 1 && !unhealthy && state.seenHealthy &&
		m.now-state.lastStep >= m.config.SlowStartStep:
		track.Share = slowStartShares[min(slices.Index(slowStartShares[:], track.Share)+1, len(slowStartShares)-1)]
	default:
		return false
	}
	return true
}
