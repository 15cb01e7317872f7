package view

import (
	"slices"
	"time"
)

// Health is what a member knows of another one at a moment.
type Health struct {
	Peer          Peer          // what it says that it is
	SinceContact  time.Duration // since it was last known to hear and to be heard
	StableFor     time.Duration // for how long it has been without a break in that; 0: it is silent
	DiskUnhealthy bool          // its disk fails or holds operations up
	Leaving       bool          // it asked to be left out
	Complete      bool          // in the view planned from, as a member of the chain, it holds everything
	ConnectedTo   []string      // whom it is in touch with, by its own word
	Uptime        time.Duration // since its start or waking, before which it heard nobody
	Undecided     bool          // it has accepted a next view and does not know the decision
}

// Policy bounds the repair of a view.
type Policy struct {
	Tolerance    Tolerance     // losses to be borne at once
	FailAfter    time.Duration // a silent member of the chain is dropped after
	StableAfter  time.Duration // a member that is back is believed after
	ReplaceAfter time.Duration // a voter may be swapped for a newcomer after
}

// Step is the next view that Plan wants and why.
type Step struct {
	View         *View // nil: finish what was left undecided
	Reason       string
	Urgent       bool          // an order may be waiting for it
	Delay        time.Duration // for how long it has to be wanted
	RemovedVoter string        // the voter that the step takes the vote from; "": none
}

// Plan is the next step of repair as me sees it, or none. health has an entry for each peer that
// was ever heard, by its id; me's own is among them.
func Plan(v View, me string, health map[string]Health, p Policy) (Step, bool) {
	pl := newPlanner(v, health, p)
	if step, due := pl.finish(); due {
		return step, true
	}
	trouble := pl.troubles()
	if step, due := pl.drop(trouble); due {
		return step, true
	}
	if len(trouble) > 0 {
		if step, due := pl.join("to the chain before another is dropped", true); due {
			return step, true
		}
	}
	if step, due := pl.changeVoters(); due {
		return step, true
	}
	if len(trouble) == 0 && pl.chainIsShort() {
		return pl.join("to the chain", false)
	}
	return Step{}, false
}

// MayLeave tells whether a member that is about to end has nothing to wait for: it has no place in
// the chain and its vote need not be handed over, or nobody is there that could take its place.
func MayLeave(v View, me string, health map[string]Health, p Policy) bool {
	pl := newPlanner(v, health, p)
	if v.Position(me) < 0 {
		_, due := pl.handOverVote(pl.newcomers())
		return !due
	}
	for id, h := range health {
		if id == me || h.Leaving || h.Complete && pl.ok(id) {
			continue
		}
		if _, voter := v.Voter(id); voter || pl.eligible(h.Peer) && h.SinceContact < p.FailAfter {
			return false
		}
	}
	return true
}

// planner is what one call of Plan looks at.
type planner struct {
	view   View
	health map[string]Health
	policy Policy
	usable map[string]bool // the peers that can be relied on now
}

func newPlanner(v View, health map[string]Health, p Policy) *planner {
	pl := &planner{view: v, health: health, policy: p, usable: make(map[string]bool, len(health))}
	for id, h := range health {
		pl.usable[id] = h.SinceContact < p.FailAfter && !h.DiskUnhealthy && !h.Leaving && !pl.replaced(id)
	}
	return pl
}

// trouble is a member of the chain that is to be dropped.
type trouble struct {
	id     string
	why    string
	wait   time.Duration
	ending bool // it still works
}

// ok tells whether a peer can be relied on now.
func (pl *planner) ok(id string) bool { return pl.usable[id] }

// ready tells whether a peer has been well for long enough to be given a place.
func (pl *planner) ready(id string) bool {
	return pl.ok(id) && pl.health[id].StableFor >= pl.policy.StableAfter
}

// hears tells whether a peer is in touch with another, by its own word.
func (pl *planner) hears(id, other string) bool {
	return slices.Contains(pl.health[id].ConnectedTo, other)
}

// replaced tells whether another disk answers at a voter's address.
func (pl *planner) replaced(id string) bool {
	old, voter := pl.view.Voter(id)
	if !voter {
		return false
	}
	for other, h := range pl.health {
		if other != id && h.Peer.Addr == old.Addr && h.SinceContact < pl.health[id].SinceContact {
			return true
		}
	}
	return false
}

