// Package experiment plays what an experiment file describes: a fleet of real agent
// processes between emulated clients, report servers, discovery and links, with faults at
// stated times, judged by a referee and by the file's claims.
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

// File is an experiment. Times are since the start of the load.
type File struct {
	Name  string  `toml:"name"`
	About string  `toml:"about"`
	Fleet Fleet   `toml:"fleet"`
	Load  Load    `toml:"load"`
	Fault []Fault `toml:"fault"`
	Claim []Claim `toml:"claim"`
	// Quick is what differs in the short form.
	Quick struct {
		Fleet Fleet `toml:"fleet"`
		Load  Load  `toml:"load"`
	} `toml:"quick"`
	// Baselines are played in the same run: pickers in place of the agents, or NoState.
	Baselines []string `toml:"baselines"`
}

// Baselines of the same agents: without their folders, and without the layer.
const (
	NoState = "no-state"
	Alone   = "alone"
)

// byAgents tells whether a play is one of agents.
func byAgents(play string) bool { return play == "agents" || play == NoState || play == Alone }

// Fleet is who there is.
type Fleet struct {
	Agents  int      `toml:"agents"`
	Servers int      `toml:"servers"`
	Zones   []string `toml:"zones"`
	// State gives each agent a folder in which it keeps what it has learned.
	State bool `toml:"state"`
	// Layer lets the agents of each zone eject servers by vote, with messages between them over
	// links of the laboratory, and lets each write a trace of its votes.
	Layer bool `toml:"layer"`
	// Council lets the first agents of the first zones decide for all which zones are used.
	Council bool `toml:"council"`
	// Liars are stand-ins in the electorate of the first zone, beside the agents, that vote
	// falsely.
	Liars int `toml:"liars"`
	// Vote is what differs from the votes' defaults.
	Vote Vote `toml:"vote"`
	// Near and Far are how long a message takes within a zone and between zones.
	Near Duration `toml:"near"`
	Far  Duration `toml:"far"`
}

// Vote is how the agents of a zone vote, with the meaning of the same keys of an operations
// file.
type Vote struct {
	Cap     float64  `toml:"cap"`
	Lease   Duration `toml:"lease"`
	Longest Duration `toml:"longest"`
	Age     Duration `toml:"age"`
	Step    Duration `toml:"step"`
	Trial   Duration `toml:"trial"`
}

// Load is what clients want.
type Load struct {
	// Use is the part of the true capacity of all servers that is asked for, with no key known.
	Use     float64  `toml:"use"`
	For     Duration `toml:"for"`
	Warmup  Duration `toml:"warmup"` // of it not counted
	Spread  float64  `toml:"spread"`
	Keys    int      `toml:"keys"`
	Skew    float64  `toml:"skew"`
	Early   float64  `toml:"early"`
	NoRetry bool     `toml:"no_retry"`
	Hasty   bool     `toml:"hasty"` // clients do not heed Retry-After
	Burst   []Burst  `toml:"burst"`
}

// Burst is more load for a while.
type Burst struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Times float64  `toml:"times"`
	Zone  string   `toml:"zone"` // whose clients want more; empty: all
}

// Fault is something that goes wrong, and ends after For.
type Fault struct {
	Kind string   `toml:"kind"`
	At   Duration `toml:"at"`
	For  Duration `toml:"for"`
	// Part is of the agents or servers that it befalls; Zone limits it to one.
	Part float64 `toml:"part"`
	Zone string  `toml:"zone"`
	// Times, Share and Delay are how bad it is, where the kind has such a measure.
	Times float64  `toml:"times"`
	Share float64  `toml:"share"`
	Delay Duration `toml:"delay"`
	Steps int      `toml:"steps"`
}

// Claim is a figure against a bound.
type Claim struct {
	Figure string   `toml:"figure"`
	From   Duration `toml:"from"` // 0: the end of the warm-up
	To     Duration `toml:"to"`   // 0: the end
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	// Of is the baseline whose same figure the bound is a multiple of; empty: none.
	Of string `toml:"of"`
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
	if c.Of != "" {
		of = " times that of " + c.Of
	}
	if c.Min != nil {
		text += fmt.Sprintf(", at least %g%s", *c.Min, of)
	}
	if c.Max != nil {
		text += fmt.Sprintf(", at most %g%s", *c.Max, of)
	}
	return text
}

// Duration is written as "1.5s" in a file.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("%v is negative", v)
	}
	*d = Duration(v)
	return err
}

func (d Duration) String() string { return time.Duration(d).String() }

// LoadFile reads an experiment by its name from a folder.
func LoadFile(dir fs.FS, name string) (*File, error) {
	text, err := fs.ReadFile(dir, name+".toml")
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(name+".toml", string(text))
}

// List names the experiments of a folder.
func List(dir fs.FS) ([]string, error) {
	files, err := fs.Glob(dir, "*.toml")
	for i, f := range files {
		files[i] = strings.TrimSuffix(f, ".toml")
	}
	return files, err
}

