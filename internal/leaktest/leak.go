// Package leaktest makes a package's tests fail if they leak a goroutine.
package leaktest

import (
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// leakTimeout is how long the last goroutines may take to end. memberlist's Shutdown doesn't wait for a
// ping in progress, which ends within the probe interval times the library's awareness factor (1 to 8 s).
// goleak alone waits for less than half a second.
const leakTimeout = 30 * time.Second

// Main runs a package's tests and exits. The exit status is not 0 if a test failed or if goroutines are
// left that don't end by themselves.
func Main(m *testing.M) {
	os.Exit(Status(m.Run()))
}

// Status returns the given exit status of a package's tests, or 1 if they passed but left goroutines that
// don't end by themselves.
func Status(code int) int {
	for end := time.Now().Add(leakTimeout); code == 0; {
		err := goleak.Find()
		if err == nil {
			break
		}
		if time.Now().After(end) {
			fmt.Fprintln(os.Stderr, "goleak:", err)
			code = 1
		}
	}
	return code
}
