// Package zonefailover decides for the whole fleet which zones are used by whom: a pure machine at
// one place (the council's leader), fed with what agents of all sites report and a time.
//
// A zone has two tracks: one for the agents of other sites, moved by what those sites see of
// it, and one for the agents of its own, moved by what they see themselves. So a site that is
// cut off but healthy inside is left by those outside and kept by those inside.
//
// # What is guaranteed
//
// A zone is left on a track only while a strict majority of the sites that may speak of it and
// have reported within Fresh see it bad, for After without a gap, and only while no more than
// Most of the fleet's weight is left by others: where that would be passed the zone is kept,
// and each agent's own demotions are all there is. It returns by steps (0.1, 0.3, 1), the first
// no sooner than its hold after it was left, each further one no sooner than Step after the one
// before and only if somebody saw it well since. A zone that is left again within Remember of
// its return is held out twice as long, up to MaxEjectionTime: one that comes and goes every few
// seconds moves traffic seldom.
//
// # What is not guaranteed
//
// That a bad zone is left: silence of the reporters, or a majority of them gone, changes
// nothing.
package zonefailover

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Health is what an agent sees of a zone.
type Health uint8

// The views.
const (
	Unknown Health = iota // too little was met of late
	Healthy
	Unhealthy
)

// String names the view as logs have it.
func (v Health) String() string { return [...]string{"unknown", "good", "bad"}[v] }

// ZoneReport is what one agent saw of a zone's hosts of late.
type ZoneReport struct {
	Zone               string
	Weight             float64 // of its hosts that are listed
	Observed           int     // hosts met
	Unhealthy          int     // of them those whose record speaks against them
	WithFailures       int     // those that failed any attempt
	Attempts           int     // attempts at all of them, and
	Failures           int     // of these the failed, silent and slow ones
	Utilization        float64 // how busy its hosts say that they are, mean of the last probes, and
	UtilizationSamples int     // of how many
}

const (
	// minObserved is how many hosts an agent must have met to call a zone bad, unhealthyThreshold and healthyThreshold
	// which part of them makes it so, or well.
	minObserved                          = 2
	unhealthyThreshold, healthyThreshold = 0.6, 0.3
	// A zone of which half of the hosts fail some is as bad, though the last that was seen of most
	// may be good: minAttempts is how many attempts tell, failureThreshold which part of them must have
	// failed, and maxHealthyFailures which may in a zone that is well.
	minAttempts, failureThreshold, maxHealthyFailures = 8, 0.25, 0.15
	// MaxZones bounds a fleet, maxName its names, maxReports the agents that are listened to.
	MaxZones, maxName, maxReports = 16, 64, 4096
	// maxRate and maxUtilization bound what an agent may claim.
	maxRate, maxUtilization = 1e6, 4.0
)

// Health is the sight in a word.
func (s *ZoneReport) Health() Health {
	unhealthyFraction, failedFraction := float64(s.Unhealthy)/float64(max(s.Observed, 1)), float64(s.Failures)/float64(max(s.Attempts, 1))
	switch {
	case s.Observed >= minObserved && (unhealthyFraction >= unhealthyThreshold || s.Attempts >= minAttempts && failedFraction >= failureThreshold && 2*s.WithFailures >= s.Observed):
		return Unhealthy
	case s.Observed > 0 && unhealthyFraction <= healthyThreshold && failedFraction <= maxHealthyFailures:
		return Healthy
	}
	return Unknown
}

// Report is what one agent sees of all zones; the newest takes the place of those before.
type Report struct {
	Version     int
	Agent       string
	Site        string // its zone
	Incarnation uint64 // names the life of its process
	Seq         uint64 // one more with each of that life
	Region      string
	Rate        float64 // attempts a second that it makes for its clients
	Zones       []ZoneReport
}

// SeesAllUnhealthy tells whether all that the agent has met looks bad to it, in two zones or more: then
// the observer is the likelier fault, and is not heard.
func (r *Report) SeesAllUnhealthy() bool {
	unhealthy := 0
	for i := range r.Zones {
		switch r.Zones[i].Health() {
		case Healthy:
			return false
		case Unhealthy:
			unhealthy++
		}
	}
	return unhealthy > 1
}

// Version is that of reports and tables. Another is turned away.
const Version = 1

