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
	// maxPast bounds the rollouts that are remembered, maxMoving the servers on their way, maxFull
	// those at their full share.
	maxPast, maxMoving, maxFull = 16, 2 * maxAtOnce, 8192
	recordFormat                = 1
)

// Phase is how far a rollout is.
type Phase uint8

// The phases. Idle is that of a record without any rollout.
const (
	Idle Phase = iota
	Forward
	Back // the servers return to the old revision by the same steps
	Done
	TurnedBack
)

var phaseNames = [...]string{"idle", "forward", "back", "done", "turned back"}

func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// MarshalJSON makes it a word.
func (p Phase) MarshalJSON() ([]byte, error) { return json.Marshal(p.String()) }

// LeaveStep is how far a server is on its way out.
type LeaveStep uint8

// The steps out. Up to Passing a server can be given back.
const (
	Thin      LeaveStep = iota // 0.3 of its requests: its groups get replicas elsewhere
	Thinner                    // 0.1
	Closed                     // no new work; not all agents have told that they obey
	Emptying                   // they have; streams finish
	Passing                    // streams that may be resumed are passed on, the rest finish
	Replacing                  // nothing runs there: the platform drains it and brings the next incarnation
)

var leaveNames = [...]string{"thin", "thinner", "closed", "emptying", "passing", "replacing"}

func (s LeaveStep) String() string { return leaveNames[min(int(s), len(leaveNames)-1)] }

