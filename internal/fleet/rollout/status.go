package rollout

import (
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Status is what an operator is told of a rollout. What only the holder of the duty knows is empty
// where Holds is false.
type Status struct {
	Number     uint64           `json:"number"`
	Phase      Phase            `json:"phase"`
	Paused     bool             `json:"paused"`
	Reason     string           `json:"why,omitempty"`
	Service    string           `json:"service,omitempty"`
	Model      string           `json:"model,omitempty"`
	From       int              `json:"from"`
	To         int              `json:"to"`
	Holder     string           `json:"holder,omitempty"`
	Term       uint64           `json:"term"`
	Version    uint64           `json:"version"`
	OldServers int              `json:"old"` // servers that hold the old revision
	NewServers int              `json:"new"`
	Replaced   int              `json:"moved"`
	Draining   []DrainingServer `json:"out"`
	Ramping    []RampingServer  `json:"in"`
	Replace    []string         `json:"replace"` // servers that the platform is to drain and replace, by id

	HoldsLease       bool          `json:"holds"`
	TimeLeft         time.Duration `json:"left"` // -1: not known
	WaitReasons      []string      `json:"waits,omitempty"`
	WorstShortage    *Shortage     `json:"worst-group,omitempty"`
	ReplicaHistogram [8]int        `json:"groups"` // hash groups by their replicas, the last for that many and more
	Verdict          Verdict       `json:"verdict"`
	History          []Summary     `json:"past,omitempty"`
}

// Status is what any agent can tell of the record and its own list of servers.
func (r *Record) Status(servers []Server) Status {
	s := Status{Number: r.Number, Phase: r.Phase, Paused: r.Paused, Reason: r.Reason, Service: r.Spec.Service, Model: r.Spec.Model, From: r.Spec.From, To: r.Spec.To,
		Holder: r.Holder, Term: r.Term, Version: r.Version, Replaced: r.Replaced, Draining: r.Draining, Ramping: r.Ramping, TimeLeft: -1, History: r.History}
	for _, l := range r.Draining {
		if l.Step == DrainReplacing {
			s.Replace = append(s.Replace, l.ID)
		}
	}
	for i := range servers {
		switch v := &servers[i]; {
		case v.State > registry.Expired:
		case v.Revision == r.Spec.To:
			s.NewServers++
		case v.Revision == r.Spec.From:
			s.OldServers++
		}
	}
	return s
}

// Status adds what the holder knows, as of its last Step.
func (m *Controller) Status(now time.Duration, rec *Record, f *Observation) Status {
	s := rec.Status(f.Servers)
	s.HoldsLease, s.WaitReasons, s.Verdict = true, slices.Clone(m.waitReasons), m.verdict
	if m.worstShortage.Group != "" {
		worst := m.worstShortage
		s.WorstShortage = &worst
	}
	if f.Reports != nil {
		s.ReplicaHistogram = f.Reports.Replicas.Histogram()
	}
	left := s.OldServers
	if rec.Phase == PhaseRollback {
		left = s.NewServers
	}
	switch moved := rec.Replaced - m.replacedAtStart; {
	case !rec.Active():
		s.TimeLeft = 0
	case moved > 0 && !rec.Paused && m.number == rec.Number:
		s.TimeLeft = (now - m.startedAt) / time.Duration(moved) * time.Duration(left+len(rec.Ramping))
	}
	return s
}

// String is a line for people.
func (s *Status) String() string {
	if s.Number == 0 {
		return "there was no rollout yet"
	}
	line := fmt.Sprintf("rollout %d of %s, model %s from %d to %d: %s, %d servers new, %d old", s.Number, s.Service, s.Model, s.From, s.To, s.Phase, s.NewServers, s.OldServers)
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
