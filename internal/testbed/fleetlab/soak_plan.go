package fleetlab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// SoakFault is a kind of injection of a soak test: a fault, a configuration change or another operation.
type SoakFault string

// The kinds of injections: first those into agents, then configuration changes and those into servers.
const (
	SoakTerminate     SoakFault = "terminate"      // SIGTERM, and a restart some time after the process has ended
	SoakKill          SoakFault = "kill"           // SIGKILL, possibly in the middle of a write, and a restart some time later
	SoakPause         SoakFault = "pause"          // SIGSTOP, and SIGCONT some time later
	SoakWipe          SoakFault = "wipe"           // SIGKILL, and a restart with an empty disk some time later
	SoakReload        SoakFault = "reload"         // SIGHUP, which makes the process reload its settings
	SoakExchangeSeeds SoakFault = "exchange-seeds" // other agents become the seeds in all settings
	SoakChangeConfig  SoakFault = "change-config"
	SoakRaceConfig    SoakFault = "race-config" // two concurrent changes that are based on the same revision
	SoakDrainServer   SoakFault = "drain-server"
	SoakCrashServer   SoakFault = "crash-server"
)

// SoakClosing is how the series of a soak test ends: the processes are ended, and restart in a random order.
type SoakClosing string

// The closings.
const (
	CloseKillAll   SoakClosing = "kill-all"   // all processes at once
	CloseCoreFirst SoakClosing = "core-first" // the core first, and all others a moment later
	CloseWipeOne   SoakClosing = "wipe-one"   // all processes at once, and one core machine loses its disk
	CloseSurvivor  SoakClosing = "survivor"   // all at once, except one outside of the core, which keeps its memory
)

// soakWeights holds the relative frequencies of the kinds of injections.
var soakWeights = []struct {
	fault  SoakFault
	weight int
}{
	{SoakTerminate, 3}, {SoakKill, 3}, {SoakPause, 2}, {SoakWipe, 1}, {SoakReload, 2}, {SoakExchangeSeeds, 2}, {SoakChangeConfig, 4},
	{SoakRaceConfig, 1}, {SoakDrainServer, 2}, {SoakCrashServer, 1},
}

// SoakClosings lists all closings.
var SoakClosings = []SoakClosing{CloseKillAll, CloseCoreFirst, CloseWipeOne, CloseSurvivor}

const (
	// minInjectionGap and maxInjectionGap bound the time between two injections.
	minInjectionGap = 100 * time.Millisecond
	maxInjectionGap = 900 * time.Millisecond
	// maxFaultLength bounds how long an agent stays down or paused.
	maxFaultLength = 2500 * time.Millisecond
	// firstReturn and lastReturn bound the time from the closing to the restart of each agent.
	firstReturn = 300 * time.Millisecond
	lastReturn  = 2 * time.Second
	// maxTornBytes bounds the part of a record that an interrupted write leaves. It is shorter than any complete
	// record.
	maxTornBytes = 40
	// coreFirstLead is the time from the end of the core to the end of all others in CloseCoreFirst.
	coreFirstLead = 400 * time.Millisecond
)

// Injection is one entry of a soak's series.
type Injection struct {
	Number int
	At     time.Duration // since the start of the series
	Fault  SoakFault
	Agent  int           // index of the agent; -1 if the injection concerns none
	Server int           // index of the model server; -1 if the injection concerns none
	Length time.Duration // how long the agent is down or paused
	Seeds  []int         // indices of the agents that become seeds; nil for other injections
	Torn   int           // bytes that a write interrupted by the kill leaves; zero if none is interrupted
}

// String describes the injection for the timeline.
func (i *Injection) String() string {
	text := fmt.Sprintf("#%d %s", i.Number, i.Fault)
	if i.Agent >= 0 {
		text += fmt.Sprintf(" agent %d for %v", i.Agent+1, i.Length)
	}
	if i.Torn > 0 {
		text += fmt.Sprintf(" with %d torn bytes", i.Torn)
	}
	if i.Server >= 0 {
		text += fmt.Sprintf(" server %d", i.Server+1)
	}
	if len(i.Seeds) > 0 {
		text += fmt.Sprintf(" to agents %v", i.Seeds)
	}
	return text
}