// MarshalJSON makes it a word.
func (s LeaveStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// EnterStep is how far a new server is on its way in.
type EnterStep uint8

// The steps in; after the last a server is in Full.
const (
	Filling EnterStep = iota // 0.1 of its sessions, at a pace of prompts that it has to read
	Tenth                    // 0.1
	Third                    // 0.3
)

var enterNames = [...]string{"filling", "tenth", "third"}

func (s EnterStep) String() string { return enterNames[min(int(s), len(enterNames)-1)] }

// MarshalJSON makes it a word.
func (s EnterStep) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// The shares of what a server would get.
const tenth, third = 0.1, 0.3

func (s LeaveStep) share() float64 { return [...]float64{third, tenth, 0, 0, 0, 0}[s] }
func (s EnterStep) share() float64 { return [...]float64{tenth, tenth, third}[s] }

// Leaving is a server on its way out.
type Leaving struct {
	ID    string    `msgpack:"i" json:"id"`
	Addr  string    `msgpack:"a" json:"addr"`
	Zone  string    `msgpack:"z" json:"zone"`
	Step  LeaveStep `msgpack:"s" json:"step"`
	Since uint64    `msgpack:"v" json:"since"` // the version that brought the step
}

// Entering is a new server on its way in.
type Entering struct {
	ID    string    `msgpack:"i" json:"id"`
	Step  EnterStep `msgpack:"s" json:"step"`
	Since uint64    `msgpack:"v" json:"since"`
}

// Summary is what is remembered of a rollout that is over.
type Summary struct {
	Number  uint64 `msgpack:"n" json:"number"`
	Service string `msgpack:"s" json:"service"`
	Model   string `msgpack:"m" json:"model"`
	From    int    `msgpack:"f" json:"from"`
	To      int    `msgpack:"t" json:"to"`
	Phase   Phase  `msgpack:"p" json:"end"`
	Why     string `msgpack:"w" json:"why,omitempty"`
	Moved   int    `msgpack:"c" json:"moved"`
}

// Record is all that is agreed on. It is immutable once it was written.
type Record struct {
	Version uint64             `msgpack:"v"` // counts the writes
	Term    uint64             `msgpack:"d"` // number of the holder of the duty that wrote first since it took over
	Holder  string             `msgpack:"e"` // who that is, with its address, for operators
	Number  uint64             `msgpack:"n"` // of the newest rollout
	Spec    Spec               `msgpack:"s"`
	Phase   Phase              `msgpack:"p"`
	Paused  bool               `msgpack:"q"`
	Why     string             `msgpack:"w"` // of a pause or a way back
	Begun   bool               `msgpack:"b"` // the holder has taken stock for this phase
	Trusted bool               `msgpack:"u"` // enough requests were compared, and the new revision was fine
	Whole   map[string]float64 `msgpack:"c"` // capacity by region, when it began
	Out     []Leaving          `msgpack:"o"` // by ID
	In      []Entering         `msgpack:"i"` // by ID
	Full    []uint64           `msgpack:"f"` // servers of the target revision at their full share, by hash; sorted
	Moved   int                `msgpack:"m"` // servers that came in as new ones
	Past    []Summary          `msgpack:"h"` // the last maxPast, oldest first
}

// Active tells whether a rollout is under way.
func (r *Record) Active() bool { return r.Phase == Forward || r.Phase == Back }

// target is the revision that servers are moved to. Before the holder has taken stock of a way
// back, all goes on as it was.
func (r *Record) target() int {
	if r.Phase == Back && r.Begun {
		return r.Spec.From
	}
	return r.Spec.To
}

func (r *Record) full(id string) bool {
	_, ok := slices.BinarySearch(r.Full, hashID(id))
	return ok
}

func (r *Record) addFull(id string) {
	h := hashID(id)
	if i, ok := slices.BinarySearch(r.Full, h); !ok && len(r.Full) < maxFull {
		r.Full = slices.Insert(r.Full, i, h)
	}
}

func (r *Record) leaving(id string) *Leaving {
	if i := slices.IndexFunc(r.Out, func(l Leaving) bool { return l.ID == id }); i >= 0 {
		return &r.Out[i]
	}
	return nil
}

func (r *Record) entering(id string) *Entering {
	if i := slices.IndexFunc(r.In, func(e Entering) bool { return e.ID == id }); i >= 0 {
		return &r.In[i]
	}
	return nil
}

// clone shares nothing that a step or an operator changes.
func (r *Record) clone() *Record {
	c := *r
	c.Out, c.In, c.Full, c.Past = slices.Clone(r.Out), slices.Clone(r.In), slices.Clone(r.Full), slices.Clone(r.Past)
	return &c
}

// change is the record that follows, for a writer.
func (r *Record) change() *Record {
	c := r.clone()
	c.Version++
	return c
}

// Check refuses a record that nobody can have written.
func (r *Record) Check() error {
	bad := func(format string, args ...any) error {
		return apierror.New(apierror.Damaged, "rollout", "read it from another machine of the core", "record %d: "+format, append([]any{r.Version}, args...)...)
	}
	switch {
	case r.Phase > TurnedBack || (r.Number == 0) != (r.Phase == Idle):
		return bad("rollout %d in phase %d", r.Number, r.Phase)
	case len(r.Out) > maxMoving || len(r.In) > maxMoving || len(r.Full) > maxFull || len(r.Past) > maxPast || len(r.Why) > maxWhy || len(r.Holder) > maxName:
		return bad("%d out, %d in, %d full, %d past", len(r.Out), len(r.In), len(r.Full), len(r.Past))
	case !slices.IsSorted(r.Full):
		return bad("servers are not in order")
	}
	for i, l := range r.Out {
		if l.ID == "" || l.Step > Replacing || l.Since > r.Version || i > 0 && r.Out[i-1].ID >= l.ID {
			return bad("%.40q on its way out is no proper server", l.ID)
		}
	}
	for i, e := range r.In {
		if e.ID == "" || e.Step > Third || e.Since > r.Version || i > 0 && r.In[i-1].ID >= e.ID || r.leaving(e.ID) != nil {
			return bad("%.40q on its way in is no proper server", e.ID)
		}
	}
	if r.Number > 0 {
		if reasons := r.Spec.reasons(); len(reasons) > 0 {
			return bad("%v", reasons[0])
		}
	}
	return nil
}

// Seize is a new holder's first write: whatever an older one has under way is refused from then on.
// It is r itself where it is there already, and a fault of kind Conflict where a newer one is.
func (r *Record) Seize(term uint64, holder string) (*Record, error) {
	switch {
	case r.Term > term:
		return nil, apierror.New(apierror.Conflict, "term", "hold the duty again first", "term %d is over, %d has begun", term, r.Term)
	case r.Term == term && r.Holder == holder:
		return r, nil
	}
	c := r.change()
	c.Term, c.Holder = term, holder
	return c, nil
}

// settled is the part of a record that seldom changes.
type settled struct {
	Full []uint64  `msgpack:"f"`
	Past []Summary `msgpack:"h"`
}

// Split is the record in two parts for the feed: the second changes for a server now and then, and
// is then sent anew.
func (r *Record) Split() (moving, rest []byte, err error) {
	if rest, err = msgpack.Marshal(settled{r.Full, r.Past}); err != nil {
		return nil, nil, err
	}
	c := *r
	c.Full, c.Past = []uint64{sum(rest)}, nil
	moving, err = msgpack.Marshal(&c)
	return append([]byte{recordFormat}, moving...), rest, err
}

// Join puts the parts together. ok is false while they are of two records: the older one holds on.
func Join(moving, rest []byte) (r *Record, ok bool, err error) {
	if len(moving) == 0 || moving[0] != recordFormat || len(moving)+len(rest) > MaxRecord {
		return nil, false, apierror.New(apierror.Damaged, "rollout", "run the same version on all machines", "a record of %d and %d bytes", len(moving), len(rest))
	}
	r = &Record{}
	if err := msgpack.Unmarshal(moving[1:], r); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Damaged, "rollout", "run the same version on all machines")
	}
	if len(r.Full) != 1 || r.Full[0] != sum(rest) {
		return nil, false, nil
	}
	var s settled
	if err := msgpack.Unmarshal(rest, &s); err != nil {
		return nil, false, apierror.Wrap(err, apierror.Damaged, "rollout", "run the same version on all machines")
	}
	r.Full, r.Past = s.Full, s.Past
	return r, true, r.Check()
}

