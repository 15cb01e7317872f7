package view

import (
	"strconv"
	"time"
)

// Health is what the planning member knows about a peer at one moment. Contact means that messages pass
// in both directions.
type Health struct {
	Peer          Peer          // as the peer describes itself
	SinceContact  time.Duration // time since the last known contact
	StableFor     time.Duration // time for which the contact has been uninterrupted; 0 if there is no contact
	DiskUnhealthy bool          // its disk fails or delays operations
	Leaving       bool          // it is shutting down and has asked to be removed
	Complete      bool          // it is a member of the current chain and has everything that was acknowledged
	ConnectedTo   []string      // IDs of the peers that it reports to be in contact with
	Uptime        time.Duration // time since it started or resumed from a suspension; it had no contact before
	Undecided     bool          // it has accepted a next view and does not know whether that was decided
	MissedRemoval bool          // it was removed as a voter, and no report since then shows that it knows that
}

// Policy has the settings for the repair of a view.
type Policy struct {
	Tolerance    Tolerance     // the losses to survive
	FailAfter    time.Duration // a peer without contact for this long has failed
	StableAfter  time.Duration // a peer with uninterrupted contact for this long has recovered
	ReplaceAfter time.Duration // a voter without contact for this long may be replaced by another peer
}

// StepKind is the kind of change that a step makes.
type StepKind uint8

// The kinds of steps.
const (
	CompleteUndecided StepKind = iota + 1
	MemberRemoval
	MemberAddition
	VoterReplacement
	VoterAddition
	VoterRemoval
)

// String returns the kind's name for logs and tests.
func (k StepKind) String() string {
	names := [...]string{
		"none", "complete undecided", "remove member", "add member", "replace voter", "add voter", "remove voter",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return strconv.Itoa(int(k))
}

// Step is a change of the view that is due.
type Step struct {
	Kind         StepKind
	View         *View         // the view to propose; nil for CompleteUndecided
	Reason       string        // for logs, and to recognise the same step in the next plan
	Urgent       bool          // updates may be blocked until the step is done
	Delay        time.Duration // the step is proposed once it has been due for this long
	RemovedVoter string        // ID of the voter that the step removes; empty if it removes none
}

// Plan returns the next step of repair, if one is due. health has an entry, by ID, for each peer that
// was ever known and for the planning member itself.
func Plan(view View, health map[string]Health, policy Policy) (step Step, due bool) {
	p := newPlanner(view, health, policy)
	if step, due := p.completeUndecided(); due {
		return step, true
	}
	faults := p.findFaults()
	if step, due := p.removeFaultyMember(faults); due {
		return step, true
	}
	if len(faults) > 0 {
		if step, due := p.appendMember("to the chain before another member is removed", true); due {
			return step, true
		}
	}
	if step, due := p.changeVoters(); due {
		return step, true
	}
	if len(faults) == 0 && p.chainIsShort() {
		return p.appendMember("to the chain", false)
	}
	return Step{}, false
}

// MayLeave reports whether a member that is shutting down may end. Outside of the chain it may end once
// no step to replace or remove it as a voter is due. In the chain it may end if no other peer could
// become a complete member in its place.
func MayLeave(view View, id string, health map[string]Health, policy Policy) bool {
	p := newPlanner(view, health, policy)
	if view.Position(id) < 0 {
		_, due := p.removeLeavingVoter(p.candidates())
		return !due
	}
	for peerID, h := range health {
		if peerID == id || h.Leaving || h.Complete && p.isUsable(peerID) {
			continue
		}
		if _, isVoter := view.Voter(peerID); isVoter || p.isEligible(h.Peer) && h.SinceContact < policy.FailAfter {
			return false
		}
	}
	return true
}

// planner has the input of one call of Plan or MayLeave.
type planner struct {
	view   View
	health map[string]Health
	policy Policy
	usable map[string]bool // by peer ID; see isUsable
}

func newPlanner(view View, health map[string]Health, policy Policy) *planner {
	p := &planner{view: view, health: health, policy: policy, usable: make(map[string]bool, len(health))}
	for id, h := range health {
		p.usable[id] = h.SinceContact < policy.FailAfter && !h.DiskUnhealthy && !h.Leaving && !p.lostDisk(id)
	}
	return p
}

// isUsable reports whether a peer is in contact, has a working disk and is not shutting down.
func (p *planner) isUsable(id string) bool { return p.usable[id] }

// isStable reports whether a peer is usable and has been in contact for long enough to get a new role.
func (p *planner) isStable(id string) bool {
	return p.isUsable(id) && p.health[id].StableFor >= p.policy.StableAfter
}

// lostDisk reports whether the machine of a voter now has another disk: another peer at the same address
// had contact more recently.
func (p *planner) lostDisk(id string) bool {
	voter, isVoter := p.view.Voter(id)
	if !isVoter {
		return false
	}
	for otherID, h := range p.health {
		if otherID != id && h.Peer.Addr == voter.Addr && h.SinceContact < p.health[id].SinceContact {
			return true
		}
	}
	return false
}

// withRegion returns a peer with its region. If the view's record was written by a version that did not
// store regions, it takes the region that the peer reports.
func (p *planner) withRegion(peer Peer) Peer {
	if h, known := p.health[peer.ID]; known && peer.Region == "" {
		peer.Region = h.Peer.Region
	}
	return peer
}

// voters returns the view's voters with their regions.
func (p *planner) voters() (voters []Peer) {
	for _, voter := range p.view.Voters {
		voters = append(voters, p.withRegion(voter))
	}
	return voters
}

// members returns the members of the chain whose IDs match, with their regions.
func (p *planner) members(matches func(id string) bool) (members []Peer) {
	for _, member := range p.view.Chain {
		if matches(member.ID) {
			members = append(members, p.withRegion(member.Peer))
		}
	}
	return members
}

// allMembers returns all members of the chain with their regions.
func (p *planner) allMembers() []Peer {
	return p.members(func(string) bool { return true })
}

// completeUndecided returns the step that completes a next view that a voter accepted, but of which no
// decision is known.
func (p *planner) completeUndecided() (Step, bool) {
	for _, voter := range p.view.Voters {
		if h, known := p.health[voter.ID]; known && h.Undecided && h.SinceContact < p.policy.FailAfter {
			return Step{Kind: CompleteUndecided, Reason: "complete a view that was left undecided", Urgent: true}, true
		}
	}
	return Step{}, false
}
