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

// errReadOnlyFileSystem is a file system that takes no writes.
var errReadOnlyFileSystem = syscall.EROFS

// Clock is a time that outlives a process but not the machine's boot. The wall clock is not
// used at all: it may jump while nobody looks.
type Clock struct {
	Boot   [16]byte // which boot of the machine; zero: not known
	Uptime time.Duration
}

// Since is the time from an earlier clock to this one; the longest, and false, if that can't
// be told: after another boot, or where either does not know its own.
func (c Clock) Since(then Clock) (time.Duration, bool) {
	if c.Boot != then.Boot || c.Boot == [16]byte{} || then.Uptime > c.Uptime {
		return unknownAge, false
	}
	return c.Uptime - then.Uptime, true
}

// Now is the clock of this machine; it counts while the machine sleeps.
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

// bootID is the kernel's name for this boot.
func bootID() (id [16]byte, err error) {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return id, fmt.Errorf("durable: %w", err)
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(string(text)), "-", ""))
	if err != nil || len(raw) != len(id) {
		return id, errors.New("durable: the boot has no name")
	}
	return [16]byte(raw), nil
}
