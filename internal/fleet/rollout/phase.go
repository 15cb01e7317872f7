package rollout

import "encoding/json"

// Phase is the phase of a rollout. Its text is part of the status that operators read.
type Phase uint8

// The phases. A record without any rollout is in PhaseIdle.
const (
	PhaseIdle Phase = iota
	PhaseForward
	PhaseRollback // the servers return to the old revision by the same steps
	PhaseDone
	PhaseRolledBack
)

var phaseNames = [...]string{"idle", "forward", "back", "done", "turned back"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// MarshalJSON encodes the phase as its name.
func (p Phase) MarshalJSON() ([]byte, error) { return json.Marshal(p.String()) }

// The reduced shares of its requests that a server gets while it is being drained or ramped up.
const tenthShare, thirdShare = 0.1, 0.3

// DrainStep is the progress of a server's drain.
type DrainStep uint8

// The steps of a drain, in order. Up to DrainMigrating a server can be returned to service.
const (
	// DrainThird leaves the server 0.3 of its requests, so that its groups get replicas elsewhere.
	DrainThird DrainStep = iota
	// DrainTenth leaves it 0.1 of its requests.
	DrainTenth
	// DrainClosed leaves it no new requests, but not all agents have acknowledged that yet.
	DrainClosed
	// DrainFinishing begins when all agents have acknowledged DrainClosed: streams may finish.
	DrainFinishing
	// DrainMigrating migrates resumable streams, while the others finish.
	DrainMigrating
	// DrainReplacing hands the server, where nothing runs any more, to the platform, which drains it
	// and starts its next incarnation.
	DrainReplacing
)

var drainStepNames = [...]string{"thin", "thinner", "closed", "emptying", "passing", "replacing"}

// String returns the step's name.
func (s DrainStep) String() string { return drainStepNames[min(int(s), len(drainStepNames)-1)] }

// MarshalJSON encodes the step as its name.
func (s DrainStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// share returns the share of its requests that a server gets at the step.
func (s DrainStep) share() float64 { return [...]float64{thirdShare, tenthShare, 0, 0, 0, 0}[s] }

// RampStep is the progress of a new server's ramp.
type RampStep uint8

// The steps of a ramp, in order. After the last one a server has its full share.
const (
	// RampWarming gives the server 0.1 of its sessions, and limits the rate of shared prompts that it
	// has to prefill.
	RampWarming RampStep = iota
	// RampTenth gives it 0.1 of its sessions without that limit.
	RampTenth
	// RampThird gives it 0.3 of its sessions.
	RampThird
)

var rampStepNames = [...]string{"filling", "tenth", "third"}

// String returns the step's name.
func (s RampStep) String() string { return rampStepNames[min(int(s), len(rampStepNames)-1)] }

// MarshalJSON encodes the step as its name.
func (s RampStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// share returns the share of its sessions that a server gets at the step.
func (s RampStep) share() float64 { return [...]float64{tenthShare, tenthShare, thirdShare}[s] }
