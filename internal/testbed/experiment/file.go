// Package experiment runs the experiments that files describe. It starts a fleet of real agent
// processes, emulates their clients, report servers, service discovery and network links, injects
// faults at the stated times, and checks the result against the protocol's rules and the file's
// claims. A play is one run of the load, either through the agents or through a baseline.
package experiment

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
	"chalkdoor.example/chalkdoor/internal/testbed/baseline"
)

// File is a parsed experiment file. Its points in time count from the start of the load.
type File struct {
	Name  string  `toml:"name"`
	About string  `toml:"about"`
	Fleet Fleet   `toml:"fleet"`
	Load  Load    `toml:"load"`
	Fault []Fault `toml:"fault"`
	Claim []Claim `toml:"claim"`
	// Quick overrides settings of the fleet and the load in the experiment's short form.
	Quick struct {
		Fleet Fleet `toml:"fleet"`
		Load  Load  `toml:"load"`
	} `toml:"quick"`
	// Baselines are played in addition to the agents, for comparison. Each is the name of a
	// load-balancing algorithm that replaces the agents, NoState or Alone.
	Baselines []string `toml:"baselines"`
}

// Baselines that run the same agents: NoState without state directories, Alone without coordination
// between agents.
const (
	NoState = "no-state"
	Alone   = "alone"
)

// usesAgents reports whether a play runs agents, and not a baseline algorithm in their place.
func usesAgents(play string) bool { return play == "agents" || play == NoState || play == Alone }

// Fleet describes the agents and servers of an experiment, and the network between them.
type Fleet struct {
	Agents  int      `toml:"agents"`
	Servers int      `toml:"servers"`
	Zones   []string `toml:"zones"`
	// State gives each agent a directory in which it persists its state.
	State bool `toml:"state"`
	// Coordination lets the agents of each zone eject servers by vote. Their messages pass through
	// emulated links, and each agent writes a trace of its votes.
	Coordination bool `toml:"layer"`
	// Council makes the first few agents, one per zone, a council that decides for all agents which
	// zones are used. It has an effect only with Coordination.
	Council bool `toml:"council"`
	// FaultyVoters is the number of additional members of the first zone's electorate that vote
	// falsely.
	FaultyVoters int `toml:"liars"`
	// Vote overrides the default voting settings.
	Vote Vote `toml:"vote"`
	// Near and Far are the one-way network delays within a zone and between zones.
	Near Duration `toml:"near"`
	Far  Duration `toml:"far"`
}

// Vote configures how the agents of a zone vote. The keys mean the same as in the vote table of
// an agent's operations file. A field that is zero leaves the default.
type Vote struct {
	Cap     float64  `toml:"cap"`
	Lease   Duration `toml:"lease"`
	Longest Duration `toml:"longest"`
	Age     Duration `toml:"age"`
	Step    Duration `toml:"step"`
	Trial   Duration `toml:"trial"`
}

// Load describes the requests that clients send.
type Load struct {
	// Utilization is the offered load as a fraction of the expected capacity of all servers, for
	// requests whose keys are not cached.
	Utilization      float64  `toml:"use"`
	Duration         Duration `toml:"for"`    // length of the load, with the warm-up
	Warmup           Duration `toml:"warmup"` // initial part of the load that figures don't include
	Spread           float64  `toml:"spread"` // sigma of the lognormal distribution of the agents' request rates
	Keys             int      `toml:"keys"`   // number of distinct request keys
	Skew             float64  `toml:"skew"`   // exponent of the keys' Zipf distribution
	EarlyLeavers     float64  `toml:"early"`  // fraction of requests whose client leaves early
	NoRetry          bool     `toml:"no_retry"`
	IgnoreRetryAfter bool     `toml:"hasty"` // clients ignore Retry-After
	Burst            []Burst  `toml:"burst"`
}

// Burst multiplies the load by Factor during a period.
type Burst struct {
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Factor   float64  `toml:"times"`
	Zone     string   `toml:"zone"` // limits the burst to the clients of this zone; empty for all zones
}

// Fault is a fault that is injected at At and ends after Duration.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`
	// Fraction is the fraction of agents or servers that are affected; 0 means all. Zone limits the
	// fault to one zone, or names the zone that is cut off; empty for all zones.
	Fraction float64 `toml:"part"`
	Zone     string  `toml:"zone"`
	// Factor (a slowdown), Share (a fraction of requests, answers or messages) and Delay set the
	// severity, for the kinds that use them. Steps is the number of batches or partitions.
	Factor float64  `toml:"times"`
	Share  float64  `toml:"share"`
	Delay  Duration `toml:"delay"`
	Steps  int      `toml:"steps"`
}

// Claim states the bounds of a figure.
type Claim struct {
	Figure string   `toml:"figure"`
	From   Duration `toml:"from"` // 0 means the end of the warm-up
	To     Duration `toml:"to"`   // 0 means the end of the load
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	// Baseline is the baseline whose figure Min and Max are multiplied by; empty if they are absolute.
	Baseline string `toml:"of"`
}

func (c *Claim) String() string {
	text := c.Figure
	if c.From > 0 {
		text += fmt.Sprintf(" from %v", c.From)
	}
	if c.To > 0 {
		text += fmt.Sprintf(" to %v", c.To)
	}
	of := ""
	if c.Baseline != "" {
		of = " times that of " + c.Baseline
	}
	if c.Min != nil {
		text += fmt.Sprintf(", at least %g%s", *c.Min, of)
	}
	if c.Max != nil {
		text += fmt.Sprintf(", at most %g%s", *c.Max, of)
	}
	return text
}

