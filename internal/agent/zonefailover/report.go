package zonefailover

import (
	"fmt"
)

// Health is the state of a zone as one agent observes it.
type Health uint8

// String returns the name used in logs.
func (v Health) String() string { return [...]string{"unknown", "good", "bad"}[v] }

// The health states.
const (
	Unknown Health = iota // the recent attempts show neither of the other states
	Healthy
	Unhealthy
)

// ZoneReport summarizes one agent's recent attempts at the hosts of a zone.
type ZoneReport struct {
	Zone               string
	Weight             float64 // total weight of the zone's listed hosts
	Observed           int     // hosts with recent attempts
	Unhealthy          int     // observed hosts that are unhealthy
	WithFailures       int     // observed hosts with at least one failed attempt
	Attempts           int     // recent attempts at all of its hosts
	Failures           int     // attempts that failed, were not answered or were slow
	Utilization        float64 // mean utilization that the hosts reported in the last health checks
	UtilizationSamples int     // number of these health checks
}

// Health returns the zone's health as the attempts show it.
func (s *ZoneReport) Health() Health {
	unhealthyFraction, failedFraction := float64(s.Unhealthy)/float64(max(s.Observed, 1)),
		float64(s.Failures)/float64(max(s.Attempts, 1))
	switch {
	case s.Observed >= minObserved && (unhealthyFraction >= unhealthyThreshold ||
		s.Attempts >= minAttempts && failedFraction >= failureThreshold && 2*s.WithFailures >= s.Observed):
		return Unhealthy
	case s.Observed > 0 && unhealthyFraction <= healthyThreshold && failedFraction <= maxHealthyFailures:
		return Healthy
	}
	return Unknown
}

// Report contains one agent's observations of all zones. It replaces the agent's report before. It is encoded as
// an array, so the order of the fields is part of the protocol.
type Report struct {
	Version     int
	Agent       string
	Site        string // zone of the agent
	Incarnation uint64 // identifies the run of the agent's process
	Seq         uint64 // sequence number within the incarnation
	Region      string
	Rate        float64 // attempts per second for the agent's clients
	Zones       []ZoneReport
}

// SeesAllUnhealthy reports whether the agent sees at least two zones unhealthy and none healthy. Then the cause is
// more likely the agent itself, and its report is ignored.
func (r *Report) SeesAllUnhealthy() bool {
	unhealthy := 0
	for i := range r.Zones {
		switch r.Zones[i].Health() {
		case Healthy:
			return false
		case Unhealthy:
			unhealthy++
		}
	}
	return unhealthy > 1
}

// Validate returns an error that names the first invalid field of a report from another process.
func (r *Report) Validate() error {
	switch {
	case r.Version != Version:
		return fmt.Errorf("report: version: %d, want %d", r.Version, Version)
	case r.Agent == "" || len(r.Agent) > 2*maxNameLength || r.Site == "" || len(r.Site) > maxNameLength:
		return fmt.Errorf("report: agent and site: invalid name lengths of %d and %d bytes", len(r.Agent), len(r.Site))
	case len(r.Region) > maxNameLength || !(r.Rate >= 0) || r.Rate > maxRate:
		return fmt.Errorf("report: region and rate: name length of %d bytes, rate %v", len(r.Region), r.Rate)
	case len(r.Zones) > MaxZones:
		return fmt.Errorf("report: zones: %d, at most %d are allowed", len(r.Zones), MaxZones)
	}
	for i, z := range r.Zones {
		if z.Zone == "" || len(z.Zone) > maxNameLength || z.Observed < 0 || z.Unhealthy < 0 ||
			z.Unhealthy > z.Observed || z.Failures < 0 || z.Failures > z.Attempts || z.WithFailures < 0 ||
			z.WithFailures > z.Observed || !(z.Weight >= 0) || !(z.Utilization >= 0) ||
			z.Utilization > maxUtilization || z.UtilizationSamples < 0 || z.UtilizationSamples > maxReports {
			return fmt.Errorf("report: zones[%d]: invalid values for %q with weight %v and %d of %d hosts unhealthy",
				i, z.Zone, z.Weight, z.Unhealthy, z.Observed)
		}
	}
	return nil
}

// Version is the version of reports and tables. Other versions are rejected.
const Version = 1

const (
	// minObserved is the number of hosts that an agent must have observed to classify a zone as unhealthy. The
	// zone is unhealthy if at least the fraction unhealthyThreshold of the observed hosts is unhealthy. It can be
	// healthy only if at most the fraction healthyThreshold is.
	minObserved                          = 2
	unhealthyThreshold, healthyThreshold = 0.6, 0.3
	// A zone is also unhealthy if at least half of the observed hosts had a failed attempt and at least the
	// fraction failureThreshold of all attempts failed, out of at least minAttempts. This holds even if the
	// last attempt at most hosts succeeded. A zone can be healthy only if at most the fraction
	// maxHealthyFailures of the attempts failed.
	minAttempts, failureThreshold, maxHealthyFailures = 8, 0.25, 0.15
	// MaxZones bounds the number of zones of a fleet, maxNameLength the length of a name in bytes, and
	// maxReports the number of agents that report.
	MaxZones, maxNameLength, maxReports = 16, 64, 4096
	// maxRate and maxUtilization bound the values of a report.
	maxRate, maxUtilization = 1e6, 4.0
)
