package zonefailover

import (
	"fmt"
)

// Health is the state of a zone as one agent observes it.
type Health uint8

// String returns the name used in logs.
func (v Health) String() string { return [...]string{"unknown", "good", "bad"}[v] }

// The states.
const (
	Unknown Health = iota // too few recent attempts
	Healthy
	Unhealthy
)

// ZoneReport summarizes one agent's recent attempts at the hosts of a zone.
type ZoneReport struct {
	Zone               string
	Weight             float64 // total weight of the listed hosts
	Observed           int     // hosts with attempts
	Unhealthy          int     // observed hosts that are unhealthy
	WithFailures       int     // observed hosts with at least one failed attempt
	Attempts           int     // attempts at all of them
	Failures           int     // failed, unanswered and slow attempts
	Utilization        float64 // mean utilization that its hosts reported in the last health checks
	UtilizationSamples int     // number of those health checks
}

// Health classifies the zone.
func (s *ZoneReport) Health() Health {
	unhealthyFraction, failedFraction := float64(s.Unhealthy)/float64(max(s.Observed, 1)), float64(s.Failures)/float64(max(s.Attempts, 1))
	switch {
	case s.Observed >= minObserved && (unhealthyFraction >= unhealthyThreshold || s.Attempts >= minAttempts && failedFraction >= failureThreshold && 2*s.WithFailures >= s.Observed):
		return Unhealthy
	case s.Observed > 0 && unhealthyFraction <= healthyThreshold && failedFraction <= maxHealthyFailures:
		return Healthy
	}
	return Unknown
}

// Report is what one agent observes of all zones. Each report replaces the one before. It is encoded
// as an array, so the order of the fields is part of the protocol.
type Report struct {
	Version     int
	Agent       string
	Site        string // zone of the agent
	Incarnation uint64 // identifies the run of its process
	Seq         uint64 // incremented with each report of the incarnation
	Region      string
	Rate        float64 // attempts a second for its clients
	Zones       []ZoneReport
}

// SeesAllUnhealthy reports whether every zone that the agent has attempts in looks unhealthy to it, two
// or more: then the observer itself is more likely at fault, and its report is ignored.
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

// Validate returns an error that names the first invalid field of a report of another process.
func (r *Report) Validate() error {
	switch {
	case r.Version != Version:
		return fmt.Errorf("report: version: %d, this one is %d", r.Version, Version)
	case r.Agent == "" || len(r.Agent) > 2*maxName || r.Site == "" || len(r.Site) > maxName:
		return fmt.Errorf("report: agent and site: names of %d and %d bytes", len(r.Agent), len(r.Site))
	case len(r.Region) > maxName || !(r.Rate >= 0) || r.Rate > maxRate:
		return fmt.Errorf("report: region and rate: a name of %d bytes, %v", len(r.Region), r.Rate)
	case len(r.Zones) > MaxZones:
		return fmt.Errorf("report: zones: %d, at most %d are allowed", len(r.Zones), MaxZones)
	}
	for i, z := range r.Zones {
		if z.Zone == "" || len(z.Zone) > maxName || z.Observed < 0 || z.Unhealthy < 0 || z.Unhealthy > z.Observed || z.Failures < 0 || z.Failures > z.Attempts || z.WithFailures < 0 || z.WithFailures > z.Observed || !(z.Weight >= 0) || !(z.Utilization >= 0) || z.Utilization > maxUtilization || z.UtilizationSamples < 0 || z.UtilizationSamples > maxReports {
			return fmt.Errorf("report: zones[%d]: %q of weight %v, %d of %d bad", i, z.Zone, z.Weight, z.Unhealthy, z.Observed)
		}
	}
	return nil
}

// Version is the version of reports and tables. Other versions are rejected.
const Version = 1

const (
	// minObserved is how many hosts an agent must have attempts at to call a zone unhealthy. It is
	// unhealthy from a fraction of unhealthyThreshold of unhealthy hosts, and healthy up to
	// healthyThreshold.
	minObserved                          = 2
	unhealthyThreshold, healthyThreshold = 0.6, 0.3
	// A zone in which half of the hosts fail some attempts is unhealthy, too, even if the last attempt
	// at most of them succeeded: of at least minAttempts a fraction of failureThreshold must have failed.
	// In a healthy zone at most maxHealthyFailures of the attempts may fail.
	minAttempts, failureThreshold, maxHealthyFailures = 8, 0.25, 0.15
	// MaxZones bounds the zones of a fleet, maxName the length of names in bytes, maxReports the agents
	// that may report.
	MaxZones, maxName, maxReports = 16, 64, 4096
	// maxRate and maxUtilization bound what a report may contain.
	maxRate, maxUtilization = 1e6, 4.0
)
