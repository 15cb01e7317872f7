package fleetlab

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// daemon is the program that the process tests play.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleetlab-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemon = filepath.Join(dir, "edged")
	args := []string{"build", "-o", daemon}
	if raceEnabled { // the daemon's races are found, too
		args = append(args, "-race")
	}
	if text, err := exec.Command("go", append(args, "chalkdoor.example/chalkdoor/cmd/edged")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build edged: %v\n%s", err, text)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	if status == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, "goleak:", err)
			status = 1
		}
	}
	os.Exit(status)
}