// SoakPlan is the series and the closing of a soak test. It depends only on the configuration, its seed and the
// options.
type SoakPlan struct {
	Injections []Injection
	Closing    SoakClosing
	ClosingAt  time.Duration
	Wiped      int             // index of the agent that loses its disk in the closing; -1 if there is none
	Survivor   int             // index of the agent that the closing does not end; -1 if there is none
	Returns    []time.Duration // time from the closing to the restart of each agent
	Torn       []int           // like Injection.Torn, for each core machine at the closing
}

// SoakOptions are the length and the rate of a soak test, and the injections to leave out.
type SoakOptions struct {
	Series  time.Duration // length of the series
	Until   time.Duration // time of the closing; zero means the end of the series
	Without []int         // numbers of the injections to leave out
	Rate    float64       // requests per second
}

// validate returns an error if an option is out of its bounds.
func (o *SoakOptions) validate() error {
	switch {
	case o.Series < time.Second || o.Series > 10*time.Minute:
		return errors.Errorf("series of %v: give 1s to 10m", o.Series)
	case o.Until < 0 || o.Until > o.Series:
		return errors.Errorf("until %v: give 0s to %v, the length of the series", o.Until, o.Series)
	case o.Rate <= 0 || o.Rate > 5000:
		return errors.Errorf("rate of %v: give up to 5000 requests a second", o.Rate)
	}
	return nil
}

// soakPlanner draws a plan. Faults of the same agent do not overlap, and neither do faults of core machines, as the
// settings tolerate the loss of only one machine.
type soakPlanner struct {
	random        *rand.Rand
	cfg           *Config
	agentFreeAt   []time.Duration // when the next fault of each agent may begin
	serverFreeAt  []time.Duration // when each server may be ended again
	coreFreeAt    time.Duration   // when the next fault of a core machine may begin
	configFreeAt  time.Duration   // when the next configuration change may begin
	serversFreeAt time.Duration   // when the next server may be ended
}

// NewSoakPlan draws the plan from the seed of cfg.
func NewSoakPlan(cfg *Config, options *SoakOptions) (*SoakPlan, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	p := &soakPlanner{random: rand.New(rand.NewPCG(cfg.Seed, 11)), cfg: cfg,
		agentFreeAt: make([]time.Duration, cfg.Agents), serverFreeAt: make([]time.Duration, cfg.Servers)}
	plan := &SoakPlan{Closing: SoakClosings[p.random.IntN(len(SoakClosings))], Wiped: -1, Survivor: -1, ClosingAt: cmp.Or(options.Until, options.Series)}
	switch {
	case plan.Closing == CloseWipeOne:
		plan.Wiped = p.random.IntN(cfg.Core)
	case plan.Closing == CloseSurvivor && cfg.Agents > cfg.Core:
		plan.Survivor = cfg.Core + p.random.IntN(cfg.Agents-cfg.Core)
	}
	for range cfg.Agents {
		plan.Returns = append(plan.Returns, p.between(firstReturn, lastReturn))
	}
	for at := p.between(minInjectionGap, maxInjectionGap); at < options.Series; at += p.between(minInjectionGap, maxInjectionGap) {
		injection, ok := p.draw(at)
		if !ok {
			continue
		}
		injection.Number = len(plan.Injections) + 1
		plan.Injections = append(plan.Injections, injection)
	}
	plan.Injections = slices.DeleteFunc(plan.Injections, func(i Injection) bool {
		return i.At >= plan.ClosingAt || slices.Contains(options.Without, i.Number)
	})
	plan.drawTorn(cfg)
	return plan, nil
}

// drawTorn draws which kills interrupt a write. It uses a separate random generator, so that it does not influence the
// rest of the plan.
func (p *SoakPlan) drawTorn(cfg *Config) {
	random := rand.New(rand.NewPCG(cfg.Seed, 12))
	draw := func() int { return max(random.IntN(2*maxTornBytes+1)-maxTornBytes, 0) }
	for i := range p.Injections {
		injection := &p.Injections[i]
		if injection.Fault == SoakKill && injection.Agent < cfg.Core {
			injection.Torn = draw()
		}
	}
	for range cfg.Core {
		p.Torn = append(p.Torn, draw())
	}
}

func (p *soakPlanner) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(p.random.Int64N(int64(to-from)))).Round(time.Millisecond)
}

