// Package agent runs the decision module as a real agent: clients on one side,
// backends and discovery on the other, and a loop that turns what happens into
// the module's events and carries out its actions.
package agent

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/policy"
)

const (
	// policyMargin is taken off the time that the module is told a request has: what
	// its last attempt's end takes to become an answer at the client.
	policyMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers,
	// well after the module should have.
	backstopMargin = 4 * time.Millisecond
	// sweepInterval is how often connections that idle too long are closed.
	sweepInterval = time.Second
)

// eventLoop owns the module and all state of requests. One goroutine runs it; all
// else reaches it through post. It never blocks: what may wait runs in
// goroutines of its own.
type eventLoop struct {
	config        *Config
	ctx           context.Context
	balancer      *policy.Balancer
	backends      *backendTable
	sender        *sender
	memoryBudget  *semaphore.Weighted // memory for bodies
	discovery     *discoveryClient
	dialDiscovery dialer        // to it
	logLimiter    *rate.Limiter // the log is bounded work on one core
	logLines      chan func()   // log lines on their way to whoever reads the log

	inbox              chan func()
	clockStart         time.Time // the clock's base: wall time, then monotonic
	clockBaseMs        float64
	lastRequestID      policy.RequestID
	requests           map[policy.RequestID]*pendingRequest
	requestsByClientID map[string]*pendingRequest // the same by the clients' ids
	openRequests       int                        // requests that have no answer yet
	pendingEvents      []policy.Event
	actions            []policy.Action
	listVersion        uint64 // of the list
	needsFullList      bool   // of this discovery no whole list has come yet
	watching           bool
	fetching           bool
	watchFailures      int // watches in a row that failed
	probesInFlight     int // under way
	onReady            func()
	counters           counters
	observer           Observer

	restored     *SavedState // of an earlier life
	save         func(*SavedState)
	saveInterval time.Duration
	targets      map[string]Target // the list, where it is to be remembered or told
	coordinator  Coordinator       // nil: none
}

// counters are counted for the log at the end.
type counters struct {
	accepted, served, rejected, failed, clientsGone, backstops, violations int
}

type outcome uint8

const (
	served outcome = iota
	rejected
	failed
)

func (v outcome) String() string { return [...]string{"served", "refused", "failed"}[v] }

// response is the one final answer to a call.
type response struct {
	outcome       outcome
	retryAfterMs  float64 // refused: when the client may come back
	status        int     // failed: 0 for the usual one
	header        http.Header
	body          []byte
	reservedBytes int64 // of the budget; given back once the answer is written
}

// pendingRequest is a call in the loop, kept until it is answered and no attempt is out.
type pendingRequest struct {
	id            policy.RequestID
	client        *clientRequest
	answered      bool
	attempts      []*attempt
	inFlight      int // attempts out
	maybeExecuted int // attempts that are out or may have run
	backstop      *time.Timer
}

type attempt struct {
	backend   *backend
	startedMs float64 // of its process when it was sent
	cancel    context.CancelFunc
	ended     bool
}

func newEventLoop(ctx context.Context, cfg *Config, ready func()) (*eventLoop, error) {
	balancer, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l := &eventLoop{config: cfg, ctx: ctx, balancer: balancer, backends: newBackendTable(cfg.Zones, cfg.MachineKinds),
		memoryBudget: semaphore.NewWeighted(cfg.memoryBudget()), logLimiter: rate.NewLimiter(5, 50), logLines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clockStart: now, clockBaseMs: float64(now.UnixMicro()) / 1000,
		requests: map[policy.RequestID]*pendingRequest{}, requestsByClientID: map[string]*pendingRequest{}, onReady: ready, observer: noopObserver{},
		dialDiscovery: (&net.Dialer{Timeout: callSlack}).DialContext}
	l.sender = newSender(cfg, l.memoryBudget)
	l.useDiscovery(cfg.Discovery)
	return l, nil
}

