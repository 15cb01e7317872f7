package rollout

import (
	"fmt"
	"slices"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// maxHistory is the maximum number of rollouts in Record.History.
	maxHistory = 16
	// maxInTransition is the maximum number of draining servers, and of ramping ones.
	maxInTransition = 2 * maxAtOnce
	// maxFullShare is the maximum number of servers in Record.FullShare.
	maxFullShare = 8192
	// maxReason is the maximum length of a reason, in bytes.
	maxReason = 512
)

// DrainingServer is a server that is being drained.
type DrainingServer struct {
	ID    string    `msgpack:"i" json:"id"`
	Addr  string    `msgpack:"a" json:"addr"`
	Zone  string    `msgpack:"z" json:"zone"`
	Step  DrainStep `msgpack:"s" json:"step"`
	Since uint64    `msgpack:"v" json:"since"` // the version that set the step
}

// String returns the server's ID and its step.
func (d DrainingServer) String() string { return fmt.Sprintf("%s %s", d.ID, d.Step) }

// RampingServer is a new server that is being ramped up.
type RampingServer struct {
	ID    string   `msgpack:"i" json:"id"`
	Step  RampStep `msgpack:"s" json:"step"`
	Since uint64   `msgpack:"v" json:"since"` // the version that set the step
}

// String returns the server's ID and its step.
func (s RampingServer) String() string { return fmt.Sprintf("%s %s", s.ID, s.Step) }

// Summary describes a rollout that has ended.
type Summary struct {
	Number   uint64 `msgpack:"n" json:"number"`
	Service  string `msgpack:"s" json:"service"`
	Model    string `msgpack:"m" json:"model"`
	From     int    `msgpack:"f" json:"from"`
	To       int    `msgpack:"t" json:"to"`
	Phase    Phase  `msgpack:"p" json:"end"`
	Reason   string `msgpack:"w" json:"why,omitempty"`
	Replaced int    `msgpack:"c" json:"moved"` // number of new servers admitted
}

// Record is the agreed state of rollouts. It is immutable once it is written.
type Record struct {
	Version uint64 `msgpack:"v"` // number of writes so far
	Term    uint64 `msgpack:"d"` // term of the last lease holder that has written its Claim
	Holder  string `msgpack:"e"` // that lease holder with its address, for operators
	Number  uint64 `msgpack:"n"` // number of the newest rollout; 0 if there was none
	Spec    Spec   `msgpack:"s"`
	Phase   Phase  `msgpack:"p"`
	Paused  bool   `msgpack:"q"`
	Reason  string `msgpack:"w"` // reason of a pause or a rollback
	// Initialized is set once the holder has initialized FullShare and, in PhaseForward,
	// InitialCapacity.
	Initialized bool `msgpack:"b"`
	// Verified is set once the new revision has passed the comparison with the old one.
	Verified        bool               `msgpack:"u"`
	InitialCapacity map[string]float64 `msgpack:"c"` // by region, when the rollout was initialized
	Draining        []DrainingServer   `msgpack:"o"` // sorted by ID
	Ramping         []RampingServer    `msgpack:"i"` // sorted by ID
	FullShare       []uint64           `msgpack:"f"` // sorted hashes of the IDs of servers at full share
	Replaced        int                `msgpack:"m"` // number of new servers admitted, in rollbacks too
	History         []Summary          `msgpack:"h"` // the last maxHistory rollouts that have ended, oldest first
}

// Active reports whether a rollout is in progress.
func (r *Record) Active() bool { return r.Phase == PhaseForward || r.Phase == PhaseRollback }

// targetRevision returns the revision that servers are moved to. It changes only once a rollback is
// initialized.
func (r *Record) targetRevision() int {
	if r.Phase == PhaseRollback && r.Initialized {
		return r.Spec.From
	}
	return r.Spec.To
}

func (r *Record) hasFullShare(id string) bool {
	_, ok := slices.BinarySearch(r.FullShare, inference.HashString(id))
	return ok
}

func (r *Record) addFullShare(id string) {
	hash := inference.HashString(id)
	if i, ok := slices.BinarySearch(r.FullShare, hash); !ok && len(r.FullShare) < maxFullShare {
		r.FullShare = slices.Insert(r.FullShare, i, hash)
	}
}