// drawFault draws the kind of an injection according to soakWeights.
func (p *soakPlanner) drawFault() SoakFault {
	total := 0
	for _, w := range soakWeights {
		total += w.weight
	}
	n := p.random.IntN(total)
	for _, w := range soakWeights {
		if n -= w.weight; n < 0 {
			return w.fault
		}
	}
	return SoakReload
}

// draw draws an injection at a time. It returns false if the drawn injection is not allowed then, because it would
// overlap with another one or exceed the tolerated losses.
func (p *soakPlanner) draw(at time.Duration) (Injection, bool) {
	drawn := Injection{At: at, Fault: p.drawFault(), Agent: -1, Server: -1}
	switch drawn.Fault {
	case SoakTerminate, SoakKill, SoakPause, SoakWipe:
		return drawn, p.drawAgent(&drawn)
	case SoakReload:
		drawn.Agent = p.random.IntN(p.cfg.Agents)
		return drawn, p.agentFreeAt[drawn.Agent] <= at
	case SoakExchangeSeeds:
		drawn.Seeds = p.drawSeeds()
		return drawn, true
	case SoakDrainServer, SoakCrashServer:
		return drawn, p.drawServer(&drawn)
	case SoakChangeConfig, SoakRaceConfig:
		free := p.configFreeAt <= at
		p.configFreeAt = at + minInjectionGap
		return drawn, free
	}
	return drawn, false
}

// drawSeeds draws new seeds, with equal probability from all agents or from those without a disk, which do not know the
// core after a restart.
func (p *soakPlanner) drawSeeds() []int {
	first := p.random.IntN(2) * p.cfg.Core
	if first >= p.cfg.Agents {
		first = 0
	}
	seeds := p.random.Perm(p.cfg.Agents - first)
	for i := range seeds {
		seeds[i] += first
	}
	return seeds[:min(maxSeeds, len(seeds))]
}

// drawAgent draws the agent and the length of a fault. It returns false if a fault is not allowed there yet.
func (p *soakPlanner) drawAgent(drawn *Injection) bool {
	drawn.Agent = p.random.IntN(p.cfg.Agents)
	if drawn.Fault == SoakWipe {
		drawn.Agent = p.random.IntN(p.cfg.Core)
	}
	drawn.Length = p.between(0, maxFaultLength)
	freeAt := drawn.At + drawn.Length
	if drawn.Fault == SoakTerminate {
		freeAt += p.cfg.Bounds.Grace // the shutdown may take that long
	}
	freeAt += p.cfg.Bounds.Stabilization
	isCore := drawn.Agent < p.cfg.Core
	if p.agentFreeAt[drawn.Agent] > drawn.At || isCore && p.coreFreeAt > drawn.At {
		return false
	}
	p.agentFreeAt[drawn.Agent] = freeAt
	if isCore {
		p.coreFreeAt = freeAt
	}
	return true
}

// serverRestart is the longest time from the drain or crash of a server until its next incarnation is registered.
const serverRestart = 12 * time.Second

// drawServer draws the server of an injection. It returns false if that server is still restarting, or if the last
// injection into any server was too recent: most servers of each service have to stay available.
func (p *soakPlanner) drawServer(drawn *Injection) bool {
	drawn.Server = p.random.IntN(p.cfg.Servers)
	if p.serverFreeAt[drawn.Server] > drawn.At || p.serversFreeAt > drawn.At {
		return false
	}
	p.serverFreeAt[drawn.Server] = drawn.At + serverRestart
	p.serversFreeAt = drawn.At + serverRestart/4
	return true
}

// String lists the injections and the closing.
func (p *SoakPlan) String() string {
	var text strings.Builder
	for i := range p.Injections {
		fmt.Fprintf(&text, "%8.3f s  %v\n", p.Injections[i].At.Seconds(), &p.Injections[i])
	}
	fmt.Fprintf(&text, "%8.3f s  closing %s", p.ClosingAt.Seconds(), p.Closing)
	if p.Wiped >= 0 {
		fmt.Fprintf(&text, " of agent %d", p.Wiped+1)
	}
	if p.Survivor >= 0 {
		fmt.Fprintf(&text, " agent %d", p.Survivor+1)
	}
	fmt.Fprintf(&text, ", returns after %v, torn bytes %v\n", p.Returns, p.Torn)
	return text.String()
}
