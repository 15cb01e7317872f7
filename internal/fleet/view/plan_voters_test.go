package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLostDiskIsReplaced(t *testing.T) {
	s := newScenario(t, "a b c d")
	s.loseContact("b", 200*time.Millisecond)
	newDisk := Peer{ID: "x", Addr: "b:1", Disk: true, Counted: true}
	s.addPeer(newDisk)
	s.update("x", func(h *Health) { h.StableFor = 100 * time.Millisecond })
	s.requireStep(t, "a c d")
	s.requireNoStep(t)
	s.update("x", func(h *Health) { h.StableFor = 300 * time.Millisecond })
	s.requireStep(t, "a c d")
	_, found := s.view.Voter("b")
	require.False(t, found)
	require.Len(t, s.view.Voters, 4)
	s.requireStep(t, "a c d x")
}

func TestAbsentVoterIsReplaced(t *testing.T) {
	s := newScenario(t, "a b c d").loseContact("b", time.Second)
	s.requireStep(t, "a c d")
	s.requireNoStep(t) // no peer can replace b, and a voter is not removed without a replacement
	s.addPeer(testPeer("e"))
	s.requireNoStep(t) // b has not been absent for long enough, and no voter is added while one is absent
	s.loseContact("b", 2*time.Second)
	s.requireStep(t, "a c d")
	require.Len(t, s.view.Voters, 4)
	s.requireStep(t, "a c d e")
	s.setComplete("e")
	s.regainContact("b", time.Second)
	s.requireStep(t, "a c d e")
	require.Len(t, s.view.Voters, 5, "the replaced voter is added again")
	s.requireNoStep(t)
}

// A former voter is no candidate until it reports that it knows of its removal, because its process may
// have ended since its last report.
func TestFormerVoterIsAddedOnceItKnows(t *testing.T) {
	s := newScenario(t, "a b c")
	s.addPeer(testPeer("d"))
	s.update("d", func(h *Health) { h.MissedRemoval = true })
	s.requireNoStep(t)
	s.update("d", func(h *Health) { h.MissedRemoval = false })
	s.requireStep(t, "a b c")
	_, found := s.view.Voter("d")
	require.True(t, found)
}

func TestVotersAreBounded(t *testing.T) {
	s := newScenario(t, "a b c d e f g h i")
	s.addPeer(testPeer("j"))
	s.requireNoStep(t)
	s.loseContact("c", 3*time.Second)
	s.requireStep(t, "a b d e f g h i")
	s.requireStep(t, "a b d e f g h i")
	_, found := s.view.Voter("j")
	require.True(t, found)
	require.Len(t, s.view.Voters, 9)
}

func TestEligibleVoters(t *testing.T) {
	s := newScenario(t, "a b c")
	disklessPeer, uncountedPeer := testPeer("d"), testPeer("e")
	disklessPeer.Disk, uncountedPeer.Counted = false, false
	s.addPeer(disklessPeer)
	s.addPeer(uncountedPeer)
	s.requireNoStep(t)
	s.view.InMemory = true
	s.requireStep(t, "a b c")
	require.Len(t, s.view.Voters, 4)
}

// A machine with a new disk does not become a voter while its former disk is a member of the chain.
func TestMachineHasOneVoter(t *testing.T) {
	t.Parallel()
	s := newScenario(t, "a b").addPeerAt("x", "a")
	s.loseContact("a", 200*time.Millisecond)
	_, found := s.plannedView(t).Voter("x")
	require.False(t, found)
}

// An absent voter is not replaced as long as it is a member of the chain, also if it can't be removed
// from the chain.
func TestChainMemberKeepsItsVote(t *testing.T) {
	t.Parallel()
	s := newScenario(t, "a b")
	s.addPeer(testPeer("x"))
	s.loseContact("b", 2*testPolicy.ReplaceAfter)
	_, found := s.plannedView(t).Voter("b")
	require.True(t, found)
}

// A candidate does not become a voter while a voter is absent, because that would raise the quorum.
func TestNoVoterIsAddedWhileOneIsAbsent(t *testing.T) {
	t.Parallel()
	s := newScenario(t, "a b")
	s.addPeer(testPeer("x"))
	s.loseContact("b", testPolicy.FailAfter)
	require.Len(t, s.plannedView(t).Voters, 2)
}

