// Package faultyvoter implements a member of an electorate that votes falsely. It uses the agents' library
// and messages, grants the ejection of healthy servers, and denies the ejection of servers that others
// suspect. It only sends messages in its own name.
package faultyvoter

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/coordination"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
)

const (
	// sendInterval is the interval between its messages to each member, validFor the validity of its votes,
	// and maxHosts the maximum number of hosts that it votes against, and of those whose ejection it denies.
	sendInterval, validFor, maxHosts = 200 * time.Millisecond, 5 * time.Second, 12
)

// Config configures a faulty voter.
type Config struct {
	Peers      membership.Config
	Electorate ejection.Electorate
	Against    []outlier.Host // servers that it votes against, whatever their state
}

// Voter is a running faulty voter.
type Voter struct {
	cfg        Config
	supervisor *supervisor.Supervisor
	peers      *membership.Gossip
	start      time.Time

	mu           sync.Mutex
	lastMessages map[string]lastMessage
	deny         map[outlier.Host]bool // hosts that other members suspect, whose ejection it denies
}

// lastMessage describes the last message from a member: the sender's incarnation, when it was sent by the sender's
// clock, and when it was received by the faulty voter's.
type lastMessage struct {
	incarnation        uint64
	sentAt, receivedAt time.Duration
}

// Start starts a faulty voter, which runs until Close.
func Start(ctx context.Context, cfg Config) *Voter {
	v := &Voter{cfg: cfg, start: time.Now(), lastMessages: map[string]lastMessage{}, deny: map[outlier.Host]bool{}}
	v.peers = membership.New(cfg.Peers, v)
	v.supervisor = supervisor.NewSupervisor(ctx, nil)
	v.supervisor.Go("peers", v.peers.Run)
	v.supervisor.Go("speak", v.run)
	return v
}

// Close stops the faulty voter.
func (v *Voter) Close() { v.supervisor.Close() }

// HandleMessage implements membership.Sink. It remembers the message for the echo in the next vote, and the
// hosts that its sender suspects.
func (v *Voter) HandleMessage(kind membership.Kind, body []byte) {
	var m ejection.VoteMessage
	if kind != coordination.KindVote || membership.Decode(body, &m) != nil || m.Validate() != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastMessages[m.From] = lastMessage{m.Incarnation, m.Sent, time.Since(v.start)}
	for _, e := range m.Entries {
		if e.Vote >= ejection.Suspect && !slices.Contains(v.cfg.Against, e.Host) && len(v.deny) < maxHosts {
			v.deny[e.Host] = true
		}
	}
}

// MembersChanged implements membership.Sink; a faulty voter ignores changes of the membership.
func (v *Voter) MembersChanged([]membership.Peer) {}

// LocalState implements membership.Sink; a faulty voter has no state to share.
func (v *Voter) LocalState() []byte { return nil }

// MergeState implements membership.Sink; a faulty voter ignores the state of others.
func (v *Voter) MergeState([]byte) {}

// run sends false votes periodically until its context ends.
func (v *Voter) run(ctx context.Context) error {
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := v.sendVotes(); err != nil {
			return err
		}
	}
}

// sendVotes sends a message with the false votes to each member.
func (v *Voter) sendVotes() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var entries []ejection.Entry
	for _, h := range v.cfg.Against[:min(len(v.cfg.Against), maxHosts)] {
		entries = append(entries, ejection.Entry{Host: h, Vote: ejection.Grant, Attempts: 9, Failures: 9,
			ValidFor: validFor})
	}
	for h := range v.deny {
		entries = append(entries, ejection.Entry{Host: h, Vote: ejection.Deny, Reason: ejection.ReasonSuccess,
			Attempts: 9, ValidFor: validFor})
	}
	slices.SortFunc(entries, func(a, b ejection.Entry) int { return strings.Compare(a.Host.ID, b.Host.ID) })
	now := time.Since(v.start)
	for _, name := range v.cfg.Electorate.Members {
		if name == v.cfg.Peers.Name {
			continue
		}
		m := ejection.VoteMessage{Version: ejection.Version, From: v.cfg.Peers.Name,
			Incarnation: v.cfg.Peers.Incarnation, Electorate: v.cfg.Electorate.Number, Sent: now, Entries: entries}
		if h, ok := v.lastMessages[name]; ok {
			m.EchoIncarnation, m.Echo, m.EchoAge = h.incarnation, h.sentAt, now-h.receivedAt
		}
		body, err := membership.Encode(&m)
		if err != nil {
			return err
		}
		v.peers.Mailbox().Put(membership.Send{To: name, Kind: coordination.KindVote, Body: body})
	}
	return nil
}
