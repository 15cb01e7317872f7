package requesthistory

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// request is a request, the servers that it meets and the client, at every moment that matters. The
// agent does whatever its history allows; what the servers do and say is true.
type request struct {
	lax      string // the refusal that is passed over, to see that the checker finds it
	h        History
	attempts int // that may be sent
	cur      *attempt
	late     int // attempts that nobody waits for, and that may run yet
	runs     int
	got      []piece
	end      Event
	ended    bool
	cause    error
}

type attempt struct {
	version int  // of the server
	mute    bool // it doesn't tell it
	changed bool // since it told it last
	made    int64
	ran     bool
	begun   bool // the head was passed to the agent
}

type piece struct {
	id      int64
	version int
}

const last = 2 // pieces of a whole stream

// do has the agent do something, if its history allows it.
func (r *request) do(e Event, d Detail) bool {
	err := r.h.Do(e, d)
	if err == nil {
		return true
	}
	if r.lax == "" || !strings.Contains(err.Error(), r.lax) || r.h.state == over {
		return false
	}
	// It does it all the same.
	switch e {
	case Sent:
		r.h.state = offered
	case Begun:
		r.h.state = answering
	case Piece:
		r.h.pieces++
		r.h.next = d.ID + 1
	case Doubt, PassedOn:
		r.h.state, r.h.ran = between, true
	default:
		r.h.state = over
	}
	return true
}

// may tells whether the agent can do something, without doing it.
func (r *request) may(e Event, d Detail) bool {
	c := r.Clone()
	return c.do(e, d)
}

func (r *request) steps() (steps []func()) {
	add := func(fn func()) { steps = append(steps, fn) }
	if r.late > 0 {
		add(func() { r.late--; r.run() })
	}
	if r.ended {
		return steps
	}
	finish := func(e Event) {
		if r.may(e, Detail{}) {
			add(func() {
				r.do(e, Detail{})
				r.ended, r.end = true, e
				if r.cur != nil && !r.cur.ran {
					r.late++ // it was on its way
				}
			})
		}
	}
	for _, e := range []Event{Refused, Failed, Cut, Gone} {
		finish(e)
	}
	c := r.cur
	if c == nil {
		if r.attempts == 0 {
			return steps
		}
		for _, from := range []int64{0, int64(len(r.got)), int64(len(r.got)) - 1, int64(len(r.got)) + 1} {
			for expect := range 3 {
				if d := (Detail{ID: from, Version: expect}); from >= 0 && r.may(Sent, d) {
					for n := range 4 {
						version := n%2 + 1
						add(func() {
							r.do(Sent, d)
							r.attempts--
							r.cur = &attempt{version: version, made: from, mute: n > 1}
							if expect != 0 && expect != version { // 421
								if r.cur = nil; !r.do(NotRun, Detail{}) {
									r.cause = fmt.Errorf("a server's word that it has not run is refused")
								}
							}
						})
					}
				}
			}
		}
		return steps
	}
	if !c.ran {
		add(func() { // full
			if r.cur = nil; !r.do(NotRun, Detail{}) {
				r.cause = fmt.Errorf("a server's word that it has not run is refused")
			}
		})
		add(func() { c.ran = true; r.run() })
	}
	for _, e := range []Event{Doubt, PassedOn} { // a reset, a silence, or the agent's own will
		if r.may(e, Detail{}) {
			add(func() {
				r.do(e, Detail{})
				if !c.ran {
					r.late++
				}
				r.cur = nil
			})
		}
	}
	switch {
	case c.ran && !c.begun:
		var d Detail
		if !c.mute {
			d.Version = c.version
		}
		if r.may(Begun, d) {
			add(func() { r.do(Begun, d); c.begun = true })
		}
	case c.begun && c.made < last:
		d := Detail{ID: c.made + 1}
		if c.changed {
			d.Version = c.version
		}
		if r.may(Piece, d) {
			add(func() {
				r.do(Piece, d)
				c.made++
				c.changed = false
				r.got = append(r.got, piece{d.ID, c.version})
			})
		}
		add(func() { c.version, c.changed = 3-c.version, true }) // other weights are loaded under way
	case c.begun:
		finish(Complete)
	}
	return steps
}

func (r *request) run() {
	if r.runs++; r.runs > 1 && !r.h.Idempotent {
		r.cause = fmt.Errorf("it runs twice")
	}
}

// check is what a client and the operators see.
func (r *request) check() error {
	if r.cause != nil {
		return r.cause
	}
	for i, p := range r.got {
		if p.id != int64(i)+1 {
			return fmt.Errorf("piece %d comes as the %dth", p.id, i+1)
		}
		if p.version != r.got[0].version {
			return fmt.Errorf("pieces of two revisions are joined")
		}
	}
	switch {
	case !r.ended:
	case r.end == Refused && r.runs > 0:
		return fmt.Errorf("it is refused, and has run")
	case r.end == Complete && len(r.got) != last:
		return fmt.Errorf("it is complete with %d pieces", len(r.got))
	case (r.end == Refused || r.end == Failed) && len(r.got) > 0:
		return fmt.Errorf("a second answer begins after %d pieces", len(r.got))
	}
	return nil
}

func (r *request) Steps() int { return len(r.steps()) }

