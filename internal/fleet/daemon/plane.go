package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// controlBackend is what the calls of servers and operators act on.
type controlBackend struct{ daemon *Daemon }

func (p *controlBackend) Heartbeat(ctx context.Context, b *controlapi.Heartbeat) (controlapi.HeartbeatResponse, error) {
	in := &registry.Instance{ID: b.ID, Service: b.Service, Addr: b.Address, Zone: b.Zone, Revision: string(b.Revision), Slots: b.Slots,
		Seq: b.Sequence, WarmUp: time.Duration(b.WarmupMs * float64(time.Millisecond))}
	if b.State == controlapi.StateDraining {
		in.State = registry.Draining
	}
	for _, m := range b.Models {
		in.Models = append(in.Models, registry.Model{Name: m.Name, Revision: m.Revision})
	}
	if !p.daemon.relay.Heartbeat(ctx, in) {
		return controlapi.HeartbeatResponse{}, apierror.New(apierror.Unavailable, "beat", "call another agent", "no hub has taken it")
	}
	return controlapi.HeartbeatResponse{NextTarget: p.heartbeatTarget()}, nil
}

// heartbeatTarget is where servers are to beat from now on: elsewhere, if this process is ending.
func (p *controlBackend) heartbeatTarget() string {
	if !p.daemon.draining.Load() {
		return ""
	}
	others := p.daemon.relay.OtherMembers(false)
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))].ControlAddr
}

func (p *controlBackend) Deregister(ctx context.Context, id string, _ uint64) error {
	if !p.daemon.relay.Deregister(ctx, id) {
		return apierror.New(apierror.Unavailable, "leave", "call another agent", "no hub has taken it")
	}
	return nil
}

func (p *controlBackend) Submit(ctx context.Context, patch bool, ifMatch int64, body []byte) controlapi.SubmitResult {
	v := p.daemon.core.Submit(ctx, &chain.Update{Patch: patch, IfMatch: ifMatch, Body: body})
	kind := controlapi.OutcomeUnknown
	switch v.Outcome {
	case chain.OutcomeCommitted:
		kind = controlapi.OutcomeCommitted
	case chain.OutcomeConflict:
		kind = controlapi.OutcomeConflict
	case chain.OutcomeInvalid:
		kind = controlapi.OutcomeInvalid
	}
	return controlapi.SubmitResult{Outcome: kind, Revision: v.Revision, Reason: v.Reason}
}

func (p *controlBackend) Config(ctx context.Context) ([]byte, bool, error) {
	v, err := p.daemon.core.Read(ctx)
	return v.Body, v.Seq > 0, err
}

func (p *controlBackend) Inspect(_ context.Context, what string) (any, error) {
	r := p.daemon.relay.Report()
	switch what {
	case "members":
		return map[string]any{"source": r.Source, "members": r.Members, "sessions": r.Sessions}, nil
	case "servers":
		return map[string]any{"servers": r.Servers, "health": p.daemon.gateway.ServerStatuses()}, nil
	case "view":
		return p.daemon.core.Status(), nil
	case "figures":
		return p.daemon.gateway.Counters.Values(), nil
	default:
		s := p.daemon.settings.Load()
		return map[string]any{"node": s.Name, "zone": s.Zone, "disk": s.HasDisk(), "fresh": r.Synced, "able": p.daemon.gateway.Servable(),
			"ending": p.daemon.draining.Load(), "config-seq": r.ConfigSeq, "revision": r.Revision, "members": len(r.Members), "servers": len(r.Servers)}, nil
	}
}
