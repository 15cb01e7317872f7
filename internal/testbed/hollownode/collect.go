package hollownode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// collect collects the measurements of all hosts.
func (f *fleet) collect(ctx context.Context, window time.Duration, changes []Change) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	r := &Result{Config: f.cfg, Window: window, ConfigBytes: len(sampling.Config(1, f.cfg.Size)), Calls: Traffic{}, Loss: f.loss, Errors: f.errs}
	for _, d := range f.daemons { // before the hosts collect garbage
		r.Daemons = append(r.Daemons, d.report(ctx))
	}
	hosts := f.hosts()
	reports := make([]*HostReport, len(hosts))
	request := &Request{Do: doReport, Changes: changes, Drains: f.drains}
	if err := ask(ctx, hosts, request, func(i int, reply *Reply) { reports[i] = reply.Report }); err != nil {
		return nil, err
	}
	cores, agents := reports[:len(f.coreHosts)], reports[len(f.coreHosts):]
	ownProcesses := f.cfg.Hosts > 0
	f.addDelays(r, reports, changes)
	f.addTraffic(r, reports)
	f.addAgentUsage(r, agents, ownProcesses)
	for _, h := range cores {
		if ownProcesses {
			r.Startup.CoreCPU += h.Process.CPUBefore / time.Duration(len(cores))
		}
	}
	for _, d := range f.daemons {
		r.Startup.DaemonCPU += d.cpu / time.Duration(len(f.daemons))
	}
	r.Core = f.coreMembers(cores, window.Seconds(), ownProcesses)
	return r, nil
}

// addTraffic adds the traffic of all nodes, and that of a mean agent.
func (f *fleet) addTraffic(r *Result, reports []*HostReport) {
	seconds, before := r.Window.Seconds(), Traffic{}
	for _, h := range reports {
		r.HeartbeatRate += float64(h.Heartbeats) / seconds
		for _, n := range h.Nodes {
			r.Calls.add(n.Traffic)
			before.add(n.TrafficBefore)
			r.LapsedLeases += n.LapsedLeases
		}
	}
	var inWindow, atStart Count
	for _, call := range agentCalls {
		inWindow, atStart = inWindow.plus(r.Calls[call]), atStart.plus(before[call])
	}
	agents := float64(f.cfg.Agents + len(f.daemons))
	r.Agent = Role{Messages: float64(inWindow.Messages()) / seconds / agents, Bytes: float64(inWindow.Bytes()) / seconds / agents}
	r.Startup.Messages, r.Startup.Bytes = float64(atStart.Messages())/agents, float64(atStart.Bytes())/agents
}

// addAgentUsage adds the resource usage of a mean hollow agent. CPU time is known only if the hosts have processes of
// their own.
func (f *fleet) addAgentUsage(r *Result, hosts []*HostReport, ownProcesses bool) {
	agents := int64(f.cfg.Agents)
	for _, h := range hosts {
		usage := h.Process
		r.Agent.Heap += usage.Heap
		r.Agent.Stacks += usage.Stacks
		r.Agent.RSS += usage.RSS
		r.Agent.Peak += usage.Peak
		r.Agent.FDs += usage.FDs
		if ownProcesses {
			r.Agent.CPU += usage.CPU.Seconds() / r.Window.Seconds() / float64(agents)
			r.Startup.AgentCPU += usage.CPUBefore / time.Duration(agents)
		}
	}
	r.Agent.Heap /= agents
	r.Agent.Stacks /= agents
	r.Agent.RSS /= agents
	r.Agent.Peak /= agents
	r.Agent.FDs /= f.cfg.Agents
}