// Parse checks the text of an experiment.
func Parse(path, text string) (*File, error) {
	f := &File{}
	meta, err := toml.Decode(text, f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var wrong []error
	bad := func(key, format string, args ...any) {
		wrong = append(wrong, fmt.Errorf("%s: %s: %s", path, key, fmt.Sprintf(format, args...)))
	}
	for _, key := range meta.Undecoded() {
		bad(key.String(), "unknown key")
	}
	if f.Name != strings.TrimSuffix(path, ".toml") {
		bad("name", "%q is not the file's", f.Name)
	}
	for _, quick := range []bool{false, true} {
		fleet, load, where := f.Fleet, f.Load, ""
		if quick {
			fleet, load = f.Short()
			where = "quick."
		}
		if fleet.Agents < 1 || fleet.Agents > 200 {
			bad(where+"fleet.agents", "must be 1 to 200, is %d", fleet.Agents)
		}
		if fleet.Servers < 1 || fleet.Servers > 200 {
			bad(where+"fleet.servers", "must be 1 to 200, is %d", fleet.Servers)
		}
		if len(fleet.Zones) < 1 || len(fleet.Zones) > 16 {
			bad(where+"fleet.zones", "must be 1 to 16, are %d", len(fleet.Zones))
		}
		if !(load.Use > 0) || load.Use > 3 {
			bad(where+"load.use", "must be above 0 and at most 3, is %v", load.Use)
		}
		if load.For <= load.Warmup || load.For > Duration(15*time.Minute) {
			bad(where+"load.for", "must be above the warm-up and at most 15m, is %v", load.For)
		}
		if load.Keys < 1 {
			bad(where+"load.keys", "must be above 0, is %d", load.Keys)
		}
	}
	for i, x := range f.Fault {
		at := fmt.Sprintf("fault[%d].", i)
		if kinds[x.Kind] == nil {
			known := slices.Sorted(maps.Keys(kinds))
			bad(at+"kind", "%q is none of %s", x.Kind, strings.Join(known, ", "))
		}
		if x.Part < 0 || x.Part > 1 || x.Share < 0 || x.Share > 1 {
			bad(at+"part", "part and share must be 0 to 1, are %v and %v", x.Part, x.Share)
		}
		if x.Zone != "" && !slices.Contains(f.Fleet.Zones, x.Zone) {
			bad(at+"zone", "%q is none of the fleet's", x.Zone)
		}
	}
	for i, b := range f.Load.Burst {
		if b.Zone != "" && !slices.Contains(f.Fleet.Zones, b.Zone) {
			bad(fmt.Sprintf("load.burst[%d].zone", i), "%q is none of the fleet's", b.Zone)
		}
	}
	for i, c := range f.Claim {
		at := fmt.Sprintf("claim[%d].", i)
		if !slices.Contains(FigureNames(), c.Figure) {
			bad(at+"figure", "unknown figure %q, did you mean %q?", c.Figure, opsconfig.Nearest(c.Figure, FigureNames()))
		}
		if c.Min == nil && c.Max == nil {
			bad(at+"min", "neither min nor max is given")
		}
		if c.Of != "" && !slices.Contains(f.Baselines, c.Of) {
			bad(at+"of", "%q is none of the baselines", c.Of)
		}
	}
	for i, b := range f.Baselines {
		if b == NoState || b == Alone {
			if b == NoState && !f.Fleet.State || b == Alone && !f.Fleet.Layer {
				bad(fmt.Sprintf("baselines[%d]", i), "the fleet has nothing to be %s", b)
			}
		} else if !slices.Contains(baseline.Names(), b) {
			bad(fmt.Sprintf("baselines[%d]", i), "%q is none of %s", b, strings.Join(baseline.Names(), ", "))
		}
	}
	if len(wrong) > 0 {
		return nil, errors.Join(wrong...)
	}
	return f, nil
}

// Short is the fleet and the load of the short form.
func (f *File) Short() (Fleet, Load) {
	fleet, load := f.Fleet, f.Load
	q := &f.Quick
	or(&fleet.Agents, q.Fleet.Agents)
	or(&fleet.Servers, q.Fleet.Servers)
	or(&fleet.Liars, q.Fleet.Liars)
	or(&fleet.Near, q.Fleet.Near)
	or(&fleet.Far, q.Fleet.Far)
	or(&load.Use, q.Load.Use)
	or(&load.For, q.Load.For)
	or(&load.Warmup, q.Load.Warmup)
	or(&load.Spread, q.Load.Spread)
	or(&load.Keys, q.Load.Keys)
	if len(q.Fleet.Zones) > 0 {
		fleet.Zones = q.Fleet.Zones
	}
	return fleet, load
}

// or sets what the short form names.
func or[T comparable](to *T, v T) {
	var zero T
	if v != zero {
		*to = v
	}
}
