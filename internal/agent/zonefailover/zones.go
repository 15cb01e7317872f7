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
// its return is held out twice as long, up to HoldMost: one that comes and goes every few
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

// View is what an agent sees of a zone.
type View uint8

// The views.
const (
	Unknown View = iota // too little was met of late
	Good
	Bad
)

// String names the view as logs have it.
func (v View) String() string { return [...]string{"unknown", "good", "bad"}[v] }

// Sight is what one agent saw of a zone's hosts of late.
type Sight struct {
	Zone   string
	Weight float64 // of its hosts that are listed
	Met    int     // hosts met
	Bad    int     // of them those whose record speaks against them
	Hurt   int     // those that failed any attempt
	Tries  int     // attempts at all of them, and
	Failed int     // of these the failed, silent and slow ones
	Util   float64 // how busy its hosts say that they are, mean of the last probes, and
	Probes int     // of how many
}

const (
	// metLeast is how many hosts an agent must have met to call a zone bad, badPart and goodPart
	// which part of them makes it so, or well.
	metLeast          = 2
	badPart, goodPart = 0.6, 0.3
	// A zone of which half of the hosts fail some is as bad, though the last that was seen of most
	// may be good: triesLeast is how many attempts tell, failedPart which part of them must have
	// failed, and fewPart which may in a zone that is well.
	triesLeast, failedPart, fewPart = 8, 0.25, 0.15
	// MaxZones bounds a fleet, maxName its names, maxReports the agents that are listened to.
	MaxZones, maxName, maxReports = 16, 64, 4096
	// mostRate and mostUtil bound what an agent may claim.
	mostRate, mostUtil = 1e6, 4.0
)

// View is the sight in a word.
func (s *Sight) View() View {
	part, failed := float64(s.Bad)/float64(max(s.Met, 1)), float64(s.Failed)/float64(max(s.Tries, 1))
	switch {
	case s.Met >= metLeast && (part >= badPart || s.Tries >= triesLeast && failed >= failedPart && 2*s.Hurt >= s.Met):
		return Bad
	case s.Met > 0 && part <= goodPart && failed <= fewPart:
		return Good
	}
	return Unknown
}

// Report is what one agent sees of all zones; the newest takes the place of those before.
type Report struct {
	Version int
	Agent   string
	Site    string // its zone
	Boot    uint64 // names the life of its process
	Seq     uint64 // one more with each of that life
	Region  string
	Rate    float64 // attempts a second that it makes for its clients
	Zones   []Sight
}

// Lost tells whether all that the agent has met looks bad to it, in two zones or more: then
// the observer is the likelier fault, and is not heard.
func (r *Report) Lost() bool {
	bad := 0
	for i := range r.Zones {
		switch r.Zones[i].View() {
		case Good:
			return false
		case Bad:
			bad++
		}
	}
	return bad > 1
}

// Version is that of reports and tables. Another is turned away.
const Version = 1

// Check tells what is wrong with a report of another process, by field.
func (r *Report) Check() error {
	switch {
	case r.Version != Version:
		return fmt.Errorf("report: version: %d, %d is spoken", r.Version, Version)
	case r.Agent == "" || len(r.Agent) > 2*maxName || r.Site == "" || len(r.Site) > maxName:
		return fmt.Errorf("report: agent and site: names of %d and %d bytes", len(r.Agent), len(r.Site))
	case len(r.Region) > maxName || !(r.Rate >= 0) || r.Rate > mostRate:
		return fmt.Errorf("report: region and rate: a name of %d bytes, %v", len(r.Region), r.Rate)
	case len(r.Zones) > MaxZones:
		return fmt.Errorf("report: zones: %d, at most %d are taken", len(r.Zones), MaxZones)
	}
	for i, z := range r.Zones {
		if z.Zone == "" || len(z.Zone) > maxName || z.Met < 0 || z.Bad < 0 || z.Bad > z.Met || z.Failed < 0 || z.Failed > z.Tries || z.Hurt < 0 || z.Hurt > z.Met || !(z.Weight >= 0) || !(z.Util >= 0) || z.Util > mostUtil || z.Probes < 0 || z.Probes > maxReports {
			return fmt.Errorf("report: zones[%d]: %q of weight %v, %d of %d bad", i, z.Zone, z.Weight, z.Bad, z.Met)
		}
	}
	return nil
}

// Config is how the machine decides.
type Config struct {
	// Fresh is how old a report may be to count, After for how long a majority must see a zone
	// bad, Hold how long a zone stays out the first time.
	Fresh, After, Hold time.Duration
	// HoldMost bounds the doubling of Hold, Remember is for how long a return makes the next
	// hold longer, Step the least time between two steps back.
	HoldMost, Remember, Step time.Duration
	// Most is the part of the fleet's weight that may be left by others at once.
	Most float64
	// Target is the part of its weight that a zone is filled to before traffic leaves its site
	// for others; 0: each agent seeks its own way.
	Target float64
}