// Duration is a time.Duration that is written like "1.5s" in a file.
type Duration time.Duration

// UnmarshalText parses a duration, which must not be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("%v is negative", v)
	}
	*d = Duration(v)
	return err
}

func (d Duration) String() string { return time.Duration(d).String() }

// LoadFile reads the experiment with the given name from a directory.
func LoadFile(dir fs.FS, name string) (*File, error) {
	text, err := fs.ReadFile(dir, name+".toml")
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(name+".toml", string(text))
}

// List returns the names of a directory's experiments.
func List(dir fs.FS) ([]string, error) {
	files, err := fs.Glob(dir, "*.toml")
	for i, f := range files {
		files[i] = strings.TrimSuffix(f, ".toml")
	}
	return files, err
}

// Parse decodes and validates the text of an experiment file.
func Parse(path, text string) (*File, error) {
	f := &File{}
	meta, err := toml.Decode(text, f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var errs []error
	addError := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s: %s", path, key, fmt.Sprintf(format, args...)))
	}
	for _, key := range meta.Undecoded() {
		addError(key.String(), "unknown key")
	}
	if f.Name != strings.TrimSuffix(path, ".toml") {
		addError("name", "%q is not the file's name", f.Name)
	}
	for _, quick := range []bool{false, true} {
		fleet, load, where := f.Fleet, f.Load, ""
		if quick {
			fleet, load = f.Short()
			where = "quick."
		}
		if fleet.Agents < 1 || fleet.Agents > 200 {
			addError(where+"fleet.agents", "must be 1 to 200, is %d", fleet.Agents)
		}
		if fleet.Servers < 1 || fleet.Servers > 200 {
			addError(where+"fleet.servers", "must be 1 to 200, is %d", fleet.Servers)
		}
		if len(fleet.Zones) < 1 || len(fleet.Zones) > 16 {
			addError(where+"fleet.zones", "must be 1 to 16, are %d", len(fleet.Zones))
		}
		if !(load.Utilization > 0) || load.Utilization > 3 {
			addError(where+"load.use", "must be above 0 and at most 3, is %v", load.Utilization)
		}
		if load.Duration <= load.Warmup || load.Duration > Duration(15*time.Minute) {
			addError(where+"load.for", "must be above the warm-up and at most 15m, is %v", load.Duration)
		}
		if load.Keys < 1 {
			addError(where+"load.keys", "must be above 0, is %d", load.Keys)
		}
	}
	for i, x := range f.Fault {
		at := fmt.Sprintf("fault[%d].", i)
		if faultKinds[x.Kind] == nil {
			known := slices.Sorted(maps.Keys(faultKinds))
			addError(at+"kind", "%q is none of %s", x.Kind, strings.Join(known, ", "))
		}
		if x.Fraction < 0 || x.Fraction > 1 || x.Share < 0 || x.Share > 1 {
			addError(at+"part", "part and share must be 0 to 1, are %v and %v", x.Fraction, x.Share)
		}
		if x.Zone != "" && !slices.Contains(f.Fleet.Zones, x.Zone) {
			addError(at+"zone", "%q is none of the fleet's zones", x.Zone)
		}
	}
	for i, b := range f.Load.Burst {
		if b.Zone != "" && !slices.Contains(f.Fleet.Zones, b.Zone) {
			addError(fmt.Sprintf("load.burst[%d].zone", i), "%q is none of the fleet's zones", b.Zone)
		}
	}
	for i, c := range f.Claim {
		at := fmt.Sprintf("claim[%d].", i)
		if !slices.Contains(FigureNames(), c.Figure) {
			addError(at+"figure", "unknown figure %q, did you mean %q?", c.Figure,
				opsconfig.Nearest(c.Figure, FigureNames()))
		}
		if c.Min == nil && c.Max == nil {
			addError(at+"min", "neither min nor max is given")
		}
		if c.Baseline != "" && !slices.Contains(f.Baselines, c.Baseline) {
			addError(at+"of", "%q is none of the baselines", c.Baseline)
		}
	}
	for i, b := range f.Baselines {
		if b == NoState || b == Alone {
			if b == NoState && !f.Fleet.State || b == Alone && !f.Fleet.Coordination {
				addError(fmt.Sprintf("baselines[%d]", i), "%s would not differ from the agents", b)
			}
		} else if !slices.Contains(baseline.Names(), b) {
			addError(fmt.Sprintf("baselines[%d]", i), "%q is none of %s", b, strings.Join(baseline.Names(), ", "))
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return f, nil
}

// Short returns the fleet and the load of the experiment's short form.
func (f *File) Short() (Fleet, Load) {
	fleet, load := f.Fleet, f.Load
	q := &f.Quick
	override(&fleet.Agents, q.Fleet.Agents)
	override(&fleet.Servers, q.Fleet.Servers)
	override(&fleet.FaultyVoters, q.Fleet.FaultyVoters)
	override(&fleet.Near, q.Fleet.Near)
	override(&fleet.Far, q.Fleet.Far)
	override(&load.Utilization, q.Load.Utilization)
	override(&load.Duration, q.Load.Duration)
	override(&load.Warmup, q.Load.Warmup)
	override(&load.Spread, q.Load.Spread)
	override(&load.Keys, q.Load.Keys)
	if len(q.Fleet.Zones) > 0 {
		fleet.Zones = q.Fleet.Zones
	}
	return fleet, load
}

// override sets *to to v unless v is the zero value.
func override[T comparable](to *T, v T) {
	var zero T
	if v != zero {
		*to = v
	}
}
