// Package requesthistory is the set of histories that a request may have at an agent: taken, sent,
// refused, resumed, finished. The agent tells each thing that happens before it acts on it, and what
// is refused must not be done. The laboratory's referee plays the same set against what servers and
// clients saw. It is pure.
//
// A history is: taken; then attempts, each sent and then proven unrun, or answered, or in doubt; then
// one end. What may have run is sent again only where it may be repeated, and once pieces were
// passed on only from the piece that follows, at the same revision of the model; it is never
// refused, as that promises that it has not run.
package requesthistory

import "github.com/go-faster/errors"

// History is a request's passage through one agent, up to now.
type History struct {
	Idempotent bool  // it may run more than once
	Resumable  bool  // it is a stream that goes on at a piece's id
	Versioned  bool  // servers tell which revision of the model they hold: each attempt expects one
	After      int64 // the piece that the client has, where it goes on after one; 0: it has none

	state   state
	ran     bool  // some attempt may have run
	pieces  int64 // passed on
	next    int64 // the id that has to come next; 0: not known
	version int   // of the revision that the pieces are of; 0: not known
	expects int   // of the attempt
}

type state uint8

const (
	taken state = iota
	offered
	answering
	between // no attempt is under way
	over
)

// Event is one thing that happens to a request.
type Event uint8

// The events.
const (
	Sent     Event = iota // an attempt begins; Version: what it expects, ID: the piece that it goes on after
	NotRun                // it has not run and won't: the server's word, or not all of it was sent
	Begun                 // the head of a success came; Version: the revision that it tells
	Piece                 // a piece is passed on; Version: if it tells another, ID: its number
	Doubt                 // the attempt broke: it may have run
	PassedOn              // the agent breaks the attempt itself, as the server is to go
	Complete              // the whole answer was passed on
	Answered              // a server's whole answer that is no success was passed on: it has run
	Refused               // 408, 421, 429 or 503: it has not run and never will
	Failed                // 502 or 504: nothing is promised
	Cut                   // an answer that began ends without looking complete
	Gone                  // the client has left
	eventCount
)

var eventNames = [eventCount]string{"sent", "not run", "begun", "piece", "doubt", "passed on", "complete", "answered", "refused", "failed", "cut", "gone"}

func (e Event) String() string { return eventNames[min(e, eventCount-1)] }

// Detail is what comes with an event; 0 where it says nothing.
type Detail struct {
	ID      int64
	Version int
}

// Do takes the next event, or tells why no request may have it. A refused event changes nothing.
func (h *History) Do(e Event, d Detail) error {
	bad := func(why string) error { return errors.Errorf("request %s: %s", e, why) }
	if h.state == over {
		return bad("it has its end")
	}
	during := h.state == offered || h.state == answering
	switch e {
	case Sent:
		switch {
		case during:
			return bad("another attempt is under way")
		case h.ran && !h.Idempotent:
			return bad("it may have run, and must not run twice")
		case h.pieces > 0 && !h.Resumable:
			return bad("pieces of it were passed on, and it can't go on at one")
		case h.pieces > 0 && (h.next == 0 || d.ID != h.next-1), h.pieces == 0 && d.ID != h.After:
			return bad("it does not go on after the last piece that the client has")
		case h.Versioned && d.Version == 0:
			return bad("it expects no revision")
		case h.pieces > 0 && h.version != 0 && d.Version != h.version:
			return bad("it does not ask for the revision of the pieces that were passed on")
		}
		if h.pieces == 0 && h.After > 0 {
			h.next = h.After + 1
		}
		h.state, h.expects = offered, d.Version
	case NotRun:
		if h.state != offered {
			return bad("no attempt waits for its answer")
		}
		h.state = between
	case Begun:
		if d.Version == 0 {
			d.Version = h.expects // the server has checked it
		}
		switch {
		case h.state != offered:
			return bad("no attempt waits for its answer")
		case h.pieces > 0 && h.version != 0 && d.Version != 0 && d.Version != h.version:
			return bad("it is of another revision than the pieces that were passed on")
		}
		if h.pieces == 0 {
			h.version = d.Version
		}
		h.state, h.ran = answering, true
	case Piece:
		switch {
		case h.state != answering:
			return bad("no answer has begun")
		case h.next != 0 && d.ID != h.next:
			return bad("it does not follow on the last one")
		case d.Version != 0 && h.version != 0 && d.Version != h.version:
			return bad("it is of another revision than those before it")
		}
		if h.version == 0 {
			h.version = d.Version
		}
		h.pieces++
		if d.ID != 0 {
			h.next = d.ID + 1
		}
	case Doubt, PassedOn:
		if !during {
			return bad("no attempt is under way")
		}
		if e == PassedOn && !h.Resumable && !h.Idempotent {
			return bad("it must not run twice")
		}
		h.state, h.ran = between, true
	case Complete:
		if h.state != answering {
			return bad("no answer has begun")
		}
		h.state = over
	case Answered:
		if !during && !(h.state == between && h.ran) || h.pieces > 0 {
			return bad("it has no whole answer")
		}
		h.state, h.ran = over, true
	case Refused:
		switch {
		case h.ran || h.pieces > 0:
			return bad("it may have run")
		case during:
			return bad("an attempt is under way that may run")
		}
		h.state = over
	case Failed:
		if h.pieces > 0 {
			return bad("pieces of it were passed on")
		}
		h.state = over
	case Cut:
		if h.pieces == 0 && h.state != answering && !h.ran {
			return bad("no answer has begun")
		}
		h.state = over
	case Gone:
		h.state = over
	default:
		return bad("it is not known")
	}
	return nil
}

// Over tells whether the request has its end.
func (h *History) Over() bool { return h.state == over }
