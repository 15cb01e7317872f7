package daemon

import (
	"context"
	"maps"
	"runtime/metrics"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
)

// controlBackend handles the calls of servers and operators. It implements controlapi.Backend.
type controlBackend struct {
	assembly.ControlBackend
	daemon *Daemon
}

// The resources that operators inspect. The keys of their JSON objects are in alphabetical order.
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

// Inspect returns the content of one of controlapi.Resources, as a value to encode as JSON.
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
		return c.figures(), nil
	default:
		return c.status(&report), nil
	}
}

// figures returns the counts of requests, and of what other agents' calls and sessions take.
func (c *controlBackend) figures() map[string]int64 {
	figures := c.daemon.gateway.Counters.Values()
	maps.Copy(figures, c.daemon.peerStats.Values())
	maps.Copy(figures, c.daemon.relay.Figures())
	maps.Copy(figures, memoryFigures())
	return figures
}

// memoryFigures returns what takes memory in this process, in bytes, and its goroutines.
func memoryFigures() map[string]int64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	return map[string]int64{"memory-heap": value(0), "memory-stacks": value(1), "goroutines": value(2)}
}

// status returns the state of this process.
func (c *controlBackend) status(report *relay.Report) statusReport {
	nodeSettings := c.daemon.settings.Load()
	return statusReport{
		Servable:  c.daemon.gateway.Servable(),
		ConfigSeq: report.ConfigSeq,
		HasDisk:   nodeSettings.HasDisk(),
		Draining:  c.daemon.draining.Load(),
		Synced:    report.Synced,
		Members:   len(report.Members),
		Node:      nodeSettings.Name,
		Revision:  report.Revision,
		Servers:   len(report.Servers),
		Zone:      nodeSettings.Zone,
	}
}
