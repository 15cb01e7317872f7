package daemon

import (
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// recoveryStep is a step on the way from the start of the process to its first served request.
type recoveryStep int

// The steps, in the order in which a process usually reaches them.
const (
	stepViewKnown     recoveryStep = iota // a view of the core is known
	stepCoreReachable                     // there is a session with a relay that has a quorum
	stepConfig                            // a configuration is in force
	stepSynced                            // all that a relay knows has been received
	stepServersListed                     // a server is listed
	stepRequestServed                     // a request was served
	recoverySteps
)

// recoveryTracker records when this process reached each step of its recovery, and logs it. It is
// safe for concurrent use.
type recoveryTracker struct {
	startedAt time.Time

	mu      sync.Mutex                   // guards all that follows
	reached [recoverySteps]time.Duration // since the start; 0: not yet
	servers int                          // that were listed last
}

func newRecoveryTracker() *recoveryTracker { return &recoveryTracker{startedAt: time.Now()} }

// reach records a step. It returns the time since the start, and whether this is the first time.
func (t *recoveryTracker) reach(step recoveryStep) (after time.Duration, first bool) {
	after = time.Since(t.startedAt)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reached[step] != 0 {
		return after, false
	}
	t.reached[step] = after
	return after, true
}

// viewKnown records that a view is known.
func (t *recoveryTracker) viewKnown(known view.View) {
	if after, first := t.reach(stepViewKnown); first {
		logevent.FirstViewKnown.Log("view", known.Number, "after", after)
	}
}

// coreReachable records that there is a relay again, after none for a time.
func (t *recoveryTracker) coreReachable(lost time.Duration) {
	after, _ := t.reach(stepCoreReachable)
	logevent.CoreReachable.Log("after", after, "lost", lost)
}

// snapshotChanged records what a snapshot shows for the first time, and when its list becomes empty
// or is no longer.
func (t *recoveryTracker) snapshotChanged(snapshot *relay.Snapshot) {
	if snapshot.Config != nil {
		t.reach(stepConfig)
	}
	if snapshot.Synced {
		t.reach(stepSynced)
	}
	listed := 0
	if snapshot.Servers != nil {
		listed = len(snapshot.Servers.ByID)
	}
	t.mu.Lock()
	before := t.servers
	t.servers = listed
	t.mu.Unlock()
	switch {
	case before == 0 && listed > 0:
		after, _ := t.reach(stepServersListed)
		logevent.FirstServersListed.Log("servers", listed, "after", after)
	case before > 0 && listed == 0:
		logevent.ServerListEmpty.Log("before", before)
	}
}

// requestServed records that a request was served.
func (t *recoveryTracker) requestServed() {
	if after, first := t.reach(stepRequestServed); first {
		logevent.FirstRequestServed.Log("after", after)
	}
}

// recoveryReport tells when each step was reached, in milliseconds since the start of the process;
// -1: not yet. Its keys are in alphabetical order.
type recoveryReport struct {
	Config   int64 `json:"config-ms"`
	Core     int64 `json:"core-ms"`
	Served   int64 `json:"served-ms"`
	Servers  int64 `json:"servers-ms"`
	Synced   int64 `json:"synced-ms"`
	UptimeMs int64 `json:"uptime-ms"`
	View     int64 `json:"view-ms"`
}

// report returns the steps that were reached so far.
func (t *recoveryTracker) report() recoveryReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(step recoveryStep) int64 {
		if t.reached[step] == 0 {
			return -1
		}
		return t.reached[step].Milliseconds()
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