// useDiscovery makes an address the one that is asked. What another still has to say is
// dropped: it comes late, and its versions are not those of this one.
func (l *eventLoop) useDiscovery(addr string) {
	d := newDiscoveryClient(l.ctx, addr, l.dialDiscovery)
	d.onList = func(list *TargetList, watch bool, err error) {
		l.post(func() {
			if l.discovery == d {
				l.onDiscoveryList(list, watch, err)
			}
		})
	}
	d.onResponse = func() {
		if l.coordinator != nil {
			l.coordinator.DiscoveryResponded()
		}
	}
	l.discovery = d
}

// switchDiscovery leaves the discovery for another and asks that for its whole list. Until
// it comes the table stays as it is.
func (l *eventLoop) switchDiscovery(addr string) {
	if addr == l.discovery.addr {
		return
	}
	l.discovery.close()
	l.useDiscovery(addr)
	l.listVersion, l.needsFullList, l.fetching, l.watching = 0, true, false, true
	go l.discovery.watch(0, true)
}

// post hands the loop something to do; it may wait, so the loop itself never calls it.
func (l *eventLoop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// run is the loop; it ends with the context.
func (l *eventLoop) run() {
	go l.writeLog()
	l.execute(l.balancer.Start(l.now(), l.actions[:0]))
	// The list as last had comes with the start, however old, as at the simulator.
	l.applyList(l.initialList(), policy.UpdateCached, true)
	if l.restored != nil {
		l.handle(&policy.Event{Kind: policy.EventRestore, Snapshot: l.restored.Snapshot})
		l.restored = nil
	}
	if l.listIsPushed() {
		l.startWatch()
	}
	l.handlePending()
	if l.backends.hasAvailable() {
		l.onReady()
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	var keep <-chan time.Time
	if l.save != nil {
		ticker := time.NewTicker(l.saveInterval)
		defer ticker.Stop()
		keep = ticker.C
		defer func() { l.save(l.savedState()) }()
	}
	var orders <-chan struct{}
	if l.coordinator != nil {
		orders = l.coordinator.Ready()
	}
	for {
		select {
		case f := <-l.inbox:
			f()
			l.handlePending()
		case <-orders:
			l.applyDirectives(l.coordinator.Directives())
			l.handlePending()
		case <-sweep.C:
			l.sender.pool.closeExpired()
		case <-keep:
			l.save(l.savedState())
		case <-l.ctx.Done():
			return
		}
	}
}

// now is the clock in ms: Unix time, as started_ms of the list, that only advances.
func (l *eventLoop) now() float64 {
	return l.clockBaseMs + float64(time.Since(l.clockStart).Microseconds())/1000
}

// handle gives the module one event and carries out what it answers.
func (l *eventLoop) handle(ev *policy.Event) {
	l.execute(l.balancer.Handle(l.now(), ev, l.actions[:0]))
}

// handlePending handles the events that carrying out actions has raised.
func (l *eventLoop) handlePending() {
	for len(l.pendingEvents) > 0 {
		ev := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&ev)
	}
	l.pendingEvents = nil
}

func (l *eventLoop) execute(actions []policy.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case policy.ActionSend:
			l.startAttempt(a)
		case policy.ActionCancel:
			if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.ended && t.cancel != nil {
					t.cancel()
				}
			}
		case policy.ActionReject:
			if r := l.requests[a.Request]; r != nil {
				l.reject(r, a.DurationMs)
			}
		case policy.ActionFail:
			if r := l.requests[a.Request]; r != nil {
				l.respond(r, response{outcome: failed})
			}
		case policy.ActionTimer:
			token := a.Token
			time.AfterFunc(milliseconds(a.DurationMs), func() {
				l.post(func() { l.handle(&policy.Event{Kind: policy.EventTimer, Token: token}) })
			})
		case policy.ActionWatch:
			l.startWatch()
		case policy.ActionFetch:
			if !l.fetching {
				l.fetching = true
				go l.discovery.fetch()
			}
		case policy.ActionCloseIdle:
			if b := l.backends.byAddr[a.Server]; b != nil {
				l.sender.pool.closeIdle(b)
			}
		case policy.ActionLog:
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case policy.ActionProbe:
			l.startProbe(a)
		}
	}
}

