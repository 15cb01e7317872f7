// Package leaktest lets a package's tests fail where one of them leaves a goroutine behind.
package leaktest

import (
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// patience bounds how long the last goroutines may take to end. memberlist's Shutdown does
// not wait for a ping that is under way, which ends by itself within the library's probe
// interval and its awareness (1 to 8 s); goleak by itself waits for under half a second.
const patience = 30 * time.Second

// Main runs a package's tests and ends the process: with an error if they failed, or if
// goroutines are left that do not end by themselves.
func Main(m *testing.M) {
	os.Exit(Status(m.Run()))
}

// Status returns the status of a package's tests as it is, or 1 if they passed and goroutines are left
// that do not end by themselves.
func Status(code int) int {
	for end := time.Now().Add(patience); code == 0; {
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
