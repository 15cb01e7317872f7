package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

const (
	// maxEvidence is the maximum number of violations of a play that are reported with evidence.
	maxEvidence = 5
	// maxLogLines and maxLogBytes bound the part at the end of an agent's log that evidence includes.
	maxLogLines, maxLogBytes = 30, 16 << 10
)

// evidence returns the context of a violation: when the load started, when the agents involved were killed
// or paused, and the ends of their logs.
func (w *world) evidence(v referee.Violation, events []referee.Event) string {
	var text strings.Builder
	fmt.Fprintf(&text, "  the load began at %.3f s", w.loadStart.Seconds())
	for _, name := range agentsOf(v) {
		for _, e := range events {
			if e.Kind == referee.Killed && e.Agent == name {
				fmt.Fprintf(&text, "\n  %v until %.3f s", e, e.Deadline.Seconds())
			}
		}
		lines, err := lastLines(filepath.Join(w.dir, name+".log"))
		if err != nil {
			fmt.Fprintf(&text, "\n  log of %s: %v", name, err)
			continue
		}
		for _, line := range lines {
			fmt.Fprintf(&text, "\n  log of %s: %s", name, line)
		}
	}
	return text.String()
}

// agentsOf returns the names of the agents in a violation's events, without duplicates.
func agentsOf(v referee.Violation) (names []string) {
	for _, e := range v.Events {
		if e.Agent != "" && !slices.Contains(names, e.Agent) {
			names = append(names, e.Agent)
		}
	}
	return names
}

// lastLines returns the last lines of a file, at most maxLogLines from its last maxLogBytes.
func lastLines(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	end := make([]byte, min(info.Size(), maxLogBytes))
	if _, err := file.ReadAt(end, info.Size()-int64(len(end))); err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSpace(string(end)), "\n")
	return lines[max(0, len(lines)-maxLogLines):], nil
}