func (r *request) Do(i int) error {
	r.steps()[i]()
	return r.check()
}

func (r *request) Clone() *request {
	c := *r
	c.got = slices.Clone(r.got)
	if r.cur != nil {
		cur := *r.cur
		c.cur = &cur
	}
	return &c
}

func (r *request) Hash() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, r.h, r.attempts, r.late, min(r.runs, 2), r.got, r.end, r.ended)
	if r.cur != nil {
		fmt.Fprint(f, *r.cur)
	}
	return f.Sum64()
}

var kinds = []History{{Versioned: true}, {Idempotent: true, Versioned: true}, {Idempotent: true, Resumable: true, Versioned: true}}

// Whatever an agent does that its history allows, and whatever servers do, a request that must not
// run twice doesn't, a refused one never ran, and a stream is whole, in order and of one revision;
// without any of the checks one of these breaks.
func TestAllHistoriesThatAreAllowedAreRight(t *testing.T) {
	for _, h := range kinds {
		r := interleave.Search(&request{h: h, attempts: 3}, 500_000)
		t.Logf("%+v: %v", h, r)
		if r.Err != nil || !r.Exhausted {
			t.Errorf("%+v: %v", h, r)
		}
	}
	// Two more stand behind these, against servers that don't do as they were asked.
	for lax, h := range map[string]History{
		"must not run twice":                          kinds[0],
		"and it can't go on at one":                   kinds[1],
		"it does not go on after the last piece":      kinds[2],
		"it expects no revision":                      kinds[2],
		"it does not ask for the revision":            kinds[2],
		"it is of another revision than those before": kinds[0],
		"it may have run":                             kinds[0],
		"an attempt is under way that may run":        kinds[0],
		"pieces of it were passed on":                 kinds[0],
	} {
		r := interleave.Search(&request{h: h, attempts: 3, lax: lax}, 500_000)
		if r.Err == nil {
			t.Errorf("without %q: nothing is found: %v", lax, r)
			continue
		}
		t.Logf("without %q: %v", lax, r)
	}
}

func TestServersThatDoOtherThanAskedAreNotBelieved(t *testing.T) {
	h := kinds[2]
	require.NoError(t, h.Do(Sent, Detail{Version: 1}))
	require.NoError(t, h.Do(Begun, Detail{Version: 1}))
	require.NoError(t, h.Do(Piece, Detail{ID: 1}))
	assert.ErrorContains(t, h.Do(Piece, Detail{ID: 3}), "it does not follow on the last one")
	assert.ErrorContains(t, h.Do(Piece, Detail{ID: 2, Version: 2}), "it is of another revision than those before it")
	require.NoError(t, h.Do(Doubt, Detail{}))
	require.NoError(t, h.Do(Sent, Detail{ID: 1, Version: 1}))
	assert.ErrorContains(t, h.Do(Begun, Detail{Version: 2}), "it is of another revision than the pieces")
	require.NoError(t, h.Do(Begun, Detail{}))
	require.NoError(t, h.Do(Piece, Detail{ID: 2, Version: 1}))
	require.NoError(t, h.Do(Complete, Detail{}))
}

func TestAPassageThatIsPassedOn(t *testing.T) {
	h := History{Idempotent: true, Resumable: true}
	for _, s := range []struct {
		e Event
		d Detail
	}{{Sent, Detail{Version: 1}}, {NotRun, Detail{}}, {Sent, Detail{Version: 1}}, {Begun, Detail{Version: 1}}, {Piece, Detail{ID: 1}}, {Piece, Detail{ID: 2}},
		{PassedOn, Detail{}}, {Sent, Detail{ID: 2, Version: 1}}, {Begun, Detail{Version: 1}}, {Piece, Detail{ID: 3}}, {Complete, Detail{}}} {
		require.NoError(t, h.Do(s.e, s.d), "%v", s)
	}
	assert.True(t, h.Over())
	assert.ErrorContains(t, h.Do(Sent, Detail{}), "it has its end")
}

func TestAClientThatGoesOn(t *testing.T) {
	h := History{Idempotent: true, Resumable: true, After: 7}
	assert.Error(t, h.Do(Sent, Detail{}))
	require.NoError(t, h.Do(Sent, Detail{ID: 7}))
	require.NoError(t, h.Do(Begun, Detail{}))
	assert.Error(t, h.Do(Piece, Detail{ID: 9}), "a piece is missing")
	assert.NoError(t, h.Do(Piece, Detail{ID: 8}))
}

func TestARefusalIsAPromise(t *testing.T) {
	var h History
	require.NoError(t, h.Do(Sent, Detail{}))
	assert.Error(t, h.Do(Refused, Detail{}))
	require.NoError(t, h.Do(NotRun, Detail{}))
	require.NoError(t, h.Do(Refused, Detail{}))

	h = History{}
	require.NoError(t, h.Do(Sent, Detail{}))
	require.NoError(t, h.Do(Doubt, Detail{}))
	assert.Error(t, h.Do(Refused, Detail{}))
	assert.Error(t, h.Do(Sent, Detail{}))
	assert.Error(t, h.Do(Cut+100, Detail{}))
	require.NoError(t, h.Do(Failed, Detail{}))
}
