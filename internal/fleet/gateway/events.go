package gateway

import (
	"bytes"
	"strconv"
	"strings"
)

// eventEnd separates the events of a stream (HTML, section 9.2.6, without its other line ends).
var eventEnd = []byte("\n\n")

// eventSequence follows the events that a client has received, so that another server can continue
// the stream after them. It decides which further events may be appended: those whose IDs are
// consecutive, and that were made by the same version of the weights where servers change. It is pure
// and not safe for concurrent use.
type eventSequence struct {
	lastID  string // of the last event; "" if none has one
	nextID  int64  // that must follow; 0: not known yet
	version string // of the weights that made the last event; "" if unknown
	// resuming: the next event is the first of another server than the one before.
	resuming bool
}

// acceptedEvents is the size of events at the start of a buffer.
type acceptedEvents struct{ bytes, events int }

// newEventSequence returns the sequence that continues after the event with the given ID; "" for one
// that starts from the beginning. An ID that is no number does not determine the next.
func newEventSequence(lastID string) eventSequence {
	s := eventSequence{lastID: lastID}
	if id, err := strconv.ParseInt(lastID, 10, 64); err == nil {
		s.nextID = id + 1
	}
	return s
}

// startServer prepares for the events of the next server, whose weights have the given version. It
// reports whether they may be appended: a stream that has started continues with the same version only.
func (s *eventSequence) startServer(version string, started bool) bool {
	if started && version != s.version {
		return false
	}
	s.version = version
	s.resuming = started
	return true
}

// accept takes the complete events at the start of a buffer. valid is false if an event that must not
// be appended follows them.
func (s *eventSequence) accept(buffer []byte) (accepted acceptedEvents, valid bool) {
	for {
		end := bytes.Index(buffer[accepted.bytes:], eventEnd)
		if end < 0 {
			return accepted, true
		}
		size := end + len(eventEnd)
		event := buffer[accepted.bytes : accepted.bytes+size]
		if !s.append(event) {
			return accepted, false
		}
		accepted.bytes += size
		accepted.events++
	}
}

// append takes one event, if it may follow the previous one.
func (s *eventSequence) append(event []byte) bool {
	id, hasID := eventID(event)
	if s.nextID > 0 && (!hasID || id != s.nextID) {
		return false
	}
	if !s.acceptVersion(event) {
		return false
	}
	if hasID {
		s.nextID = id + 1
		s.lastID = strconv.FormatInt(id, 10)
	}
	return true
}

// acceptVersion reports whether an event may follow the previous one by the version of its weights. A
// server may change its weights within a stream, but not at the event with which it takes over.
func (s *eventSequence) acceptVersion(event []byte) bool {
	version, hasVersion := eventVersion(event)
	if hasVersion && s.resuming && version != s.version {
		return false
	}
	if hasVersion {
		s.version = version
	}
	s.resuming = false
	return true
}

// eventID returns the ID of an event. It reports false if the event has none that is a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// eventVersion returns the version of the weights that the first line of an event gives, and whether
// it gives one.
func eventVersion(event []byte) (string, bool) {
	line, _, _ := bytes.Cut(event, []byte("\n"))
	value, ok := bytes.CutPrefix(line, []byte("versions:"))
	if !ok {
		return "", false
	}
	return parseVersion(string(value)), true
}

// parseVersion returns the version of weights that a header field gives; "" if it gives no number.
func parseVersion(field string) string {
	number, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(number, 10)
}
