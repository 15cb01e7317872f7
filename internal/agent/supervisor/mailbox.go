// Package supervisor runs the parts of an agent that do not sit on its loop. A task owns its
// sockets, files and state; others reach it by messages through its mailbox, and a
// supervisor owns its lifetime.
//
// Guaranteed: a mailbox never holds more than its size and never blocks who puts into it; of
// messages that are not dropped, those of one sender are taken in the order they were put.
// Not guaranteed: that a message is taken at all. What happens to one that finds the mailbox
// full is said by the message itself.
package supervisor

import (
	"context"
	"sync"
)

// OverflowPolicy says what becomes of a message that finds its mailbox full.
type OverflowPolicy uint8

const (
	// DropNewest drops the message itself: what is queued tells more.
	DropNewest OverflowPolicy = iota
	// DropOldest drops the oldest queued message in its favour: it makes older ones stale.
	DropOldest
)

// Message is what a mailbox carries.
type Message interface {
	// Overflow is asked only when the mailbox is full and the message was not merged.
	Overflow() OverflowPolicy
}

// Merger is a message that can be taken into one of its kind that is still queued. It is
// merged wherever that is so, full or not: a queue of states needs the last one only.
type Merger interface {
	Message
	// MergeInto returns the queued message with this one taken into it, and false if they do not
	// go together. It must not change either.
	MergeInto(queued Message) (Message, bool)
}

// Mailbox is a bounded queue of messages to one task. Any number of goroutines may put; one
// takes.
type Mailbox struct {
	mu      sync.Mutex
	queue   []Message
	size    int
	dropped uint64
	ready   chan struct{} // holds a token while there may be something to take
}

// NewMailbox returns an empty mailbox for size messages, one at least.
func NewMailbox(size int) *Mailbox {
	return &Mailbox{size: max(size, 1), ready: make(chan struct{}, 1)}
}

// Put queues a message, and tells whether it, or what it was merged into, is queued now. It
// never waits.
func (m *Mailbox) Put(msg Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if merger, ok := msg.(Merger); ok {
		for i := len(m.queue) - 1; i >= 0; i-- {
			if merged, ok := merger.MergeInto(m.queue[i]); ok {
				m.queue[i] = merged
				return true
			}
		}
	}
	if len(m.queue) >= m.size {
		m.dropped++
		if msg.Overflow() == DropNewest {
			return false
		}
		m.queue = append(m.queue[:0], m.queue[1:]...)
	}
	m.queue = append(m.queue, msg)
	select {
	case m.ready <- struct{}{}:
	default:
	}
	return true
}

// Ready receives when there may be something to take. A task that selects on it calls Poll
// until that says that there is nothing.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }

// Poll takes the oldest message; false if there is none.
func (m *Mailbox) Poll() (Message, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		return nil, false
	}
	msg := m.queue[0]
	m.queue = append(m.queue[:0], m.queue[1:]...)
	return msg, true
}

// Take waits for a message until ctx is done.
func (m *Mailbox) Take(ctx context.Context) (Message, error) {
	for {
		if msg, ok := m.Poll(); ok {
			return msg, nil
		}
		select {
		case <-m.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Dropped is how many messages were dropped so far, queued ones and new ones.
func (m *Mailbox) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped
}