func sum(b []byte) uint64 { return hashID(string(b)) }

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
		return nil, apierror.New(apierror.Damaged, "rollout", "run the version that wrote it", "format %d, %d bytes", raw[0], len(raw))
	}
	if err := msgpack.Unmarshal(raw[1:], r); err != nil {
		return nil, apierror.Wrap(err, apierror.Damaged, "rollout", "read it from another machine of the core")
	}
	return r, r.Check()
}

// The operator's orders. Each returns the record to write on top of r, or r itself where it says
// already what is asked for: an order that is sent again changes nothing. They are faults of kind
// Conflict where another rollout is in the way, NotFound where there is none of that number.

// Start begins a rollout. One that is under way is never replaced.
func (r *Record) Start(s *Spec) (*Record, error) {
	if r.Active() {
		if reflect.DeepEqual(r.Spec, *s) && r.Phase == Forward {
			return r, nil
		}
		return nil, apierror.New(apierror.Conflict, "rollout", "wait for its end, or abort it and wait for that",
			"rollout %d of %s to %d is under way (%s)", r.Number, r.Spec.Service, r.Spec.To, r.Phase)
	}
	c := r.change()
	c.Number, c.Spec, c.Phase = r.Number+1, *s, Forward
	c.Paused, c.Why, c.Begun, c.Trusted, c.Whole, c.Out, c.In, c.Full, c.Moved = false, "", false, false, nil, nil, nil, nil, 0
	return c, nil
}

// Pause stops what has not been handed to the platform yet: no server is taken, none gets more.
func (r *Record) Pause(number uint64, why string) (*Record, error) {
	if err := r.under(number); err != nil || r.Paused {
		return r, err
	}
	c := r.change()
	c.Paused, c.Why = true, clip(cmp.Or(why, "the operator paused it"))
	return c, nil
}

// Resume goes on.
func (r *Record) Resume(number uint64) (*Record, error) {
	if err := r.under(number); err != nil || !r.Paused {
		return r, err
	}
	c := r.change()
	c.Paused, c.Trusted = false, false
	return c, nil
}

// Abort turns a rollout back. A way back is not aborted: start another rollout after it.
func (r *Record) Abort(number uint64, why string) (*Record, error) {
	if err := r.under(number); err != nil || r.Phase == Back {
		return r, err
	}
	c := r.change()
	c.turn(cmp.Or(why, "the operator aborted it"))
	return c, nil
}

func (r *Record) turn(why string) {
	r.Phase, r.Begun, r.Paused, r.Why = Back, false, false, clip(why)
}

func (r *Record) under(number uint64) error {
	if r.Active() && r.Number == number {
		return nil
	}
	return apierror.New(apierror.NotFound, "number", "see edgectl rollout status", "rollout %d is not under way; the newest is %d, %s", number, r.Number, r.Phase)
}

// end closes a rollout.
func (r *Record) end(p Phase) {
	r.Phase, r.Paused, r.Begun, r.Whole, r.Full = p, false, false, nil, nil
	r.Past = append(r.Past[max(0, len(r.Past)-maxPast+1):len(r.Past):len(r.Past)], Summary{r.Number, r.Spec.Service, r.Spec.Model,
		r.Spec.From, r.Spec.To, p, r.Why, r.Moved})
}

// maxWhy bounds reasons, in bytes.
const maxWhy = 512

func clip(s string) string {
	if len(s) > maxWhy {
		return s[:maxWhy-3] + "..."
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
func (l Leaving) String() string  { return fmt.Sprintf("%s %s", l.ID, l.Step) }
func (e Entering) String() string { return fmt.Sprintf("%s %s", e.ID, e.Step) }
