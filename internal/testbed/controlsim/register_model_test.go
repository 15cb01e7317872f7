package controlsim

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

func TestRegisterModel(t *testing.T) {
	update := func(ifMatch int64, id string) updateInput { return updateInput{ifMatch, ifMatch + 1, id} }
	op := func(call, end int64, in any, out response) porcupine.Operation {
		return porcupine.Operation{Call: call, Return: end, Input: in, Output: out}
	}
	committed := func(call, end, ifMatch int64, id string) porcupine.Operation {
		return op(call, end, update(ifMatch, id), response{outcome: chain.OutcomeCommitted, revision: ifMatch + 1})
	}
	for name, c := range map[string]struct {
		history      []porcupine.Operation
		linearizable bool
	}{
		"sequential updates": {[]porcupine.Operation{
			committed(1, 2, 0, "a"),
			committed(3, 4, 1, "b"),
		}, true},
		"two updates of one revision": {[]porcupine.Operation{
			committed(1, 4, 0, "a"),
			committed(2, 3, 0, "b"),
		}, false},
		"stale read": {[]porcupine.Operation{
			committed(1, 2, 0, "a"),
			op(3, 4, readInput{}, response{chain.OutcomeCommitted, 0, ""}),
		}, false},
		"read of an update that nobody made": {[]porcupine.Operation{
			committed(1, 2, 0, "a"),
			op(3, 4, readInput{}, response{chain.OutcomeCommitted, 1, "b"}),
		}, false},
		"update with a conflict is committed": {[]porcupine.Operation{
			op(1, 4, update(0, "a"), response{chain.OutcomeConflict, 1, ""}),
			op(5, 6, readInput{}, response{chain.OutcomeCommitted, 1, "a"}),
		}, false},
		"update of unknown outcome is committed": {[]porcupine.Operation{
			op(1, neverReturned, update(0, "a"), response{}),
			op(5, 6, readInput{}, response{chain.OutcomeCommitted, 1, "a"}),
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.linearizable, porcupine.CheckOperations(registerModel.ToModel(), c.history))
		})
	}
}

func TestCompareEventsReportsFirstDifference(t *testing.T) {
	require.Contains(t, compareEvents([]string{"a", "b"}, []string{"a", "c"}), "event 2 of 2")
	require.Contains(t, compareEvents([]string{"a"}, []string{"a", "c"}), "has 2 events")
	require.Contains(t, compareEvents([]string{"a"}, []string{"a"}), "the same 1 events")
}
