package policy

import (
	"math"
	"math/rand/v2"
)

// The tokens of the Balancer's timers.
const (
	maintenanceTimer uint32 = iota + 1 // looks for time-outs and expired requests
	watchTimer                         // subscribes to the endpoint list
)

const (
	// minMaintenanceMs is the shortest interval of the maintenance timer, which otherwise runs every
	// second round.
	minMaintenanceMs = 5
	// firstWatchSpread is the part of the contract's deadline for discovery, as a divisor, over which the
	// first calls of agents that start together are spread.
	firstWatchSpread = 8
)

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	minLatencyTarget float64 // of all classes, ms
	rng              *rand.Rand
	now              float64  // clock of the event that is being handled
	actions          []Action // that it has called for so far
	timerRunning     bool     // the maintenance timer

	servers      []*server // ordered by address
	serverByAddr map[Addr]*server
	hashRing     []*server // the same servers, ordered by hash
	generation   uint64    // counts changes of health tiers and of the list
	discovery    discoveryState

	requests  map[RequestID]*request // until they are answered and no attempt is in flight
	pending   []*request             // those that wait for capacity
	saturated bool                   // a request that would take any server found no capacity
	inFlight  int                    // attempts

	aperture  aperture
	capacity  capacityState
	latency   latencyModel
	mix       trafficMix
	keys      keyPopularity
	admission admissionState
	sending   sendingState
	probes    probeBudget
	retries   retryBudget
	unserved  unservedRequests
	overrides overrideState

	failureRate  float64 // part of all attempts that fail
	meanReported float64 // mean of the reported requests in flight, for weight one
	localWeight  float64 // weight of the own zone's servers, as a multiple

	candidates []*server // scratch space of pickAmong
	subset     []*server // scratch space of subsetFor
}

// New returns the Balancer of one agent, or an error that names the setting that makes no sense. All its
// randomness comes from the seed.
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
		// Agents that start together must not all call at once.
		delay := b.rng.Float64() * b.settings.Contract.DiscoveryDeadlineMs / firstWatchSpread
		b.emit(Action{Kind: ActionTimer, DurationMs: delay, Token: watchTimer})
	}
	return b.actions
}

// Handle takes one event, appends the actions that it calls for to out and returns it. Events for what is
// finished or unknown are ignored.
func (b *Balancer) Handle(now float64, event *Event, out []Action) []Action {
	b.now, b.actions = now, out
	sane := event.sanitized()
	switch sane.Kind {
	case EventRequest:
		b.onRequest(sane)
	case EventAttemptEnded:
		b.onAttemptEnded(sane)
	case EventStreamStarted:
		b.onStreamStarted(sane)
	case EventClientGone:
		b.onClientGone(sane)
	case EventDiscovery:
		b.onDiscovery(sane)
	case EventProbeEnded:
		b.onProbeEnded(sane)
	case EventRestore:
		b.restore(sane.Snapshot)
	case EventOverrides:
		b.onOverrides(sane)
	case EventTimer:
		b.onTimer(sane.Token)
	}
	b.dispatch()
	b.startTimer()
	return b.actions
}

// startTimer runs the maintenance timer while there is something to watch.
func (b *Balancer) startTimer() {
	if !b.timerRunning && (len(b.pending) > 0 || b.inFlight > 0) {
		b.timerRunning = true
		b.emit(Action{Kind: ActionTimer, DurationMs: max(2*b.settings.RoundMs, minMaintenanceMs),
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