// located is a peer with the region that it tells, where its record is of a version without regions.
func (pl *planner) located(p Peer) Peer {
	if h, known := pl.health[p.ID]; known && p.Region == "" {
		p.Region = h.Peer.Region
	}
	return p
}

// voters is the view's voters, located.
func (pl *planner) voters() (out []Peer) {
	for _, voter := range pl.view.Voters {
		out = append(out, pl.located(voter))
	}
	return out
}

// members is the members of the chain that fit, located.
func (pl *planner) members(fits func(id string) bool) (out []Peer) {
	for _, l := range pl.view.Chain {
		if fits(l.ID) {
			out = append(out, pl.located(l.Peer))
		}
	}
	return out
}

// finish is the step that ends a decision which was left open.
func (pl *planner) finish() (Step, bool) {
	for _, voter := range pl.view.Voters {
		if h, known := pl.health[voter.ID]; known && h.Undecided && h.SinceContact < pl.policy.FailAfter {
			return Step{Reason: "finish a view that was left undecided", Urgent: true}, true
		}
	}
	return Step{}, false
}

// troubles lists the members that hold the chain up, the first one first.
func (pl *planner) troubles() (out []trouble) {
	for i, l := range pl.view.Chain {
		h, known := pl.health[l.ID]
		switch {
		case pl.replaced(l.ID):
			out = append(out, trouble{id: l.ID, why: "its disk was lost"})
		case !known || h.SinceContact >= pl.policy.FailAfter:
			out = append(out, trouble{id: l.ID, why: "it is silent"})
		case h.DiskUnhealthy:
			out = append(out, trouble{id: l.ID, why: "its disk is in trouble"})
		case h.Leaving:
			out = append(out, trouble{id: l.ID, why: "it is about to end", ending: true})
		case pl.unreached(i):
			out = append(out, trouble{id: l.ID, why: "its predecessor can't reach it", wait: pl.policy.StableAfter})
		}
	}
	return out
}

// unreached tells whether a member's predecessor does not hear it. What a member tells of others is
// as old as its last word, and short after its start.
func (pl *planner) unreached(i int) bool {
	if i == 0 || !pl.ready(pl.view.Chain[i].ID) {
		return false
	}
	before := pl.view.Chain[i-1].ID
	return pl.ready(before) && pl.health[before].Uptime >= 2*pl.policy.FailAfter && !pl.hears(before, pl.view.Chain[i].ID)
}

// drop is the step that leaves the first member out without which the floor stands.
func (pl *planner) drop(troubles []trouble) (Step, bool) {
	for _, bad := range troubles {
		next := pl.view.RemoveMember(bad.id)
		if len(next.Chain) == 0 || !pl.health[next.Chain[0].ID].Complete {
			continue
		}
		left := pl.members(func(id string) bool { return id != bad.id && pl.ok(id) && pl.health[id].Complete })
		if SpreadOf(left).Covers(pl.floorWithout(bad)) {
			return Step{View: &next, Reason: "drop " + bad.id + " from the chain: " + bad.why, Urgent: true, Delay: bad.wait}, true
		}
	}
	return Step{}, false
}

// floorWithout is the spread that complete copies must have once a member is dropped: the floor of
// the voters that stay, and more where other machines can hold copies right now. For a member that
// still works, newcomers that can be admitted count as such too.
func (pl *planner) floorWithout(bad trouble) Spread {
	tolerance := pl.policy.Tolerance
	voters := filter(pl.voters(), func(p Peer) bool { return !bad.ending || p.ID != bad.id })
	floor := View{Voters: voters}.RequiredSpread(tolerance)
	holders := pl.members(func(id string) bool { return id != bad.id && pl.ok(id) })
	holders = append(holders, pl.joinable()...)
	if bad.ending {
		holders = append(holders, extend(pl.voters(), pl.newcomers(), tolerance, true)...)
	}
	possible := SpreadOf(holders)
	floor.Machines = max(floor.Machines, min(tolerance.Machines+1, possible.Machines))
	floor.Zones = max(floor.Zones, min(tolerance.Zones+1, possible.Zones))
	floor.Regions = max(floor.Regions, min(tolerance.Regions+1, possible.Regions))
	return floor
}

