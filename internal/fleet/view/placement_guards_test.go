package view

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// comesAt adds a peer with another disk at the address of a machine.
func (s *scene) comesAt(id, machineName string) *scene {
	p := machine(machineName)
	p.ID = id
	s.comes(p)
	return s
}

// planned is the next view of a scene, or the present one where no other is planned.
func (s *scene) planned(t *testing.T) View {
	t.Helper()
	step, due := s.plan(t)
	if !due || step.View == nil {
		return s.v
	}
	require.NoError(t, step.View.Validate(), step.Reason)
	return *step.View
}

// A member whose disk was lost is no complete copy, so another one is not dropped on its account.
func TestLostDiskIsNoCopy(t *testing.T) {
	t.Parallel()
	s := newScene(t, "a b c").comesAt("x", "c")
	s.silent("c", 200*time.Millisecond)
	s.with("b", func(h *Health) { h.DiskUnhealthy = true })
	require.GreaterOrEqual(t, s.planned(t).Position("b"), 0, "a alone would hold everything")
}

// A machine with a new disk gets no vote while its former disk is a member of the chain.
func TestMachineHasOneVote(t *testing.T) {
	t.Parallel()
	s := newScene(t, "a b").comesAt("x", "a")
	s.silent("a", 200*time.Millisecond)
	_, votes := s.planned(t).Voter("x")
	require.False(t, votes)
}

// A voter that is a member of the chain is not swapped while it can't be dropped.
func TestMemberOfTheChainIsNotSwapped(t *testing.T) {
	t.Parallel()
	s := newScene(t, "a b")
	s.comes(machine("x"))
	s.silent("b", 2*policy.ReplaceAfter)
	_, votes := s.planned(t).Voter("b")
	require.True(t, votes)
}

// A newcomer raises no majority while a voter is away.
func TestNoFurtherVoterWhileOneIsAway(t *testing.T) {
	t.Parallel()
	s := newScene(t, "a b")
	s.comes(machine("x"))
	s.silent("b", policy.FailAfter)
	require.Len(t, s.planned(t).Voters, 2)
}