// Validate tells what is wrong with a report of another process, by field.
func (r *Report) Validate() error {
	switch {
	case r.Version != Version:
		return fmt.Errorf("report: version: %d, %d is spoken", r.Version, Version)
	case r.Agent == "" || len(r.Agent) > 2*maxName || r.Site == "" || len(r.Site) > maxName:
		return fmt.Errorf("report: agent and site: names of %d and %d bytes", len(r.Agent), len(r.Site))
	case len(r.Region) > maxName || !(r.Rate >= 0) || r.Rate > maxRate:
		return fmt.Errorf("report: region and rate: a name of %d bytes, %v", len(r.Region), r.Rate)
	case len(r.Zones) > MaxZones:
		return fmt.Errorf("report: zones: %d, at most %d are taken", len(r.Zones), MaxZones)
	}
	for i, z := range r.Zones {
		if z.Zone == "" || len(z.Zone) > maxName || z.Observed < 0 || z.Unhealthy < 0 || z.Unhealthy > z.Observed || z.Failures < 0 || z.Failures > z.Attempts || z.WithFailures < 0 || z.WithFailures > z.Observed || !(z.Weight >= 0) || !(z.Utilization >= 0) || z.Utilization > maxUtilization || z.UtilizationSamples < 0 || z.UtilizationSamples > maxReports {
			return fmt.Errorf("report: zones[%d]: %q of weight %v, %d of %d bad", i, z.Zone, z.Weight, z.Unhealthy, z.Observed)
		}
	}
	return nil
}

// Config is how the machine decides.
type Config struct {
	// MaxReportAge is how old a report may be to count, After for how long a majority must see a zone
	// bad, Hold how long a zone stays out the first time.
	MaxReportAge, UnhealthyFor, EjectionTime time.Duration
	// MaxEjectionTime bounds the doubling of Hold, Remember is for how long a return makes the next
	// hold longer, Step the least time between two steps back.
	MaxEjectionTime, EscalationWindow, SlowStartStep time.Duration
	// MaxEjectedFraction is the part of the fleet's weight that may be left by others at once.
	MaxEjectedFraction float64
	// TargetUtilization is the part of its weight that a zone is filled to before traffic leaves its site
	// for others; 0: each agent seeks its own way.
	TargetUtilization float64
}

// Defaults are the times where nothing else is said.
func Defaults() Config {
	return Config{MaxReportAge: 12 * time.Second, UnhealthyFor: 500 * time.Millisecond, EjectionTime: 5 * time.Second, MaxEjectionTime: 2 * time.Minute,
		EscalationWindow: 5 * time.Minute, SlowStartStep: 2 * time.Second, MaxEjectedFraction: 0.5, TargetUtilization: 0.75}
}

// Validate tells what makes no sense, by key.
func (c *Config) Validate() error {
	switch {
	case c.MaxReportAge <= 0 || c.UnhealthyFor < 0 || c.SlowStartStep <= 0 || c.EscalationWindow < 0:
		return fmt.Errorf("fresh, after, step and remember: must be above 0, are %v, %v, %v and %v", c.MaxReportAge, c.UnhealthyFor, c.SlowStartStep, c.EscalationWindow)
	case c.EjectionTime <= 0 || c.EjectionTime > c.MaxEjectionTime:
		return fmt.Errorf("hold: must be above 0 and at most hold_most (%v), is %v", c.MaxEjectionTime, c.EjectionTime)
	case !(c.MaxEjectedFraction > 0) || c.MaxEjectedFraction >= 1:
		return fmt.Errorf("most: must be above 0 and under 1, is %v", c.MaxEjectedFraction)
	case !(c.TargetUtilization >= 0) || c.TargetUtilization > 1:
		return fmt.Errorf("target: must be 0 to 1, is %v", c.TargetUtilization)
	}
	return nil
}

// Track is how a zone stands to some of the agents.
type Track struct {
	Share        float64       `json:"Share"`  // of its weight that they use
	EjectionTime time.Duration `json:"Hold"`   // the last one, doubled with each further leave
	Ejections    int           `json:"Leaves"` // counts them
}

// Zone is one line of a table.
type Zone struct {
	Name string `json:"Name"`
	// Remote is for the agents of other sites, In for those of its own.
	Remote Track `json:"Out"`
	Local  Track `json:"In"`
}

// Table is what is decided, whole. Of two the one of the higher number is the newer.
type Table struct {
	Version       int            `json:"Version"`
	Number        uint64         `json:"Number"`
	Zones         []Zone         `json:"Zones"` // by name; one that is not named is used whole by all
	TrafficShares []TrafficShare `json:"Parts"` // by site and zone; of a site that is not named nothing is decided
}

