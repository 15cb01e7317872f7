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

// SoakFault is a kind of fault, change or operation that a soak injects.
type SoakFault string

// The faults of agents come first, then what servers and operators do.
const (
	SoakTerminate     SoakFault = "terminate"      // SIGTERM, and a start some time after the end
	SoakKill          SoakFault = "kill"           // SIGKILL, perhaps in the middle of a write, and a start some time later
	SoakPause         SoakFault = "pause"          // SIGSTOP, and SIGCONT some time later
	SoakWipe          SoakFault = "wipe"           // SIGKILL, and a start with an empty disk
	SoakReload        SoakFault = "reload"         // SIGHUP
	SoakExchangeSeeds SoakFault = "exchange-seeds" // other agents become the seeds of all settings
	SoakChangeConfig  SoakFault = "change-config"
	SoakRaceConfig    SoakFault = "race-config" // two changes on one revision at once
	SoakDrainServer   SoakFault = "drain-server"
	SoakCrashServer   SoakFault = "crash-server"
)

// SoakClosing is how a soak ends: all agents are down, and return in any order.
type SoakClosing string

// The closings.
const (
	CloseKillAll   SoakClosing = "kill-all"   // all processes at once
	CloseCoreFirst SoakClosing = "core-first" // the core, and all others a moment later
	CloseWipeOne   SoakClosing = "wipe-one"   // all at once, and the disk of a machine of the core is lost
	CloseSurvivor  SoakClosing = "survivor"   // all at once but an agent outside of the core, which remembers
)

// soakWeights are how often the kinds are drawn.
var soakWeights = []struct {
	fault  SoakFault
	weight int
}{
	{SoakTerminate, 3}, {SoakKill, 3}, {SoakPause, 2}, {SoakWipe, 1}, {SoakReload, 2}, {SoakExchangeSeeds, 2}, {SoakChangeConfig, 4},
	{SoakRaceConfig, 1}, {SoakDrainServer, 2}, {SoakCrashServer, 1},
}

// SoakClosings are all closings.
var SoakClosings = []SoakClosing{CloseKillAll, CloseCoreFirst, CloseWipeOne, CloseSurvivor}

const (
	// minInjectionGap and maxInjectionGap are between two injections.
	minInjectionGap = 100 * time.Millisecond
	maxInjectionGap = 900 * time.Millisecond
	// maxFaultLength bounds how long an agent stays down, or paused.
	maxFaultLength = 2500 * time.Millisecond
	// firstReturn and lastReturn are when the machines start again after the closing.
	firstReturn = 300 * time.Millisecond
	lastReturn  = 2 * time.Second
	// maxTornBytes is the longest part of a record that an interrupted write leaves: less than any complete one.
	maxTornBytes = 40
	// coreFirstLead is how much earlier than all others the core goes down.
	coreFirstLead = 400 * time.Millisecond
)

// Injection is one entry of a soak's series.
type Injection struct {
	Number int
	At     time.Duration // since the start of the series
	Fault  SoakFault
	Agent  int           // index of the agent; -1: none
	Server int           // index of the model server; -1: none
	Length time.Duration // how long the agent is down or paused
	Seeds  []int         // indices of the new seeds
	Torn   int           // bytes of a write that the end of the process interrupts; 0: it interrupts none
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

// SoakPlan is all that a soak injects: it follows from the seed and the options.
type SoakPlan struct {
	Injections []Injection
	Closing    SoakClosing
	ClosingAt  time.Duration
	Wiped      int             // index of the agent whose disk the closing loses; -1: none
	Survivor   int             // index of the agent that the closing spares; -1: none
	Returns    []time.Duration // when each agent starts again, after the closing
	Torn       []int           // as in Injection, of each machine of the core at the closing
}

// SoakOptions are the size of a soak and what is left out of its series.
type SoakOptions struct {
	Series  time.Duration // length of the series
	Until   time.Duration // the closing comes at this time; 0: at the end of the series
	Without []int         // numbers of the injections that are left out
	Rate    float64       // requests per second
}

// validate reports options outside of their bounds.
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

// soakPlanner draws a plan. No two faults of one agent overlap, and of the core one machine at a time
// is in trouble: the settings tolerate no more.
type soakPlanner struct {
	random        *rand.Rand
	cfg           *Config
	agentFreeAt   []time.Duration
	serverFreeAt  []time.Duration
	coreFreeAt    time.Duration
	configFreeAt  time.Duration
	serversBusyAt time.Duration
}

// NewSoakPlan draws the plan of a seed.
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

// drawTorn draws which ends of processes interrupt a write. Its random numbers are its own, so that the rest of a
// seed's plan does not depend on them.
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

// drawFault draws a kind by its weight.
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

// draw draws what is injected at a time; false: what was drawn would lose more than is tolerated.
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

// drawSeeds draws new seeds: of all agents or, as often, of those without a disk, which know nothing of
// the core after a restart.
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

// drawAgent draws the agent of a fault and for how long.
func (p *soakPlanner) drawAgent(drawn *Injection) bool {
	drawn.Agent = p.random.IntN(p.cfg.Agents)
	if drawn.Fault == SoakWipe {
		drawn.Agent = p.random.IntN(p.cfg.Core)
	}
	drawn.Length = p.between(0, maxFaultLength)
	over := drawn.At + drawn.Length
	if drawn.Fault == SoakTerminate {
		over += p.cfg.Bounds.Grace // its end may take so long
	}
	over += p.cfg.Bounds.Stabilization
	isCore := drawn.Agent < p.cfg.Core
	if p.agentFreeAt[drawn.Agent] > drawn.At || isCore && p.coreFreeAt > drawn.At {
		return false
	}
	p.agentFreeAt[drawn.Agent] = over
	if isCore {
		p.coreFreeAt = over
	}
	return true
}

// serverRestart is how long a server that drains or crashes is away at the most.
const serverRestart = 12 * time.Second

// drawServer draws a server that is not away. Of each service most stay.
func (p *soakPlanner) drawServer(drawn *Injection) bool {
	drawn.Server = p.random.IntN(p.cfg.Servers)
	if p.serverFreeAt[drawn.Server] > drawn.At || p.serversBusyAt > drawn.At {
		return false
	}
	p.serverFreeAt[drawn.Server] = drawn.At + serverRestart
	p.serversBusyAt = drawn.At + serverRestart/4
	return true
}

// String lists the plan.
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