// Defaults are the times where nothing else is said.
func Defaults() Config {
	return Config{Fresh: 12 * time.Second, After: 500 * time.Millisecond, Hold: 5 * time.Second, HoldMost: 2 * time.Minute,
		Remember: 5 * time.Minute, Step: 2 * time.Second, Most: 0.5, Target: 0.75}
}

// Validate tells what makes no sense, by key.
func (c *Config) Validate() error {
	switch {
	case c.Fresh <= 0 || c.After < 0 || c.Step <= 0 || c.Remember < 0:
		return fmt.Errorf("fresh, after, step and remember: must be above 0, are %v, %v, %v and %v", c.Fresh, c.After, c.Step, c.Remember)
	case c.Hold <= 0 || c.Hold > c.HoldMost:
		return fmt.Errorf("hold: must be above 0 and at most hold_most (%v), is %v", c.HoldMost, c.Hold)
	case !(c.Most > 0) || c.Most >= 1:
		return fmt.Errorf("most: must be above 0 and under 1, is %v", c.Most)
	case !(c.Target >= 0) || c.Target > 1:
		return fmt.Errorf("target: must be 0 to 1, is %v", c.Target)
	}
	return nil
}

// Track is how a zone stands to some of the agents.
type Track struct {
	Share  float64       `json:"Share"`  // of its weight that they use
	Hold   time.Duration `json:"Hold"`   // the last one, doubled with each further leave
	Leaves int           `json:"Leaves"` // counts them
}

// Zone is one line of a table.
type Zone struct {
	Name string `json:"Name"`
	// Out is for the agents of other sites, In for those of its own.
	Out Track `json:"Out"`
	In  Track `json:"In"`
}

// Table is what is decided, whole. Of two the one of the higher number is the newer.
type Table struct {
	Version int    `json:"Version"`
	Number  uint64 `json:"Number"`
	Zones   []Zone `json:"Zones"` // by name; one that is not named is used whole by all
	Parts   []Part `json:"Parts"` // by site and zone; of a site that is not named nothing is decided
}

// Check tells what is wrong with a table of another process, by field.
func (t *Table) Check() error {
	if t.Version != Version || len(t.Zones) > MaxZones {
		return fmt.Errorf("table: version %d with %d zones", t.Version, len(t.Zones))
	}
	if len(t.Parts) > partsZones*partsZones {
		return fmt.Errorf("table: parts: %d", len(t.Parts))
	}
	for i, p := range t.Parts {
		if p.Site == "" || len(p.Site) > maxName || p.Zone == "" || len(p.Zone) > maxName || !(p.Share >= 0) || p.Share > 1+1e-9 {
			return fmt.Errorf("table: parts[%d]: %+v", i, p)
		}
	}
	for i, z := range t.Zones {
		sound := func(k Track) bool { return k.Share >= 0 && k.Share <= 1 && k.Hold >= 0 && k.Leaves >= 0 }
		if z.Name == "" || len(z.Name) > maxName || !sound(z.Out) || !sound(z.In) {
			return fmt.Errorf("table: zones[%d]: %+v", i, z)
		}
	}
	return nil
}

// Share is the part of a zone's weight that an agent of a site is to use.
func (t *Table) Share(site, zone string) float64 {
	for _, z := range t.Zones {
		if z.Name == zone && site == zone {
			return z.In.Share
		} else if z.Name == zone {
			return z.Out.Share
		}
	}
	return 1
}

// steps are the parts of its share that a zone gets one after the other when it returns.
var steps = [...]float64{0.1, 0.3, 1}

// Machine decides. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	now     time.Duration
	began   time.Duration
	started bool
	reports map[string]report
	sites   map[string]bool // that were ever heard
	table   Table
	tracks  map[place]*times
	partsAt time.Duration // when parts last moved
}

type report struct {
	Report
	at time.Duration
}

// place is a track of a zone.
type place struct {
	zone string
	own  bool
}

// times are what a machine knows of a track beside the table: a new leader's begins anew.
type times struct {
	badFrom time.Duration // since when a majority sees it bad; -1: not now
	since   time.Duration // of the last step
	good    bool          // somebody saw it well since
}

// New returns a machine that goes on from a table, with no reports: it decides nothing until
// Fresh has passed, as it can't know before who is there.
func New(cfg Config, from Table) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	if err := from.Check(); err != nil {
		return nil, fmt.Errorf("zones: %w", err)
	}
	from.Zones = slices.Clone(from.Zones)
	return &Machine{cfg: cfg, table: from, reports: map[string]report{}, sites: map[string]bool{}, tracks: map[place]*times{}}, nil
}

func (m *Machine) begin(now time.Duration) {
	if !m.started {
		m.started, m.began = true, now
	}
	m.now = max(m.now, now)
}