// ---- requests ----

// accept gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *eventLoop) accept(c *clientRequest) *pendingRequest {
	l.counters.accepted++
	l.lastRequestID++
	r := &pendingRequest{id: l.lastRequestID, client: c}
	l.openRequests++
	if l.requestsByClientID[c.id] != nil {
		// Somebody else's, or its own that may still run: neither is to be touched.
		l.respond(r, response{outcome: failed, status: http.StatusConflict})
		return r
	}
	left := time.Until(c.deadline)
	most := l.config.Settings.Limits.MaxOpenRequests
	if left <= 0 || most > 0 && l.openRequests > most {
		l.reject(r, l.config.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id], l.requestsByClientID[c.id] = r, r
	r.backstop = time.AfterFunc(left-min(backstopMargin, left/16), func() {
		l.post(func() { l.onBackstop(r) })
	})
	left -= min(policyMargin, left/8)
	l.handle(&policy.Event{Kind: policy.EventRequest, Request: r.id, Class: c.class, Tenant: c.tenant,
		Key: c.key, RemainingMs: float64(left.Microseconds()) / 1000, WorkHintMs: c.workHintMs,
		HasWorkHint: c.hasWorkHint, IsRetry: c.isRetry})
	return r
}

// onBackstop is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted.
func (l *eventLoop) onBackstop(r *pendingRequest) {
	if r.answered {
		return
	}
	l.counters.backstops++
	l.observer.ViolationPrevented(1, "ended by the backstop")
	l.log(slog.LevelWarn, "backstop ended a request", "request", r.client.id, "attempts", len(r.attempts), "out", r.inFlight,
		"late_ms", float64(time.Since(r.client.deadline.Add(-backstopMargin)).Microseconds())/1000)
	l.respond(r, response{outcome: failed, status: http.StatusGatewayTimeout})
	l.abandon(r)
}

// onClientGone is called when a client has gone away.
func (l *eventLoop) onClientGone(r *pendingRequest) {
	if r.answered {
		select {
		case a := <-r.client.response: // nobody will
			l.memoryBudget.Release(a.reservedBytes)
		default:
		}
		return
	}
	l.counters.clientsGone++
	l.finish(r)
	l.abandon(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *eventLoop) abandon(r *pendingRequest) {
	for _, t := range r.attempts {
		if !t.ended && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&policy.Event{Kind: policy.EventClientGone, Request: r.id})
}

// reject answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *eventLoop) reject(r *pendingRequest, afterMs float64) {
	c := &l.config.Settings.Classes[r.client.class]
	if r.maybeExecuted > 0 && (c.Idempotency == policy.NonIdempotent || c.Idempotency == policy.Deduplicated && c.DedupScope != policy.DedupEverywhere) {
		l.reportViolation(2, "refusal after an attempt that may have run", r)
		l.respond(r, response{outcome: failed})
		return
	}
	l.respond(r, response{outcome: rejected, retryAfterMs: afterMs})
}

// respond gives the final answer; only the first counts.
func (l *eventLoop) respond(r *pendingRequest, a response) {
	if r.answered {
		return
	}
	switch a.outcome {
	case served:
		l.counters.served++
	case rejected:
		l.counters.rejected++
	case failed:
		l.counters.failed++
	}
	left := time.Until(r.client.deadline)
	l.observer.RequestAnswered(l.config.Settings.Classes[r.client.class].Name, a.outcome.String(), r.client.timeout-left, left, len(r.attempts))
	r.client.response <- a
	l.finish(r)
}

