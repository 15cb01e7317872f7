package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/controlsim"
)

func TestParseScenarios(t *testing.T) {
	all, err := parseScenarios("all")
	require.NoError(t, err)
	require.Equal(t, []int{1, 2, 3, 4, 5, 6, 7}, all)
	one, err := parseScenarios("3")
	require.NoError(t, err)
	require.Equal(t, []int{3}, one)
	for _, wrong := range []string{"0", "8", "", "x"} {
		_, err := parseScenarios(wrong)
		require.ErrorContains(t, err, "give 1 to 7, or all")
	}
}

func TestHuntReportsViolations(t *testing.T) {
	var out bytes.Buffer
	h := &hunt{out: &out}
	h.add(&controlsim.Report{Scenario: 1, Result: controlsim.Result{Updates: 3}})
	require.False(t, h.failed)
	require.Empty(t, out.String())
	broken := controlsim.Result{Violations: []controlsim.Violation{{Seed: 7, Machine: "core-1", What: "goes back"}}}
	h.add(&controlsim.Report{Scenario: 1, Seed: 7, Result: broken, FaultCount: 4,
		MinimalFaults: []controlsim.Fault{{Kind: controlsim.Kill, Target: controlsim.Head}}, MinimalResult: broken})
	require.True(t, h.failed)
	require.Contains(t, out.String(), "core-1: goes back")
	require.Contains(t, out.String(), "1 of its 4 faults are enough")
	h.printSummary()
	require.Contains(t, out.String(), "    1     2       1       3")
}
