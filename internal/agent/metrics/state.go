package metrics

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/policy"
)

// stateCollector collects what the agent holds at the moment of a scrape.
type stateCollector struct {
	read    atomic.Pointer[func(context.Context) (agent.Stats, error)] // nil before the agent serves
	servers *prometheus.Desc
	gauges  []gauge
}

type gauge struct {
	desc  *prometheus.Desc
	value func(*agent.Stats) float64
}

func newStateCollector() *stateCollector {
	s := &stateCollector{servers: prometheus.NewDesc("chalkdoor_servers", "Listed servers by state.", []string{"state"}, nil)}
	add := func(name, help string, value func(*agent.Stats) float64) {
		s.gauges = append(s.gauges, gauge{prometheus.NewDesc("chalkdoor_"+name, help, nil, nil), value})
	}
	add("servers_cold", "Listed servers that are not yet warm.", func(x *agent.Stats) float64 { return float64(x.WarmingUp) })
	add("aperture_servers", "Servers that the agent keeps to.", func(x *agent.Stats) float64 { return float64(x.Aperture) })
	add("requests_open", "Requests without a final answer.", func(x *agent.Stats) float64 { return float64(x.OpenRequests) })
	add("requests_held", "Requests that wait for room.", func(x *agent.Stats) float64 { return float64(x.Pending) })
	add("admission_ratio", "Part of the requests for which there is room.", func(x *agent.Stats) float64 { return x.Admission })
	add("shed_ratio", "Part of the requests refused for being served late.", func(x *agent.Stats) float64 { return x.LoadShedding })
	add("demand_servers", "Load were nothing refused, in warm servers of weight one.", func(x *agent.Stats) float64 { return x.Demand })
	add("capacity_servers", "What the listed servers can do, in the same unit.", func(x *agent.Stats) float64 { return x.Capacity })
	add("connections", "Connections to report servers.", func(x *agent.Stats) float64 { return float64(x.Connections) })
	add("connections_idle", "Of them idle.", func(x *agent.Stats) float64 { return float64(x.IdleConnections) })
	add("probes_open", "Probes under way.", func(x *agent.Stats) float64 { return float64(x.ProbesInFlight) })
	add("list_version", "Version of the list of servers.", func(x *agent.Stats) float64 { return float64(x.ListVersion) })
	return s
}

// Describe is of prometheus.Collector.
func (s *stateCollector) Describe(out chan<- *prometheus.Desc) {
	out <- s.servers
	for _, g := range s.gauges {
		out <- g.desc
	}
}

// Collect is of prometheus.Collector. An agent that does not answer in time has no state to
// show, and the counters are served without it.
func (s *stateCollector) Collect(out chan<- prometheus.Metric) {
	read := s.read.Load()
	if read == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	x, err := (*read)(ctx)
	if err != nil {
		return
	}
	for i, n := range x.States {
		out <- prometheus.MustNewConstMetric(s.servers, prometheus.GaugeValue, float64(n), policy.StateNames[i])
	}
	for _, g := range s.gauges {
		out <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.value(&x))
	}
}
