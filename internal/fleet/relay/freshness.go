package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// Freshness works like a lease (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
// Distributed File Cache Consistency", 1989): a process knows that it has every configuration that was
// acknowledged before a certain time on its own clock. That time is when the process asked, not when the
// answer arrived, so that a delay in transit never makes the configuration appear fresher than it is.
//
// A member of the core asks the core itself: the tail of the chain reports its newest value, and a
// majority confirms that it is still the tail. Any other agent adds the question to its messages to its
// relay. After the question arrives, the relay confirms the configuration with the core. It answers in
// or after the message that carries this configuration to the agent.

const (
	// DefaultConfirmInterval is the default of Options.ConfirmInterval.
	DefaultConfirmInterval = 300 * time.Millisecond
	// confirmRetryInterval is the pause after a confirmation that failed, if requests wait for one.
	confirmRetryInterval = 100 * time.Millisecond
	// maxConfirmations bounds the confirmations in progress.
	maxConfirmations = 4
	// confirmTimeout bounds a confirmation, including the wait for the configuration that it names.
	confirmTimeout = time.Second
	// staleLogAge is the time without a confirmation after which the configuration is logged as unconfirmed.
	staleLogAge = 3 * time.Second
)

// freshness tracks how recently this process is known to have had every acknowledged configuration.
type freshness struct {
	enabled bool
	// asOf is a time on the node's clock, in nanoseconds: this process has every configuration that was
	// acknowledged before it. It is zero until the first confirmation.
	asOf atomic.Int64
	// confirmWake, of capacity 1, makes the next confirmation begin at once.
	confirmWake chan struct{}
	stale       bool // whether the configuration was logged as unconfirmed and not as confirmed since
}

// renew advances asOf to a given time, and never moves it back.
func (f *freshness) renew(asOf time.Duration) {
	f.asOf.Store(max(f.asOf.Load(), int64(asOf)))
}

// wakeConfirm makes the next confirmation begin at once.
func (f *freshness) wakeConfirm() {
	select {
	case f.confirmWake <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// sessionFreshness is a relay's record of the freshness questions of one agent.
type sessionFreshness struct {
	question          uint64 // the newest question received; zero if there is none
	confirmedQuestion uint64 // the newest question received before the start of a successful confirmation; zero if none
}

// ConfigFreshAsOf returns a time such that this process has every configuration that was acknowledged
// before it, or the zero time if nothing has been confirmed yet. Any snapshot that is read after the call
// includes these configurations. It takes no lock.
func (n *Node) ConfigFreshAsOf() time.Time {
	asOf := time.Duration(n.freshness.asOf.Load())
	if asOf == 0 {
		return time.Time{}
	}
	return n.startTime.Add(asOf - clockStart)
}

// addFreshnessLocked adds a freshness question to an agent's message, or an answer to a core member's message.
func (n *Node) addFreshnessLocked(s *session, update *message) {
	if !n.freshness.enabled {
		return
	}
	if !update.IsCore {
		update.FreshnessQuestion = uint64(n.now().Milliseconds())
		return
	}
	if s.freshness.confirmedQuestion > 0 {
		update.FreshnessAnswer, update.FreshnessSeq = s.freshness.confirmedQuestion, n.config.seq
	}
}

// receiveFreshnessLocked records an agent's freshness question, or processes a relay's answer. The caller
// has already applied the configuration that came with the answer.
func (n *Node) receiveFreshnessLocked(s *session, m *message) {
	if !n.freshness.enabled {
		return
	}
	if m.FreshnessQuestion > s.freshness.question {
		s.freshness.question = m.FreshnessQuestion
		if s.freshness.confirmedQuestion == 0 && n.options.AwaitsConfirmation {
			n.freshness.wakeConfirm()
		}
	}
	asOf := time.Duration(m.FreshnessAnswer) * time.Millisecond
	if s.outbound && m.FreshnessAnswer > 0 && n.config.seq >= m.FreshnessSeq && asOf <= n.now() {
		n.freshness.renew(asOf)
	}
}

// confirmLoop confirms the configuration with the core while this process is a member, until ctx ends. It
// begins further confirmations while a slow one is in progress, as the core may have changed since.
func (n *Node) confirmLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConfirmations)
	results := make(chan bool, maxConfirmations)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ok := <-results:
			<-slots
			if !ok && n.options.AwaitsConfirmation {
				timer.Reset(confirmRetryInterval)
			}
			n.logFreshness()
			continue
		case <-n.freshness.confirmWake:
		case <-timer.C:
		}
		timer.Reset(n.options.ConfirmInterval)
		if !n.options.Core.IsMember() {
			n.logFreshness()
			continue
		}
		select {
		case slots <- struct{}{}:
			wg.Go(func() { results <- n.confirm(ctx) })
		default: // maxConfirmations are already in progress
		}
	}
}

// confirm confirms the configuration with the core once, and reports whether that succeeded.
func (n *Node) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	n.mu.Lock()
	startTime := n.now()
	questions := make(map[*session]uint64, len(n.sessions))
	for s := range n.sessions {
		questions[s] = s.freshness.question
	}
	n.mu.Unlock()
	seq, err := n.options.ConfirmConfig(ctx)
	if err != nil || !n.awaitConfig(ctx, seq) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.renew(startTime)
	for s, question := range questions {
		isFirst := s.freshness.confirmedQuestion == 0 && question > 0
		s.freshness.confirmedQuestion = max(s.freshness.confirmedQuestion, question)
		if isFirst && n.options.AwaitsConfirmation {
			s.wakeSender()
		}
	}
	return true
}

// awaitConfig waits until the configuration with a given sequence number, or a newer one, is in force on
// this node. It returns false if ctx ends first.
func (n *Node) awaitConfig(ctx context.Context, seq uint64) bool {
	for {
		n.mu.Lock()
		done, changed := n.config.seq >= seq, n.changed
		n.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// logFreshness logs when the configuration has been unconfirmed for staleLogAge, and when it is confirmed
// again.
func (n *Node) logFreshness() {
	n.mu.Lock()
	defer n.mu.Unlock()
	age := n.now() - time.Duration(n.freshness.asOf.Load())
	stale := age > staleLogAge
	if stale == n.freshness.stale {
		return
	}
	n.freshness.stale = stale
	if stale {
		logevent.ConfigUnconfirmed.Log("for", age)
		return
	}
	logevent.ConfigConfirmed.Log("age", age)
}
