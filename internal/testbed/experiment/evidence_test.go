package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

func TestEvidenceOfAViolation(t *testing.T) {
	w := &world{dir: t.TempDir(), loadStart: 200 * time.Millisecond}
	var log strings.Builder
	for i := range maxLogBytes {
		fmt.Fprintln(&log, "line", i)
	}
	require.NoError(t, os.WriteFile(filepath.Join(w.dir, "n1.log"), []byte(log.String()), 0o644))
	events := []referee.Event{
		{At: 300 * time.Millisecond, Kind: referee.Killed, Agent: "n1", Deadline: 400 * time.Millisecond},
		{At: 300 * time.Millisecond, Kind: referee.Killed, Agent: "n2", Deadline: 400 * time.Millisecond},
		{At: 500 * time.Millisecond, Kind: referee.Dropped, Agent: "n1", Request: "a"},
	}
	text := w.evidence(referee.Violation{Rule: 1, Events: events[2:]}, events)
	require.Contains(t, text, "the load began at 0.200 s")
	require.Contains(t, text, "0.300 s killed agent=n1 until 0.400 s")
	require.NotContains(t, text, "n2")
	require.Contains(t, text, fmt.Sprintf("log of n1: line %d", maxLogBytes-maxLogLines))
	require.NotContains(t, text, fmt.Sprintf("log of n1: line %d\n", maxLogBytes-maxLogLines-1))

	missing := referee.Violation{Rule: 1, Events: []referee.Event{{Agent: "n2"}, {Agent: "n2"}}}
	require.Equal(t, 1, strings.Count(w.evidence(missing, events), "log of n2: open "))
}

func TestLastLinesOfAnEmptyLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "empty.log")
	require.NoError(t, os.WriteFile(path, nil, 0o644))
	lines, err := lastLines(path)
	require.NoError(t, err)
	require.Equal(t, []string{""}, lines)
}
