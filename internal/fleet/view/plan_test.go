package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Each step has the kind of the change that it makes.
func TestStepKinds(t *testing.T) {
	t.Parallel()
	s := newScenario(t, "a b c").update("b", func(h *Health) { h.Undecided = true })
	step, _ := s.plan(t)
	require.Equal(t, CompleteUndecided, step.Kind)

	s = newScenario(t, "a b c").shutDown("a")
	require.Equal(t, MemberRemoval, s.requireStep(t, "b c").Kind)
	s.addPeer(testPeer("d"))
	require.Equal(t, VoterReplacement, s.requireStep(t, "b c").Kind)
	require.Equal(t, MemberAddition, s.requireStep(t, "b c d").Kind)

	s = newScenario(t, "a b c")
	s.addPeer(testPeer("d"))
	require.Equal(t, VoterAddition, s.requireStep(t, "a b c").Kind)
	s.loseContact("d", testPolicy.FailAfter).shutDown("a").requireStep(t, "b c")
	require.Equal(t, VoterRemoval, s.requireStep(t, "b c").Kind)
}

func TestStepKindNames(t *testing.T) {
	t.Parallel()
	for kind, want := range map[StepKind]string{
		StepKind(0):       "none",
		CompleteUndecided: "complete undecided",
		MemberRemoval:     "remove member",
		MemberAddition:    "add member",
		VoterReplacement:  "replace voter",
		VoterAddition:     "add voter",
		VoterRemoval:      "remove voter",
		StepKind(99):      "99",
	} {
		require.Equal(t, want, kind.String())
	}
}
