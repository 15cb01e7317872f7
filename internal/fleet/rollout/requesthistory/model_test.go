package requesthistory

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// lastChunk is the number of chunks of a complete stream.
const lastChunk = 2

// revisions are the revisions of the model that servers may have, from 1.
const revisions = 2

// request is a request, the servers that it meets and the client, at every moment that matters. The
// agent does whatever its history allows; the servers do what they say.
type request struct {
	ignored      []error // rules that the agent breaks, to verify that the model checker finds it
	history      History
	attemptsLeft int
	current      *attempt
	abandoned    int // attempts that nobody awaits, and that may run yet
	runs         int
	forwarded    []chunk
	end          Event
	ended        bool
	cause        error // the first violation of an invariant
}

type attempt struct {
	revision int   // of the server
	unnamed  bool  // the server does not name its revision
	changed  bool  // the revision has changed since the server named it last
	made     int64 // chunks, with those of earlier attempts
	ran      bool
	started  bool // the header was passed to the agent
}

type chunk struct {
	id       int64
	revision int
}

// apply has the agent do something, if its history allows it or the rule that forbids it is ignored.
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

// allows reports whether the agent can do something, without doing it.
func (r *request) allows(event Event, detail Detail) bool {
	return r.Clone().apply(event, detail)
}

// steps are all that may happen next. Their order identifies them in a trace.
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
	steps = append(steps, r.breakSteps()...)
	return append(steps, r.responseSteps()...)
}

// endSteps end the request by an event.
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

// sendSteps send an attempt from any chunk, with any expectation, to any server.
func (r *request) sendSteps() (steps []func()) {
	if r.attemptsLeft == 0 {
		return nil
	}
	have := int64(len(r.forwarded))
	for _, after := range []int64{0, have, have - 1, have + 1} {
		for expected := range revisions + 1 {
			detail := Detail{ID: after, Version: expected}
			if after < 0 || !r.allows(AttemptSent, detail) {
				continue
			}
			for server := range 2 * revisions {
				steps = append(steps, func() {
					r.send(detail, &attempt{revision: server%revisions + 1, made: after, unnamed: server >= revisions})
				})
			}
		}
	}
	return steps
}

func (r *request) send(detail Detail, a *attempt) {
	r.apply(AttemptSent, detail)
	r.attemptsLeft--
	r.current = a
	if detail.Version != 0 && detail.Version != a.revision { // 421
		r.rejectAttempt()
	}
}

// rejectAttempt has the server say that the attempt has not run and never will.
func (r *request) rejectAttempt() {
	r.current = nil
	if !r.apply(AttemptNotRun, Detail{}) {
		r.cause = fmt.Errorf("a server's word that the attempt has not run is refused")
	}
}

// serverSteps are those of a server before the attempt runs.
func (r *request) serverSteps() (steps []func()) {
	a := r.current
	if a.ran {
		return nil
	}
	return append(steps,
		r.rejectAttempt, // the server is full
		func() { a.ran = true; r.run() })
}

// breakSteps break the attempt: by a reset, a time-out or the agent itself.
func (r *request) breakSteps() (steps []func()) {
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

// responseSteps pass the response on.
func (r *request) responseSteps() (steps []func()) {
	a := r.current
	switch {
	case a.ran && !a.started:
		var detail Detail
		if !a.unnamed {
			detail.Version = a.revision
		}
		if r.allows(ResponseStarted, detail) {
			steps = append(steps, func() { r.apply(ResponseStarted, detail); a.started = true })
		}
	case a.started && a.made < lastChunk:
		detail := Detail{ID: a.made + 1}
		if a.changed {
			detail.Version = a.revision
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
	r.current.made++
	r.current.changed = false
	r.forwarded = append(r.forwarded, chunk{detail.ID, r.current.revision})
}

func (r *request) run() {
	if r.runs++; r.runs > 1 && !r.history.Idempotent {
		r.cause = fmt.Errorf("it runs twice")
	}
}

// check is what a client and the operators see.
func (r *request) check() error {
	if r.cause != nil {
		return r.cause
	}
	for i, c := range r.forwarded {
		if c.id != int64(i)+1 {
			return fmt.Errorf("chunk %d comes as number %d", c.id, i+1)
		}
		if c.revision != r.forwarded[0].revision {
			return fmt.Errorf("chunks of two revisions are joined")
		}
	}
	switch {
	case !r.ended:
	case r.end == Rejected && r.runs > 0:
		return fmt.Errorf("it is rejected, and has run")
	case r.end == Completed && len(r.forwarded) != lastChunk:
		return fmt.Errorf("it is complete with %d chunks", len(r.forwarded))
	case (r.end == Rejected || r.end == Failed) && len(r.forwarded) > 0:
		return fmt.Errorf("a second response begins after %d chunks", len(r.forwarded))
	}
	return nil
}

// Steps is the number of steps that may be next.
func (r *request) Steps() int { return len(r.steps()) }

// Do takes a step and checks the invariants.
func (r *request) Do(i int) error {
	r.steps()[i]()
	return r.check()
}

// Clone shares nothing that changes.
func (r *request) Clone() *request {
	c := *r
	c.forwarded = slices.Clone(r.forwarded)
	if r.current != nil {
		current := *r.current
		c.current = &current
	}
	return &c
}

// Hash is equal for states of equal futures.
func (r *request) Hash() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, r.history, r.attemptsLeft, r.abandoned, min(r.runs, 2), r.forwarded, r.end, r.ended)
	if r.current != nil {
		fmt.Fprint(f, *r.current)
	}
	return f.Sum64()
}

// The kinds of requests that are searched.
var (
	plain      = History{Versioned: true}
	idempotent = History{Idempotent: true, Versioned: true}
	resumable  = History{Idempotent: true, Resumable: true, Versioned: true}
)

const (
	maxAttempts = 3
	// maxSchedules is more than any of the models has.
	maxSchedules = 500_000
)

// Whatever an agent does that its history allows, and whatever servers do, a request that is not
// idempotent does not run twice, a rejected one never ran, and a stream is complete, in order and of
// one revision.
func TestAllHistoriesKeepThePromises(t *testing.T) {
	for name, history := range map[string]History{"plain": plain, "idempotent": idempotent, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			result := interleave.Search(&request{history: history, attemptsLeft: maxAttempts}, maxSchedules)
			t.Log(result)
			if result.Err != nil || !result.Exhausted {
				t.Error(result)
			}
		})
	}
}

// Without any of the rules one of the promises breaks, and the model checker finds how. Two more
// rules stand behind these, against servers that do not do as they were asked.
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
			result := interleave.Search(&request{history: c.history, attemptsLeft: maxAttempts, ignored: c.ignored}, maxSchedules)
			if result.Err == nil {
				t.Fatalf("nothing is found: %v", result)
			}
			t.Log(result)
		})
	}
}
