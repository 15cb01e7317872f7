package assembly

import (
	"context"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// ControlBackend carries out the calls of servers and operators. It implements controlapi.Backend but for
// Inspect.
type ControlBackend struct {
	Member *controlplane.Member
	Relay  *relay.Node
	// Draining reports whether this process is about to end: servers are sent to another agent.
	Draining func() bool
}

// Heartbeat passes a server's heartbeat to the relay. The server has to call another agent if it is
// not acknowledged.
func (c *ControlBackend) Heartbeat(ctx context.Context, heartbeat *controlapi.Heartbeat) (controlapi.HeartbeatResponse, error) {
	if !c.Relay.Heartbeat(ctx, instanceOf(heartbeat)) {
		return controlapi.HeartbeatResponse{}, notAcknowledged("beat")
	}
	return controlapi.HeartbeatResponse{NextTarget: c.nextTarget()}, nil
}

// instanceOf returns the instance that a heartbeat describes.
func instanceOf(heartbeat *controlapi.Heartbeat) *registry.Instance {
	instance := &registry.Instance{
		ID:       heartbeat.ID,
		Service:  heartbeat.Service,
		Addr:     heartbeat.Address,
		Zone:     heartbeat.Zone,
		Revision: string(heartbeat.Revision),
		Slots:    heartbeat.Slots,
		Seq:      heartbeat.Sequence,
		WarmUp:   time.Duration(heartbeat.WarmupMs * float64(time.Millisecond)),
	}
	if heartbeat.State == controlapi.StateDraining {
		instance.State = registry.Draining
	}
	for _, model := range heartbeat.Models {
		instance.Models = append(instance.Models, registry.Model{Name: model.Name, Revision: model.Revision})
	}
	return instance
}

// notAcknowledged is the error of a call that was not replicated in time, or not accepted.
func notAcknowledged(call string) error {
	return apierror.New(apierror.Unavailable, call, "call another agent", "it was not acknowledged")
}

// nextTarget is the control address for a server's next heartbeats: that of another agent while this
// process is draining, else empty.
func (c *ControlBackend) nextTarget() string {
	if !c.Draining() {
		return ""
	}
	others := c.Relay.OtherMembers(false)
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))].ControlAddr
}

// Deregister passes the end of a server to the relay.
func (c *ControlBackend) Deregister(ctx context.Context, id string, _ uint64) error {
	if !c.Relay.Deregister(ctx, id) {
		return notAcknowledged("leave")
	}
	return nil
}

// Submit proposes an operator's update of the configuration to the core.
func (c *ControlBackend) Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) controlapi.SubmitResult {
	result := c.Member.Submit(ctx, &chain.Update{Patch: patch, IfMatch: ifMatch, Body: body})
	return controlapi.SubmitResult{Outcome: outcomeOf(result.Outcome), Revision: result.Revision, Reason: result.Reason}
}

// outcomeOf returns the outcome of an update as operators see it.
func outcomeOf(outcome chain.Outcome) controlapi.Outcome {
	switch outcome {
	case chain.OutcomeCommitted:
		return controlapi.OutcomeCommitted
	case chain.OutcomeConflict:
		return controlapi.OutcomeConflict
	case chain.OutcomeInvalid:
		return controlapi.OutcomeInvalid
	default:
		return controlapi.OutcomeUnknown
	}
}

// Config returns the newest configuration that the core has acknowledged.
func (c *ControlBackend) Config(ctx context.Context) ([]byte, bool, error) {
	return readConfig(ctx, c.Member, c.Relay)
}
