package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// leasesAnsweredBy returns a function that delivers a member's answer to the latest lease question. The answer reports
// the given sources as held.
func (n *manualNode) leasesAnsweredBy(peer *session, held ...string) func() {
	return func() {
		n.deliver(peer, &message{IsCore: true, HasQuorum: true, LeaseAnswer: &leaseAnswer{ID: n.leasePoll.id, Held: held}})
	}
}

// newRelayWithExpiredLease returns a core member on which the lease of an agent has expired after the session with it
// ended. The core has the given number of members, and the relay has sessions with the others.
func newRelayWithExpiredLease(t *testing.T, members int) (relay *manualNode, others []*session, agent string) {
	t.Helper()
	var peers []Peer
	for i := range members {
		peers = append(peers, Peer{Addr: fmt.Sprint("addr of m", i)})
	}
	relay = newManualNode("m0", true, peers...)
	lostAgent := newManualNode("a", false)
	relay.syncFrom(lostAgent)
	for i := 1; i < members; i++ {
		others = append(others, relay.connect(peers[i].Addr, fmt.Sprintf("m%d/1", i), true))
	}
	peer := relay.connect("addr of a", lostAgent.source(), false)
	relay.runFor(leaseDuration+time.Second, relay.heartbeatFrom(peer))
	delete(relay.sessions, peer)
	relay.runFor(leaseDuration+2*tickInterval, nil)
	require.NotEmpty(t, relay.leases.Expired(relay.now()))
	return relay, others, lostAgent.source()
}

// A lease is ended once a majority has reported no session with the holder, and not before.
func TestLeaseIsEndedByAMajority(t *testing.T) {
	for members := 1; members <= 7; members++ {
		relay, others, agent := newRelayWithExpiredLease(t, members)
		for answers := 1; answers <= members/2; answers++ {
			require.Empty(t, relay.publishedEndSources(), "%d members, %d answers", members, answers-1)
			relay.leasesAnsweredBy(others[answers-1])()
			relay.leasesAnsweredBy(others[answers-1])() // a repeated answer counts once
		}
		assert.Equal(t, []string{agent}, relay.publishedEndSources(), "%d members", members)
		assert.NotContains(t, relay.members, agent)
	}
}

// A lease that any member reports as held is not ended, however long it has been expired on this member.
func TestHeldLeaseIsNotEnded(t *testing.T) {
	relay, others, agent := newRelayWithExpiredLease(t, 3)
	relay.runFor(time.Minute, relay.leasesAnsweredBy(others[0], agent))
	require.Empty(t, relay.publishedEndSources())
	relay.runFor(2*leasePollTimeout, relay.leasesAnsweredBy(others[0]))
	assert.Equal(t, []string{agent}, relay.publishedEndSources(), "the lease is no longer held")
}

// The same leases are polled at most once per leasePollTimeout, and one poll has at most maxPolledLeases leases.
func TestLeasePollsAreBounded(t *testing.T) {
	relay, others, agent := newRelayWithExpiredLease(t, 3)
	firstID := relay.leasePoll.id
	relay.runFor(time.Minute, relay.leasesAnsweredBy(others[0], agent))
	assert.LessOrEqual(t, relay.leasePoll.id-firstID, uint64(time.Minute/leasePollTimeout))
	manySources := make([]string, 2*maxPolledLeases)
	for i := range manySources {
		manySources[i] = fmt.Sprint("a/", i)
	}
	relay.leasePoll.begin(relay.now(), manySources)
	assert.Len(t, relay.leasePoll.unheldSources, maxPolledLeases)
}

// An answer to an earlier question is ignored, as the member may have got a session with the holder since.
func TestLateLeaseAnswerDoesNotCount(t *testing.T) {
	relay, others, _ := newRelayWithExpiredLease(t, 3)
	relay.deliver(others[0], &message{IsCore: true, HasQuorum: true, LeaseAnswer: &leaseAnswer{ID: relay.leasePoll.id - 1}})
	assert.Empty(t, relay.publishedEndSources())
	idleRelay := newManualNode("m0", true, Peer{Addr: "addr of m0"}, Peer{Addr: "addr of m1"})
	idleRelay.leasesAnsweredBy(idleRelay.connect("addr of m1", "m1/1", true))()
	assert.Empty(t, idleRelay.leasePoll.answeredAddrs)
}

// An agent that has reconnected to this member during the poll keeps its lease, whatever the others report.
func TestReturnedAgentKeepsItsLease(t *testing.T) {
	relay, others, agent := newRelayWithExpiredLease(t, 3)
	relay.connect("addr of a", agent, false)
	relay.leasesAnsweredBy(others[0])()
	assert.Empty(t, relay.publishedEndSources())
}

// Members answer with the sessions that they have when the question arrives. Other agents neither ask nor answer.
func TestLeaseQuestions(t *testing.T) {
	relay, others, agent := newRelayWithExpiredLease(t, 3)
	ask := func(s *session) *message {
		out := &sender{node: relay.Node, session: s}
		update, _, _ := out.nextUpdate()
		return update
	}
	question := ask(others[0]).LeaseQuestion
	require.NotNil(t, question)
	assert.Equal(t, []string{agent}, question.Sources)
	assert.Nil(t, ask(others[0]).LeaseQuestion, "each member is asked once")
	other := relay.connect("addr of b", "b/1", false)
	assert.Nil(t, ask(other).LeaseQuestion)

	relay.deliver(others[1], &message{IsCore: true, HasQuorum: true, LeaseQuestion: &leaseQuestion{ID: 7, Sources: []string{agent, "b/1", "unknown/1"}}})
	assert.Equal(t, &leaseAnswer{ID: 7, Held: []string{"b/1"}}, ask(others[1]).LeaseAnswer)
	assert.Nil(t, ask(others[1]).LeaseAnswer, "the question is answered once")
	relay.deliver(other, &message{LeaseQuestion: &leaseQuestion{ID: 7, Sources: []string{"b/1"}}})
	assert.Nil(t, ask(other).LeaseAnswer)

	withQuestion := &message{IsCore: true, HasQuorum: true, LeaseQuestion: &leaseQuestion{ID: 7, Sources: []string{"edge-1/0123456789ab"}}}
	withAnswer := &message{IsCore: true, HasQuorum: true, LeaseAnswer: &leaseAnswer{ID: 7, Held: []string{"edge-1/0123456789ab"}}}
	plainBytes := len(encode(&message{IsCore: true, HasQuorum: true}))
	t.Logf("a question about one lease adds %d bytes to a message, an answer that it is held adds %d", len(encode(withQuestion))-plainBytes, len(encode(withAnswer))-plainBytes)
}
