// Package rollout moves the servers of a service to another revision of a model, a few at a time,
// while every prompt group keeps enough replicas, no request waits for it, and each runs as often
// as it would have. It is pure; times are on the steady clock of one process.
//
// All that is agreed on is one Record, kept by the chain and changed by compare-and-set only. It
// says of each server that is on its way out or in which share of its requests it gets. The record
// is the order: it reaches every agent by the feed, as the configuration does, and each agent
// tells by Version which record it obeys. So an order that was given is on disk, one that is not
// was never given, and whoever comes later goes on from there.
//
//	operator ── Start, Pause, Resume, Abort ──▶ Record ◀── Step ── Machine, at the holder of the duty
//	                                             │feed                   ▲ Watch: Groups, Judge, acks
//	                                             ▼                       │ Report, a second apart
//	                                  Rules at every agent ──▶ pick ──▶ Tracker, Meter
//
// The version fences every write: one made on an older record is refused. A new holder's first
// write is its number (Seize), so that nothing the one before it has under way is kept.
//
// Guaranteed:
//   - a server gets no new work once it is handed to the platform, from any agent that holds a
//     lease, and had none of theirs left;
//   - no server is taken while a group that it serves would have fewer replicas than asked for, or
//     the rest no room for the peak and the failures asked for, as far as reports tell;
//   - at most at-once servers are below their full share, those apart that the platform or a fault
//     takes out;
//   - the same record and the same facts give the same step, whoever holds the duty.
package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// MaxRecord is the largest record, in bytes.
	MaxRecord = 256 << 10
	// maxHistory bounds the rollouts that are remembered, maxInTransition the servers on their way, maxFullShare
	// those at their full share.
	maxHistory, maxInTransition, maxFullShare = 16, 2 * maxAtOnce, 8192
	recordFormat                              = 1
)

// Phase is how far a rollout is.
type Phase uint8

// The phases. Idle is that of a record without any rollout.
const (
	PhaseIdle Phase = iota
	PhaseForward
	PhaseRollback // the servers return to the old revision by the same steps
	PhaseDone
	PhaseRolledBack
)

var phaseNames = [...]string{"idle", "forward", "back", "done", "turned back"}

func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// MarshalJSON makes it a word.
func (p Phase) MarshalJSON() ([]byte, error) { return json.Marshal(p.String()) }

// DrainStep is how far a server is on its way out.
type DrainStep uint8

// The steps out. Up to Passing a server can be given back.
const (
	DrainThird     DrainStep = iota // 0.3 of its requests: its groups get replicas elsewhere
	DrainTenth                      // 0.1
	DrainClosed                     // no new work; not all agents have told that they obey
	DrainFinishing                  // they have; streams finish
	DrainMigrating                  // streams that may be resumed are passed on, the rest finish
	DrainReplacing                  // nothing runs there: the platform drains it and brings the next incarnation
)

var drainStepNames = [...]string{"thin", "thinner", "closed", "emptying", "passing", "replacing"}

func (s DrainStep) String() string { return drainStepNames[min(int(s), len(drainStepNames)-1)] }

