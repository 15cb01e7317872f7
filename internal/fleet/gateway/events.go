package gateway

import (
	"bytes"
	"strconv"
	"strings"
)

// eventEnd ends each event of a stream. The HTML standard (section 9.2.6) also allows other line endings,
// which are not supported.
var eventEnd = []byte("\n\n")

// eventSequence tracks the events that a client has received, so that another server can continue the
// stream after them. It decides which events may be appended: their IDs have to be consecutive, and the
// first event of another server has to come from the same version of the weights as the one before. It does
// no I/O and is not safe for concurrent use.
type eventSequence struct {
	lastID  string // ID of the last event that has one; "" if there is none
	nextID  int64  // ID that the next event must have; 0 if not known yet
	version string // version of the weights that produced the last event; "" if unknown
	// resuming is set until the first event after a change of servers.
	resuming bool
}

// acceptedEvents is the length and the number of the events accepted from the start of a buffer.
type acceptedEvents struct{ bytes, events int }

// newEventSequence returns a sequence that continues after the event with the given ID; "" starts from the
// beginning. After an ID that is not a number, the next event may have any ID.
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

// accept appends the complete events at the start of a buffer up to the first one that must not be
// appended; valid is false if there is such an event.
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

// append records one event. It reports false if the event must not follow the previous one.
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

// acceptVersion reports whether an event may follow the previous one as far as the version of the weights
// is concerned. A server may change its weights within a stream, but not at its first event after it took
// over from another server.
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

// eventID returns the ID of an event. It reports false if the event has no ID or one that is not a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// eventVersion returns the version of the weights from the first line of an event, and whether that line
// has the field.
func eventVersion(event []byte) (string, bool) {
	line, _, _ := bytes.Cut(event, []byte("\n"))
	value, ok := bytes.CutPrefix(line, []byte("versions:"))
	if !ok {
		return "", false
	}
	return parseVersion(string(value)), true
}

// parseVersion returns the version of weights in a field value; "" if it is not a number.
func parseVersion(field string) string {
	number, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(number, 10)
}
