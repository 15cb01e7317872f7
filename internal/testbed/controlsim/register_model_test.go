package controlsim

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

func TestRegisterModel(t *testing.T) {
	order := func(ifMatch int64, id string) updateInput { return updateInput{ifMatch, ifMatch + 1, id} }
	op := func(call, end int64, in any, out response) porcupine.Operation {
		return porcupine.Operation{Call: call, Return: end, Input: in, Output: out}
	}
	taken := func(call, end, ifMatch int64, id string) porcupine.Operation {
		return op(call, end, order(ifMatch, id), response{outcome: chain.OutcomeCommitted, revision: ifMatch + 1})
	}
	for name, c := range map[string]struct {
		history []porcupine.Operation
		fits    bool
	}{
		"one after the other":      {[]porcupine.Operation{taken(1, 2, 0, "a"), taken(3, 4, 1, "b")}, true},
		"two under one number":     {[]porcupine.Operation{taken(1, 4, 0, "a"), taken(2, 3, 0, "b")}, false},
		"an old read":              {[]porcupine.Operation{taken(1, 2, 0, "a"), op(3, 4, readInput{}, response{chain.OutcomeCommitted, 0, ""})}, false},
		"a read of another's":      {[]porcupine.Operation{taken(1, 2, 0, "a"), op(3, 4, readInput{}, response{chain.OutcomeCommitted, 1, "b"})}, false},
		"a taken order is refused": {[]porcupine.Operation{op(1, 4, order(0, "a"), response{chain.OutcomeConflict, 1, ""}), op(5, 6, readInput{}, response{chain.OutcomeCommitted, 1, "a"})}, false},
		"an unclear one is taken":  {[]porcupine.Operation{op(1, 1<<60, order(0, "a"), response{}), op(5, 6, readInput{}, response{chain.OutcomeCommitted, 1, "a"})}, true},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.fits, porcupine.CheckOperations(registerModel.ToModel(), c.history))
		})
	}
}

func TestCompareEventsReportsFirstDifference(t *testing.T) {
	require.Contains(t, compareEvents([]string{"a", "b"}, []string{"a", "c"}), "event 2 of 2")
	require.Contains(t, compareEvents([]string{"a"}, []string{"a", "c"}), "has 2 events")
	require.Contains(t, compareEvents([]string{"a"}, []string{"a"}), "the same 1 events")
}
