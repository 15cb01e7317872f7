package hollownode

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// watchMemory cancels the run when the fleet takes half of the machine's memory.
func (f *fleet) watchMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return
	}
	limit := int64(uint64(info.Totalram) * uint64(info.Unit) / 2)
	for sleep(ctx, time.Second) {
		total, _ := resident(os.Getpid())
		f.mu.Lock()
		running := append([]interface{ Pid() int }(nil), f.measured...)
		f.mu.Unlock()
		for _, process := range running {
			if pid := process.Pid(); pid > 0 {
				rss, _ := resident(pid)
				total += rss
			}
		}
		if total > limit {
			cancel(errors.Errorf("the fleet took %d MB, half of the machine's memory: give fewer agents or tenants", total>>20))
			return
		}
	}
}

// measure adds a process whose memory is watched.
func (f *fleet) measure(r interface{ Pid() int }) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.measured = append(f.measured, r)
}
