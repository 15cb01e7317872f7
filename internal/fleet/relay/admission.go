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
	// maxSyncHold bounds how long a session that starts keeps others from starting, as its peer may have a slow link.
	// It is longer than maxSyncWait: a relay that is held up itself refuses those that wait before it starts more.
	// maxSlowSyncs bounds the sessions that take longer.
	maxSyncHold  = 600 * time.Millisecond
	maxSlowSyncs = 64
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
	slow        chan struct{} // holds a value for each that takes longer than maxSyncHold
	waiting     atomic.Int64  // sessions that wait for a slot
	refused     atomic.Int64  // sessions told to come back later
}

// newSessionAdmission returns the admission of a process with the given memory limit.
func newSessionAdmission(memoryBytes int64) *sessionAdmission {
	return &sessionAdmission{
		maxSessions: int(min(max(memoryBytes/bytesPerMB*sessionsPerMB, minSessions), maxSessions)),
		slots:       make(chan struct{}, maxInitialSyncs),
		slow:        make(chan struct{}, maxSlowSyncs),
	}
}

// awaitSlot waits until a session on the stream may start, and reports whether it may. Then the caller must call
// release once the first update was sent or the session has ended; it may call it more than once.
func (a *sessionAdmission) awaitSlot(st *stream) (release func(), admitted bool) {
	if st.IsPriority() {
		return func() {}, true
	}
	select {
	case a.slots <- struct{}{}:
		return a.holdSlot(), true
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
		return a.holdSlot(), true
	case <-st.Context().Done():
	case <-timeout.C:
	}
	return nil, false
}

// holdSlot returns a function that gives a slot back. A session that takes longer than maxSyncHold to start keeps no
// slot, as long as there are fewer than maxSlowSyncs of them.
func (a *sessionAdmission) holdSlot() (release func()) {
	held := &heldSlot{from: a.slots}
	timer := time.AfterFunc(maxSyncHold, func() { held.moveTo(a.slow) })
	return func() {
		timer.Stop()
		held.giveBack()
	}
}

// heldSlot is a place of one session in a channel that bounds the sessions.
type heldSlot struct {
	mu   sync.Mutex
	from chan struct{} // nil once the place was given back
}

// moveTo exchanges the place for one in another channel, if that has one.
func (h *heldSlot) moveTo(other chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.from == nil {
		return
	}
	select {
	case other <- struct{}{}:
		<-h.from
		h.from = other
	default:
	}
}

// giveBack gives the place back. It may be called more than once.
func (h *heldSlot) giveBack() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.from != nil {
		<-h.from
		h.from = nil
	}
}

// refuse tells the peer when to dial again.
func (a *sessionAdmission) refuse(st *stream) error {
	a.refused.Add(1)
	retryAfter := minRetryAfter + rand.N(retryAfterSpread)
	return st.Send(&message{RetryAfterMs: uint32(retryAfter.Milliseconds())})
}