// addDelays adds the delays of the start, of changes and of drains.
func (f *fleet) addDelays(r *Result, reports []*HostReport, changes []Change) {
	var starts, known, restarts []time.Duration
	for _, h := range reports {
		for _, n := range h.Nodes {
			for j, ready := range n.ReadyDelays {
				switch {
				case ready == 0:
				case j == 0 && (f.loss == nil || n.Name != f.loss.Name):
					starts = append(starts, ready)
				case j > 0:
					restarts = append(restarts, ready)
				}
			}
			if n.ServersKnownDelay > 0 && (f.loss == nil || n.Name != f.loss.Name) {
				known = append(known, n.ServersKnownDelay)
			}
		}
	}
	r.ReadyDelays, r.ServersKnown, r.RestartDelays = newDelays(starts), newDelays(known), newDelays(restarts)
	duringLoss := func(c Change) bool { return f.loss != nil && c.AckedAt > f.loss.LostAt && c.SentAt < f.loss.RestoredAt }
	propagationDelays := func(measured []Change, pick func(*HostReport) []Propagation) (all, inLoss Delays) {
		var last, lastInLoss []time.Duration
		missing, missingInLoss := 0, 0
		for i, c := range measured {
			var s Propagation
			for _, h := range reports {
				s = s.plus(pick(h)[i])
			}
			missing += s.Missing
			if s.Nodes > s.Missing {
				last = append(last, max(s.Last-c.AckedAt, 0))
			}
			if duringLoss(c) {
				missingInLoss += s.Missing
				lastInLoss = append(lastInLoss, max(s.Last-c.AckedAt, 0))
			}
		}
		all, inLoss = newDelays(last), newDelays(lastInLoss)
		all.Missing, inLoss.Missing = missing, missingInLoss
		return all, inLoss
	}
	var acks, acksInLoss []time.Duration
	for _, c := range changes {
		acks = append(acks, c.AckedAt-c.SentAt)
		if duringLoss(c) {
			acksInLoss = append(acksInLoss, c.AckedAt-c.SentAt)
		}
	}
	var appliedInLoss, drainsInLoss Delays
	r.AckDelays = newDelays(acks)
	r.AppliedDelays, appliedInLoss = propagationDelays(changes, func(h *HostReport) []Propagation { return h.Changes })
	r.DrainDelays, drainsInLoss = propagationDelays(f.drains, func(h *HostReport) []Propagation { return h.Drains })
	if f.loss != nil {
		f.loss.AckDelays, f.loss.AppliedDelays, f.loss.DrainDelays = newDelays(acksInLoss), appliedInLoss, drainsInLoss
	}
}

// coreMembers are the measurements of the core's machines. Calls are counted by the called node only: a push comes from
// the predecessor in the chain, and the other calls within the core are attributed to its members in equal shares.
func (f *fleet) coreMembers(cores []*HostReport, seconds float64, ownProcesses bool) (all []Member) {
	pushed := map[int]Count{} // by position in the chain
	var others Count          // calls within the core
	agentTraffic := make([]Count, len(cores))
	for i, h := range cores {
		n := h.Nodes[0]
		for call, c := range n.Traffic {
			switch {
			case slices.Contains(agentCalls, call):
				agentTraffic[i] = agentTraffic[i].plus(c)
			case call == pushCall:
				pushed[n.Position] = c
			default:
				others = others.plus(c)
			}
		}
	}
	for i, h := range cores {
		n, p := h.Nodes[0], h.Process
		m := Member{Name: n.Name, Position: positionName(n), Sessions: n.Sessions, Goroutines: p.Goroutines}
		share := 2 / float64(len(cores))
		push := pushed[n.Position].plus(pushed[n.Position+1])
		m.AgentBytes = float64(agentTraffic[i].Bytes()) / seconds
		m.PeerBytes = (share*float64(others.Bytes()) + float64(push.Bytes())) / seconds
		m.Bytes = m.AgentBytes + m.PeerBytes
		m.Messages = (float64(agentTraffic[i].Messages()+push.Messages()) + share*float64(others.Messages())) / seconds
		m.Heap, m.Stacks, m.RSS, m.Peak, m.FDs = p.Heap, p.Stacks, p.RSS, p.Peak, p.FDs
		if ownProcesses {
			m.CPU = p.CPU.Seconds() / seconds
		}
		all = append(all, m)
	}
	return all
}

// positionName is the position of a node in the chain, as it is printed.
func positionName(n NodeReport) string {
	switch {
	case n.Position < 0:
		return "not in the chain"
	case n.Position == 0:
		return LoseHead
	case n.Position == n.ChainLength-1:
		return LoseTail
	}
	return fmt.Sprintf("%s %d", LoseMiddle, n.Position)
}

// agentCalls are the calls from agents to the core.
var agentCalls = []string{sessionCall + fromAgent, "core.view", "core.order", "core.read"}

// pushCall is the call by which the chain replicates.
const pushCall = "core.push"

// newDelays computes statistics; it sorts the durations.
func newDelays(of []time.Duration) Delays {
	if len(of) == 0 {
		return Delays{}
	}
	slices.Sort(of)
	return Delays{N: len(of), P50: of[len(of)/2], Max: of[len(of)-1]}
}
