package zonefailover

import (
	"math"
	"slices"
	"strings"
)

// Part is which part of a site's traffic goes to a zone.
type Part struct {
	Site  string  `json:"Site"`
	Zone  string  `json:"Zone"`
	Share float64 `json:"Share"`
}

const (
	// partsZones is up to how many zones parts are decided: a table has to fit one message.
	partsZones = 5
	// partStep is the most that a part moves by one decision, partLeast the difference from
	// which it is worth one.
	partStep, partLeast = 0.25, 0.05
	// partAgain is under which part of the room demand must be for parts to be decided again.
	partAgain = 0.85
)

// want is what the machine knows of demand: how much of the weight of servers each site's
// clients keep busy, the weight that each zone has for its own site and for others, and where
// sites lie.
type want struct {
	zones   []string
	region  map[string]string
	demand  map[string]float64 // by site
	own     map[string]float64 // by zone, filled to the target
	foreign map[string]float64 // the same for other sites
}

// spill gives each site its parts: its own zone first, as far as there is room; then zones of
// its region, then the others, in proportion to what room is left there. What fits nowhere is
// spread by what zones have, so that none is filled before another. Crossing is least: only
// what has no room at home leaves it.
func (w *want) spill() map[string]map[string]float64 {
	out, left, over := map[string]map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, z := range w.zones {
		home := min(w.demand[z], w.own[z])
		left[z] = max(w.foreign[z]-home, 0)
		if d, known := w.demand[z]; known {
			out[z] = map[string]float64{z: home}
			over[z] = d - home
		}
	}
	for _, near := range []bool{true, false} {
		for _, site := range w.zones {
			room := 0.0
			reach := func(z string) bool {
				return z != site && over[site] > 1e-12 && (!near || w.region[site] != "" && w.region[z] == w.region[site])
			}
			for _, z := range w.zones {
				if reach(z) {
					room += left[z]
				}
			}
			if room <= 0 {
				continue
			}
			take := min(over[site]/room, 1)
			moved := 0.0
			for _, z := range w.zones {
				if reach(z) {
					x := left[z] * take
					out[site][z] += x
					left[z] -= x
					moved += x
				}
			}
			over[site] -= moved
		}
	}
	for site, parts := range out {
		all := 0.0
		for _, z := range w.zones {
			all += w.room(site, z)
		}
		for _, z := range w.zones {
			if over[site] > 1e-12 && all > 0 {
				parts[z] += over[site] * w.room(site, z) / all
			}
		}
		sum := 0.0
		for _, x := range parts {
			sum += x
		}
		for z := range parts {
			if sum > 0 {
				parts[z] /= sum
			} else {
				parts[z] = map[bool]float64{true: 1, false: 0}[z == site]
			}
		}
	}
	return out
}

// room is the weight that a zone has for a site.
func (w *want) room(site, zone string) float64 {
	if site == zone {
		return w.own[zone]
	}
	return w.foreign[zone]
}

// wanted takes together what agents report of load; nil while too little is known.
func (m *Machine) wanted(list []Zone, weight map[string]float64) *want {
	w := &want{region: map[string]string{}, demand: map[string]float64{}, own: map[string]float64{}, foreign: map[string]float64{}}
	rate, util, probes := 0.0, map[string]float64{}, map[string]float64{}
	for _, r := range m.reports {
		w.region[r.Site] = r.Region
		w.demand[r.Site] += r.Rate
		rate += r.Rate
		for _, z := range r.Zones {
			util[z.Zone] += z.Util * float64(z.Probes)
			probes[z.Zone] += float64(z.Probes)
		}
	}
	busy := 0.0
	for _, z := range list {
		if weight[z.Name] <= 0 {
			continue // nothing is listed there now
		}
		w.zones = append(w.zones, z.Name)
		if probes[z.Name] > 0 {
			busy += util[z.Name] / probes[z.Name] * weight[z.Name]
		}
		w.own[z.Name], w.foreign[z.Name] = m.cfg.Target*weight[z.Name]*z.In.Share, m.cfg.Target*weight[z.Name]*z.Out.Share
	}
	if len(w.zones) < 2 || len(w.zones) > partsZones || rate <= 0 || busy <= 0 {
		return nil
	}
	for site := range w.demand {
		w.demand[site] *= busy / rate // a request is worth as much work wherever it comes from
	}
	return w
}

// parts moves the table's parts towards what is wanted, by a step, and tells whether it did.
func (m *Machine) parts(next *Table, weight map[string]float64) bool {
	if m.cfg.Target <= 0 || m.now-m.began < m.cfg.Step {
		return false
	}
	w := m.wanted(next.Zones, weight)
	if w == nil {
		return false
	}
	// Near only while that is safe: where all want more than there is room for, each agent finds
	// what little room there is better than a share of yesterday's demand does.
	demand, room := 0.0, 0.0
	for _, z := range w.zones {
		room += w.own[z]
	}
	for _, d := range w.demand {
		demand += d
	}
	switch most := len(next.Parts) > 0; {
	case most && demand > room:
		next.Parts = nil
		return true
	case !most && demand > partAgain*room, m.now-m.partsAt < m.cfg.Step:
		return false
	}
	all := 0.0
	for _, z := range w.zones {
		all += weight[z]
	}
	var out []Part
	most := 0.0
	goal := w.spill()
	for _, site := range w.zones {
		jump := false // what is left, or back, moves as its share does
		for _, zone := range w.zones {
			is, _ := m.table.Part(site, zone)
			jump = jump || is > partLeast && w.room(site, zone) == 0
		}
		for _, zone := range w.zones {
			is, known := m.table.Part(site, zone)
			if !known {
				is = weight[zone] / all // as without any decision, about
			}
			if to, heard := goal[site][zone], goal[site] != nil; heard {
				most = max(most, math.Abs(to-is))
				if jump {
					is = to
				}
				is += max(min(to-is, partStep), -partStep)
			}
			out = append(out, Part{site, zone, is})
		}
	}
	if most < partLeast {
		return false
	}
	next.Parts = out
	return true
}

// Part is the part of a site's traffic that is to go to a zone; false where that is not decided.
func (t *Table) Part(site, zone string) (float64, bool) {
	i, ok := slices.BinarySearchFunc(t.Parts, Part{Site: site, Zone: zone}, func(a, b Part) int {
		if c := strings.Compare(a.Site, b.Site); c != 0 {
			return c
		}
		return strings.Compare(a.Zone, b.Zone)
	})
	if !ok {
		return 0, false
	}
	return t.Parts[i].Share, true
}
