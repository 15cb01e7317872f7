package metrics

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/policy"
)

// stateCollector collects the state of the agent at the time of a scrape.
type stateCollector struct {
	read    atomic.Pointer[func(context.Context) (agent.Stats, error)] // nil until the agent has started
	servers *prometheus.Desc
	gauges  []gauge
}

type gauge struct {
	desc  *prometheus.Desc
	value func(*agent.Stats) float64
}

func newStateCollector() *stateCollector {
	s := &stateCollector{
		servers: prometheus.NewDesc("chalkdoor_servers", "Listed servers by state.", []string{"state"}, nil),
	}
	add := func(name, help string, value func(*agent.Stats) float64) {
		s.gauges = append(s.gauges, gauge{prometheus.NewDesc("chalkdoor_"+name, help, nil, nil), value})
	}
	add("servers_cold", "Listed servers that are not yet warm.",
		func(stats *agent.Stats) float64 { return float64(stats.WarmingUp) })
	add("aperture_servers", "Servers that the agent keeps to.",
		func(stats *agent.Stats) float64 { return float64(stats.Aperture) })
	add("requests_open", "Requests without a final answer.",
		func(stats *agent.Stats) float64 { return float64(stats.OpenRequests) })
	add("requests_held", "Requests that wait for room.",
		func(stats *agent.Stats) float64 { return float64(stats.Pending) })
	add("admission_ratio", "Part of the requests for which there is room.",
		func(stats *agent.Stats) float64 { return stats.Admission })
	add("shed_ratio", "Part of the requests refused for being served late.",
		func(stats *agent.Stats) float64 { return stats.LoadShedding })
	add("demand_servers", "Load were nothing refused, in warm servers of weight one.",
		func(stats *agent.Stats) float64 { return stats.Demand })
	add("capacity_servers", "What the listed servers can do, in the same unit.",
		func(stats *agent.Stats) float64 { return stats.Capacity })
	add("connections", "Connections to report servers.",
		func(stats *agent.Stats) float64 { return float64(stats.Connections) })
	add("connections_idle", "Of them idle.",
		func(stats *agent.Stats) float64 { return float64(stats.IdleConnections) })
	add("probes_open", "Probes under way.",
		func(stats *agent.Stats) float64 { return float64(stats.ProbesInFlight) })
	add("list_version", "Version of the list of servers.",
		func(stats *agent.Stats) float64 { return float64(stats.ListVersion) })
	return s
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(out chan<- *prometheus.Desc) {
	out <- s.servers
	for _, g := range s.gauges {
		out <- g.desc
	}
}

// Collect implements prometheus.Collector. If the agent's loop does not answer in time, it collects nothing,
// and only the counters are served.
func (s *stateCollector) Collect(out chan<- prometheus.Metric) {
	read := s.read.Load()
	if read == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	stats, err := (*read)(ctx)
	if err != nil {
		return
	}
	for i, n := range stats.States {
		out <- prometheus.MustNewConstMetric(s.servers, prometheus.GaugeValue, float64(n), policy.StateNames[i])
	}
	for _, g := range s.gauges {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(&stats))
	}
}
