package balancer

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// statusPromptTokens is the prompt length that ServerStatus.FirstTokenEstimate is given for.
const statusPromptTokens = 1000

// ServerStatus is the agent's view of one server. It is shown to operators and affects no decision.
type ServerStatus struct {
	ID                 string        `json:"ID"`
	Service            string        `json:"Service"`
	Zone               string        `json:"Zone"`
	State              string        `json:"State"`
	TimeInState        time.Duration `json:"InState"`
	TimedOut           bool          `json:"Silent"`   // it was ejected for a time-out and has served no request since
	Ejections          int           `json:"Strikes"`  // recent ejections; each makes the next one longer
	InFlight           int           `json:"InFlight"` // attempts of this agent
	AwaitingFirstToken int           `json:"Unread"`   // attempts of this agent without a first token
	Full               bool          `json:"Full"`     // it rejected a request a moment ago
	SlowStart          bool          `json:"Cold"`
	FirstTokenEstimate time.Duration `json:"Estimate"` // for a prompt of statusPromptTokens without cached tokens
	Load               Load          `json:"Load"`     // as last reported; zero if none was
	LoadAge            time.Duration `json:"LoadAge"`  // time since Load was reported; negative if none was
}

// Snapshot returns the status of all servers, sorted by service and ID.
func (p *Picker) Snapshot(now time.Duration) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(p.servers))
	for _, svc := range p.services {
		for _, s := range svc.servers {
			statuses = append(statuses, s.status(now))
		}
	}
	slices.SortFunc(statuses, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return statuses
}

func (s *server) status(now time.Duration) ServerStatus {
	status := ServerStatus{
		ID:                 s.instance.ID,
		Service:            s.service.name,
		Zone:               s.instance.Zone,
		State:              policy.StateNames[s.State()],
		TimeInState:        now - duration(s.Since()),
		TimedOut:           s.TimedOut(),
		Ejections:          s.Ejections(),
		InFlight:           s.inFlight,
		AwaitingFirstToken: s.inference.OwnPrefills(),
		Full:               now < s.fullUntil,
		SlowStart:          now < s.slowStartUntil,
		LoadAge:            -1,
	}
	status.FirstTokenEstimate, _ = s.inference.EstimateFirstToken(now, nil, statusPromptTokens, 0)
	if load, age, ok := s.inference.Load(now); ok {
		status.Load, status.LoadAge = load, age
	}
	return status
}