// MarshalJSON makes it a word.
func (s DrainStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// RampStep is how far a new server is on its way in.
type RampStep uint8

// The steps in; after the last a server is in Full.
const (
	RampWarming RampStep = iota // 0.1 of its sessions, at a pace of prompts that it has to read
	RampTenth                   // 0.1
	RampThird                   // 0.3
)

var rampStepNames = [...]string{"filling", "tenth", "third"}

func (s RampStep) String() string { return rampStepNames[min(int(s), len(rampStepNames)-1)] }

// MarshalJSON makes it a word.
func (s RampStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// The shares of what a server would get.
const tenthShare, thirdShare = 0.1, 0.3

func (s DrainStep) share() float64 { return [...]float64{thirdShare, tenthShare, 0, 0, 0, 0}[s] }
func (s RampStep) share() float64  { return [...]float64{tenthShare, tenthShare, thirdShare}[s] }

// DrainingServer is a server on its way out.
type DrainingServer struct {
	ID    string    `msgpack:"i" json:"id"`
	Addr  string    `msgpack:"a" json:"addr"`
	Zone  string    `msgpack:"z" json:"zone"`
	Step  DrainStep `msgpack:"s" json:"step"`
	Since uint64    `msgpack:"v" json:"since"` // the version that brought the step
}

// RampingServer is a new server on its way in.
type RampingServer struct {
	ID    string   `msgpack:"i" json:"id"`
	Step  RampStep `msgpack:"s" json:"step"`
	Since uint64   `msgpack:"v" json:"since"`
}

// Summary is what is remembered of a rollout that is over.
type Summary struct {
	Number   uint64 `msgpack:"n" json:"number"`
	Service  string `msgpack:"s" json:"service"`
	Model    string `msgpack:"m" json:"model"`
	From     int    `msgpack:"f" json:"from"`
	To       int    `msgpack:"t" json:"to"`
	Phase    Phase  `msgpack:"p" json:"end"`
	Reason   string `msgpack:"w" json:"why,omitempty"`
	Replaced int    `msgpack:"c" json:"moved"`
}

// Record is all that is agreed on. It is immutable once it was written.
type Record struct {
	Version         uint64             `msgpack:"v"` // counts the writes
	Term            uint64             `msgpack:"d"` // number of the holder of the duty that wrote first since it took over
	Holder          string             `msgpack:"e"` // who that is, with its address, for operators
	Number          uint64             `msgpack:"n"` // of the newest rollout
	Spec            Spec               `msgpack:"s"`
	Phase           Phase              `msgpack:"p"`
	Paused          bool               `msgpack:"q"`
	Reason          string             `msgpack:"w"` // of a pause or a way back
	Initialized     bool               `msgpack:"b"` // the holder has taken stock for this phase
	Verified        bool               `msgpack:"u"` // enough requests were compared, and the new revision was fine
	InitialCapacity map[string]float64 `msgpack:"c"` // capacity by region, when it began
	Draining        []DrainingServer   `msgpack:"o"` // by ID
	Ramping         []RampingServer    `msgpack:"i"` // by ID
	FullShare       []uint64           `msgpack:"f"` // servers of the target revision at their full share, by hash; sorted
	Replaced        int                `msgpack:"m"` // servers that came in as new ones
	History         []Summary          `msgpack:"h"` // the last maxHistory, oldest first
}

// Active tells whether a rollout is under way.
func (r *Record) Active() bool { return r.Phase == PhaseForward || r.Phase == PhaseRollback }

// targetRevision is the revision that servers are moved to. Before the holder has taken stock of a way
// back, all goes on as it was.
func (r *Record) targetRevision() int {
	if r.Phase == PhaseRollback && r.Initialized {
		return r.Spec.From
	}
	return r.Spec.To
}

func (r *Record) hasFullShare(id string) bool {
	_, ok := slices.BinarySearch(r.FullShare, hashID(id))
	return ok
}

func (r *Record) addFullShare(id string) {
	h := hashID(id)
	if i, ok := slices.BinarySearch(r.FullShare, h); !ok && len(r.FullShare) < maxFullShare {
		r.FullShare = slices.Insert(r.FullShare, i, h)
	}
}

func (r *Record) draining(id string) *DrainingServer {
	if i := slices.IndexFunc(r.Draining, func(l DrainingServer) bool { return l.ID == id }); i >= 0 {
		return &r.Draining[i]
	}
	return nil
}

func (r *Record) ramping(id string) *RampingServer {
	if i := slices.IndexFunc(r.Ramping, func(e RampingServer) bool { return e.ID == id }); i >= 0 {
		return &r.Ramping[i]
	}
	return nil
}

// clone shares nothing that a step or an operator changes.
func (r *Record) clone() *Record {
	c := *r
	c.Draining, c.Ramping, c.FullShare, c.History = slices.Clone(r.Draining), slices.Clone(r.Ramping), slices.Clone(r.FullShare), slices.Clone(r.History)
	return &c
}

// nextVersion is the record that follows, for a writer.
func (r *Record) nextVersion() *Record {
	c := r.clone()
	c.Version++
	return c
}

// Validate refuses a record that nobody can have written.
func (r *Record) Validate() error {
	bad := func(format string, args ...any) error {
		return apierror.New(apierror.Corrupted, "rollout", "read it from another machine of the core", "record %d: "+format, append([]any{r.Version}, args...)...)
	}
	switch {
	case r.Phase > PhaseRolledBack || (r.Number == 0) != (r.Phase == PhaseIdle):
		return bad("rollout %d in phase %d", r.Number, r.Phase)
	case len(r.Draining) > maxInTransition || len(r.Ramping) > maxInTransition || len(r.FullShare) > maxFullShare || len(r.History) > maxHistory || len(r.Reason) > maxReason || len(r.Holder) > maxName:
		return bad("%d out, %d in, %d full, %d past", len(r.Draining), len(r.Ramping), len(r.FullShare), len(r.History))
	case !slices.IsSorted(r.FullShare):
		return bad("servers are not in order")
	}
	for i, l := range r.Draining {
		if l.ID == "" || l.Step > DrainReplacing || l.Since > r.Version || i > 0 && r.Draining[i-1].ID >= l.ID {
			return bad("%.40q on its way out is no proper server", l.ID)
		}
	}
	for i, e := range r.Ramping {
		if e.ID == "" || e.Step > RampThird || e.Since > r.Version || i > 0 && r.Ramping[i-1].ID >= e.ID || r.draining(e.ID) != nil {
			return bad("%.40q on its way in is no proper server", e.ID)
		}
	}
	if r.Number > 0 {
		if reasons := r.Spec.validationErrors(); len(reasons) > 0 {
			return bad("%v", reasons[0])
		}
	}
	return nil
}

// Claim is a new holder's first write: whatever an older one has under way is refused from then on.
// It is r itself where it is there already, and a fault of kind Conflict where a newer one is.
func (r *Record) Claim(term uint64, holder string) (*Record, error) {
	switch {
	case r.Term > term:
		return nil, apierror.New(apierror.Conflict, "term", "hold the duty again first", "term %d is over, %d has begun", term, r.Term)
	case r.Term == term && r.Holder == holder:
		return r, nil
	}
	c := r.nextVersion()
	c.Term, c.Holder = term, holder
	return c, nil
}

// stablePart is the part of a record that seldom changes.
type stablePart struct {
	FullShare []uint64  `msgpack:"f"`
	History   []Summary `msgpack:"h"`
}

// Split is the record in two parts for the feed: the second changes for a server now and then, and
// is then sent anew.
func (r *Record) Split() (moving, rest []byte, err error) {
	if rest, err = msgpack.Marshal(stablePart{r.FullShare, r.History}); err != nil {
		return nil, nil, err
	}
	c := *r
	c.FullShare, c.History = []uint64{checksum(rest)}, nil
	moving, err = msgpack.Marshal(&c)
	return append([]byte{recordFormat}, moving...), rest, err
}

// Join puts the parts together. ok is false while they are of two records: the older one holds on.
func Join(moving, rest []byte) (r *Record, ok bool, err error) {
	if len(moving) == 0 || moving[0] != recordFormat || len(moving)+len(rest) > MaxRecord {
		return nil, false, apierror.New(apierror.Corrupted, "rollout", "run the same version on all machines", "a record of %d and %d bytes", len(moving), len(rest))
	}
	r = &Record{}
	if err := msgpack.Unmarshal(moving[1:], r); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Corrupted, "rollout", "run the same version on all machines")
	}
	if len(r.FullShare) != 1 || r.FullShare[0] != checksum(rest) {
		return nil, false, nil
	}
	var s stablePart
	if err := msgpack.Unmarshal(rest, &s); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Corrupted, "rollout", "run the same version on all machines")
	}
	r.FullShare, r.History = s.FullShare, s.History
	return r, true, r.Validate()
}

