package hollownode

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/sampling"
)

// seedCount is the number of machines of the core that are seeds.
const seedCount = 3

// start starts all nodes at once, commits the first configuration and waits until all nodes are ready and know all
// servers.
func (f *fleet) start(ctx context.Context) error {
	plan := HostPlan{HeartbeatInterval: f.cfg.HeartbeatInterval, ToleratedLosses: min(1, (f.cfg.Core-1)/2),
		AllServers: f.cfg.Servers, Services: f.cfg.Size.Services}
	for i := range min(seedCount, f.cfg.Core) {
		plan.Seeds = append(plan.Seeds, f.nodeSpec(i, corePrefix, i).Addr)
	}
	if err := f.startCoreHosts(ctx, plan); err != nil {
		return err
	}
	if err := f.startAgentHosts(ctx, plan); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.askAll(ctx, &Request{Do: doStart, First: true}); err != nil {
		return err
	}
	if err := f.startDaemons(); err != nil {
		return err
	}
	if err := f.submit(ctx, false, sampling.Config(1, f.cfg.Size)); err != nil {
		return errors.Wrap(err, "first configuration")
	}
	if err := f.askAll(ctx, &Request{Do: doReady}); err != nil {
		return err
	}
	for _, d := range f.daemons {
		if err := d.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// nodeSpec describes the machine of an index; number tells it from others with the prefix.
func (f *fleet) nodeSpec(index int, prefix string, number int) NodeSpec {
	return NodeSpec{Name: fmt.Sprintf("%s%d", prefix, number), Addr: fmt.Sprintf("%s:%d", f.subnet.ip(index), peerPort),
		Zone: fmt.Sprintf("zone-%d", number%zones), Region: fmt.Sprintf("region-%d", number%zones%regions)}
}

// startCoreHosts starts a host for each machine of the core.
func (f *fleet) startCoreHosts(ctx context.Context, plan HostPlan) error {
	for i := range f.cfg.Core {
		spec := f.nodeSpec(i, corePrefix, i)
		spec.Dir = filepath.Join(f.cfg.Dir, spec.Name)
		if err := os.MkdirAll(spec.Dir, 0o700); err != nil {
			return errors.Wrap(err, "create the folder of a machine")
		}
		plan.Nodes = []NodeSpec{spec}
		h, err := f.startHost(ctx, spec.Name, plan)
		if err != nil {
			return err
		}
		f.coreHosts = append(f.coreHosts, h)
	}
	return nil
}

// startAgentHosts starts the hosts of the agents, and distributes agents and servers over them.
func (f *fleet) startAgentHosts(ctx context.Context, plan HostPlan) error {
	var agents []NodeSpec
	for i := range f.cfg.Agents {
		agents = append(agents, f.nodeSpec(f.cfg.Core+f.cfg.Real+i, "agent-", i))
	}
	plan.Spread = f.cfg.Spread
	hosts := max(f.cfg.Hosts, 1)
	for i := range hosts {
		plan.Nodes = agents[i*len(agents)/hosts : (i+1)*len(agents)/hosts]
		plan.Servers = nil
		for server := i; server < f.cfg.Servers; server += hosts {
			plan.Servers = append(plan.Servers, server)
		}
		h, err := f.startHost(ctx, fmt.Sprintf("agents-%d", i), plan)
		if err != nil {
			return err
		}
		f.agentHosts, f.nodesPerHost = append(f.agentHosts, h), append(f.nodesPerHost, len(plan.Nodes))
	}
	for server := range f.cfg.Servers {
		f.serverHosts = append(f.serverHosts, server%hosts)
	}
	return nil
}

// startHost starts a host in this process or, with Config.Hosts, in one of its own.
func (f *fleet) startHost(ctx context.Context, name string, plan HostPlan) (host, error) {
	if f.cfg.Hosts == 0 {
		return localHost{NewHost(plan)}, nil
	}
	h, err := startRemoteHost(ctx, f.processes, f.pool, name, f.cfg.Program, f.cfg.Args, f.subnet.controlAddr(len(f.hosts())), f.cfg.Dir, plan)
	if err == nil {
		f.measure(h)
	}
	return h, err
}

// startDaemons starts the real daemons.
func (f *fleet) startDaemons() error {
	var seeds []string
	for i := range min(seedCount, f.cfg.Core) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.subnet.ip(i), controlPort))
	}
	for i := range f.cfg.Real {
		index := f.cfg.Core + i
		spec := f.nodeSpec(index, "edged-", i)
		d, err := startDaemon(f.processes, f.cfg.DaemonProgram, f.cfg.Dir, spec.Name, f.subnet.ip(index), spec.Zone, spec.Region, seeds, f.cfg.HeartbeatInterval)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.measure(d)
	}
	return nil
}
