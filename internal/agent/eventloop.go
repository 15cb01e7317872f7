package agent

import (
	"context"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/policy"
)

const (
	// sweepInterval is how often connections that have been idle for too long are closed.
	sweepInterval = time.Second
	// inboxSize is the number of functions that the inbox holds before post blocks.
	inboxSize = 4096
	// logLineRate (per second) and logLineBurst limit the log lines, and logLineBuffer the lines that wait to be
	// written, so that logging is a bounded amount of work for one core.
	logLineRate, logLineBurst, logLineBuffer = 5, 50, 64
)

// eventLoop owns the policy and all state of requests. One goroutine runs it; all others reach it through post.
// It never blocks: everything that may block runs in goroutines of its own.
type eventLoop struct {
	config       *Config
	ctx          context.Context
	inbox        chan func()
	clockStart   time.Time // when the loop was created; has a monotonic reading
	clockBaseMs  float64   // clockStart as Unix time
	observer     Observer
	onReady      func() // called, repeatedly, when there are backends to send to
	sender       *sender
	memoryBudget *semaphore.Weighted // for bodies of requests and responses, in bytes
	counters     counters

	balancer      *policy.Balancer
	actions       []policy.Action // scratch space of handle
	pendingEvents []policy.Event  // raised by carrying out actions

	requests           map[policy.RequestID]*pendingRequest
	requestsByClientID map[string]*pendingRequest
	lastRequestID      policy.RequestID
	openRequests       int // requests that are not answered yet
	probesInFlight     int

	backends      *backendTable
	discovery     *discoveryClient
	dialDiscovery dialer
	listVersion   uint64
	needsFullList bool // true after a switch of discovery until the new full list has arrived
	watching      bool // a watch is open
	fetching      bool // a fetch of the full list is in progress
	watchFailures int  // consecutive failures of a pushed watch

	restoredState *SavedState       // state of an earlier process, until the loop has started; nil if there is none
	save          func(*SavedState) // called with the state to save; nil if nothing is saved
	saveInterval  time.Duration
	targets       map[string]Target // the list by ID; only maintained for save and coordinator
	coordinator   Coordinator       // nil if the agent acts alone

	logLimiter *rate.Limiter
	logLines   chan func() // each function writes one log line
}

// newEventLoop returns a loop that does not run yet. The loop calls onReady when there are backends to send to.
func newEventLoop(ctx context.Context, config *Config, onReady func()) (*eventLoop, error) {
	balancer, err := policy.New(config.Settings, config.Seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l := &eventLoop{
		config:             config,
		ctx:                ctx,
		inbox:              make(chan func(), inboxSize),
		clockStart:         now,
		clockBaseMs:        float64(now.UnixMicro()) / 1000,
		observer:           noopObserver{},
		onReady:            onReady,
		memoryBudget:       semaphore.NewWeighted(config.memoryBudget()),
		balancer:           balancer,
		requests:           map[policy.RequestID]*pendingRequest{},
		requestsByClientID: map[string]*pendingRequest{},
		backends:           newBackendTable(config.Zones, config.MachineKinds),
		dialDiscovery:      (&net.Dialer{Timeout: callSlack}).DialContext,
		logLimiter:         rate.NewLimiter(logLineRate, logLineBurst),
		logLines:           make(chan func(), logLineBuffer),
	}
	l.sender = newSender(config, l.memoryBudget)
	l.useDiscovery(config.Discovery)
	return l, nil
}

// post has the loop run a function. It may block, so the loop itself never calls it. Once the loop has ended the
// function is dropped.
func (l *eventLoop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// run is the loop. It returns when its context is done.
func (l *eventLoop) run() {
	go l.writeLog()
	l.start()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	var saveTicks <-chan time.Time
	if l.save != nil {
		ticker := time.NewTicker(l.saveInterval)
		defer ticker.Stop()
		saveTicks = ticker.C
		defer func() { l.save(l.savedState()) }()
	}
	var directives <-chan struct{}
	if l.coordinator != nil {
		directives = l.coordinator.Ready()
	}
	for {
		select {
		case f := <-l.inbox:
			f()
			l.handlePending()
		case <-directives:
			l.applyDirectives(l.coordinator.Directives())
			l.handlePending()
		case <-sweep.C:
			l.sender.pool.closeExpired()
		case <-saveTicks:
			l.save(l.savedState())
		case <-l.ctx.Done():
			return
		}
	}
}

// start passes the last known list, however old, and the state of an earlier process to the policy.
func (l *eventLoop) start() {
	l.execute(l.balancer.Start(l.now(), l.actions[:0]))
	l.applyList(l.initialList(), policy.UpdateCached, true)
	if l.restoredState != nil {
		l.handle(&policy.Event{Kind: policy.EventRestore, Snapshot: l.restoredState.Snapshot})
		l.restoredState = nil
	}
	if l.listIsPushed() {
		l.startWatch()
	}
	l.handlePending()
	if l.backends.hasAvailable() {
		l.onReady()
	}
}

// now returns the policy's clock: Unix time in milliseconds, like started_ms in the list, but it never goes back.
func (l *eventLoop) now() float64 {
	return l.clockBaseMs + inMilliseconds(time.Since(l.clockStart))
}

// handle passes one event to the policy and carries out the resulting actions.
func (l *eventLoop) handle(event *policy.Event) {
	l.execute(l.balancer.Handle(l.now(), event, l.actions[:0]))
}

// handlePending handles the events that were raised by carrying out actions.
func (l *eventLoop) handlePending() {
	for len(l.pendingEvents) > 0 {
		event := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&event)
	}
	l.pendingEvents = nil
}

// execute carries out actions in order.
func (l *eventLoop) execute(actions []policy.Action) {
	l.actions = actions
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case policy.ActionSend:
			l.startAttempt(action)
		case policy.ActionCancel:
			l.cancelAttempt(action)
		case policy.ActionReject:
			if request := l.requests[action.Request]; request != nil {
				l.reject(request, action.DurationMs)
			}
		case policy.ActionFail:
			if request := l.requests[action.Request]; request != nil {
				l.respond(request, response{outcome: failed})
			}
		case policy.ActionTimer:
			l.startTimer(action.Token, milliseconds(action.DurationMs))
		case policy.ActionWatch:
			l.startWatch()
		case policy.ActionFetch:
			l.fetchList()
		case policy.ActionCloseIdle:
			if backend := l.backends.byAddr[action.Server]; backend != nil {
				l.sender.pool.closeIdle(backend)
			}
		case policy.ActionLog:
			l.log(slog.LevelInfo, "policy", "text", action.Text)
		case policy.ActionProbe:
			l.startProbe(action)
		}
	}
}

// startTimer passes a timer event to the policy after a delay.
func (l *eventLoop) startTimer(token uint32, after time.Duration) {
	time.AfterFunc(after, func() {
		l.post(func() { l.handle(&policy.Event{Kind: policy.EventTimer, Token: token}) })
	})
}

// milliseconds converts a duration from the policy.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// inMilliseconds converts a duration for the policy. The result has a resolution of one microsecond.
func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