// draining returns the server's drain, or nil if it is not being drained.
func (r *Record) draining(id string) *DrainingServer {
	if i := slices.IndexFunc(r.Draining, func(d DrainingServer) bool { return d.ID == id }); i >= 0 {
		return &r.Draining[i]
	}
	return nil
}

// ramping returns the server's ramp, or nil if it is not being ramped up.
func (r *Record) ramping(id string) *RampingServer {
	if i := slices.IndexFunc(r.Ramping, func(s RampingServer) bool { return s.ID == id }); i >= 0 {
		return &r.Ramping[i]
	}
	return nil
}

// clone returns a copy that shares nothing that steps or operations change.
func (r *Record) clone() *Record {
	c := *r
	c.Draining, c.Ramping = slices.Clone(r.Draining), slices.Clone(r.Ramping)
	c.FullShare, c.History = slices.Clone(r.FullShare), slices.Clone(r.History)
	return &c
}

// nextVersion returns a copy with the next version, for a writer to change.
func (r *Record) nextVersion() *Record {
	c := r.clone()
	c.Version++
	return c
}

// rollBack begins a rollback to the old revision.
func (r *Record) rollBack(reason string) {
	r.Phase, r.Initialized, r.Paused, r.Reason = PhaseRollback, false, false, truncateReason(reason)
}

// finish ends the rollout in a final phase and adds it to the history.
func (r *Record) finish(phase Phase) {
	r.Phase, r.Paused, r.Initialized, r.InitialCapacity, r.FullShare = phase, false, false, nil, nil
	retained := r.History[max(0, len(r.History)-maxHistory+1):len(r.History):len(r.History)]
	r.History = append(retained, Summary{
		Number:   r.Number,
		Service:  r.Spec.Service,
		Model:    r.Spec.Model,
		From:     r.Spec.From,
		To:       r.Spec.To,
		Phase:    phase,
		Reason:   r.Reason,
		Replaced: r.Replaced,
	})
}

// truncateReason shortens a reason to at most maxReason bytes.
func truncateReason(reason string) string {
	const ellipsis = "..."
	if len(reason) > maxReason {
		return reason[:maxReason-len(ellipsis)] + ellipsis
	}
	return reason
}

// Validate returns an error of kind Corrupted if the record violates an invariant of written records.
func (r *Record) Validate() error {
	switch {
	case r.Phase > PhaseRolledBack || (r.Number == 0) != (r.Phase == PhaseIdle):
		return r.corrupted("rollout %d in phase %d", r.Number, r.Phase)
	case len(r.Draining) > maxInTransition || len(r.Ramping) > maxInTransition || len(r.FullShare) > maxFullShare ||
		len(r.History) > maxHistory || len(r.Reason) > maxReason || len(r.Holder) > maxName:
		return r.corrupted("%d draining, %d ramping, %d at full share, %d past rollouts", len(r.Draining), len(r.Ramping), len(r.FullShare), len(r.History))
	case !slices.IsSorted(r.FullShare):
		return r.corrupted("the servers at full share are not sorted")
	}
	for i, d := range r.Draining {
		if d.ID == "" || d.Step > DrainReplacing || d.Since > r.Version || i > 0 && r.Draining[i-1].ID >= d.ID {
			return r.corrupted("invalid draining server %.40q", d.ID)
		}
	}
	for i, s := range r.Ramping {
		if s.ID == "" || s.Step > RampThird || s.Since > r.Version || i > 0 && r.Ramping[i-1].ID >= s.ID || r.draining(s.ID) != nil {
			return r.corrupted("invalid ramping server %.40q", s.ID)
		}
	}
	if r.Number > 0 {
		if invalid := r.Spec.validationErrors(); len(invalid) > 0 {
			return r.corrupted("%v", invalid[0])
		}
	}
	return nil
}

func (r *Record) corrupted(format string, args ...any) error {
	return apierror.New(apierror.Corrupted, "rollout", "read it from another machine of the core", "record %d: "+format, append([]any{r.Version}, args...)...)
}
