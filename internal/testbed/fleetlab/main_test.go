package fleetlab

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

// daemonProgram is the path of the daemon that the tests run.
var daemonProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleetlab-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonProgram = filepath.Join(dir, "edged")
	args := []string{"build", "-o", daemonProgram}
	if raceEnabled { // detects data races in the daemon, too
		args = append(args, "-race")
	}
	if text, err := exec.Command("go", append(args, "chalkdoor.example/chalkdoor/cmd/edged")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build edged: %v\n%s", err, text)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(leaktest.Status(status))
}
