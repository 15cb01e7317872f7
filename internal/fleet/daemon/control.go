package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// controlBackend serves the calls of servers and operators. It implements controlapi's backend.
type controlBackend struct{ daemon *Daemon }

// Heartbeat passes a server's heartbeat to the relay. The server has to call another agent if it is
// not acknowledged.
func (c *controlBackend) Heartbeat(ctx context.Context, heartbeat *controlapi.Heartbeat) (controlapi.HeartbeatResponse, error) {
	if !c.daemon.relay.Heartbeat(ctx, instanceOf(heartbeat)) {
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
func (c *controlBackend) nextTarget() string {
	if !c.daemon.draining.Load() {
		return ""
	}
	others := c.daemon.relay.OtherMembers(false)
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))].ControlAddr
}

// Deregister passes the end of a server to the relay.
func (c *controlBackend) Deregister(ctx context.Context, id string, _ uint64) error {
	if !c.daemon.relay.Deregister(ctx, id) {
		return notAcknowledged("leave")
	}
	return nil
}

// Submit proposes an operator's update of the configuration to the core.
func (c *controlBackend) Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) controlapi.SubmitResult {
	result := c.daemon.core.Submit(ctx, &chain.Update{Patch: patch, IfMatch: ifMatch, Body: body})
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

// Config reads the newest configuration from the core.
func (c *controlBackend) Config(ctx context.Context) ([]byte, bool, error) {
	newest, err := c.daemon.core.Read(ctx)
	return newest.Body, newest.Seq > 0, err
}

// The resources that operators inspect. Their JSON objects have their keys in alphabetical order.
type (
	membersReport struct {
		Members  []relay.MemberReport  `json:"members"`
		Sessions []relay.SessionReport `json:"sessions"`
		Source   string                `json:"source"`
	}

	serversReport struct {
		Health  []balancer.ServerStatus `json:"health"`
		Servers []registry.View         `json:"servers"`
	}

	statusReport struct {
		Servable  bool   `json:"able"`
		ConfigSeq uint64 `json:"config-seq"`
		HasDisk   bool   `json:"disk"`
		Draining  bool   `json:"ending"`
		Synced    bool   `json:"fresh"`
		Members   int    `json:"members"`
		Node      string `json:"node"`
		Revision  int64  `json:"revision"`
		Servers   int    `json:"servers"`
		Zone      string `json:"zone"`
	}
)

// Inspect returns one of controlapi.Resources.
func (c *controlBackend) Inspect(_ context.Context, resource string) (any, error) {
	report := c.daemon.relay.Report()
	switch resource {
	case "members":
		return membersReport{Members: report.Members, Sessions: report.Sessions, Source: report.Source}, nil
	case "servers":
		return serversReport{Health: c.daemon.gateway.ServerStatuses(), Servers: report.Servers}, nil
	case "view":
		return c.daemon.core.Status(), nil
	case "recovery":
		return c.daemon.recovery.report(), nil
	case "quotas":
		return c.daemon.quotaReport(), nil
	case "figures":
		return c.daemon.gateway.Counters.Values(), nil
	default:
		return c.status(&report), nil
	}
}

// status returns the state of this process.
func (c *controlBackend) status(report *relay.Report) statusReport {
	current := c.daemon.settings.Load()
	return statusReport{
		Servable:  c.daemon.gateway.Servable(),
		ConfigSeq: report.ConfigSeq,
		HasDisk:   current.HasDisk(),
		Draining:  c.daemon.draining.Load(),
		Synced:    report.Synced,
		Members:   len(report.Members),
		Node:      current.Name,
		Revision:  report.Revision,
		Servers:   len(report.Servers),
		Zone:      current.Zone,
	}
}
