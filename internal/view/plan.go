package view

import (
	"slices"
	"time"
)

// Health is what a member knows of another one at a moment.
type Health struct {
	Peer     Peer          // what it says that it is
	Silent   time.Duration // since it was last known to hear and to be heard
	Well     time.Duration // for how long it has been without a break in that; 0: it is silent
	Sick     bool          // its disk fails or holds operations up
	Ending   bool          // it asked to be left out
	Complete bool          // in the view planned from, as a member of the chain, it holds everything
	Hears    []string      // whom it is in touch with, by its own word
	Up       time.Duration // since its start or waking, before which it heard nobody
	Pending  bool          // it has accepted a next view and does not know the decision
}

// Policy bounds the repair of a view.
type Policy struct {
	Losses int           // machine losses to be borne at once
	Silent time.Duration // a silent member of the chain is dropped after
	Settle time.Duration // a member that is back is believed after
	Away   time.Duration // a voter may be swapped for a newcomer after
}

// Step is the next view that Plan wants and why.
type Step struct {
	View   *View // nil: finish what was left undecided
	Why    string
	Urgent bool          // an order may be waiting for it
	Wait   time.Duration // for how long it has to be wanted
}

// Plan is the next step of repair as me sees it, or none. health has an entry for each peer that
// was ever heard, by its id; me's own is among them.
func Plan(v View, me string, health map[string]Health, p Policy) (Step, bool) {
	ok := func(id string) bool {
		h, known := health[id]
		return known && h.Silent < p.Silent && !h.Sick && !h.Ending && !replaced(v, id, health)
	}
	ready := func(id string) bool { return ok(id) && health[id].Well >= p.Settle }
	hears := func(a, b string) bool { return slices.Contains(health[a].Hears, b) }
	for _, voter := range v.Voters {
		if h, known := health[voter.ID]; known && h.Pending && h.Silent < p.Silent {
			return Step{Why: "finish a view that was left undecided", Urgent: true}, true
		}
	}
	// Members that hold the chain up, the first one first.
	bad := func(i int) (why string, wait time.Duration) {
		id := v.Chain[i].ID
		switch h, known := health[id]; {
		case replaced(v, id, health):
			return "its disk was lost", 0
		case !known || h.Silent >= p.Silent:
			return "it is silent", 0
		case h.Sick:
			return "its disk is in trouble", 0
		case h.Ending:
			return "it is about to end", 0
		}
		if i > 0 && ready(id) {
			// What a member tells of others is as old as its last word, and short after its start.
			if before := v.Chain[i-1].ID; ready(before) && health[before].Up >= 2*p.Silent && !hears(before, id) {
				return "its predecessor can't reach it", p.Settle
			}
		}
		return "", 0
	}
	whole := func(chain []Link) (n int) {
		for _, l := range chain {
			if ok(l.ID) && health[l.ID].Complete {
				n++
			}
		}
		return n
	}
	join := func() (string, bool) {
		for _, l := range v.Chain {
			if ok(l.ID) && !health[l.ID].Complete {
				return "", false // one at a time
			}
		}
		// The one whose zone has the fewest members.
		best, least := "", 0
		for _, q := range v.Voters {
			if v.Place(q.ID) >= 0 || !ready(q.ID) {
				continue
			}
			all, same := true, 0
			for _, l := range v.Chain {
				all = all && (!ok(l.ID) || hears(l.ID, q.ID) && hears(q.ID, l.ID))
				if l.Zone == q.Zone {
					same++
				}
			}
			if all && (best == "" || same < least) {
				best, least = q.ID, same
			}
		}
		return best, best != ""
	}
	trouble := false
	for i := range v.Chain {
		why, wait := bad(i)
		if why == "" {
			continue
		}
		trouble = true
		id := v.Chain[i].ID
		if next := v.Drop(id); whole(next.Chain) >= v.Floor(p.Losses) && health[next.Chain[0].ID].Complete {
			return Step{View: &next, Why: "drop " + id + " from the chain: " + why, Urgent: true, Wait: wait}, true
		}
	}
	if trouble {
		// Too few would be left that hold everything: another member first.
		if id, can := join(); can {
			next := v.Join(id)
			return Step{View: &next, Why: "add " + id + " to the chain before another is dropped", Urgent: true}, true
		}
	}
	if step, can := newcomer(v, health, p, ready); can {
		return step, true
	}
	if !trouble && len(v.Chain) < Most(p.Losses) {
		if id, can := join(); can {
			next := v.Join(id)
			return Step{View: &next, Why: "add " + id + " to the chain"}, true
		}
	}
	return Step{}, false
}

// replaced tells whether another disk answers at a voter's address.
func replaced(v View, id string, health map[string]Health) bool {
	old, is := v.Voter(id)
	if !is {
		return false
	}
	for other, h := range health {
		if other != id && h.Peer.Addr == old.Addr && h.Silent < health[id].Silent {
			return true
		}
	}
	return false
}

// newcomer is the step that gives a vote to a peer without one.
func newcomer(v View, health map[string]Health, p Policy, ready func(string) bool) (Step, bool) {
	counted := slices.ContainsFunc(v.Voters, func(q Peer) bool { return q.Counted })
	var came []Peer
	for id, h := range health {
		inChain := slices.ContainsFunc(v.Chain, func(l Link) bool { return l.Addr == h.Peer.Addr })
		if _, is := v.Voter(id); !is && !inChain && ready(id) && (h.Peer.Disk || v.Memory) && (h.Peer.Counted || !counted) {
			came = append(came, h.Peer)
		}
	}
	if len(came) == 0 {
		return Step{}, false
	}
	slices.SortFunc(came, byID)
	for _, c := range came {
		for _, q := range v.Voters {
			if q.Addr == c.Addr && v.Place(q.ID) < 0 {
				next := v.Swap(q.ID, c)
				return Step{View: &next, Why: "swap " + q.ID + " for " + c.ID + ", the new disk of its machine"}, true
			}
		}
	}
	absent := ""
	for _, q := range v.Voters {
		if h, known := health[q.ID]; !known || h.Silent >= p.Silent {
			if absent = q.ID; (!known || h.Silent >= p.Away) && v.Place(q.ID) < 0 {
				next := v.Swap(q.ID, came[0])
				return Step{View: &next, Why: "swap " + q.ID + ", which stays away, for " + came[0].ID}, true
			}
		}
	}
	// More voters only while all are there: with one away they would raise the majority.
	if absent == "" && len(v.Voters) < MaxVoters {
		next := v.Admit(came[0])
		return Step{View: &next, Why: "admit " + came[0].ID + " as a voter"}, true
	}
	return Step{}, false
}