// finish marks a request as over and forgets it as soon as no attempt is out.
func (l *eventLoop) finish(r *pendingRequest) {
	if !r.answered {
		r.answered = true
		l.openRequests--
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	l.forget(r)
}

// forget drops a request that is over once no attempt is out.
func (l *eventLoop) forget(r *pendingRequest) {
	if r.answered && r.inFlight == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		delete(l.requestsByClientID, r.client.id)
	}
}

// ---- attempts ----

func (l *eventLoop) startAttempt(a *policy.Action) {
	r := l.requests[a.Request]
	if r == nil {
		// The request is over and forgotten: nothing can be sent, or counted.
		l.reportViolation(1, "attempt for a request that is over", nil)
		return
	}
	index := len(r.attempts)
	b := l.backends.byAddr[a.Server]
	t := &attempt{backend: b}
	r.attempts = append(r.attempts, t)
	until := r.client.deadline.Add(-backstopMargin)
	now := time.Now()
	if a.DurationMs != 0 {
		until = earliest(until, now.Add(milliseconds(a.DurationMs)))
	}
	if rule, why := l.violation(r, b, now, until); why != "" {
		l.reportViolation(rule, why, r)
		t.ended = true
		l.pendingEvents = append(l.pendingEvents, policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: index,
			Server: a.Server, Status: policy.NotSent, Final: r.answered})
		return
	}
	if age := l.now() - b.startedMs; b.startedMs > 0 && age < l.config.Settings.Contract.SlowStartMs {
		l.observer.SentToWarmingUp()
	}
	t.startedMs = b.startedMs
	r.inFlight++
	r.maybeExecuted++
	b.inFlight++
	ctx, cancel := context.WithCancel(l.ctx)
	t.cancel = cancel
	addr := b.addr
	go func() {
		res := l.sender.send(ctx, b, addr, r.client, now, until)
		cancel()
		l.post(func() { l.onAttemptEnded(r, index, &res) })
	}()
}

// violation guards the contract whatever the module says: it tells which rule an attempt
// would break, and how; "" allows it.
func (l *eventLoop) violation(r *pendingRequest, b *backend, now, until time.Time) (rule int, why string) {
	c := &l.config.Settings.Classes[r.client.class]
	switch {
	case r.answered:
		return 1, "attempt for a request that is over"
	case b == nil || b.addr == "":
		return 3, "attempt to a backend that is not listed"
	case b.unavailable.Load():
		return 3, "attempt to a backend that drains or is gone"
	case r.inFlight > 0:
		return 2, "second attempt while one is out"
	case len(r.attempts) > l.config.Settings.Limits.MaxAttempts:
		return 2, "more attempts than allowed"
	case r.maybeExecuted > 0 && c.Idempotency == policy.NonIdempotent:
		return 2, "repeat of an unsafe request that may have run"
	case !until.After(now):
		return 1, "attempt without time"
	}
	return 0, ""
}

// onAttemptEnded takes the end of an attempt.
func (l *eventLoop) onAttemptEnded(r *pendingRequest, index int, res *attemptResult) {
	t := r.attempts[index]
	t.ended = true
	t.backend.inFlight--
	r.inFlight--
	l.observer.AttemptEnded(res.status, milliseconds(res.latencyMs))
	if l.coordinator != nil {
		l.coordinator.AttemptEnded(Observation{ID: t.backend.id, Zone: l.targets[t.backend.id].Zone, StartedMs: t.startedMs, Class: r.client.class, Status: res.status, Latency: milliseconds(res.latencyMs)})
	}
	if res.status.NotExecuted() {
		r.maybeExecuted--
	}
	switch {
	case r.answered:
		l.memoryBudget.Release(res.reservedBytes)
	case res.status == policy.OK:
		l.respond(r, response{outcome: served, header: res.header, body: res.body, reservedBytes: res.reservedBytes})
	case res.status == policy.Cancelled && res.statusCode != 0:
		// The backend found fault with the request: so would any other.
		l.memoryBudget.Release(res.reservedBytes)
		l.respond(r, response{outcome: failed, status: res.statusCode})
	default:
		l.memoryBudget.Release(res.reservedBytes)
	}
	l.handle(&policy.Event{Kind: policy.EventAttemptEnded, Request: r.id, Attempt: index, Server: t.backend.policyAddr,
		Status: res.status, LatencyMs: res.latencyMs, Final: r.answered, LoadReport: res.report})
	l.forget(r)
	l.backends.forget(t.backend)
}