// Report takes what an agent sees. One that is stale is dropped with the reason as its error.
func (m *Machine) Report(now time.Duration, r Report) error {
	m.begin(now)
	if err := r.Check(); err != nil {
		return err
	}
	was, ok := m.reports[r.Agent]
	switch {
	case ok && was.Boot == r.Boot && was.Seq >= r.Seq:
		return fmt.Errorf("report: seq: an older one of %s", r.Agent)
	case !ok && len(m.reports) >= maxReports:
		return fmt.Errorf("report: agent: %d are listened to, %s is one more", maxReports, r.Agent)
	}
	m.reports[r.Agent], m.sites[r.Site] = report{r, m.now}, true
	return nil
}

// opinion is what a site says of each zone: the view of most of its agents that have one; a
// tie is none.
func (m *Machine) opinions() (of map[string]map[string]View, weight map[string]float64) {
	counts := map[string]map[string][3]int{} // by site and zone, of agents by view
	weight = map[string]float64{}
	for name, r := range m.reports {
		if m.now-r.at > m.cfg.Fresh {
			delete(m.reports, name)
			continue
		}
		if r.Lost() {
			continue
		}
		if counts[r.Site] == nil {
			counts[r.Site] = map[string][3]int{}
		}
		for i := range r.Zones {
			z := &r.Zones[i]
			n := counts[r.Site][z.Zone]
			n[z.View()]++
			counts[r.Site][z.Zone] = n
			weight[z.Zone] = max(weight[z.Zone], z.Weight)
		}
	}
	of = map[string]map[string]View{}
	for site, by := range counts {
		of[site] = map[string]View{}
		for zone, n := range by {
			switch {
			case n[Bad] > n[Good]:
				of[site][zone] = Bad
			case n[Good] > n[Bad]:
				of[site][zone] = Good
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
		for own, moved := range map[bool]bool{false: z.Out != was.Out, true: z.In != was.In} {
			if moved {
				x := m.times(place{z.Name, own})
				x.since, x.good = m.now, false
			}
		}
	}
	if !slices.Equal(t.Parts, m.table.Parts) {
		m.partsAt = m.now
	}
	t.Zones = slices.Clone(t.Zones)
	m.table = t
}

func (m *Machine) times(at place) *times {
	t := m.tracks[at]
	if t == nil {
		t = &times{badFrom: -1, since: m.now}
		m.tracks[at] = t
	}
	return t
}

// Tick decides anew. What it proposes, if anything, counts only once it is agreed on
// (Committed): until then it is proposed again.
func (m *Machine) Tick(now time.Duration) (next Table, changed bool) {
	m.begin(now)
	next = m.Table()
	of, weight := m.opinions()
	if m.now-m.began < m.cfg.After {
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
			case Bad:
				bad++
			case Good:
				good++
			}
		}
		// It is opened to others only as its own agents do not speak against it, where there are
		// any; those that are cut off can't, and are waited for.
		own, there := of[zone][zone], !m.sites[zone] || m.heardSince(zone, m.times(place{zone, false}).since+m.cfg.After)
		out := m.step(&z.Out, place{zone, false}, 2*bad > may, good > 0, own != Bad && there)
		in := m.step(&z.In, place{zone, true}, own == Bad, own == Good, true)
		if out && z.Out.Share == 0 && !m.mayLeave(next.Zones, weight) {
			z.Out = m.line(zone).Out // too much is left already
			out = false
		}
		changed = changed || out || in
	}
	if m.parts(&next, weight) || changed {
		changed = true
		next.Version, next.Number = Version, m.table.Number+1
	}
	return next, changed
}

// heardSince tells whether any agent of a site has reported since.
func (m *Machine) heardSince(site string, since time.Duration) bool {
	for _, r := range m.reports {
		if r.Site == site && r.at > since {
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
		left += weight[z.Name] * (1 - z.Out.Share)
	}
	return left <= m.cfg.Most*all+1e-9
}

// step moves one track, and tells whether it did. Since when it stands there is noted once that
// is agreed on.
func (m *Machine) step(k *Track, at place, bad, good, open bool) bool {
	t := m.times(at)
	if !bad {
		t.badFrom = -1
	} else if t.badFrom < 0 {
		t.badFrom = m.now
	}
	t.good = t.good || good
	lasting := bad && m.now-t.badFrom >= m.cfg.After
	switch {
	case k.Share > 0 && lasting:
		if k.Leaves > 0 && m.now-t.since <= m.cfg.Remember {
			k.Hold = min(2*k.Hold, m.cfg.HoldMost)
		} else {
			k.Hold = m.cfg.Hold
		}
		k.Share = 0
		k.Leaves++
	case k.Share == 0 && !bad && m.now-t.since >= k.Hold && (open || m.now-t.since >= m.cfg.HoldMost):
		k.Share = steps[0]
	case k.Share > 0 && k.Share < 1 && !bad && t.good && m.now-t.since >= m.cfg.Step:
		k.Share = steps[min(slices.Index(steps[:], k.Share)+1, len(steps)-1)]
	default:
		return false
	}
	return true
}
