package main

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/hollownode"
)

// TestMain runs the command itself when a run starts the test binary as one of its hosts.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "host" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestHostsInSeparateProcesses(t *testing.T) {
	run := runCmd{Agents: 8, Core: 3, Hosts: 2, Servers: 6, Beat: 400 * time.Millisecond, Changes: 120, Drains: 30, Lose: "tail", Routes: 6, Models: 2,
		For: 4 * time.Second, JSON: "-"}
	var out bytes.Buffer
	require.NoError(t, run.Run(&out))
	var r hollownode.Result
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Empty(t, r.Errors)
	require.Equal(t, 8+2, r.ReadyDelays.N, "the lost member is left out")
	require.Zero(t, r.AppliedDelays.Missing)
	require.Positive(t, r.Agent.CPU)
	require.Len(t, r.Core, 3)
	for _, m := range r.Core {
		require.Positive(t, m.CPU, m.Name)
		require.Positive(t, m.RSS, m.Name)
	}
	require.NotNil(t, r.Loss)
}
