package requesthistory

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// streamChunks is the number of chunks of a complete stream.
const streamChunks = 2

// revisions is the number of revisions of the model. They are numbered from 1.
const revisions = 2

// request models a request with its agent, its client and the servers that it is sent to. The agent may
// do whatever the history allows; the servers do what they announce.
type request struct {
	ignored           []error // rules that the agent breaks, so that the model checker must find a violation
	history           History
	remainingAttempts int
	current           *attempt
	abandoned         int // number of attempts that nobody awaits and that may still run
	runs              int // number of attempts that have run
	forwarded         []chunk
	end               Event
	ended             bool
	violation         error // of an invariant
}

type attempt struct {
	revision  int   // the server's revision
	unnamed   bool  // the server does not name its revision
	changed   bool  // the server's revision has changed since the server last named it
	lastChunk int64 // ID of the last chunk forwarded, also by earlier attempts
	ran       bool
	started   bool // the agent has received the header
}

type chunk struct {
	id       int64
	revision int
}

// apply has the agent apply an event, if the history allows it or the rule that forbids it is ignored.
// It reports whether the event was applied.
func (r *request) apply(event Event, detail Detail) bool {
	err := r.history.Apply(event, detail)
	if err == nil {
		return true
	}
	isRule := func(rule error) bool { return errors.Is(err, rule) }
	if r.history.Ended() || !slices.ContainsFunc(r.ignored, isRule) {
		return false
	}
	switch event {
	case AttemptSent:
		r.history.state = stateSent
	case ResponseStarted:
		r.history.state = stateResponding
	case ChunkForwarded:
		r.history.chunks++
		r.history.nextChunk = detail.ID + 1
	case AttemptFailed, AttemptMigrated:
		r.history.state, r.history.mayHaveRun = stateBetween, true
	default:
		r.history.state = stateEnded
	}
	return true
}

// allows reports whether the agent can apply an event, without applying it.
func (r *request) allows(event Event, detail Detail) bool {
	return r.Clone().apply(event, detail)
}

// steps returns all steps that are possible next. A trace identifies them by their order.
func (r *request) steps() (steps []func()) {
	if r.abandoned > 0 {
		steps = append(steps, func() { r.abandoned--; r.run() })
	}
	if r.ended {
		return steps
	}
	for _, event := range []Event{Rejected, Failed, Truncated, ClientLeft} {
		steps = append(steps, r.endSteps(event)...)
	}
	if r.current == nil {
		return append(steps, r.sendSteps()...)
	}
	steps = append(steps, r.serverSteps()...)
	steps = append(steps, r.failSteps()...)
	return append(steps, r.responseSteps()...)
}

// endSteps returns the step that ends the request by an event, if it is allowed.
func (r *request) endSteps(event Event) (steps []func()) {
	if !r.allows(event, Detail{}) {
		return nil
	}
	return append(steps, func() {
		r.apply(event, Detail{})
		r.ended, r.end = true, event
		if r.current != nil && !r.current.ran {
			r.abandoned++ // it was in flight
		}
	})
}

// sendSteps returns the steps that send an attempt, with any resume point and expected revision, to any
// server.
func (r *request) sendSteps() (steps []func()) {
	if r.remainingAttempts == 0 {
		return nil
	}
	have := int64(len(r.forwarded))
	for _, after := range []int64{0, have, have - 1, have + 1} {
		for expected := range revisions + 1 {
			detail := Detail{ID: after, Revision: expected}
			if after < 0 || !r.allows(AttemptSent, detail) {
				continue
			}
			for server := range 2 * revisions {
				steps = append(steps, func() {
					r.send(detail, &attempt{
						revision:  server%revisions + 1,
						lastChunk: after,
						unnamed:   server >= revisions,
					})
				})
			}
		}
	}
	return steps
}

func (r *request) send(detail Detail, a *attempt) {
	r.apply(AttemptSent, detail)
	r.remainingAttempts--
	r.current = a
	if detail.Revision != 0 && detail.Revision != a.revision { // 421
		r.rejectAttempt()
	}
}

// rejectAttempt has the server answer that the attempt has not run and never will.
func (r *request) rejectAttempt() {
	r.current = nil
	if !r.apply(AttemptNotRun, Detail{}) {
		r.violation = fmt.Errorf("the history refuses a server's answer that the attempt has not run")
	}
}

// serverSteps returns the steps of a server that has not run the attempt yet.
func (r *request) serverSteps() (steps []func()) {
	a := r.current
	if a.ran {
		return nil
	}
	return append(steps,
		r.rejectAttempt, // the server is full
		func() { a.ran = true; r.run() })
}

// failSteps returns the steps that interrupt the attempt: by a reset, a time-out or the agent itself.
func (r *request) failSteps() (steps []func()) {
	a := r.current
	for _, event := range []Event{AttemptFailed, AttemptMigrated} {
		if !r.allows(event, Detail{}) {
			continue
		}
		steps = append(steps, func() {
			r.apply(event, Detail{})
			if !a.ran {
				r.abandoned++
			}
			r.current = nil
		})
	}
	return steps
}

