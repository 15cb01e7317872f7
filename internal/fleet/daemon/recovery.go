package daemon

import (
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// recoveryStep is a step between the start of the process and its first served request.
type recoveryStep int

// The steps, in the order in which a process usually reaches them.
const (
	stepViewKnown     recoveryStep = iota // a view of the core is known
	stepCoreReachable                     // a session with a relay that has a quorum was started
	stepConfig                            // a configuration is in force
	stepSynced                            // the initial synchronization with a relay is complete
	stepServersListed                     // at least one server is listed
	stepRequestServed                     // a request was served
	recoveryStepCount                     // number of steps
)

const (
	// minLoggedLoss is how long the core must have been out of reach for the end of that to be logged each time.
	minLoggedLoss = 2 * time.Second
	// shortLossLogInterval is the time between two log lines about shorter losses.
	shortLossLogInterval = 10 * time.Second
)

// recoveryTracker records and logs when this process reached each step of its recovery. It is safe for
// concurrent use.
type recoveryTracker struct {
	startedAt time.Time

	mu           sync.Mutex                       // guards the fields below
	reachedAfter [recoveryStepCount]time.Duration // time from startedAt to each step; 0 if not reached yet
	serverCount  int                              // number of servers in the latest snapshot
	// unloggedLosses is the number of short losses of the core since the last one that was logged.
	unloggedLosses   int
	nextShortLossLog time.Duration // the earliest time from startedAt at which a short loss is logged
}

func newRecoveryTracker() *recoveryTracker { return &recoveryTracker{startedAt: time.Now()} }

// reach records that a step is reached. It returns the time since the start of the process, and whether
// the step is reached for the first time.
func (t *recoveryTracker) reach(step recoveryStep) (after time.Duration, first bool) {
	after = time.Since(t.startedAt)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachedAfter[step] != 0 {
		return after, false
	}
	t.reachedAfter[step] = after
	return after, true
}

// viewKnown records that a view of the core is known.
func (t *recoveryTracker) viewKnown(newView view.View) {
	if after, first := t.reach(stepViewKnown); first {
		logevent.FirstViewKnown.Log("view", newView.Number, "after", after)
	}
}

// coreReachable records that a session with a relay that has a quorum was started, or this process has
// become such a relay. lost is how long there was neither. Of short losses that follow each other, as on an
// overloaded core, it logs one in each shortLossLogInterval, with the number of those that it did not log.
func (t *recoveryTracker) coreReachable(lost time.Duration) {
	after, first := t.reach(stepCoreReachable)
	if unlogged, log := t.shouldLogLoss(after, first || lost >= minLoggedLoss); log {
		logevent.CoreReachable.Log("after", after, "lost", lost, "unlogged", unlogged)
	}
}

// shouldLogLoss reports whether a loss of the core that ended at the given time since the start is to be logged,
// and how many were not logged since the last log line. It counts the loss if it is not to be logged.
func (t *recoveryTracker) shouldLogLoss(after time.Duration, always bool) (unlogged int, log bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !always && after < t.nextShortLossLog {
		t.unloggedLosses++
		return 0, false
	}
	unlogged, t.unloggedLosses = t.unloggedLosses, 0
	t.nextShortLossLog = after + shortLossLogInterval
	return unlogged, true
}

// snapshotChanged records the steps that a new snapshot shows as reached. It logs when the list of
// servers becomes empty and when it is no longer empty.
func (t *recoveryTracker) snapshotChanged(snapshot *relay.Snapshot) {
	if snapshot.Config != nil {
		t.reach(stepConfig)
	}
	if snapshot.Synced {
		t.reach(stepSynced)
	}
	count := 0
	if snapshot.Servers != nil {
		count = len(snapshot.Servers.ByID)
	}
	t.mu.Lock()
	previousCount := t.serverCount
	t.serverCount = count
	t.mu.Unlock()
	switch {
	case previousCount == 0 && count > 0:
		after, _ := t.reach(stepServersListed)
		logevent.FirstServersListed.Log("servers", count, "after", after)
	case previousCount > 0 && count == 0:
		logevent.ServerListEmpty.Log("before", previousCount)
	}
}

// requestServed records that the gateway has served its first request.
func (t *recoveryTracker) requestServed() {
	if after, first := t.reach(stepRequestServed); first {
		logevent.FirstRequestServed.Log("after", after)
	}
}

// recoveryReport holds the time at which each step was reached, in milliseconds since the start of the
// process, or -1 if it was not reached yet. Its keys are in alphabetical order.
type recoveryReport struct {
	Config   int64 `json:"config-ms"`
	Core     int64 `json:"core-ms"`
	Served   int64 `json:"served-ms"`
	Servers  int64 `json:"servers-ms"`
	Synced   int64 `json:"synced-ms"`
	UptimeMs int64 `json:"uptime-ms"`
	View     int64 `json:"view-ms"`
}

// report returns when each step was reached.
func (t *recoveryTracker) report() recoveryReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(step recoveryStep) int64 {
		if t.reachedAfter[step] == 0 {
			return -1
		}
		return t.reachedAfter[step].Milliseconds()
	}
	return recoveryReport{
		Config:   at(stepConfig),
		Core:     at(stepCoreReachable),
		Served:   at(stepRequestServed),
		Servers:  at(stepServersListed),
		Synced:   at(stepSynced),
		UptimeMs: time.Since(t.startedAt).Milliseconds(),
		View:     at(stepViewKnown),
	}
}
