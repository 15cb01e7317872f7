package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// After a start of all processes hundreds of agents dial at once. Each new session costs a relay the hello with its
// version vector and the first update with everything that the agent lacks, and an agent that gets no hello within
// helloTimeout leaves and dials again. So a relay starts only a few sessions at a time, and tells the agents that
// would wait too long when to come back. Members of the core don't wait.

const (
	// maxInitialSyncs bounds the sessions whose hellos and first updates are under way at once. It is small, as
	// they share one processor, and enough to use a link of 100 Mbit/s with agents that have 10 Mbit/s each.
	maxInitialSyncs = 12
	// maxWaitingSyncs bounds the sessions that wait to start.
	maxWaitingSyncs = 64
	// maxSyncWait bounds how long they wait. It leaves half of helloTimeout for the hello.
	maxSyncWait = helloTimeout / 2
	// minRetryAfter and retryAfterSpread are the minimum and the random part of the time after which an agent that
	// is not admitted should dial again.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterSpread = 750 * time.Millisecond

	// sessionsPerMB is the number of sessions for each MB of the process's memory limit; a session takes 35 KB of
	// heap beside its connection in a fleet of 300, most of it version vectors. The bound lies between minSessions
	// and maxSessions.
	sessionsPerMB = 4
	minSessions   = 256
	maxSessions   = 1024

	bytesPerMB = 1 << 20
)

// sessionAdmission bounds the sessions that start at once, and the sessions in all.
type sessionAdmission struct {
	maxSessions int
	slots       chan struct{} // holds a value for each session that is starting
	waiting     atomic.Int64  // sessions that wait for a slot
	refused     atomic.Int64  // sessions told to come back later
}

// newSessionAdmission returns the admission of a process with the given memory limit.
func newSessionAdmission(memoryBytes int64) *sessionAdmission {
	return &sessionAdmission{
		maxSessions: int(min(max(memoryBytes/bytesPerMB*sessionsPerMB, minSessions), maxSessions)),
		slots:       make(chan struct{}, maxInitialSyncs),
	}
}

// awaitSlot waits until a session on the stream may start, and reports whether it may. Then the caller must call
// release once the first update was sent or the session has ended; it may call it more than once.
func (a *sessionAdmission) awaitSlot(st *stream) (release func(), admitted bool) {
	if st.IsPriority() {
		return func() {}, true
	}
	release = sync.OnceFunc(func() { <-a.slots })
	select {
	case a.slots <- struct{}{}:
		return release, true
	default:
	}
	defer a.waiting.Add(-1)
	if a.waiting.Add(1) > maxWaitingSyncs {
		return nil, false
	}
	timeout := time.NewTimer(maxSyncWait)
	defer timeout.Stop()
	select {
	case a.slots <- struct{}{}:
		return release, true
	case <-st.Context().Done():
	case <-timeout.C:
	}
	return nil, false
}

// refuse tells the peer when to dial again.
func (a *sessionAdmission) refuse(st *stream) error {
	a.refused.Add(1)
	retryAfter := minRetryAfter + rand.N(retryAfterSpread)
	return st.Send(&message{RetryAfterMs: uint32(retryAfter.Milliseconds())})
}
