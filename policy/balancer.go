package policy

import (
	"math"
	"math/rand/v2"
)

// The tokens of the Balancer's timers.
const (
	maintenanceTimer uint32 = iota + 1 // ejects unresponsive servers and ends expired requests
	watchTimer                         // subscribes to the endpoint list
)

const (
	// minMaintenanceIntervalMs is the shortest interval of the maintenance timer, which is otherwise twice
	// Settings.RoundMs.
	minMaintenanceIntervalMs = 5
	// firstWatchDivisor divides the contract's discovery deadline. Agents that start together spread their
	// first subscriptions over the resulting time.
	firstWatchDivisor = 8
)

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	minLatencyTarget float64 // shortest latency target of all classes, ms
	rng              *rand.Rand
	now              float64  // time of the event that is being handled
	actions          []Action // actions emitted for that event so far
	timerRunning     bool     // whether the maintenance timer is running

	servers      []*server // ordered by address
	serverByAddr map[Addr]*server
	hashRing     []*server // the same servers, ordered by hash
	generation   uint64    // counts changes of the list, health tiers, aperture and overrides
	discovery    discoveryState

	requests  map[RequestID]*request // requests that are unanswered or have an attempt in flight
	pending   []*request             // requests that wait for capacity
	saturated bool                   // no server had capacity for a pending request that may go to any
	inFlight  int                    // number of attempts in flight

	aperture         aperture
	capacity         capacityState
	latency          latencyModel
	mix              trafficMix
	keys             keyPopularity
	admission        admissionState
	sending          sendingState
	probes           probeBudget
	retries          retryBudget
	unservedRequests unservedRequests
	overrides        overrideState

	failureRate          float64 // fraction of all attempts that fail
	meanReportedInFlight float64 // mean of the requests in flight that servers report, per unit of weight
	localWeight          float64 // factor on the weight of servers in this agent's zone

	candidates []*server // scratch space of formTier
	subset     []*server // scratch space of subsetFor
}

// New returns the Balancer of one agent, or an error that names the first invalid setting. All randomness
// of the Balancer comes from the seed.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:         settings,
		minLatencyTarget: math.Inf(1),
		rng:              rand.New(rand.NewPCG(seed, mixBits(seed))),
		serverByAddr:     map[Addr]*server{},
		requests:         map[RequestID]*request{},
		discovery:        discoveryState{lastFetchAt: math.Inf(-1)},
		latency:          newLatencyModel(settings.Classes),
		mix:              newTrafficMix(&settings),
		keys:             keyPopularity{counts: map[uint64]float64{}},
		admission:        newAdmissionState(),
		probes:           probeBudget{tokens: maxProbesInFlight},
		retries:          retryBudget{tokens: retryBudgetMax},
		overrides:        overrideState{reachableShare: 1},
		localWeight:      localWeightMin,
	}
	for i := range settings.Classes {
		b.minLatencyTarget = min(b.minLatencyTarget, settings.Classes[i].LatencyTargetMs)
	}
	return b, nil
}

// Start appends the first actions of a new agent to out and returns it.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.actions = now, out
	if b.settings.Membership == MembershipOnRequest {
		// Agents that start together must not all call discovery at once.
		delay := b.rng.Float64() * b.settings.Contract.DiscoveryDeadlineMs / firstWatchDivisor
		b.emit(Action{Kind: ActionTimer, DurationMs: delay, Token: watchTimer})
	}
	return b.actions
}

// Handle processes one event, appends the resulting actions to out and returns it. Events that refer to
// something unknown or finished are ignored.
func (b *Balancer) Handle(now float64, event *Event, out []Action) []Action {
	b.now, b.actions = now, out
	sanitized := event.sanitized()
	switch sanitized.Kind {
	case EventRequest:
		b.onRequest(sanitized)
	case EventAttemptEnded:
		b.onAttemptEnded(sanitized)
	case EventStreamStarted:
		b.onStreamStarted(sanitized)
	case EventClientGone:
		b.onClientGone(sanitized)
	case EventDiscovery:
		b.onDiscovery(sanitized)
	case EventProbeEnded:
		b.onProbeEnded(sanitized)
	case EventRestore:
		b.restore(sanitized.Snapshot)
	case EventOverrides:
		b.onOverrides(sanitized)
	case EventTimer:
		b.onTimer(sanitized.Token)
	}
	b.dispatch()
	b.startTimer()
	return b.actions
}

// startTimer starts the maintenance timer if requests are pending or in flight and it is not running yet.
func (b *Balancer) startTimer() {
	if !b.timerRunning && (len(b.pending) > 0 || b.inFlight > 0) {
		b.timerRunning = true
		b.emit(Action{Kind: ActionTimer, DurationMs: max(2*b.settings.RoundMs, minMaintenanceIntervalMs),
			Token: maintenanceTimer})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case watchTimer:
		b.emit(Action{Kind: ActionWatch})
	case maintenanceTimer:
		b.timerRunning = false
		b.ejectTimedOut()
		b.expirePending()
	}
}

// emit appends an action.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }
