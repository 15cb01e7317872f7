// Package supervisor runs the tasks of an agent that are independent of its event loop. A task
// owns its sockets, files and state. Other goroutines reach it with messages through its
// Mailbox, and a Supervisor restarts it after a failure.
//
// A mailbox never holds more messages than its size, and Put never blocks. The messages of one
// sender that are not dropped are delivered in the order in which they were put. Delivery is
// not guaranteed: the OverflowPolicy of a message decides which message is dropped when the
// mailbox is full.
package supervisor

import (
	"context"
	"sync"
)

// OverflowPolicy decides which message is dropped when a mailbox is full.
type OverflowPolicy uint8

const (
	// DropNewest drops the new message: the queued ones carry more information.
	DropNewest OverflowPolicy = iota
	// DropOldest drops the oldest queued message, which the new one makes stale.
	DropOldest
)

// Message is an element of a Mailbox.
type Message interface {
	// Overflow is called only when the mailbox is full and the message was not merged.
	Overflow() OverflowPolicy
}

// Merger is a Message that can be merged with a queued message of its kind. It is merged even
// if the mailbox is not full: of several states only the newest is useful.
type Merger interface {
	Message
	// MergeInto returns the queued message merged with this one, or false if the two cannot be
	// merged. It must not change either of them.
	MergeInto(queued Message) (Message, bool)
}

// Mailbox is a bounded queue of messages to one task. It is safe for any number of senders and
// one receiver.
type Mailbox struct {
	mu      sync.Mutex
	queue   []Message
	size    int
	dropped uint64
	ready   chan struct{} // holds a token while the queue may be non-empty
}

// NewMailbox returns an empty mailbox for size messages; a size below one counts as one.
func NewMailbox(size int) *Mailbox {
	return &Mailbox{size: max(size, 1), ready: make(chan struct{}, 1)}
}

// Put enqueues a message and reports whether it, or the message that it was merged into, is
// queued now. It never blocks.
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

// Ready returns a channel that receives a value when the queue may be non-empty. After each
// value the receiver must call Poll until it returns false.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }

// Poll dequeues the oldest message, or returns false if there is none.
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

// Take dequeues the oldest message. It blocks while there is none, and returns the error of ctx
// once ctx is done.
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

// Dropped returns the number of messages dropped so far, both queued and new ones.
func (m *Mailbox) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped
}
