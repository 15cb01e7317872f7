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
	// levelInterval is the pause between two looks at what the processes hold.
	levelInterval = time.Second
	// minLevelSeries is the shortest series in which levels are compared: a process needs some time to
	// reach its level.
	minLevelSeries = 3 * time.Minute
	// maxMemoryGrowth and maxDescriptorGrowth bound by how much more the processes may hold at the most in the
	// last third of a series than in the second one, beside a tenth.
	maxMemoryGrowth     = 8 << 20
	maxDescriptorGrowth = 32
	// levelGrowthDivisor is that tenth.
	levelGrowthDivisor = 10
)

// Level is the most that any agent's process held in one third of a series.
type Level struct {
	Memory      int64 `json:"memory_bytes"` // resident
	Descriptors int   `json:"descriptors"`
	Threads     int   `json:"threads"`
}

// levels records what the agents' processes hold, by thirds of the series.
type levels struct {
	mu     sync.Mutex
	thirds [3]Level
}

// watch looks at all agents until ctx ends.
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
	most := &l.thirds[third]
	most.Memory = max(most.Memory, level.Memory)
	most.Descriptors = max(most.Descriptors, level.Descriptors)
	most.Threads = max(most.Threads, level.Threads)
}

// growth describes by what the last third exceeds the second one more than is allowed; "" if by nothing.
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

// pid is the id of the agent's last process.
func (a *Agent) pid() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process.Pid
}

// readLevel reads what a process holds; false if it has ended.
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
