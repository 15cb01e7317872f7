// Package eventlog provides an in-memory log of the events of one process. Subscribers get every event
// in order, and the newest events are retained for operators.
package eventlog

// Journal numbers events and retains the newest ones in a ring buffer. It is not safe for concurrent use:
// its owner must serialise all calls.
type Journal[E any] struct {
	ring        []E
	next        uint64 // number of the next event
	subscribers []func(number uint64, event E)
	compact     func(E) E // returns the form of an event to retain; nil if events are retained unchanged
}

// New returns a journal that retains the given number of events, but at least one.
func New[E any](capacity int) *Journal[E] { return &Journal[E]{ring: make([]E, max(capacity, 1))} }

// Subscribe adds a function that is called with each event that is appended from now on and its number.
func (j *Journal[E]) Subscribe(apply func(number uint64, event E)) {
	j.subscribers = append(j.subscribers, apply)
}

// SetCompaction makes the journal retain compact(event) instead of event from now on, because a ring
// buffer of large events would keep their memory in use. Subscribers still get the complete event.
func (j *Journal[E]) SetCompaction(compact func(E) E) { j.compact = compact }

// Append retains an event, calls the subscribers with it and returns its number. Numbers start at 0.
func (j *Journal[E]) Append(event E) uint64 {
	number := j.next
	j.next++
	retained := event
	if j.compact != nil {
		retained = j.compact(event)
	}
	j.ring[number%uint64(len(j.ring))] = retained
	for _, apply := range j.subscribers {
		apply(number, event)
	}
	return number
}

// Since returns the retained events with the given number or a higher one, oldest first, and the number
// of the first returned event.
func (j *Journal[E]) Since(number uint64) (events []E, first uint64) {
	oldest := j.next - min(j.next, uint64(len(j.ring)))
	first = max(number, oldest)
	events = make([]E, 0, max(j.next, first)-first)
	for i := first; i < j.next; i++ {
		events = append(events, j.ring[i%uint64(len(j.ring))])
	}
	return events, first
}