func checksum(b []byte) uint64 { return hashID(string(b)) }

// Encode is the record as the chain keeps it.
func (r *Record) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	if err == nil && len(raw) >= MaxRecord {
		err = apierror.New(apierror.TooLarge, "rollout", "abort it, and move fewer servers of a service at a time", "the record has %d bytes, at most %d are kept", len(raw), MaxRecord)
	}
	return append([]byte{recordFormat}, raw...), err
}

// Decode reads and checks what Encode made; nothing is the record before the first rollout.
func Decode(raw []byte) (*Record, error) {
	r := &Record{}
	if len(raw) == 0 {
		return r, nil
	}
	if raw[0] != recordFormat || len(raw) > MaxRecord {
		return nil, apierror.New(apierror.Corrupted, "rollout", "run the version that wrote it", "format %d, %d bytes", raw[0], len(raw))
	}
	if err := msgpack.Unmarshal(raw[1:], r); err != nil {
		return nil, apierror.Wrap(err, apierror.Corrupted, "rollout", "read it from another machine of the core")
	}
	return r, r.Validate()
}

// The operator's orders. Each returns the record to write on top of r, or r itself where it says
// already what is asked for: an order that is sent again changes nothing. They are faults of kind
// Conflict where another rollout is in the way, NotFound where there is none of that number.