// responseSteps returns the steps of the response after the attempt has run.
func (r *request) responseSteps() (steps []func()) {
	a := r.current
	switch {
	case a.ran && !a.started:
		var detail Detail
		if !a.unnamed {
			detail.Revision = a.revision
		}
		if r.allows(ResponseStarted, detail) {
			steps = append(steps, func() { r.apply(ResponseStarted, detail); a.started = true })
		}
	case a.started && a.lastChunk < streamChunks:
		detail := Detail{ID: a.lastChunk + 1}
		if a.changed {
			detail.Revision = a.revision
		}
		if r.allows(ChunkForwarded, detail) {
			steps = append(steps, func() { r.forward(detail) })
		}
		// The server loads other weights while it responds.
		steps = append(steps, func() { a.revision, a.changed = revisions+1-a.revision, true })
	case a.started:
		steps = r.endSteps(Completed)
	}
	return steps
}

func (r *request) forward(detail Detail) {
	r.apply(ChunkForwarded, detail)
	r.current.lastChunk++
	r.current.changed = false
	r.forwarded = append(r.forwarded, chunk{detail.ID, r.current.revision})
}

func (r *request) run() {
	if r.runs++; r.runs > 1 && !r.history.Idempotent {
		r.violation = fmt.Errorf("the request runs twice")
	}
}

// check checks the invariants that a client and the operators rely on.
func (r *request) check() error {
	if r.violation != nil {
		return r.violation
	}
	for i, c := range r.forwarded {
		if c.id != int64(i)+1 {
			return fmt.Errorf("chunk %d is forwarded as number %d", c.id, i+1)
		}
		if c.revision != r.forwarded[0].revision {
			return fmt.Errorf("the stream has chunks of two revisions")
		}
	}
	switch {
	case !r.ended:
	case r.end == Rejected && r.runs > 0:
		return fmt.Errorf("the request is rejected, but has run")
	case r.end == Completed && len(r.forwarded) != streamChunks:
		return fmt.Errorf("the response is complete with %d chunks", len(r.forwarded))
	case (r.end == Rejected || r.end == Failed) && len(r.forwarded) > 0:
		return fmt.Errorf("a second response begins after %d chunks", len(r.forwarded))
	}
	return nil
}

// Steps returns the number of steps that are possible next.
func (r *request) Steps() int { return len(r.steps()) }

// Do takes a step and checks the invariants.
func (r *request) Do(i int) error {
	r.steps()[i]()
	return r.check()
}

// Clone returns a copy that shares nothing that changes.
func (r *request) Clone() *request {
	c := *r
	c.forwarded = slices.Clone(r.forwarded)
	if r.current != nil {
		current := *r.current
		c.current = &current
	}
	return &c
}

// Hash returns a hash that is equal for states with the same possible futures.
func (r *request) Hash() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, r.history, r.remainingAttempts, r.abandoned, min(r.runs, 2), r.forwarded, r.end, r.ended)
	if r.current != nil {
		fmt.Fprint(f, *r.current)
	}
	return f.Sum64()
}

// The kinds of requests for which the model checker searches all histories.
var (
	plain      = History{Versioned: true}
	idempotent = History{Idempotent: true, Versioned: true}
	resumable  = History{Idempotent: true, Resumable: true, Versioned: true}
)

const (
	maxAttempts = 3
	// maxSchedules is more than the number of schedules of any of the models.
	maxSchedules = 500_000
)

// Whatever servers do, and whatever an agent does that the history allows, a request that is not
// idempotent does not run twice, a rejected request has not run, and a stream is complete, in order and
// of one revision.
func TestAllHistoriesKeepThePromises(t *testing.T) {
	for name, history := range map[string]History{"plain": plain, "idempotent": idempotent, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			result := interleave.Search(&request{history: history, remainingAttempts: maxAttempts}, maxSchedules)
			t.Log(result)
			if result.Err != nil || !result.Exhausted {
				t.Error(result)
			}
		})
	}
}

// If the agent ignores any of these rules, the model checker finds a broken promise. Two more rules only
// guard against servers that do not do as requested, which the model does not have.
func TestModelCheckerFindsEachMissingRule(t *testing.T) {
	for name, c := range map[string]struct {
		history History
		ignored []error
	}{
		"runs twice":           {plain, []error{ErrRunsTwice, ErrMigrationRunsTwice}},
		"not resumable":        {idempotent, []error{ErrNotResumable}},
		"wrong resume point":   {resumable, []error{ErrWrongResumePoint}},
		"no expected revision": {resumable, []error{ErrNoExpectedRevision}},
		"other expectation":    {resumable, []error{ErrOtherExpectation}},
		"other revision":       {plain, []error{ErrChunkOtherRevision}},
		"may have run":         {plain, []error{ErrRunsTwice, ErrMayHaveRun}},
		"may run":              {plain, []error{ErrMayRun}},
		"chunks forwarded":     {plain, []error{ErrNotResumable, ErrChunksForwarded}},
	} {
		t.Run(name, func(t *testing.T) {
			result := interleave.Search(&request{
				history:           c.history,
				remainingAttempts: maxAttempts,
				ignored:           c.ignored,
			}, maxSchedules)
			if result.Err == nil {
				t.Fatalf("no violation found: %v", result)
			}
			t.Log(result)
		})
	}
}