// joinable lists the voters outside of the chain that are in touch with all of its healthy members.
func (pl *planner) joinable() []Peer {
	return filter(pl.voters(), func(p Peer) bool {
		if pl.view.Position(p.ID) >= 0 || !pl.ready(p.ID) {
			return false
		}
		return !slices.ContainsFunc(pl.view.Chain, func(l Member) bool {
			return pl.ok(l.ID) && !(pl.hears(l.ID, p.ID) && pl.hears(p.ID, l.ID))
		})
	})
}

// join is the step that adds a voter to the chain, one at a time, of the region and then the zone
// that has fewest members.
func (pl *planner) join(why string, urgent bool) (Step, bool) {
	healthy := pl.members(pl.ok)
	if slices.ContainsFunc(healthy, func(p Peer) bool { return !pl.health[p.ID].Complete }) {
		return Step{}, false
	}
	joinable := pl.joinable()
	if len(joinable) == 0 {
		return Step{}, false
	}
	all := pl.members(func(string) bool { return true })
	id := joinable[leastLoaded(all, joinable, pl.policy.Tolerance.Regions > 0)].ID
	next := pl.view.AppendMember(id)
	return Step{View: &next, Reason: "add " + id + " " + why, Urgent: urgent}, true
}

// chainIsShort tells whether the chain is to grow: in length, or to zones and regions that it lacks.
func (pl *planner) chainIsShort() bool {
	tolerance := pl.policy.Tolerance
	switch {
	case len(pl.view.Chain) == len(pl.view.Voters):
		return false
	case len(pl.view.Chain) < MaxChainLength(tolerance):
		return true
	case tolerance.Zones == 0 && tolerance.Regions == 0:
		return false
	}
	now := SpreadOf(pl.members(func(string) bool { return true }))
	if now.Zones > tolerance.Zones && now.Regions > tolerance.Regions {
		return false
	}
	could := SpreadOf(append(pl.members(pl.ok), pl.joinable()...))
	return now.Zones < min(tolerance.Zones+1, could.Zones) || now.Regions < min(tolerance.Regions+1, could.Regions)
}

// changeVoters is the step that gives a newcomer a vote, or ends the vote of one that leaves.
func (pl *planner) changeVoters() (Step, bool) {
	came := pl.newcomers()
	for _, step := range []func([]Peer) (Step, bool){pl.swapLostDisk, pl.handOverVote, pl.swapAbsent, pl.admit} {
		if step, due := step(came); due {
			return step, true
		}
	}
	return Step{}, false
}

// eligible tells whether a peer may have a vote and has none.
func (pl *planner) eligible(p Peer) bool {
	_, voter := pl.view.Voter(p.ID)
	counted := slices.ContainsFunc(pl.view.Voters, func(q Peer) bool { return q.Counted })
	return !voter && (p.Disk || pl.view.InMemory) && (p.Counted || !counted)
}

// newcomers lists the peers without a vote that are ready for one, by id. A machine whose old disk
// still has a place in the chain waits until that is dropped.
func (pl *planner) newcomers() (came []Peer) {
	for id, h := range pl.health {
		inChain := slices.ContainsFunc(pl.view.Chain, func(l Member) bool { return l.Addr == h.Peer.Addr })
		if !inChain && pl.eligible(h.Peer) && pl.ready(id) {
			came = append(came, h.Peer)
		}
	}
	slices.SortFunc(came, comparePeers)
	return came
}

// swapLostDisk gives the vote of a lost disk to the new one of the same machine.
func (pl *planner) swapLostDisk(came []Peer) (Step, bool) {
	for _, c := range came {
		for _, q := range pl.view.Voters {
			if q.Addr == c.Addr && pl.view.Position(q.ID) < 0 {
				return pl.swap(q.ID, c, ", the new disk of its machine"), true
			}
		}
	}
	return Step{}, false
}

