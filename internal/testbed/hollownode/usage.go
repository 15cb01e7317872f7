package hollownode

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

// cpu is the CPU time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usage is the usage of this process; before is the live heap to leave out.
func usage(before int64) Usage {
	u := Usage{CPU: cpu()}
	u.RSS, u.Peak = resident(os.Getpid())
	u.Heap = heapsize.Held() - before
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Stacks, u.Goroutines = int64(m.StackInuse), runtime.NumGoroutine()
	if fds, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.FDs = len(fds)
	}
	return u
}

// resident is the memory of a process, now and at its peak; in bytes; 0 if they can't be read.
func resident(pid int) (rss, peak int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		key, val, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(val), "kB")), 10, 64)
		switch key {
		case "VmRSS":
			rss = kb << 10
		case "VmHWM":
			peak = kb << 10
		}
	}
	return rss, peak
}
