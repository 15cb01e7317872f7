package rollout

import (
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Status is the state of a rollout for operators. Only the lease holder sets the fields from TimeLeft to
// Verdict.
type Status struct {
	Number     uint64           `json:"number"`
	Phase      Phase            `json:"phase"`
	Paused     bool             `json:"paused"`
	Reason     string           `json:"why,omitempty"` // reason of a pause or a rollback
	Service    string           `json:"service,omitempty"`
	Model      string           `json:"model,omitempty"`
	From       int              `json:"from"`
	To         int              `json:"to"`
	Holder     string           `json:"holder,omitempty"`
	Term       uint64           `json:"term"`
	Version    uint64           `json:"version"`
	OldServers int              `json:"old"`   // number of servers with the old revision
	NewServers int              `json:"new"`   // number of servers with the new revision
	Replaced   int              `json:"moved"` // number of new servers admitted
	Draining   []DrainingServer `json:"out"`
	Ramping    []RampingServer  `json:"in"`
	Replace    []string         `json:"replace"` // IDs of the servers that the platform is to drain and replace

	HoldsLease       bool             `json:"holds"` // the status comes from the lease holder
	TimeLeft         time.Duration    `json:"left"`  // in nanoseconds; negative if unknown
	WaitReasons      []string         `json:"waits,omitempty"`
	WorstShortage    *Shortage        `json:"worst-group,omitempty"`
	ReplicaHistogram ReplicaHistogram `json:"groups"`
	Verdict          Verdict          `json:"verdict"`
	History          []Summary        `json:"past,omitempty"`
}

// Status returns the state that any agent can derive from the record and its own list of servers.
func (r *Record) Status(servers []Server) Status {
	s := Status{
		Number:   r.Number,
		Phase:    r.Phase,
		Paused:   r.Paused,
		Reason:   r.Reason,
		Service:  r.Spec.Service,
		Model:    r.Spec.Model,
		From:     r.Spec.From,
		To:       r.Spec.To,
		Holder:   r.Holder,
		Term:     r.Term,
		Version:  r.Version,
		Replaced: r.Replaced,
		Draining: r.Draining,
		Ramping:  r.Ramping,
		TimeLeft: -1,
		History:  r.History,
	}
	for _, d := range r.Draining {
		if d.Step == DrainReplacing {
			s.Replace = append(s.Replace, d.ID)
		}
	}
	for i := range servers {
		switch server := &servers[i]; {
		case server.State > registry.Expired:
		case server.Revision == r.Spec.To:
			s.NewServers++
		case server.Revision == r.Spec.From:
			s.OldServers++
		}
	}
	return s
}

// Status returns the record's status with what the lease holder knows as of its last Reconcile.
func (c *Controller) Status(now time.Duration, record *Record, observation *Observation) Status {
	s := record.Status(observation.Servers)
	s.HoldsLease, s.WaitReasons, s.Verdict = true, slices.Clone(c.waitReasons), c.verdict
	if c.worstShortage.Group != "" {
		worst := c.worstShortage
		s.WorstShortage = &worst
	}
	if observation.Reports != nil {
		s.ReplicaHistogram = observation.Reports.Replicas.Histogram()
	}
	remaining := s.OldServers
	if record.Phase == PhaseRollback {
		remaining = s.NewServers
	}
	switch replaced := record.Replaced - c.replacedAtStart; {
	case !record.Active():
		s.TimeLeft = 0
	case replaced > 0 && !record.Paused && c.number == record.Number:
		perServer := (now - c.startedAt) / time.Duration(replaced)
		s.TimeLeft = perServer * time.Duration(remaining+len(record.Ramping))
	}
	return s
}

// String describes the status in one line.
func (s *Status) String() string {
	if s.Number == 0 {
		return "there was no rollout yet"
	}
	line := fmt.Sprintf("rollout %d of %s, model %s from %d to %d: %s, %d servers new, %d old",
		s.Number, s.Service, s.Model, s.From, s.To, s.Phase, s.NewServers, s.OldServers)
	if s.Paused {
		line += ", paused"
	}
	if s.Reason != "" {
		line += " (" + s.Reason + ")"
	}
	if s.TimeLeft > 0 {
		line += fmt.Sprintf(", about %v left", s.TimeLeft.Round(time.Second))
	}
	return line
}
