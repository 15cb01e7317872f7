package view

import (
	"strconv"
	"time"
)

// Health is what a member knows of a peer at one moment.
type Health struct {
	Peer          Peer          // as it describes itself
	SinceContact  time.Duration // since messages were last known to pass in both directions
	StableFor     time.Duration // for how long they have passed without interruption; 0: they don't
	DiskUnhealthy bool          // its disk fails or delays operations
	Leaving       bool          // it is shutting down and asked to be removed
	Complete      bool          // as a member of the present chain, it has everything that was acknowledged
	ConnectedTo   []string      // IDs of the peers that it is in contact with, as it reports
	Uptime        time.Duration // since its start or its return from a suspension, before which it had no contact
	Undecided     bool          // it has accepted a next view and does not know the decision
	MissedRemoval bool          // it was removed as a voter and has not reported since that it knows that
}

// Policy is the settings of the repair of a view.
type Policy struct {
	Tolerance    Tolerance     // losses to survive
	FailAfter    time.Duration // a peer without contact for this long has failed
	StableAfter  time.Duration // a peer with contact for this long has recovered
	ReplaceAfter time.Duration // a voter without contact for this long may be replaced by another peer
}

// StepKind is what a step does.
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
	names := [...]string{"none", "complete undecided", "remove member", "add member", "replace voter", "add voter", "remove voter"}
	if int(k) < len(names) {
		return names[k]
	}
	return strconv.Itoa(int(k))
}

// Step is a change of the view that is due.
type Step struct {
	Kind         StepKind
	View         *View // the view to propose; nil: complete what was left undecided
	Reason       string
	Urgent       bool          // updates may be blocked until it is done
	Delay        time.Duration // for how long it has to be due before it is proposed
	RemovedVoter string        // ID of the voter that it removes; "": none
}

// Plan returns the next step of repair, if one is due. The health has an entry for each peer that
// was ever known, by its ID, and for the planning member itself.
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

// MayLeave reports whether a member that is shutting down need not wait any longer: it is not in the
// chain and its vote need not be transferred, or there is no peer that could take its place.
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
		if _, voter := view.Voter(peerID); voter || p.isEligible(h.Peer) && h.SinceContact < policy.FailAfter {
			return false
		}
	}
	return true
}

// planner is the input of one call of Plan.
type planner struct {
	view   View
	health map[string]Health
	policy Policy
	usable map[string]bool // by peer ID, as isUsable reports it
}

func newPlanner(view View, health map[string]Health, policy Policy) *planner {
	p := &planner{view: view, health: health, policy: policy, usable: make(map[string]bool, len(health))}
	for id, h := range health {
		p.usable[id] = h.SinceContact < policy.FailAfter && !h.DiskUnhealthy && !h.Leaving && !p.lostDisk(id)
	}
	return p
}

// isUsable reports whether a peer is healthy and stays.
func (p *planner) isUsable(id string) bool { return p.usable[id] }

// isStable reports whether a peer has been usable for long enough to be given a new role.
func (p *planner) isStable(id string) bool {
	return p.isUsable(id) && p.health[id].StableFor >= p.policy.StableAfter
}

// lostDisk reports whether the machine of a voter has another disk by now: another peer is in contact
// at its address.
func (p *planner) lostDisk(id string) bool {
	former, voter := p.view.Voter(id)
	if !voter {
		return false
	}
	for other, h := range p.health {
		if other != id && h.Peer.Addr == former.Addr && h.SinceContact < p.health[id].SinceContact {
			return true
		}
	}
	return false
}

// withRegion adds the region that a peer reports to a record of a version without regions.
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

// members returns the members of the chain that match, with their regions.
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

// completeUndecided is the step that completes a decision that was left open.
func (p *planner) completeUndecided() (Step, bool) {
	for _, voter := range p.view.Voters {
		if h, known := p.health[voter.ID]; known && h.Undecided && h.SinceContact < p.policy.FailAfter {
			return Step{Kind: CompleteUndecided, Reason: "complete a view that was left undecided", Urgent: true}, true
		}
	}
	return Step{}, false
}