// Validate tells what is wrong with a table of another process, by field.
func (t *Table) Validate() error {
	if t.Version != Version || len(t.Zones) > MaxZones {
		return fmt.Errorf("table: version %d with %d zones", t.Version, len(t.Zones))
	}
	if len(t.TrafficShares) > maxTrafficShareZones*maxTrafficShareZones {
		return fmt.Errorf("table: parts: %d", len(t.TrafficShares))
	}
	for i, p := range t.TrafficShares {
		if p.Site == "" || len(p.Site) > maxName || p.Zone == "" || len(p.Zone) > maxName || !(p.Share >= 0) || p.Share > 1+1e-9 {
			return fmt.Errorf("table: parts[%d]: %+v", i, p)
		}
	}
	for i, z := range t.Zones {
		valid := func(k Track) bool { return k.Share >= 0 && k.Share <= 1 && k.EjectionTime >= 0 && k.Ejections >= 0 }
		if z.Name == "" || len(z.Name) > maxName || !valid(z.Remote) || !valid(z.Local) {
			return fmt.Errorf("table: zones[%d]: %+v", i, z)
		}
	}
	return nil
}

// Share is the part of a zone's weight that an agent of a site is to use.
func (t *Table) Share(site, zone string) float64 {
	for _, z := range t.Zones {
		if z.Name == zone && site == zone {
			return z.Local.Share
		} else if z.Name == zone {
			return z.Remote.Share
		}
	}
	return 1
}

// slowStartShares are the parts of its share that a zone gets one after the other when it returns.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Machine decides. It is not safe for concurrent use.
type Machine struct {
	config               Config
	now                  time.Duration
	startedAt            time.Duration
	started              bool
	reports              map[string]receivedReport
	knownSites           map[string]bool // that were ever heard
	table                Table
	tracks               map[trackID]*trackState
	trafficSharesMovedAt time.Duration // when parts last moved
}

type receivedReport struct {
	Report
	receivedAt time.Duration
}

// trackID is a track of a zone.
type trackID struct {
	zone  string
	local bool
}

// trackState are what a machine knows of a track beside the table: a new leader's begins anew.
type trackState struct {
	unhealthySince time.Duration // since when a majority sees it bad; -1: not now
	lastStep       time.Duration // of the last step
	seenHealthy    bool          // somebody saw it well since
}

// New returns a machine that goes on from a table, with no reports: it decides nothing until
// Fresh has passed, as it can't know before who is there.
func New(config Config, from Table) (*Machine, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	if err := from.Validate(); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	from.Zones = slices.Clone(from.Zones)
	return &Machine{config: config, table: from, reports: map[string]receivedReport{}, knownSites: map[string]bool{}, tracks: map[trackID]*trackState{}}, nil
}

func (m *Machine) advanceClock(now time.Duration) {
	if !m.started {
		m.started, m.startedAt = true, now
	}
	m.now = max(m.now, now)
}

// Report takes what an agent sees. One that is stale is dropped with the reason as its error.
func (m *Machine) Report(now time.Duration, r Report) error {
	m.advanceClock(now)
	if err := r.Validate(); err != nil {
		return err
	}
	was, ok := m.reports[r.Agent]
	switch {
	case ok && was.Incarnation == r.Incarnation && was.Seq >= r.Seq:
		return fmt.Errorf("report: seq: an older one of %s", r.Agent)
	case !ok && len(m.reports) >= maxReports:
		return fmt.Errorf("report: agent: %d are listened to, %s is one more", maxReports, r.Agent)
	}
	m.reports[r.Agent], m.knownSites[r.Site] = receivedReport{r, m.now}, true
	return nil
}

// opinion is what a site says of each zone: the view of most of its agents that have one; a
// tie is none.
func (m *Machine) opinions() (of map[string]map[string]Health, weight map[string]float64) {
	counts := map[string]map[string][3]int{} // by site and zone, of agents by view
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
			n := counts[r.Site][z.Zone]
			n[z.Health()]++
			counts[r.Site][z.Zone] = n
			weight[z.Zone] = max(weight[z.Zone], z.Weight)
		}
	}
	of = map[string]map[string]Health{}
	for site, by := range counts {
		of[site] = map[string]Health{}
		for zone, n := range by {
			switch {
			case n[Unhealthy] > n[Healthy]:
				of[site][zone] = Unhealthy
			case n[Healthy] > n[Unhealthy]:
				of[site][zone] = Healthy
			}
		}
	}
	return of, weight
}

// Table is what is decided now.
func (m *Machine) Table() Table {
	t := m.table
	t.Zones = slices.Clone(t.Zones)
	return t
}

// Committed takes over a table that was agreed on, by whomever.
func (m *Machine) Committed(t Table) {
	if t.Number <= m.table.Number {
		return
	}
	for _, z := range t.Zones {
		was := m.line(z.Name)
		for own, moved := range map[bool]bool{false: z.Remote != was.Remote, true: z.Local != was.Local} {
			if moved {
				x := m.times(trackID{z.Name, own})
				x.lastStep, x.seenHealthy = m.now, false
			}
		}
	}
	if !slices.Equal(t.TrafficShares, m.table.TrafficShares) {
		m.trafficSharesMovedAt = m.now
	}
	t.Zones = slices.Clone(t.Zones)
	m.table = t
}