// In a planned replacement the candidate starts first, and then takes the place of the leaving voter.
func TestLeavingVoterIsReplaced(t *testing.T) {
	s := newScenario(t, "a b c").shutDown("a")
	s.requireStep(t, "b c")
	require.True(t, s.mayLeave("a"), "two voters would tolerate no more losses than three")
	s.addPeer(testPeer("d"))
	require.False(t, s.mayLeave("a"))
	require.Equal(t, "a", s.requireStep(t, "b c").RemovedVoter)
	require.Equal(t, "b c d", joinIDs(s.view.Voters))
	s.requireStep(t, "b c d")

	// If the candidate was already added as a voter, the leaving voter is removed: three voters tolerate
	// a loss, but four voters of which one is absent don't.
	s = newScenario(t, "a b c")
	s.addPeer(testPeer("d"))
	s.requireStep(t, "a b c")
	s.requireStep(t, "a b c d")
	s.completeMembers().shutDown("a").requireStep(t, "b c d")
	require.Equal(t, "a", s.requireStep(t, "b c d").RemovedVoter)
	require.Equal(t, "b c d", joinIDs(s.view.Voters))

	// If the added voter then fails, the leaving voter is removed too: the two remaining voters are a
	// majority of three, but not of four.
	s = newScenario(t, "a b c")
	s.addPeer(testPeer("d"))
	s.requireStep(t, "a b c")
	s.loseContact("d", testPolicy.FailAfter).shutDown("a")
	s.requireStep(t, "b c")
	require.Equal(t, "a", s.requireStep(t, "b c").RemovedVoter)
	require.Equal(t, 2, s.view.Quorum())

	fiveVoters := newScenario(t, "a b c d e").shutDown("a")
	fiveVoters.requireStep(t, "b c d e")
	fiveVoters.requireNoStep(t) // five voters tolerate a loss although one of them is absent
}

// The only machine of a control plane may leave once its replacement is complete and the only voter.
func TestOnlyMemberIsReplaced(t *testing.T) {
	s := newZonedScenario(t, "r/a/a", Tolerance{}).shutDown("a")
	s.requireNoStep(t)
	require.True(t, s.mayLeave("a"), "there is no other peer")
	s.addPeer(testPeer("b"))
	require.False(t, s.mayLeave("a"))
	s.requireStep(t, "a")
	s.requireStep(t, "a b")
	require.False(t, s.mayLeave("a"))
	s.requireNoStep(t)
	s.completeMembers().requireStep(t, "b")
	require.False(t, s.mayLeave("a"))
	s.requireStep(t, "b")
	require.Equal(t, "b", joinIDs(s.view.Voters))
}

func TestReplacementDoesNotConcentrateVotersInAZone(t *testing.T) {
	s := newZonedScenario(t, "r/a/a1 r/b/b1 r/c/c1", Tolerance{Machines: 1, Zones: 1})
	s.loseContact("c1", testPolicy.ReplaceAfter).requireStep(t, "a1 b1")
	s.addPeer(testPeersAt("r/a/a2")[0])
	s.requireNoStep(t)
	s.addPeer(testPeersAt("r/c/c2")[0])
	s.requireStep(t, "a1 b1")
	require.Equal(t, "a1 b1 c2", joinIDs(s.view.Voters))
}

// If the voters tolerate the loss of a zone, candidates stay on standby until a voter leaves. Additional
// voters would only concentrate votes in a zone.
func TestCandidatesStandByWhereZonesAreTolerated(t *testing.T) {
	s := newZonedScenario(t, "r/a/a1 r/b/b1 r/c/c1", Tolerance{Machines: 1, Zones: 1})
	s.addPeer(testPeersAt("r/a/a2")[0])
	s.addPeer(testPeersAt("r/b/b2")[0])
	s.requireNoStep(t)
	s.shutDown("b1").requireStep(t, "a1 c1")
	s.requireStep(t, "a1 c1")
	require.Equal(t, "a1 b2 c1", joinIDs(s.view.Voters))
}

// A candidate is added as a voter if the voters tolerate more losses together with all candidates, even
// if they don't with this candidate alone.
func TestVoterAdditionConsidersAllCandidates(t *testing.T) {
	s := newZonedScenario(t, "r/a/a1 r/b/b1 r/c/c1", Tolerance{Machines: 2, Zones: 1})
	s.addPeer(testPeersAt("r/a/a2")[0])
	s.requireNoStep(t)
	s.addPeer(testPeersAt("r/b/b2")[0])
	s.requireStep(t, "a1 b1 c1")
	s.requireStep(t, "a1 b1 c1")
	require.Len(t, s.view.Voters, 5)
	require.True(t, s.view.Shortfall(*s.tolerance).None())
}
