package rollout

import "encoding/json"

// Phase is how far a rollout is. Its text is part of the status that operators read.
type Phase uint8

// The phases. PhaseIdle is that of a record without any rollout.
const (
	PhaseIdle Phase = iota
	PhaseForward
	PhaseRollback // the servers return to the old revision by the same steps
	PhaseDone
	PhaseRolledBack
)

var phaseNames = [...]string{"idle", "forward", "back", "done", "turned back"}

// String is the phase's name.
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// MarshalJSON encodes the phase as its name.
func (p Phase) MarshalJSON() ([]byte, error) { return json.Marshal(p.String()) }

// The shares of its requests that a server gets while it is drained or ramped up.
const tenthShare, thirdShare = 0.1, 0.3

// DrainStep is how far a server is drained.
type DrainStep uint8

// The steps of a drain. Up to DrainMigrating a server can be returned to service.
const (
	// DrainThird leaves 0.3 of the requests: the server's groups get replicas elsewhere.
	DrainThird DrainStep = iota
	// DrainTenth leaves 0.1.
	DrainTenth
	// DrainClosed leaves no new requests; not all agents have acknowledged that.
	DrainClosed
	// DrainFinishing: all agents have acknowledged, and streams finish.
	DrainFinishing
	// DrainMigrating: resumable streams are migrated, the others finish.
	DrainMigrating
	// DrainReplacing: nothing runs there. The platform drains the server and starts its next
	// incarnation.
	DrainReplacing
)

var drainStepNames = [...]string{"thin", "thinner", "closed", "emptying", "passing", "replacing"}

// String is the step's name.
func (s DrainStep) String() string { return drainStepNames[min(int(s), len(drainStepNames)-1)] }

// MarshalJSON encodes the step as its name.
func (s DrainStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// share is the part of its requests that a server gets at the step.
func (s DrainStep) share() float64 { return [...]float64{thirdShare, tenthShare, 0, 0, 0, 0}[s] }

// RampStep is how far a new server is ramped up.
type RampStep uint8

// The steps of a ramp; after the last a server has its full share.
const (
	// RampWarming gives 0.1 of the sessions, at a limited rate of prompts that the server has to
	// prefill.
	RampWarming RampStep = iota
	// RampTenth gives 0.1 without that limit.
	RampTenth
	// RampThird gives 0.3.
	RampThird
)

var rampStepNames = [...]string{"filling", "tenth", "third"}

// String is the step's name.
func (s RampStep) String() string { return rampStepNames[min(int(s), len(rampStepNames)-1)] }

// MarshalJSON encodes the step as its name.
func (s RampStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// share is the part of its sessions that a server gets at the step.
func (s RampStep) share() float64 { return [...]float64{tenthShare, tenthShare, thirdShare}[s] }
