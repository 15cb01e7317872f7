package fleetlab

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// levelInterval is the interval at which the resource usage of the processes is sampled.
	levelInterval = time.Second
	// minLevelSeries is the shortest series in which levels are compared, as a process needs some time until its
	// resource usage is stable.
	minLevelSeries = 3 * time.Minute
	// maxMemoryGrowth and maxDescriptorGrowth bound how much higher the maximum of any process may be in the last third
	// of a series than in the second third, in addition to a tenth of the latter.
	maxMemoryGrowth     = 8 << 20
	maxDescriptorGrowth = 32
	// levelGrowthDivisor is the divisor for that tenth.
	levelGrowthDivisor = 10
)

// Level is the maximum resource usage of any agent's process in one third of a series.
type Level struct {
	Memory      int64 `json:"memory_bytes"` // resident set size
	Descriptors int   `json:"descriptors"`
	Threads     int   `json:"threads"`
}

// levels records the resource usage of the agents' processes, by thirds of the series.
type levels struct {
	mu     sync.Mutex
	thirds [3]Level
}

// watch samples the resource usage of all agents until ctx ends.
func (l *levels) watch(ctx context.Context, fleet *Fleet, startAt, series time.Duration) {
	for sleep(ctx, levelInterval) {
		third := min(int(3*(fleet.Now()-startAt)/series), len(l.thirds)-1)
		for _, agent := range fleet.Agents {
			if level, ok := readLevel(agent.pid()); ok {
				l.record(third, level)
			}
		}
	}
}

func (l *levels) record(third int, level Level) {
	l.mu.Lock()
	defer l.mu.Unlock()
	highest := &l.thirds[third]
	highest.Memory = max(highest.Memory, level.Memory)
	highest.Descriptors = max(highest.Descriptors, level.Descriptors)
	highest.Threads = max(highest.Threads, level.Threads)
}

// growth describes a resource whose usage grew more than is allowed from the second third to the last one. It returns
// the empty string if there is none.
func (l *levels) growth() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, after := l.thirds[1], l.thirds[2]
	if after.Memory > before.Memory+before.Memory/levelGrowthDivisor+maxMemoryGrowth {
		return fmt.Sprintf("memory rose from %d to %d bytes", before.Memory, after.Memory)
	}
	if after.Descriptors > before.Descriptors+before.Descriptors/levelGrowthDivisor+maxDescriptorGrowth {
		return fmt.Sprintf("descriptors rose from %d to %d", before.Descriptors, after.Descriptors)
	}
	return ""
}

// pid returns the process id of the agent's last process.
func (a *Agent) pid() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process.Pid
}

// readLevel reads the resource usage of a process. It returns false if the process has ended.
func readLevel(pid int) (level Level, ok bool) {
	folder := "/proc/" + strconv.Itoa(pid)
	statm, err := os.ReadFile(folder + "/statm")
	if err != nil {
		return Level{}, false
	}
	fields := bytes.Fields(statm)
	if len(fields) < 2 {
		return Level{}, false
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return Level{}, false
	}
	descriptors, err := os.ReadDir(folder + "/fd")
	if err != nil {
		return Level{}, false
	}
	threads, err := os.ReadDir(folder + "/task")
	if err != nil {
		return Level{}, false
	}
	return Level{Memory: pages * int64(os.Getpagesize()), Descriptors: len(descriptors), Threads: len(threads)}, true
}
