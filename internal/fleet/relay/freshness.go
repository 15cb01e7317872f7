package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// Freshness is a lease on knowledge (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism
// for Distributed File Cache Consistency", 1989): a process knows that it has every configuration that
// was acknowledged before some time on its own clock. That time is when it asked, not when it was
// answered, so that no delay on the way makes it too late.
//
// A member of the core asks the core itself: the tail of the chain names its newest value, and a
// majority confirms that it still is the tail. Any other agent puts the question into its messages to
// its relay, and the relay answers once it has confirmed the configuration after the question came, in
// or after the message that brings the agent that configuration.

const (
	// confirmInterval is the pause between two confirmations of a member of the core.
	confirmInterval = 300 * time.Millisecond
	// confirmRetryInterval is that pause after one that failed.
	confirmRetryInterval = 100 * time.Millisecond
	// maxConfirmations bounds the confirmations in progress.
	maxConfirmations = 4
	// confirmTimeout bounds a confirmation and the wait for the configuration that it names.
	confirmTimeout = time.Second
	// staleLogAge is from which age on a configuration that is not confirmed is logged.
	staleLogAge = 3 * time.Second
)

// freshness is up to when this process has every configuration that was acknowledged.
type freshness struct {
	enabled bool
	// asOf is that time on the node's clock; 0: it is not known of any.
	asOf atomic.Int64
	// confirmWake, of capacity 1, has the next confirmation begin at once.
	confirmWake chan struct{}
	stale       bool // it was logged that asOf is old
}

// renew takes a later time.
func (f *freshness) renew(asOf time.Duration) {
	f.asOf.Store(max(f.asOf.Load(), int64(asOf)))
}

// wakeConfirm has the next confirmation begin at once.
func (f *freshness) wakeConfirm() {
	select {
	case f.confirmWake <- struct{}{}:
	default: // it has been woken already
	}
}

// sessionFreshness is the state of one agent's questions at its relay.
type sessionFreshness struct {
	question  uint64 // the newest that came
	confirmed uint64 // the newest that came before a confirmation which succeeded began
}

// ConfigFreshAsOf returns a time such that this process has every configuration that was acknowledged
// before it; the zero time if it knows of none. A snapshot that is read later has them. It takes no
// lock.
func (n *Node) ConfigFreshAsOf() time.Time {
	asOf := time.Duration(n.freshness.asOf.Load())
	if asOf == 0 {
		return time.Time{}
	}
	return n.startTime.Add(asOf - clockStart)
}

// addFreshnessLocked adds a question to a message to a relay, or an answer to one to an agent.
func (n *Node) addFreshnessLocked(s *session, update *message) {
	if !n.freshness.enabled {
		return
	}
	if !update.IsCore {
		update.FreshnessQuestion = uint64(n.now().Milliseconds())
		return
	}
	if s.freshness.confirmed > 0 {
		update.FreshnessAnswer, update.FreshnessSeq = s.freshness.confirmed, n.config.seq
	}
}

// receiveFreshnessLocked records the question of an agent, or takes the answer of a relay. The
// configuration that came with it is in force already.
func (n *Node) receiveFreshnessLocked(s *session, m *message) {
	if !n.freshness.enabled {
		return
	}
	if m.FreshnessQuestion > s.freshness.question {
		s.freshness.question = m.FreshnessQuestion
		if s.freshness.confirmed == 0 {
			n.freshness.wakeConfirm()
		}
	}
	asOf := time.Duration(m.FreshnessAnswer) * time.Millisecond
	if s.outbound && m.FreshnessAnswer > 0 && n.config.seq >= m.FreshnessSeq && asOf <= n.now() {
		n.freshness.renew(asOf)
	}
}

// confirmLoop confirms the configuration with the core while this process is a member, until ctx ends. It
// begins another confirmation while one takes long, as the core may have changed meanwhile.
func (n *Node) confirmLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxConfirmations)
	confirmed := make(chan bool, maxConfirmations)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ok := <-confirmed:
			<-slots
			if !ok {
				timer.Reset(confirmRetryInterval)
			}
			n.logFreshness()
			continue
		case <-n.freshness.confirmWake:
		case <-timer.C:
		}
		timer.Reset(confirmInterval)
		if !n.options.Core.IsMember() {
			n.logFreshness()
			continue
		}
		select {
		case slots <- struct{}{}:
			running.Go(func() { confirmed <- n.confirm(ctx) })
		default: // as many are in progress as may be
		}
	}
}

// confirm confirms the configuration with the core once, and reports whether it could be.
func (n *Node) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	n.mu.Lock()
	begun := n.now()
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
	n.freshness.renew(begun)
	for s, question := range questions {
		first := s.freshness.confirmed == 0 && question > 0
		s.freshness.confirmed = max(s.freshness.confirmed, question)
		if first {
			s.wakeSender()
		}
	}
	return true
}

// awaitConfig waits until the configuration of a sequence number, or a newer one, is in force here, and
// reports whether that was so before ctx ended.
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

// logFreshness logs when the configuration could not be confirmed for some time, and the end of that.
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
