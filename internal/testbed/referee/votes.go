package referee

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// VoteStep is a step of a vote as an agent recorded it in its trace.
type VoteStep struct {
	At               time.Duration
	Agent            string
	AgentIncarnation uint64 // incarnation of the agent's process
	Kind             string // "grant", "renew", "eject", "hold" (an extended ejection) or "return"; others are ignored
	Host             string
	Incarnation      int64
	Electorate       uint64        // number of the electorate's version
	Failures         int           // number of the agent's own attempts at the host that failed
	Granters         []string      // for eject and hold: the members whose grants were counted
	ValidFor         time.Duration // for grant, renew, eject and hold: the remaining time that it is valid
}

// Electorate describes the voters and the hosts: the members of each site, by zone, and the zone and
// weight of each host.
type Electorate struct {
	Zone         map[string]string   // zone of each agent
	Members      map[string][]string // names of the members, by zone
	HostZone     map[string]string
	Weight       map[string]float64 // weight of each host
	Cap          float64            // fraction of a zone's weight that a site may eject
	FaultyVoters []string           // faulty voters, which write no trace: their grants count as live
}

// traceSlack is the tolerance when times of two traces are compared: they are in whole ms, by the wall
// clock.
const traceSlack = 20 * time.Millisecond

// CheckVotes checks the votes of a run, from the traces of all agents in order of time. It returns a text
// for each violation of these invariants:
//   - A host is ejected only with unexpired grants of a strict majority of the site's members.
//   - A member grants an ejection only on evidence of its own.
//   - A site, over the views of all its agents, never ejects more than the cap of a zone's weight.
func CheckVotes(steps []VoteStep, electorate Electorate) (broken []string) {
	type host struct {
		id          string
		incarnation int64
	}
	type grant struct{ from, to time.Duration }
	type ejector struct { // an agent's process and a host that it ejected
		agent            string
		agentIncarnation uint64
		host             host
	}
	type ejection struct {
		site     string
		host     host
		from, to time.Duration
	}
	grants := map[string]map[host][]grant{} // by agent
	open := map[ejector]*ejection{}         // ejections without a return yet
	var ejections []*ejection
	add := func(s VoteStep, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("votes: at %v %s, %s of %s: %s", s.At, s.Agent, s.Kind, s.Host,
			fmt.Sprintf(format, args...)))
	}
	for _, s := range steps {
		if s.Kind == "grant" || s.Kind == "renew" {
			if s.Failures == 0 && s.Kind == "grant" {
				add(s, "no evidence of its own")
			}
			if grants[s.Agent] == nil {
				grants[s.Agent] = map[host][]grant{}
			}
			h := host{s.Host, s.Incarnation}
			grants[s.Agent][h] = append(grants[s.Agent][h], grant{s.At, s.At + s.ValidFor})
		}
	}
	for _, s := range steps {
		h, site := host{s.Host, s.Incarnation}, electorate.Zone[s.Agent]
		by := ejector{s.Agent, s.AgentIncarnation, h}
		switch s.Kind {
		case "eject", "hold":
			members := electorate.Members[site]
			var valid []string // granters whose grants are unexpired
			for _, g := range s.Granters {
				if slices.Contains(members, g) && !slices.Contains(valid, g) &&
					(slices.Contains(electorate.FaultyVoters, g) ||
						slices.ContainsFunc(grants[g][h], func(x grant) bool {
							return x.from <= s.At+traceSlack && s.At <= x.to+traceSlack
						})) {
					valid = append(valid, g)
				}
			}
			if 2*len(valid) <= len(members) {
				add(s, "%d of %d members have granted it, it counted %d", len(valid), len(members), len(s.Granters))
			}
			if x := open[by]; x != nil && s.Kind == "hold" {
				x.to = max(x.to, s.At+s.ValidFor)
				continue
			}
			x := &ejection{site, h, s.At, s.At + s.ValidFor}
			open[by] = x
			ejections = append(ejections, x)
		case "return":
			if x := open[by]; x != nil {
				x.to = min(x.to, s.At)
				delete(open, by)
			}
		}
	}
	zoneWeight := map[string]float64{}
	for id, zone := range electorate.HostZone {
		zoneWeight[zone] += electorate.Weight[id]
	}
	// The ejected weight only grows when an ejection starts, so it's enough to check it at these times.
	slices.SortFunc(ejections, func(a, b *ejection) int { return cmp.Compare(a.from, b.from) })
	for _, x := range ejections {
		zone, out := electorate.HostZone[x.host.id], map[host]bool{}
		for _, y := range ejections {
			if y.site == x.site && electorate.HostZone[y.host.id] == zone && y.from <= x.from &&
				y.to > x.from+traceSlack {
				out[y.host] = true
			}
		}
		sum := 0.0
		for h := range out {
			sum += electorate.Weight[h.id]
		}
		if sum > electorate.Cap*zoneWeight[zone]+1e-9 {
			broken = append(broken, fmt.Sprintf("votes: at %v the site %s has %.1f of %.1f of zone %s ejected, the cap is %v",
				x.from, x.site, sum, zoneWeight[zone], zone, electorate.Cap))
		}
	}
	return broken
}
