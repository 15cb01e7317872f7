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

// errReadOnlyFileSystem is the error of a write to a read-only file system.
var errReadOnlyFileSystem = syscall.EROFS

// Clock is a time that can be compared between processes as long as the machine is not rebooted. The wall
// clock is not used, as it may jump between two runs.
type Clock struct {
	Boot   [16]byte      // identifies the boot of the machine; zero if unknown
	Uptime time.Duration // time since that boot
}

// Since returns the time from an earlier clock to this one. It returns the largest duration and false if
// that time is not known: after a reboot, if a boot is unknown, or if the other clock is the later one.
func (c Clock) Since(then Clock) (time.Duration, bool) {
	if c.Boot != then.Boot || c.Boot == [16]byte{} || then.Uptime > c.Uptime {
		return unknownAge, false
	}
	return c.Uptime - then.Uptime, true
}

// Now returns the clock of this machine, or the zero Clock if it can't be read. The clock advances while
// the machine is suspended.
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

// bootID returns the kernel's identifier of the current boot.
func bootID() (id [16]byte, err error) {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return id, fmt.Errorf("snapshot: %w", err)
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(string(text)), "-", ""))
	if err != nil || len(raw) != len(id) {
		return id, errors.New("snapshot: invalid boot ID")
	}
	return [16]byte(raw), nil
}
