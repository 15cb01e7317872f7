// Package eventlog provides an in-memory log of one process's events: subscribers get every event in
// order, and the newest events are retained for operators.
package eventlog

// Journal retains the newest events in a ring. It is not safe for concurrent use: its owner
// serialises all calls.
type Journal[E any] struct {
	ring        []E
	next        uint64 // number of the next event
	subscribers []func(number uint64, event E)
	compact     func(E) E // nil: events are retained as they are
}

// New returns a journal that retains capacity events, at least one.
func New[E any](capacity int) *Journal[E] { return &Journal[E]{ring: make([]E, max(capacity, 1))} }

// Subscribe adds a function that is called with every event that is appended from now on, and its
// number.
func (j *Journal[E]) Subscribe(apply func(number uint64, event E)) {
	j.subscribers = append(j.subscribers, apply)
}

// SetCompaction makes the journal retain compact(event) in place of each further event, as a ring of
// large events would hold on to their memory. Subscribers still get the complete event.
func (j *Journal[E]) SetCompaction(compact func(E) E) { j.compact = compact }

// Append numbers an event, from 0 on, retains it, and calls the subscribers with it.
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

// Since returns the retained events from a number on, oldest first, and the number of the first of
// them.
func (j *Journal[E]) Since(number uint64) (events []E, first uint64) {
	oldest := j.next - min(j.next, uint64(len(j.ring)))
	first = max(number, oldest)
	events = make([]E, 0, max(j.next, first)-first)
	for i := first; i < j.next; i++ {
		events = append(events, j.ring[i%uint64(len(j.ring))])
	}
	return events, first
}
