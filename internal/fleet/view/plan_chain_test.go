package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNoStepWhileAllAreHealthy(t *testing.T) {
	newScenario(t, "a b c d").requireNoStep(t)
	newScenario(t, "a b c d").loseContact("b", 500*time.Millisecond).requireNoStep(t)
}

func TestFaultyMembersAreRemoved(t *testing.T) {
	for name, change := range map[string]func(*Health){
		"no contact":     func(h *Health) { h.SinceContact, h.StableFor = 600*time.Millisecond, 0 },
		"unhealthy disk": func(h *Health) { h.DiskUnhealthy = true },
		"shutting down":  func(h *Health) { h.Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, "a b c d").update("a", change)
			require.True(t, s.requireStep(t, "b c d").Urgent)
			// A voter that shuts down is removed: three voters tolerate a loss, but four voters of which one
			// is absent don't.
			if name == "shutting down" {
				require.Equal(t, "a", s.requireStep(t, "b c d").RemovedVoter)
				require.Equal(t, testPeers("b c d"), s.view.Voters)
			}
			s.requireNoStep(t)
			s.update("a", func(h *Health) {
				*h = Health{
					Peer: testPeer("a"), StableFor: 200 * time.Millisecond, ConnectedTo: []string{"b", "c", "d"},
				}
			})
			s.requireNoStep(t)
			s.update("a", func(h *Health) { h.StableFor = 300 * time.Millisecond })
			if name == "shutting down" {
				s.requireStep(t, "b c d")
				require.Equal(t, testPeers("a b c d"), s.view.Voters)
			}
			s.requireStep(t, "b c d a")
			s.setComplete("a")
			s.requireNoStep(t)
		})
	}
}

// The chain keeps enough complete members for the tolerated losses. If the removal of a member would
// leave too few, another voter has to join and become complete first.
func TestChainKeepsRequiredSpread(t *testing.T) {
	s := newScenario(t, "a b c d")
	s.loseContact("c", time.Second)
	s.requireStep(t, "a b d")
	s.setDiskUnhealthy("d", true)
	s.requireStep(t, "a b")
	s.setDiskUnhealthy("d", false)
	s.loseContact("a", time.Second)
	require.True(t, s.requireStep(t, "a b d").Urgent)
	s.requireNoStep(t)
	s.setComplete("d")
	s.requireStep(t, "b d")
	s.requireNoStep(t)
}

func TestNoRemovalWithoutASecondMember(t *testing.T) {
	s := newScenario(t, "a b c").loseContact("c", time.Second)
	s.requireStep(t, "a b")
	s.setDiskUnhealthy("b", true)
	s.requireNoStep(t)
}

func TestNewHeadIsComplete(t *testing.T) {
	s := newScenario(t, "a b c d")
	s.loseContact("d", time.Second).requireStep(t, "a b c")
	s.loseContact("c", time.Second).requireStep(t, "a b")
	s.regainContact("c", time.Second)
	s.regainContact("d", time.Second)
	s.requireStep(t, "a b c")
	s.requireNoStep(t) // c is not complete yet, and voters join one at a time
	s.setComplete("c")
	s.requireStep(t, "a b c d")
	s.setComplete("d")
	s.requireNoStep(t)
}

// An incomplete member never becomes the head.
func TestIncompleteMemberNeverBecomesHead(t *testing.T) {
	t.Parallel()
	s := newScenario(t, "a b c d")
	s.update("b", func(h *Health) { h.Complete = false })
	s.loseContact("a", testPolicy.FailAfter)
	step, due := Plan(s.view, s.health, testPolicy)
	if due && step.View != nil {
		require.NotEqual(t, "b", step.View.Head().ID)
	}
}

func TestUnreachableSuccessorIsRemoved(t *testing.T) {
	s := newScenario(t, "a b c d")
	s.update("b", func(h *Health) { h.ConnectedTo = []string{"a", "d"} })
	step, _ := s.plan(t)
	require.Equal(t, testPolicy.StableAfter, step.Delay, "a short interruption does not remove it")
	s.requireStep(t, "a b d")
	s.requireNoStep(t) // c does not join again while b can't reach it
	afterRestart := newScenario(t, "a b c d").update("b", func(h *Health) {
		h.ConnectedTo, h.Uptime = nil, time.Second
	})
	afterRestart.requireNoStep(t) // b has just started, so its report may be incomplete
	s.update("b", func(h *Health) { h.ConnectedTo = []string{"a", "c", "d"} })
	s.requireStep(t, "a b d c")
}

