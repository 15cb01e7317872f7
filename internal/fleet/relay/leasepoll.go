package relay

import (
	"slices"
	"time"
)

const (
	// leasePollTimeout is the time after which an expired lease that was not ended is polled again.
	leasePollTimeout = 400 * time.Millisecond
	// maxPolledLeases bounds the leases in one poll; the rest wait for the next poll.
	maxPolledLeases = 1024
)

// A lease is ended only with a majority of the core. A member that finds leases expired asks the other members which
// of the holders currently have a session with them. Its own table is not sufficient, even after a long contact with a
// majority: a peer's update may still be in flight, or this process may have been suspended a moment ago.

// leaseQuestion asks a member of the core which agents it has a session with.
type leaseQuestion struct {
	ID      uint64   `msgpack:"i"`
	Sources []string `msgpack:"s"`
}

// leaseAnswer answers a leaseQuestion.
type leaseAnswer struct {
	ID   uint64   `msgpack:"i"`
	Held []string `msgpack:"h,omitempty"` // the sources of the question that the sender has a session with
}

// leasePoll is the state of this node's latest poll about expired leases.
type leasePoll struct {
	id            uint64 // ID of the question; zero before the first poll
	startTime     time.Duration
	polledSources map[string]bool // all sources of the question
	unheldSources map[string]bool // sources that no answer has reported as held; empty if no poll is in progress
	answeredAddrs map[string]bool // addresses of the members that have answered
}

// covers reports whether the latest poll asked about a source less than leasePollTimeout ago. It prevents constant
// polling about a lease that stays expired on this node while another member reports it as held.
func (p *leasePoll) covers(now time.Duration, source string) bool {
	return p.polledSources[source] && now-p.startTime < leasePollTimeout
}

// begin starts a poll about up to maxPolledLeases sources.
func (p *leasePoll) begin(now time.Duration, sources []string) {
	p.id++
	p.startTime = now
	p.answeredAddrs = map[string]bool{}
	p.polledSources, p.unheldSources = map[string]bool{}, map[string]bool{}
	for _, source := range sources[:min(len(sources), maxPolledLeases)] {
		p.polledSources[source], p.unheldSources[source] = true, true
	}
}

// record records the answer of the member at an address.
func (p *leasePoll) record(addr string, answer *leaseAnswer) {
	if p.id == 0 || answer.ID != p.id {
		return // it answers an earlier question, or none of this node's
	}
	p.answeredAddrs[addr] = true
	for _, source := range answer.Held {
		delete(p.unheldSources, source)
	}
}

// decided reports whether a majority of the members has answered, this process included.
func (p *leasePoll) decided(selfAddr string, members []Peer) bool {
	count := 0
	for _, member := range members {
		if member.Addr == selfAddr || p.answeredAddrs[member.Addr] {
			count++
		}
	}
	return count > len(members)/2
}

// pollLeasesLocked starts a poll about expired leases, unless the latest poll covers all of them.
func (n *Node) pollLeasesLocked(now time.Duration, expiredSources []string, members []Peer) {
	isCovered := func(source string) bool { return n.leasePoll.covers(now, source) }
	if len(expiredSources) == 0 || !slices.ContainsFunc(expiredSources, func(source string) bool { return !isCovered(source) }) {
		return
	}
	n.leasePoll.begin(now, expiredSources)
	for s := range n.sessions {
		if s.peerIsCore {
			s.wakeSender()
		}
	}
	n.decideLeasesLocked(members)
}

// decideLeasesLocked ends the polled leases that no member reported as held, once a majority has answered.
func (n *Node) decideLeasesLocked(members []Peer) {
	if len(n.leasePoll.unheldSources) == 0 || !n.leasePoll.decided(n.options.Self.Addr, members) {
		return
	}
	sources := n.leasePoll.unheldSources
	n.leasePoll.unheldSources = nil
	connectedSources := n.connectedSourcesLocked()
	for source := range sources {
		if !connectedSources[source] {
			n.expireSourceLocked(source)
		}
	}
}

// addLeasePollLocked adds this node's open lease question to a message between members of the core, and the answer to
// the peer's own question.
func (n *Node) addLeasePollLocked(s *session, update *message) {
	if !update.IsCore || !s.peerIsCore {
		return
	}
	if len(n.leasePoll.unheldSources) > 0 && s.leasePollSent < n.leasePoll.id {
		s.leasePollSent = n.leasePoll.id
		update.LeaseQuestion = &leaseQuestion{ID: n.leasePoll.id}
		for source := range n.leasePoll.unheldSources {
			update.LeaseQuestion.Sources = append(update.LeaseQuestion.Sources, source)
		}
	}
	update.LeaseAnswer, s.leaseAnswer = s.leaseAnswer, nil
}

// receiveLeasePollLocked processes the lease question and the lease answer in a core member's message.
func (n *Node) receiveLeasePollLocked(s *session, m *message, isMember bool, members []Peer) {
	if !isMember || !m.IsCore {
		return
	}
	if m.LeaseQuestion != nil {
		s.leaseAnswer = n.answerLeasesLocked(m.LeaseQuestion)
		s.wakeSender()
	}
	if m.LeaseAnswer != nil {
		n.leasePoll.record(s.peerAddr, m.LeaseAnswer)
		n.decideLeasesLocked(members)
	}
}

// answerLeasesLocked returns the answer to a question: which of its sources this process has a session with.
func (n *Node) answerLeasesLocked(question *leaseQuestion) *leaseAnswer {
	answer := &leaseAnswer{ID: question.ID}
	connectedSources := n.connectedSourcesLocked()
	for _, source := range question.Sources {
		if connectedSources[source] {
			answer.Held = append(answer.Held, source)
		}
	}
	return answer
}

// connectedSourcesLocked returns the own source and the sources of all peers.
func (n *Node) connectedSourcesLocked() map[string]bool {
	sources := n.sessions.sources()
	sources[n.items.OwnSource()] = true
	return sources
}
