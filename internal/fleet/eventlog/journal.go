// Package eventlog is the journal in memory of one process: events are appended to it, and views are
// folded from it. The newest events are kept for operators.
package eventlog

// Journal keeps the newest events and has every view take each in its order. It is not safe for
// concurrent use: its owner serialises.
type Journal[E any] struct {
	ring        []E
	next        uint64
	subscribers []func(n uint64, e E)
	compact     func(E) E
}

// New returns a journal that keeps the newest events, at least one.
func New[E any](keep int) *Journal[E] { return &Journal[E]{ring: make([]E, max(keep, 1))} }

// Subscribe adds a view: it takes every event that is appended from now on, with its number.
func (j *Journal[E]) Subscribe(fold func(n uint64, e E)) { j.subscribers = append(j.subscribers, fold) }

// SetCompaction has the journal keep of each event only what fn leaves of it: views take all, but a ring of
// large events would hold on to their memory.
func (j *Journal[E]) SetCompaction(fn func(E) E) { j.compact = fn }

// Append numbers an event from 0 on, keeps it and has the views take it.
func (j *Journal[E]) Append(e E) uint64 {
	n := j.next
	j.next++
	kept := e
	if j.compact != nil {
		kept = j.compact(e)
	}
	j.ring[n%uint64(len(j.ring))] = kept
	for _, fold := range j.subscribers {
		fold(n, e)
	}
	return n
}

// Since returns the kept events from number n on, and the number of the first of them.
func (j *Journal[E]) Since(n uint64) ([]E, uint64) {
	if low := j.next - min(j.next, uint64(len(j.ring))); n < low {
		n = low
	}
	out := make([]E, 0, max(j.next, n)-n)
	for i := n; i < j.next; i++ {
		out = append(out, j.ring[i%uint64(len(j.ring))])
	}
	return out, n
}