// Voters that would make the chain longer than MaxChainLength are on standby. When the chain gets
// shorter, a voter of the zone with the fewest members joins first.
func TestVotersStandBy(t *testing.T) {
	s := &scenario{health: map[string]Health{}}
	s.view, _ = InitialView(testPeers("a1 a2 a3 b1 b2 b3"), tolerateMachines(1))
	for _, p := range s.view.Voters {
		s.addPeer(p)
	}
	require.Equal(t, "a1 a2 b1 b2", s.chainIDs())
	s.requireNoStep(t)
	s.loseContact("a2", time.Second).loseContact("a1", time.Second)
	s.requireStep(t, "a2 b1 b2")
	s.requireStep(t, "b1 b2")
	s.requireStep(t, "b1 b2 a3")
	s.setComplete("a3")
	s.requireStep(t, "b1 b2 a3 b3")
	s.setComplete("b3")
	s.regainContact("a1", time.Second)
	s.requireNoStep(t)
}

func TestUndecidedViewIsCompleted(t *testing.T) {
	s := newScenario(t, "a b c").update("b", func(h *Health) { h.Undecided = true })
	step, ok := s.plan(t)
	require.True(t, ok)
	require.Nil(t, step.View)
	s.loseContact("b", time.Second)
	step, ok = s.plan(t)
	require.True(t, ok)
	require.NotNil(t, step.View)
}

// A member whose disk was lost is no complete replica, so another member is not removed on account of it.
func TestLostDiskIsNoReplica(t *testing.T) {
	t.Parallel()
	s := newScenario(t, "a b c").addPeerAt("x", "c")
	s.loseContact("c", 200*time.Millisecond)
	s.setDiskUnhealthy("b", true)
	require.GreaterOrEqual(t, s.plannedView(t).Position("b"), 0, "a would be the only complete replica")
}

// A leaving member stays until another machine of its zone has a replica, if all other replicas are in one
// zone.
func TestLeavingMemberHasTheOnlyReplicaOfItsZone(t *testing.T) {
	s := newZonedScenario(t, "r/a/a1 r/a/a2 r/b/b1 r/b/b2 r/c/c1 r/c/c2", Tolerance{Machines: 1, Zones: 1})
	require.Equal(t, "a1 a2 b1 c1", s.chainIDs())
	s.loseContact("c1", testPolicy.FailAfter).requireStep(t, "a1 a2 b1")
	s.loseContact("c2", testPolicy.FailAfter).shutDown("b1")
	s.requireStep(t, "a1 a2 b1 b2")
	require.False(t, s.mayLeave("b1"))
	s.requireNoStep(t)
	s.completeMembers().requireStep(t, "a1 a2 b2")
}

// The member in a lost zone is removed even if all remaining replicas are in one zone.
func TestLostZoneDoesNotBlockUpdates(t *testing.T) {
	s := newZonedScenario(t, "r/a/a1 r/a/a2 r/b/b1", Tolerance{Machines: 1, Zones: 1})
	s.loseContact("b1", testPolicy.FailAfter)
	s.requireStep(t, "a1 a2")
}

// When a lost zone returns, its voter joins the chain even beyond MaxChainLength, because the chain has
// no member in that zone.
func TestChainIsExtendedToAnotherZone(t *testing.T) {
	s := newZonedScenario(t, "r/a/a1 r/a/a2 r/a/a3 r/a/a4 r/b/b1", Tolerance{Machines: 1, Zones: 1})
	s.loseContact("b1", testPolicy.FailAfter)
	for s.view.Position("b1") >= 0 || len(s.view.Chain) < 4 {
		step, due := s.plan(t)
		require.True(t, due)
		s.adopt(t, step)
		s.completeMembers()
	}
	require.Equal(t, "a1 a2 a3 a4", s.chainIDs())
	s.regainContact("b1", testPolicy.StableAfter)
	s.requireStep(t, "a1 a2 a3 a4 b1")
}

// If losses of regions are to be tolerated, the chain is extended to a region without a member first.
func TestRegionsAreExtendedFirst(t *testing.T) {
	s := newZonedScenario(t, "r/a/1 r/b/2 r/c/3 s/d/4 s/e/5 q/f/6", Tolerance{Machines: 1, Regions: 1})
	s.view.Chain = s.view.Chain[:0]
	for _, p := range testPeersAt("r/a/1 s/d/4") {
		s.view.Chain = append(s.view.Chain, Member{Peer: p, JoinedIn: 1})
	}
	s.completeMembers().requireStep(t, "1 4 6")
}
