package referee

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// VoteStep is a step of a vote as an agent noted it.
type VoteStep struct {
	At          time.Duration
	Agent       string
	Boot        uint64 // the life of the agent's process
	Kind        string // "grant", "renew", "eject", "hold" (longer), "return"; others are passed over
	Host        string
	Incarnation int64
	Roll        uint64
	Bad         int           // attempts of its own that speak against the host
	Granters    []string      // eject and hold: whose grants
	Left        time.Duration // grant, eject and hold: how long it lasts
}

// Electorate is who votes on what: the members of each site, by zone, and the zone and weight
// of each host.
type Electorate struct {
	Zone     map[string]string // of agents
	Members  map[string][]string
	HostZone map[string]string
	Weight   map[string]float64
	Cap      float64
	Liars    []string // members whose grants stand for nothing, and are in no trace
}

// traceSlack is how far the times of two traces may be apart: they are whole ms, and of the
// clock of day.
const traceSlack = 20 * time.Millisecond

// CheckVotes judges the votes of a run by what all agents noted, in the order of time: nothing
// is ejected without live grants of a strict majority, each on evidence of its own; never more
// than the cap of a zone's weight is ejected by a site, over the views of all its agents; and
// nobody acts on what has lapsed.
func CheckVotes(steps []VoteStep, of Electorate) (broken []string) {
	type host struct {
		id          string
		incarnation int64
	}
	type grant struct{ from, to time.Duration }
	type holder struct {
		agent string
		boot  uint64
		host  host
	}
	type span struct {
		site     string
		host     host
		from, to time.Duration
	}
	grants := map[string]map[host][]grant{} // by agent
	open := map[holder]*span{}
	var spans []*span
	add := func(s VoteStep, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("votes: at %v %s, %s of %s: %s", s.At, s.Agent, s.Kind, s.Host, fmt.Sprintf(format, args...)))
	}
	for _, s := range steps {
		if s.Kind == "grant" || s.Kind == "renew" {
			if s.Bad == 0 && s.Kind == "grant" {
				add(s, "no evidence of its own")
			}
			if grants[s.Agent] == nil {
				grants[s.Agent] = map[host][]grant{}
			}
			h := host{s.Host, s.Incarnation}
			grants[s.Agent][h] = append(grants[s.Agent][h], grant{s.At, s.At + s.Left})
		}
	}
	for _, s := range steps {
		h, site := host{s.Host, s.Incarnation}, of.Zone[s.Agent]
		by := holder{s.Agent, s.Boot, h}
		switch s.Kind {
		case "eject", "hold":
			members := of.Members[site]
			var sound []string
			for _, g := range s.Granters {
				if slices.Contains(members, g) && !slices.Contains(sound, g) && (slices.Contains(of.Liars, g) || slices.ContainsFunc(grants[g][h], func(x grant) bool {
					return x.from <= s.At+traceSlack && s.At <= x.to+traceSlack
				})) {
					sound = append(sound, g)
				}
			}
			if 2*len(sound) <= len(members) {
				add(s, "%d of %d members have granted it, it counted %d", len(sound), len(members), len(s.Granters))
			}
			if x := open[by]; x != nil && s.Kind == "hold" {
				x.to = max(x.to, s.At+s.Left)
				continue
			}
			x := &span{site, h, s.At, s.At + s.Left}
			open[by] = x
			spans = append(spans, x)
		case "return":
			if x := open[by]; x != nil {
				x.to = min(x.to, s.At)
				delete(open, by)
			}
		}
	}
	whole := map[string]float64{}
	for id, zone := range of.HostZone {
		whole[zone] += of.Weight[id]
	}
	// The most is reached where something begins.
	slices.SortFunc(spans, func(a, b *span) int { return cmp.Compare(a.from, b.from) })
	for _, x := range spans {
		zone, out := of.HostZone[x.host.id], map[host]bool{}
		for _, y := range spans {
			if y.site == x.site && of.HostZone[y.host.id] == zone && y.from <= x.from && y.to > x.from+traceSlack {
				out[y.host] = true
			}
		}
		sum := 0.0
		for h := range out {
			sum += of.Weight[h.id]
		}
		if sum > of.Cap*whole[zone]+1e-9 {
			broken = append(broken, fmt.Sprintf("votes: at %v the site %s has %.1f of %.1f of zone %s ejected, the cap is %v", x.from, x.site, sum, whole[zone], zone, of.Cap))
		}
	}
	return broken
}