func (m *Machine) times(at trackID) *trackState {
	t := m.tracks[at]
	if t == nil {
		t = &trackState{unhealthySince: -1, lastStep: m.now}
		m.tracks[at] = t
	}
	return t
}

// Tick decides anew. What it proposes, if anything, counts only once it is agreed on
// (Committed): until then it is proposed again.
func (m *Machine) Tick(now time.Duration) (next Table, changed bool) {
	m.advanceClock(now)
	next = m.Table()
	of, weight := m.opinions()
	if m.now-m.startedAt < m.config.UnhealthyFor {
		return next, false
	}
	var names []string
	for zone := range weight {
		names = append(names, zone)
	}
	slices.Sort(names)
	for _, zone := range names {
		i, ok := slices.BinarySearchFunc(next.Zones, zone, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
		if !ok {
			if len(next.Zones) >= MaxZones {
				continue
			}
			next.Zones = slices.Insert(next.Zones, i, Zone{zone, Track{Share: 1}, Track{Share: 1}})
		}
		z := &next.Zones[i]
		bad, good, may := 0, 0, 0
		for site, views := range of {
			if site == zone {
				continue
			}
			may++
			switch views[zone] {
			case Unhealthy:
				bad++
			case Healthy:
				good++
			}
		}
		// It is opened to others only as its own agents do not speak against it, where there are
		// any; those that are cut off can't, and are waited for.
		own, there := of[zone][zone], !m.knownSites[zone] || m.heardSince(zone, m.times(trackID{zone, false}).lastStep+m.config.UnhealthyFor)
		out := m.step(&z.Remote, trackID{zone, false}, 2*bad > may, good > 0, own != Unhealthy && there)
		in := m.step(&z.Local, trackID{zone, true}, own == Unhealthy, own == Healthy, true)
		if out && z.Remote.Share == 0 && !m.mayLeave(next.Zones, weight) {
			z.Remote = m.line(zone).Remote // too much is left already
			out = false
		}
		changed = changed || out || in
	}
	if m.moveTrafficShares(&next, weight) || changed {
		changed = true
		next.Version, next.Number = Version, m.table.Number+1
	}
	return next, changed
}

// heardSince tells whether any agent of a site has reported since.
func (m *Machine) heardSince(site string, since time.Duration) bool {
	for _, r := range m.reports {
		if r.Site == site && r.receivedAt > since {
			return true
		}
	}
	return false
}

// line is a zone as the table has it.
func (m *Machine) line(zone string) Zone {
	for _, z := range m.table.Zones {
		if z.Name == zone {
			return z
		}
	}
	return Zone{zone, Track{Share: 1}, Track{Share: 1}}
}

// mayLeave tells whether no more than Most of the fleet's weight is left by others.
func (m *Machine) mayLeave(list []Zone, weight map[string]float64) bool {
	all, left := 0.0, 0.0
	for _, z := range list {
		all += weight[z.Name]
		left += weight[z.Name] * (1 - z.Remote.Share)
	}
	return left <= m.config.MaxEjectedFraction*all+1e-9
}

// step moves one track, and tells whether it did. Since when it stands there is noted once that
// is agreed on.
func (m *Machine) step(k *Track, at trackID, bad, good, open bool) bool {
	t := m.times(at)
	if !bad {
		t.unhealthySince = -1
	} else if t.unhealthySince < 0 {
		t.unhealthySince = m.now
	}
	t.seenHealthy = t.seenHealthy || good
	lasting := bad && m.now-t.unhealthySince >= m.config.UnhealthyFor
	switch {
	case k.Share > 0 && lasting:
		if k.Ejections > 0 && m.now-t.lastStep <= m.config.EscalationWindow {
			k.EjectionTime = min(2*k.EjectionTime, m.config.MaxEjectionTime)
		} else {
			k.EjectionTime = m.config.EjectionTime
		}
		k.Share = 0
		k.Ejections++
	case k.Share == 0 && !bad && m.now-t.lastStep >= k.EjectionTime && (open || m.now-t.lastStep >= m.config.MaxEjectionTime):
		k.Share = slowStartShares[0]
	case k.Share > 0 && k.Share < 1 && !bad && t.seenHealthy && m.now-t.lastStep >= m.config.SlowStartStep:
		k.Share = slowStartShares[min(slices.Index(slowStartShares[:], k.Share)+1, len(slowStartShares)-1)]
	default:
		return false
	}
	return true
}