// handOverVote gives the vote of a voter that is about to end to a newcomer, or retires it where
// those that are present bear more so.
func (pl *planner) handOverVote(came []Peer) (Step, bool) {
	for _, voter := range pl.view.Voters {
		h, known := pl.health[voter.ID]
		if !known || !h.Leaving || h.SinceContact >= pl.policy.FailAfter || pl.view.Position(voter.ID) >= 0 {
			continue
		}
		q := pl.located(voter)
		rest := filter(pl.voters(), func(p Peer) bool { return p.ID != q.ID })
		retired := pl.bearing(rest)
		if c, can := pl.substitute(q, came); can && !retired.less(pl.bearing(append(slices.Clone(rest), c))) {
			return pl.swap(q.ID, c, ", as it is about to end"), true
		}
		if len(rest) > 0 && retired.now.Less(pl.bearing(pl.voters()).now) {
			next := pl.view.RemoveVoter(q.ID)
			return Step{View: &next, Reason: "retire " + q.ID + ", which is about to end", RemovedVoter: q.ID}, true
		}
	}
	return Step{}, false
}

// bearing is what voters don't bear.
type bearing struct {
	now Shortfall // of those that can be relied on now
	all Shortfall // once all are there
}

func (b bearing) less(o bearing) bool {
	return b.now.Less(o.now) || b.now == o.now && b.all.Less(o.all)
}

func (pl *planner) bearing(voters []Peer) bearing {
	tolerance := pl.policy.Tolerance
	present := filter(voters, func(p Peer) bool { return pl.ok(p.ID) })
	return bearing{now: tolerance.shortfall(present, len(voters)), all: tolerance.shortfall(voters, len(voters))}
}

// swapAbsent gives the vote of a voter that stays away to a newcomer.
func (pl *planner) swapAbsent(came []Peer) (Step, bool) {
	for _, q := range pl.view.Voters {
		h, known := pl.health[q.ID]
		if known && h.SinceContact < pl.policy.ReplaceAfter || pl.view.Position(q.ID) >= 0 {
			continue
		}
		if c, can := pl.substitute(pl.located(q), came); can {
			return pl.swap(q.ID, c, ", as it stays away"), true
		}
	}
	return Step{}, false
}

// substitute is the newcomer in whose place the voters bear most, if they bear no less than with the
// old one; of equal ones that of the same zone, then that of the zone with fewest voters.
func (pl *planner) substitute(old Peer, came []Peer) (Peer, bool) {
	if len(came) == 0 {
		return Peer{}, false
	}
	tolerance := pl.policy.Tolerance
	all := pl.voters()
	rest := filter(all, func(p Peer) bool { return p.ID != old.ID })
	least := tolerance.shortfall(all, len(all))
	var best []Peer
	for _, c := range came {
		short := tolerance.shortfall(append(slices.Clone(rest), c), len(all))
		switch {
		case short.Less(least):
			best, least = []Peer{c}, short
		case short == least:
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return Peer{}, false
	}
	if i := slices.IndexFunc(best, func(c Peer) bool { return zoneOf(c) == zoneOf(old) }); i >= 0 {
		return best[i], true
	}
	return best[leastLoaded(rest, best, tolerance.Regions > 0)], true
}

// admit gives a newcomer a vote of its own, only while all voters are there: with one away it would
// raise the majority. One that is about to end counts as away once it has left the chain; before
// that the chain needs the newcomer. Where zones or regions are to be borne, there are no more
// voters than that takes otherwise: a newcomer that stands by takes the place of one of its zone.
func (pl *planner) admit(came []Peer) (Step, bool) {
	if len(came) == 0 {
		return Step{}, false
	}
	tolerance := pl.policy.Tolerance
	needed, standBy := false, false
	for _, q := range pl.view.Voters {
		h, known := pl.health[q.ID]
		if !known || h.SinceContact >= pl.policy.FailAfter || h.Leaving && pl.view.Position(q.ID) < 0 {
			return Step{}, false
		}
		needed = needed || h.Leaving
		standBy = standBy || pl.ok(q.ID) && pl.view.Position(q.ID) < 0
	}
	grow := tolerance.Zones == 0 && tolerance.Regions == 0 || needed && !standBy
	more := extend(pl.voters(), came, tolerance, grow)
	if len(more) == 0 {
		return Step{}, false
	}
	next := pl.view.AddVoter(more[0])
	return Step{View: &next, Reason: "admit " + more[0].ID + " as a voter"}, true
}

func (pl *planner) swap(old string, c Peer, why string) Step {
	next := pl.view.ReplaceVoter(old, c)
	return Step{View: &next, Reason: "swap " + old + " for " + c.ID + why, RemovedVoter: old}
}
