package relay

import (
	"slices"
	"time"
)

const (
	// leasePollTimeout is after how long a poll without a decision is begun again.
	leasePollTimeout = 400 * time.Millisecond
	// maxPolledLeases bounds the leases of one poll; the others wait for the next one.
	maxPolledLeases = 1024
)

// A lease is ended by a majority of the core: the member that finds one expired asks the others, at that moment, who
// of the holders has a session with them. Its own table alone may be old, however long it has been in contact with a
// majority: what a peer publishes may be on its way, or this process may have been frozen a moment ago.

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

// leasePoll is the question that is under way, and the answers.
type leasePoll struct {
	id       uint64
	begun    time.Duration
	asked    map[string]bool // the sources of the question
	sources  map[string]bool // that nobody has a session with so far; empty: no question is under way
	answered map[string]bool // addresses of the members that have answered
}

// covers reports whether a source was asked about a moment ago. A member may hold a lease that is expired here for long.
func (p *leasePoll) covers(now time.Duration, source string) bool {
	return p.asked[source] && now-p.begun < leasePollTimeout
}

// begin begins a poll about sources.
func (p *leasePoll) begin(now time.Duration, sources []string) {
	p.id++
	p.begun = now
	p.answered = map[string]bool{}
	p.asked, p.sources = map[string]bool{}, map[string]bool{}
	for _, source := range sources[:min(len(sources), maxPolledLeases)] {
		p.asked[source], p.sources[source] = true, true
	}
}

// record takes the answer of the member at an address.
func (p *leasePoll) record(addr string, answer *leaseAnswer) {
	if p.id == 0 || answer.ID != p.id {
		return // it is to an earlier question, or to none
	}
	p.answered[addr] = true
	for _, source := range answer.Held {
		delete(p.sources, source)
	}
}

// decided reports whether a majority of the members has answered, this process included.
func (p *leasePoll) decided(selfAddr string, members []Peer) bool {
	count := 0
	for _, member := range members {
		if member.Addr == selfAddr || p.answered[member.Addr] {
			count++
		}
	}
	return count > len(members)/2
}

// pollLeasesLocked asks the members of the core about expired leases, unless it is asking already.
func (n *Node) pollLeasesLocked(now time.Duration, expired []string, members []Peer) {
	isCovered := func(source string) bool { return n.leasePoll.covers(now, source) }
	if len(expired) == 0 || !slices.ContainsFunc(expired, func(source string) bool { return !isCovered(source) }) {
		return
	}
	n.leasePoll.begin(now, expired)
	for s := range n.sessions {
		if s.peerIsCore {
			s.wakeSender()
		}
	}
	n.decideLeasesLocked(members)
}

// decideLeasesLocked ends the leases of the poll that nobody reported to be held, once a majority has answered.
func (n *Node) decideLeasesLocked(members []Peer) {
	if len(n.leasePoll.sources) == 0 || !n.leasePoll.decided(n.options.Self.Addr, members) {
		return
	}
	sources := n.leasePoll.sources
	n.leasePoll.sources = nil
	connected := n.connectedSourcesLocked()
	for source := range sources {
		if !connected[source] {
			n.expireSourceLocked(source)
		}
	}
}

// addLeasePollLocked adds the question that is under way to a message to a member of the core, and the answer to the
// member's own.
func (n *Node) addLeasePollLocked(s *session, update *message) {
	if !update.IsCore || !s.peerIsCore {
		return
	}
	if len(n.leasePoll.sources) > 0 && s.leasePollSent < n.leasePoll.id {
		s.leasePollSent = n.leasePoll.id
		update.LeaseQuestion = &leaseQuestion{ID: n.leasePoll.id}
		for source := range n.leasePoll.sources {
			update.LeaseQuestion.Sources = append(update.LeaseQuestion.Sources, source)
		}
	}
	update.LeaseAnswer, s.leaseAnswer = s.leaseAnswer, nil
}

// receiveLeasePollLocked answers a member's question, and takes its answer.
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

// answerLeasesLocked tells which sources this process has a session with.
func (n *Node) answerLeasesLocked(question *leaseQuestion) *leaseAnswer {
	answer := &leaseAnswer{ID: question.ID}
	connected := n.connectedSourcesLocked()
	for _, source := range question.Sources {
		if connected[source] {
			answer.Held = append(answer.Held, source)
		}
	}
	return answer
}

// connectedSourcesLocked returns the own source and those of all peers.
func (n *Node) connectedSourcesLocked() map[string]bool {
	connected := n.sessions.sources()
	connected[n.items.OwnSource()] = true
	return connected
}