// ---- discovery ----

// listIsPushed tells whether changes of the list come unasked. On sockets that is a watch too,
// but the loop's own to keep open: a module that is pushed changes never asks for them.
func (l *eventLoop) listIsPushed() bool { return l.config.Settings.Membership == "pushed" }

// startWatch opens the watch; one is enough, as it tells what another would.
func (l *eventLoop) startWatch() {
	if !l.watching {
		l.watching = true
		go l.discovery.watch(l.listVersion, l.needsFullList)
	}
}

// retryWatch opens a pushed watch that failed once more after a pause.
func (l *eventLoop) retryWatch() {
	l.watchFailures++
	time.AfterFunc(watchBackoff(l.watchFailures), func() { l.post(l.startWatch) })
}

// onDiscoveryList takes an answer of discovery. A watch and a fetch may cross: what is
// older than the list at hand is dropped, but for a whole list on the watch,
// which is how a discovery that started again from nothing says so.
func (l *eventLoop) onDiscoveryList(list *TargetList, watch bool, err error) {
	switch {
	case !watch:
		l.fetching = false
	case err != nil:
		l.watching = false
	default:
		l.watchFailures = 0
	}
	if err != nil {
		l.log(slog.LevelWarn, "discovery call failed", "err", err)
		if watch && l.listIsPushed() {
			l.retryWatch()
			return
		}
		l.handle(&policy.Event{Kind: policy.EventDiscovery, Update: policy.UpdateFailed})
		return
	}
	if list.Version < l.listVersion && !(watch && list.Full) {
		return
	}
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateFull
	}
	if l.coordinator != nil {
		l.coordinator.DiscoveryReported(list.Servers, list.Full)
	}
	l.applyList(list, kind, list.Full)
	if l.backends.hasAvailable() {
		l.onReady()
	}
}

func (l *eventLoop) applyList(list *TargetList, kind policy.UpdateKind, full bool) {
	l.listVersion, l.needsFullList = list.Version, l.needsFullList && !full
	l.recordTargets(list, full)
	entries, stale, gone := l.backends.apply(list, full)
	for _, b := range stale {
		l.sender.pool.closeIdle(b)
	}
	l.handle(&policy.Event{Kind: policy.EventDiscovery, Update: kind, Endpoints: entries})
	for _, b := range gone {
		l.backends.forget(b)
	}
}

// ---- the log ----

// reportViolation notes that the loop stopped what would have broken a rule; r may be nil.
func (l *eventLoop) reportViolation(rule int, what string, r *pendingRequest) {
	l.counters.violations++
	l.observer.ViolationPrevented(rule, what)
	id := ""
	if r != nil {
		id = r.client.id
	}
	l.log(slog.LevelError, "guard: "+what, "rule", rule, "request", id)
}

func (l *eventLoop) log(level slog.Level, text string, args ...any) {
	if !l.logLimiter.Allow() {
		return
	}
	select {
	case l.logLines <- func() { slog.Log(l.ctx, level, text, args...) }:
	default:
	}
}

// writeLog writes the loop's log lines. The loop does not write itself: a log that
// nobody reads blocks its writer, and every request with it.
func (l *eventLoop) writeLog() {
	for {
		select {
		case line := <-l.logLines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}

// hashString is FNV-1a, never 0: the same at every agent, which maphash is not.
func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	if v := h.Sum64(); v != 0 {
		return v
	}
	return 1
}
