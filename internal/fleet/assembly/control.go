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

// ControlBackend handles the calls of servers and operators. It implements all methods of controlapi.Backend
// except Inspect.
type ControlBackend struct {
	Member *controlplane.Member
	Relay  *relay.Node
	// Draining reports whether this process is shutting down. While it is, servers are directed to another agent.
	Draining func() bool
}

// Heartbeat passes a server's heartbeat to the relay. If it returns an error, the server has to call another
// agent.
func (c *ControlBackend) Heartbeat(
	ctx context.Context, heartbeat *controlapi.Heartbeat,
) (controlapi.HeartbeatResponse, error) {
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

// notAcknowledged returns the error of a call that was rejected or not replicated in time.
func notAcknowledged(call string) error {
	return apierror.New(apierror.Unavailable, call, "call another agent", "it was not acknowledged")
}

// nextTarget returns the control address to which a server should send its next heartbeats. It is the address
// of a random other agent while this process is draining. It is empty, so that the server stays, while this
// process is not draining or if no other agent is known.
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

// Deregister passes the removal of a server to the relay.
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

// outcomeOf converts the outcome of an update from the core's type to the one of the control API.
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