// Start begins a rollout. One that is under way is never replaced.
func (r *Record) Start(s *Spec) (*Record, error) {
	if r.Active() {
		if reflect.DeepEqual(r.Spec, *s) && r.Phase == PhaseForward {
			return r, nil
		}
		return nil, apierror.New(apierror.Conflict, "rollout", "wait for its end, or abort it and wait for that",
			"rollout %d of %s to %d is under way (%s)", r.Number, r.Spec.Service, r.Spec.To, r.Phase)
	}
	c := r.nextVersion()
	c.Number, c.Spec, c.Phase = r.Number+1, *s, PhaseForward
	c.Paused, c.Reason, c.Initialized, c.Verified, c.InitialCapacity, c.Draining, c.Ramping, c.FullShare, c.Replaced = false, "", false, false, nil, nil, nil, nil, 0
	return c, nil
}

// Pause stops what has not been handed to the platform yet: no server is taken, none gets more.
func (r *Record) Pause(number uint64, why string) (*Record, error) {
	if err := r.requireActive(number); err != nil || r.Paused {
		return r, err
	}
	c := r.nextVersion()
	c.Paused, c.Reason = true, truncateReason(cmp.Or(why, "the operator paused it"))
	return c, nil
}

// Resume goes on.
func (r *Record) Resume(number uint64) (*Record, error) {
	if err := r.requireActive(number); err != nil || !r.Paused {
		return r, err
	}
	c := r.nextVersion()
	c.Paused, c.Verified = false, false
	return c, nil
}

// Abort turns a rollout back. A way back is not aborted: start another rollout after it.
func (r *Record) Abort(number uint64, why string) (*Record, error) {
	if err := r.requireActive(number); err != nil || r.Phase == PhaseRollback {
		return r, err
	}
	c := r.nextVersion()
	c.rollBack(cmp.Or(why, "the operator aborted it"))
	return c, nil
}

func (r *Record) rollBack(why string) {
	r.Phase, r.Initialized, r.Paused, r.Reason = PhaseRollback, false, false, truncateReason(why)
}

func (r *Record) requireActive(number uint64) error {
	if r.Active() && r.Number == number {
		return nil
	}
	return apierror.New(apierror.NotFound, "number", "see edgectl rollout status", "rollout %d is not under way; the newest is %d, %s", number, r.Number, r.Phase)
}

// finish closes a rollout.
func (r *Record) finish(p Phase) {
	r.Phase, r.Paused, r.Initialized, r.InitialCapacity, r.FullShare = p, false, false, nil, nil
	r.History = append(r.History[max(0, len(r.History)-maxHistory+1):len(r.History):len(r.History)], Summary{r.Number, r.Spec.Service, r.Spec.Model,
		r.Spec.From, r.Spec.To, p, r.Reason, r.Replaced})
}

// maxReason bounds reasons, in bytes.
const maxReason = 512

func truncateReason(s string) string {
	if len(s) > maxReason {
		return s[:maxReason-3] + "..."
	}
	return s
}

// hashID is the same for an id everywhere.
func hashID(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return inference.Mix64(h)
}

// String is a line about a server.
func (l DrainingServer) String() string { return fmt.Sprintf("%s %s", l.ID, l.Step) }
func (e RampingServer) String() string  { return fmt.Sprintf("%s %s", e.ID, e.Step) }
