package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/controlsim"
)

func TestPoints(t *testing.T) {
	all, err := points("all")
	require.NoError(t, err)
	require.Equal(t, []int{1, 2, 3, 4, 5}, all)
	one, err := points("3")
	require.NoError(t, err)
	require.Equal(t, []int{3}, one)
	for _, wrong := range []string{"0", "6", "", "x"} {
		_, err := points(wrong)
		require.ErrorContains(t, err, "give 1 to 5, or all")
	}
}

func TestHuntTellsWhatWasBroken(t *testing.T) {
	var out bytes.Buffer
	h := &hunt{out: &out}
	h.take(&controlsim.Played{Point: 1, Result: controlsim.Result{Orders: 3}})
	require.False(t, h.failed)
	require.Empty(t, out.String())
	broken := controlsim.Result{Violations: []controlsim.Violation{{Seed: 7, Machine: "core-1", What: "goes back"}}}
	h.take(&controlsim.Played{Point: 1, Seed: 7, Result: broken, Faults: 4, Fewest: []controlsim.Fault{{Kind: controlsim.Kill, Place: controlsim.Head}}, Shorter: broken})
	require.True(t, h.failed)
	require.Contains(t, out.String(), "core-1: goes back")
	require.Contains(t, out.String(), "1 of its 4 faults are enough")
	h.sum()
	require.Contains(t, out.String(), "    1     2       1       3")
}
