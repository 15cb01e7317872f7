package snapshot

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errReadOnlyFileSystem is the error of a read-only file system.
var errReadOnlyFileSystem = syscall.EROFS

// Clock is a time that is comparable between processes of one boot of the machine. The wall clock is not
// used, as it may jump between two runs.
type Clock struct {
	Boot   [16]byte // identifies the boot of the machine; zero if unknown
	Uptime time.Duration
}

// Since returns the time from an earlier clock to this one. It returns the largest duration and false if
// that is not known: after a reboot, or if the boot of either is unknown.
func (c Clock) Since(then Clock) (time.Duration, bool) {
	if c.Boot != then.Boot || c.Boot == [16]byte{} || then.Uptime > c.Uptime {
		return unknownAge, false
	}
	return c.Uptime - then.Uptime, true
}

// Now returns the clock of this machine. It advances while the machine is suspended.
func Now() Clock {
	var c Clock
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return c
	}
	id, err := bootID()
	if err != nil {
		return c
	}
	c.Boot, c.Uptime = id, time.Duration(t.Nano())
	return c
}

// bootID returns the kernel's identifier of this boot.
func bootID() (id [16]byte, err error) {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return id, fmt.Errorf("snapshot: %w", err)
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(string(text)), "-", ""))
	if err != nil || len(raw) != len(id) {
		return id, errors.New("snapshot: the boot has no name")
	}
	return [16]byte(raw), nil
}
